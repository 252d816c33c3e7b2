//! A connection that fails once its other side is silent although it owes an answer.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use model::lock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time from the first bytes that were sent after the last ones received until the other side counts as gone. It answers
/// at least the pings; the time is several ping intervals, as it may be busy.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_200);

/// Calls in flight on a connection.
#[derive(Debug, Default)]
struct Calls {
    count: usize,
    /// Since when there has been one all the time.
    since: Option<Instant>,
}

/// Counts the calls in flight on a connection. Without any, the other side owes nothing.
#[derive(Debug, Clone, Default)]
pub(crate) struct Activity(Arc<Mutex<Calls>>);

impl Activity {
    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn begin(&self) -> ActivityGuard {
        let mut calls = lock(&self.0);
        calls.count += 1;
        calls.since.get_or_insert_with(Instant::now);
        ActivityGuard(self.clone())
    }

    fn since(&self) -> Option<Instant> {
        lock(&self.0).since
    }
}

/// Counts one call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct ActivityGuard(Activity);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut calls = lock(&self.0.0);
        calls.count -= 1;
        if calls.count == 0 {
            calls.since = None;
        }
    }
}

/// A connection on which bytes that arrive, of whatever kind, show that the other side is there.
///
/// Designed for narrow links and busy processors. The answer to a ping arrives behind all that was sent before it, so a
/// time-out for this answer alone would end connections on which responses flow.
#[derive(Debug)]
pub(crate) struct LiveStream {
    stream: TcpStream,
    activity: Activity,
    /// When the other side counts as gone, unless bytes arrive; `None` while nothing was sent since the last ones.
    gone_at: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl LiveStream {
    /// Takes over `stream`, on which `activity` counts the calls.
    pub(crate) fn open(stream: TcpStream, activity: Activity) -> Self {
        Self {
            stream,
            activity,
            gone_at: None,
            timer: Box::pin(sleep_until(Instant::now())),
        }
    }

    /// Polls the timer; ready once the other side counts as gone.
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        loop {
            let Some(gone_at) = self.gone_at else {
                return Poll::Pending;
            };
            if self.timer.deadline() != gone_at {
                self.timer.as_mut().reset(gone_at);
            }
            ready!(self.timer.as_mut().poll(cx));
            // The bytes may have been the cancellation of a call, which is not answered.
            let owed_at = self.activity.since().map(|since| since + SILENCE_LIMIT);
            if owed_at.is_some_and(|owed_at| owed_at <= Instant::now()) {
                break;
            }
            self.gone_at = owed_at;
        }
        let message = "the other side answers nothing, not even pings";
        Poll::Ready(io::Error::new(io::ErrorKind::TimedOut, message))
    }

    /// Records the result of a write, after which the other side owes an answer.
    fn sent(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(1..)) = written {
            self.gone_at
                .get_or_insert_with(|| Instant::now() + SILENCE_LIMIT);
            // Wakes the connection in time; the next read reports it.
            let _ = self.poll_gone(cx);
        }
        written
    }
}

impl AsyncRead for LiveStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, out) {
            Poll::Pending => self.poll_gone(cx).map(Err),
            Poll::Ready(read) => {
                if out.filled().len() > before {
                    self.gone_at = None;
                }
                Poll::Ready(read)
            }
        }
    }
}

impl AsyncWrite for LiveStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.sent(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.sent(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
