//! Waiting for the signals that end a daemon.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that end a daemon gracefully: INT, TERM and HUP.
#[derive(Debug)]
pub(crate) struct Interrupt {
    interrupt: Signal,
    terminate: Signal,
    hangup: Signal,
}

impl Interrupt {
    /// Begins to take the signals, which from then on no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does.
    pub(crate) fn open() -> io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for one of the signals.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
            _ = self.hangup.recv() => {}
        }
    }
}
