//! Request bodies; small ones are buffered so that they can be sent again.

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt;
use model::Size;
use tokio::time::{Instant, timeout_at};

use crate::body::{Body, full};
use crate::bounds::{Overrun, limited};
use crate::{Refusal, RefusalKind};

/// Largest body that is buffered so that it can be sent again.
const REPLAYABLE_LIMIT: Size = Size::new(64 << 10);

/// Largest body that is sent without a prior reservation, and that a gate admits without regard to its
/// VM's link rate.
pub(crate) const SMALL_LIMIT: Size = Size::new(4 << 10);

/// What is known of a body before it is sent.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Content<'a> {
    /// All of it.
    Whole(&'a [u8]),
    /// Its size, if it states one.
    Streamed(Option<Size>),
}

/// The body of a request.
pub(crate) enum Payload {
    /// Buffered: can be sent again.
    Buffered(Bytes),
    /// Streamed: can be sent once.
    Streamed(Option<Body>, Overrun),
}

impl Payload {
    /// Opens a request's body. A body of known, small size is buffered first.
    ///
    /// # Errors
    ///
    /// Refuses a body that exceeds `limit`, and a small one that has not arrived by `deadline`.
    pub(crate) async fn open(body: Body, limit: Size, deadline: Instant) -> Result<Self, Refusal> {
        let hint = body.size_hint();
        if hint.lower() > limit.get() {
            return Err(too_large(limit));
        }
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        if hint
            .exact()
            .is_some_and(|size| size <= REPLAYABLE_LIMIT.get())
        {
            return buffer(body, deadline).await.map(Self::Buffered);
        }
        let overrun = Overrun::default();
        let body = limited(body, limit, overrun.clone());
        Ok(Self::Streamed(Some(body), overrun))
    }

    /// Returns whether the body is too large to be sent to a gate that has not reserved a slot.
    pub(crate) fn is_large(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.len() as u64 > SMALL_LIMIT.get(),
            Self::Streamed(..) => true,
        }
    }

    /// Returns what tells the payload from others before it is sent: its content if it is buffered, otherwise its size,
    /// if known.
    pub(crate) fn content(&self) -> Content<'_> {
        match self {
            Self::Buffered(bytes) => Content::Whole(bytes),
            Self::Streamed(body, _) => {
                let size = body.as_ref().and_then(|body| body.size_hint().exact());
                Content::Streamed(size.map(Size::new))
            }
        }
    }

    /// Reads a streamed body whole.
    ///
    /// # Errors
    ///
    /// Refuses a body that exceeds `limit`, or has not arrived by `deadline`.
    pub(crate) async fn read_whole(self, limit: Size, deadline: Instant) -> Result<Self, Refusal> {
        let Self::Streamed(Some(body), overrun) = self else {
            return Ok(self);
        };
        match buffer(body, deadline).await {
            Err(_) if overrun.happened() => Err(too_large(limit)),
            result => result.map(Self::Buffered),
        }
    }

    /// Returns whether the body can be sent again.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the same payload for another attempt, or `None` if it can be sent only once.
    pub(crate) fn copy(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streamed(..) => None,
        }
    }

    /// Returns the body for one attempt, or `None` if it was sent and cannot be sent again.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streamed(body, _) => body.take(),
        }
    }

    /// Returns whether a streamed body exceeded its limit.
    pub(crate) fn exceeded_limit(&self) -> bool {
        matches!(self, Self::Streamed(_, overrun) if overrun.happened())
    }
}

async fn buffer(body: Body, deadline: Instant) -> Result<Bytes, Refusal> {
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
