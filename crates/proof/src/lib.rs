//! Model checker of the protocol: runs fleets under faults and checks recorded histories against
//! invariants.
//!
//! A [`TestFleet`] runs a fleet of separate processes and records a [`History`]; [`check`] reports
//! every [`Violation`] in the history.

mod chaos;
pub mod check;
mod client;
mod config;
mod history;
mod schedule;
mod test_fleet;
mod view;

pub use chaos::{ChaosReport, run as run_chaos};
pub use check::{Rule, Violation, check};
pub use client::{Agent, CallKind};
pub use config::{HOST, render_config, service_of};
pub use history::{
    Accept, AcceptResult, Activation, Answered, Call, CallResult, ChainEntry, Drain, Fault,
    HeadRead, History, Moment, Recorder, Run, RunCount, Stop,
};
pub use test_fleet::{CutPoint, Error, HANG_LIMIT, TestFleet};
pub use view::{PoolView, RouteView, SnapshotView};
