//! Bodies that stream through without being held whole.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};

/// Any failure of a body.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A body of either direction.
pub(crate) type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Returns a body of the given bytes.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body without any byte.
pub(crate) fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns any body as a [`Body`].
pub(crate) fn boxed<B>(body: B) -> Body
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// A body that keeps something alive until it ends.
pub(crate) struct Holding<T> {
    body: Body,
    held: Option<T>,
}

impl<T: Send + Unpin + 'static> Holding<T> {
    /// Returns `body`, which drops `held` at its end.
    pub(crate) fn wrap(body: Body, held: T) -> Body {
        let held = Some(held);
        Self { body, held }.boxed_unsync()
    }
}

impl<T: Unpin> http_body::Body for Holding<T> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.held = None;
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
