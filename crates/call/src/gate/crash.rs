//! Crashes of the upstream, and the turns of the requests that may cause them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use model::Fingerprint;
use slog::warn;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::Gate;
use crate::backend::Announcement;
use crate::request::wait;
use crate::running::RunningCall;
use crate::selection::Wait;
use crate::{Refusal, RefusalKind};

/// Time-out of the connection that tells an upstream which broke a connection from one whose process has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time for which a suspect waits for its turn.
const TURN_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for one that may join only a short queue.
const BRIEF_TURN_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay after which a suspect that got no turn may be retried: about the time of a call.
const TURN_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Gate {
    /// Waits until the upstream runs no other suspect, if `request` is one.
    pub(super) async fn suspect_turn(
        &self,
        headers: &HeaderMap,
        request: Option<Fingerprint>,
    ) -> Result<Option<OwnedSemaphorePermit>, Refusal> {
        let Some(request) = request else {
            return Ok(None);
        };
        if !self.crashes.is_suspect(request) {
            return Ok(None);
        }
        let limit = match wait(headers) {
            Wait::Never => Duration::ZERO,
            Wait::Briefly => BRIEF_TURN_TIMEOUT,
            Wait::Fully => TURN_TIMEOUT,
        };
        let turn = Arc::clone(&self.suspect_turn).acquire_owned();
        match timeout(limit, turn).await {
            Ok(Ok(turn)) => Ok(Some(turn)),
            Ok(Err(_)) | Err(_) => {
                let message =
                    "the upstream runs another request that may crash it; try again later";
                let refusal = Refusal::not_run(RefusalKind::Overloaded, message);
                Err(refusal.with_retry_delay(TURN_RETRY_DELAY))
            }
        }
    }

    /// Attributes the crash of the upstream if that is what broke the call `run`, and returns the call's refusal.
    pub(super) async fn attribute_crash(
        &self,
        refusal: Refusal,
        announced: &Announcement,
        run: Option<&RunningCall>,
        id: Option<&HeaderValue>,
    ) -> Refusal {
        let Some(run) = run.filter(|_| refusal.kind == RefusalKind::Broken) else {
            return refusal;
        };
        if !has_ended(announced.address).await {
            return refusal;
        }
        let crash = run.attribute_crash(&self.crashes);
        if let Some(report) = &crash {
            warn!(self.log, "upstream crashed under a request";
                "request" => id.and_then(|id| id.to_str().ok()),
                "instance" => announced.instance.as_ref().map(ToString::to_string),
                "crash" => %report.crash, "fingerprint" => %report.request,
                "involvement" => ?report.involvement,
                "verdict" => ?self.crashes.verdict(report.request));
        }
        Refusal { crash, ..refusal }
    }
}

/// Returns whether no process listens at `address` any more.
async fn has_ended(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
