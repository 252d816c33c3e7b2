//! Types shared by every crate: names, quantities, the configuration format and its versions.

mod change;
mod collect;
mod config;
mod crash;
mod departure;
mod digest;
mod intern;
mod limits;
mod lock;
mod name;
mod parse;
mod place;
mod problem;
mod secret;
mod state;
mod unit;
mod validate;

pub use change::{Change, CheckpointRef, Entry, MAX_CHANGE_BYTES};
pub use config::{
    Config, FORMAT, HeaderMatch, Item, Key, Kind, PathMatch, Pool, Priority, Route, Rules, Service,
    Target,
};
pub use crash::{CrashError, CrashId, CrashReport, Fingerprint, Involvement};
pub use departure::{DEPARTURE_TTL_MS, Departure, Departures, MAX_DEPARTURES};
pub use digest::Digest;
pub use limits::ConnectionLimits;
pub use lock::lock;
pub use name::{
    AcceptId, DomainName, InstanceId, NameError, OperatorName, PoolName, RegionName, RouteName,
    ServiceName, TeamName, VmId,
};
pub use parse::parse;
pub use place::Places;
pub use problem::{Problem, Problems};
pub use secret::Secret;
pub use state::{HashedItem, State, StateError};
pub use unit::{CallRate, Incarnation, Millis, Rate, Size, UnitError, UnixMillis, Version, Weight};
pub use validate::{validate, validate_changed};
