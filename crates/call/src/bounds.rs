//! Size limits and deadlines for streamed bodies.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use model::{Size, lock};
use tokio::task::JoinHandle;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::body::{Body, BoxError};

/// Why a body was truncated. The receiver sees an incomplete message, never a complete one.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The deadline passed.
    #[error("the call's deadline passed before the body's end; raise the route's timeout")]
    Deadline,
    /// The body exceeded its limit.
    #[error("the body is over the route's limit of {0}; raise the limit or send less")]
    TooLarge(Size),
}

/// Size in bytes up to which a body fits into transport buffers even if the receiver does not read.
const SMALL_BODY_BYTES: u64 = 32 << 10;

/// A body that can be dropped at its deadline even if the receiver no longer polls it.
#[derive(Clone)]
struct SharedBody(Arc<Mutex<Option<Body>>>);

impl SharedBody {
    fn lock(&self) -> MutexGuard<'_, Option<Body>> {
        lock(&self.0)
    }
}

/// A body that fails at its deadline.
struct Timed {
    body: SharedBody,
    deadline: Instant,
    timer: Option<Pin<Box<Sleep>>>,
    /// Drops the body at the deadline.
    watcher: Option<JoinHandle<()>>,
}

impl Drop for Timed {
    fn drop(&mut self) {
        if let Some(watcher) = &self.watcher {
            watcher.abort();
        }
    }
}

/// Wraps `body` so that it is dropped and fails at `deadline` unless it has ended.
pub(crate) fn timed(body: Body, deadline: Instant) -> Body {
    if body.is_end_stream() {
        return body;
    }
    let exact = body.size_hint().exact();
    let is_small = exact.is_some_and(|size| size <= SMALL_BODY_BYTES);
    let body = SharedBody(Arc::new(Mutex::new(Some(body))));
    let watched = body.clone();
    let watch = async move {
        sleep_until(deadline).await;
        let late = watched.lock().take();
        drop(late);
    };
    Timed {
        body,
        deadline,
        timer: None,
        watcher: (!is_small).then(|| tokio::spawn(watch)),
    }
    .boxed_unsync()
}

impl http_body::Body for Timed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let late = Poll::Ready(Some(Err(BodyError::Deadline.into())));
        let polled = match self.body.lock().as_mut() {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => return late,
        };
        if polled.is_ready() {
            return polled;
        }
        let deadline = self.deadline;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => late,
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        let body = self.body.lock();
        body.as_ref().is_some_and(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.lock();
        body.as_ref()
            .map(|body| body.size_hint())
            .unwrap_or_default()
    }
}

/// Shared flag: whether a body exceeded its limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct Overrun(Arc<AtomicBool>);

impl Overrun {
    /// Returns whether the body exceeded its limit.
    pub(crate) fn happened(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A body that fails once it exceeds its limit.
struct Limited {
    body: Body,
    limit: Size,
    left: u64,
    overrun: Overrun,
}

/// Wraps `body` so that it fails once it exceeds `limit`.
pub(crate) fn limited(body: Body, limit: Size, overrun: Overrun) -> Body {
    let left = limit.get();
    Limited {
        body,
        limit,
        left,
        overrun,
    }
    .boxed_unsync()
}

impl http_body::Body for Limited {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let Poll::Ready(Some(Ok(frame))) = &polled else {
            return polled;
        };
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        match self.left.checked_sub(size) {
            Some(left) => {
                self.left = left;
                polled
            }
            None => {
                self.overrun.0.store(true, Ordering::Relaxed);
                let error = BodyError::TooLarge(self.limit);
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
