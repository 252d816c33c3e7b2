//! Errors of the harness.

use std::io;

/// A failure of the harness or of a process that it started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A program has not been built.
    #[error("`{0}` is not built; run `cargo build --workspace` with the same profile first")]
    NotBuilt(String),
    /// An operation of the operating system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A signal could not be sent.
    #[error("a signal could not be sent: {0}")]
    Signal(#[from] nix::errno::Errno),
    /// A process printed no valid ready line in time; the fields are its command and first line of
    /// output.
    #[error("`{0}` did not become ready; its first line of output: {1}")]
    NotReady(String, String),
    /// A call of the administration API failed.
    #[error(transparent)]
    Admin(#[from] admin::ClientError),
    /// A request to a stand-in's control API failed.
    #[error(transparent)]
    Control(#[from] standin::ControlError),
    /// A call received no complete response.
    #[error("no complete response received: {0}")]
    Call(String),
    /// A condition was not met before its time limit.
    #[error("timed out waiting for: {0}")]
    Timeout(String),
}
