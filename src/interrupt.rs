//! Waiting for the signals that end a daemon.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Signalled {
    /// The end of the daemon.
    End,
    /// A look at the settings, which changed.
    Hangup,
}

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

    /// Waits for a signal, where HUP does not end the daemon.
    pub(crate) async fn wait_or_hangup(&mut self) -> Signalled {
        tokio::select! {
            _ = self.interrupt.recv() => Signalled::End,
            _ = self.terminate.recv() => Signalled::End,
            _ = self.hangup.recv() => Signalled::Hangup,
        }
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
