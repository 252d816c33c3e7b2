//! Why a fleet could not be run.

use std::io;

/// A failure of the harness or of a process that it started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A program has not been built.
    #[error("`{0}` is not built; run `cargo build --workspace` with the same profile first")]
    NotBuilt(String),
    /// The operating system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A signal could not be sent.
    #[error("a signal could not be sent: {0}")]
    Signal(#[from] nix::errno::Errno),
    /// A process did not say that it is ready.
    #[error("`{0}` did not become ready; it said: {1}")]
    NotReady(String, String),
    /// The administration API failed.
    #[error(transparent)]
    Admin(#[from] admin::ClientError),
    /// A stand-in's control failed.
    #[error(transparent)]
    Control(#[from] standin::ControlError),
    /// A call got no whole answer.
    #[error("a call got no whole answer: {0}")]
    Call(String),
    /// A condition did not come about.
    #[error("{0} did not come about in time")]
    Timeout(String),
}
