//! The end of a planned stop: when calls are refused, and what those in flight are answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{Refusal, RefusalKind};

/// Time after the end of the process until another one serves at its addresses: the platform's delay and the start.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// Whether a call may have been sent to an upstream's gate.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sent(Arc<AtomicBool>);

impl Sent {
    /// Records that the call is being sent.
    pub(crate) fn mark(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Whether calls are taken.
#[derive(Debug, Clone, Copy, Default)]
enum Taking {
    #[default]
    All,
    /// None; another process serves at the addresses from this time on, if calls are to wait for it.
    None(Option<Instant>),
}

impl Taking {
    fn check(self) -> Result<(), Refusal> {
        let Self::None(back_at) = self else {
            return Ok(());
        };
        let message = "the daemon stops and takes no new calls; try again later";
        let refusal = Refusal::not_run(RefusalKind::Leaving, message);
        Err(match back_at {
            Some(at) => refusal.with_retry_delay(at.saturating_duration_since(Instant::now())),
            None => refusal,
        })
    }
}

/// State of a planned stop, as calls see it.
///
/// Designed for callers that stay with a daemon until its process ends, because most of the daemons in their failure
/// domain stop at once. A call that could not be answered before the end is refused as not run when it comes, instead of
/// being broken off while its upstream runs it.
#[derive(Debug, Default)]
pub(crate) struct Closing {
    taking: watch::Sender<Taking>,
    /// Ends the calls in flight.
    ended: CancellationToken,
}

impl Closing {
    /// Refuses further calls. Callers that have no other daemon come back after the process has ended at `end`.
    pub(crate) fn refuse_calls(&self, end: Option<Instant>) {
        let back_at = end.map(|end| end + RESTART_TIME);
        self.taking.send_replace(Taking::None(back_at));
    }

    /// Ends the calls in flight with a refusal.
    pub(crate) fn end_calls(&self) {
        self.ended.cancel();
    }

    /// Returns the refusal of a call that arrives now, if it is refused.
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        self.taking.borrow().check()
    }

    /// Waits until calls are refused.
    pub(crate) async fn refused(&self) {
        let mut taking = self.taking.subscribe();
        // The sender is `self`, so the channel is open.
        let _ = taking
            .wait_for(|taking| matches!(taking, Taking::None(_)))
            .await;
    }

    /// Waits until the calls in flight are ended, and returns the refusal of a call of which `sent` is known.
    pub(crate) async fn ended(&self, sent: &Sent) -> Refusal {
        self.ended.cancelled().await;
        if sent.get() {
            let message = "the daemon ends before the upstream has answered; the call may have run";
            return Refusal::unknown(RefusalKind::Broken, message);
        }
        let message = "the daemon ends before an upstream took the call; try again";
        Refusal::not_run(RefusalKind::Leaving, message).with_retry_delay(RESTART_TIME)
    }
}
