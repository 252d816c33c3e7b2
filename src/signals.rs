//! Signals that stop a daemon or make it check its settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum SignalAction {
    /// Stop the daemon.
    Stop,
    /// Check the settings file, which has changed.
    CheckSettings,
}

/// Handlers of the signals INT, TERM and HUP.
#[derive(Debug)]
pub(crate) struct Signals {
    interrupt: Signal,
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers, which replace the default action of ending the process.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a handler.
    pub(crate) fn open() -> io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal and returns its action; HUP requests a check of the settings.
    pub(crate) async fn next_action(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::CheckSettings,
        }
    }

    /// Waits for any of the signals, each of which stops the daemon.
    pub(crate) async fn wait_stop(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
            _ = self.hangup.recv() => {}
        }
    }
}
