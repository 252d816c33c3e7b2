//! The administration API over HTTP: the operations of the command line, health checks and
//! metrics.

mod accept;
mod announce;
mod api;
mod auth;
mod client;
mod drain;
mod error;
mod health;
mod message;
mod metrics;
mod query;
mod server;
mod trace;

pub use announce::spawn as spawn_announce;
pub use api::Api;
pub use auth::{Operator, Operators, TokenHash, TokenHashError};
pub use client::{Client, ClientError};
pub use error::{ApiError, ErrorKind};
pub use health::spawn_metrics;
pub use message::{
    AcceptQuery, AcceptReply, CheckReply, DiffReply, KeyChange, LogEntry, RollbackQuery, ShowReply,
    Status, VersionCount,
};
pub use metrics::Metrics;
pub use server::{HttpServer, spawn_routes};
pub use spread::Lag;
