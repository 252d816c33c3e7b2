//! The body of a caller's request, kept for another try where it is small.

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt;
use model::Size;
use tokio::time::{Instant, timeout_at};

use crate::body::{Body, full};
use crate::bounds::{Overrun, limited};
use crate::{Refusal, RefusalKind};

/// Largest body that is held whole, so that it can be sent again.
const REPLAY_LIMIT: Size = Size::new(64 << 10);

/// Largest body that is sent along with the question for a slot, and that a narrow link is not asked for.
pub(crate) const SMALL_LIMIT: Size = Size::new(4 << 10);

/// The body of a request.
pub(crate) enum Payload {
    /// Held whole: can be sent again.
    Whole(Bytes),
    /// Streams through: can be sent once.
    Stream(Option<Body>, Overrun),
}

impl Payload {
    /// Takes a request's body; one of a small known size is read whole first.
    ///
    /// # Errors
    ///
    /// Refuses a body that is over `limit`, and a small one that does not come by `deadline`.
    pub(crate) async fn open(body: Body, limit: Size, deadline: Instant) -> Result<Self, Refusal> {
        let hint = body.size_hint();
        if hint.lower() > limit.get() {
            return Err(too_large(limit));
        }
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        if hint.exact().is_some_and(|size| size <= REPLAY_LIMIT.get()) {
            return read_whole(body, deadline).await.map(Self::Whole);
        }
        let overrun = Overrun::default();
        let body = limited(body, limit, overrun.clone());
        Ok(Self::Stream(Some(body), overrun))
    }

    /// Returns whether the body is too large to be sent to a gate that may refuse it.
    pub(crate) fn is_large(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.len() as u64 > SMALL_LIMIT.get(),
            Self::Stream(..) => true,
        }
    }

    /// Returns whether the body can be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the body for one try; none if it was sent and cannot be sent again.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(full(bytes.clone())),
            Self::Stream(body, _) => body.take(),
        }
    }

    /// Returns whether the body turned out to be over its limit.
    pub(crate) fn overran(&self) -> bool {
        matches!(self, Self::Stream(_, overrun) if overrun.happened())
    }
}

async fn read_whole(body: Body, deadline: Instant) -> Result<Bytes, Refusal> {
    match timeout_at(deadline, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(Refusal::not_run(
            RefusalKind::BadRequest,
            format!("the request's body broke off ({error}); send it again whole"),
        )),
        Err(_) => Err(Refusal::not_run(
            RefusalKind::Deadline,
            "the request's body did not come before the deadline; send it faster",
        )),
    }
}

fn too_large(limit: Size) -> Refusal {
    Refusal::not_run(
        RefusalKind::TooLarge,
        format!("the body is over the route's limit of {limit}"),
    )
}
