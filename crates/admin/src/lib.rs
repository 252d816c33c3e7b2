//! The administration API: the operations of the command line over HTTP, health and metrics.

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
pub use error::{ErrorKind, ErrorPage};
pub use health::spawn_metrics;
pub use message::{
    AcceptQuery, Accepted, Checked, DiffReply, KeyChange, LogEntry, RollbackQuery, Shown, Status,
    VersionCount,
};
pub use metrics::Metrics;
pub use server::{HttpServer, spawn_routes};
pub use spread::Lag;
