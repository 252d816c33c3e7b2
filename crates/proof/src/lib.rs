//! Proofs of what must always hold, under failure: histories of fleets and what is checked of them.
//!
//! A [`World`] runs a fleet of separate processes and records a [`History`]; [`check`] reports
//! every [`Violation`] that the history shows.

mod chaos;
pub mod check;
mod client;
mod config;
mod history;
mod schedule;
mod view;
mod world;

pub use chaos::{ChaosReport, run as run_chaos};
pub use check::{Rule, Violation, check};
pub use client::{Agent, Kind};
pub use config::{HOST, print, service_of};
pub use history::{
    Accept, Answered, Call, CallResult, ChainEntry, Drain, Fault, HeadRead, History, InForce,
    Moment, Recorder, Run, RunCount, Stop, Verdict,
};
pub use view::{PoolView, RouteView, View};
pub use world::{Error, HANG_LIMIT, Place, World};
