//! The administration API: the operations of the command line over HTTP, health and metrics.

mod announce;
mod auth;
mod client;
mod error;
mod message;
mod server;

pub use announce::spawn as spawn_announce;
pub use auth::{Operator, Operators, TokenHash, TokenHashError};
pub use client::{Client, ClientError};
pub use error::{ErrorKind, ErrorPage};
pub use message::{Accepted, DiffReply, KeyChange, LogEntry, Shown, Status, VersionCount};
pub use server::{Api, HttpServer};
