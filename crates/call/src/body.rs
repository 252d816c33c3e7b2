//! Streamed request and response bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};

/// Error of any body.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A request or response body.
pub(crate) type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Returns a body with the given bytes.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an empty body.
pub(crate) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Converts any body to a [`Body`].
pub(crate) fn boxed<B>(body: B) -> Body
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// A body that keeps a guard alive until it ends or fails.
pub(crate) struct GuardedBody<T> {
    body: Body,
    guard: Option<T>,
}

impl<T: Send + Unpin + 'static> GuardedBody<T> {
    /// Returns `body`, which drops `guard` when it ends or fails.
    pub(crate) fn wrap(body: Body, guard: T) -> Body {
        let guard = Some(guard);
        Self { body, guard }.boxed_unsync()
    }
}

impl<T: Unpin> http_body::Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.guard = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
