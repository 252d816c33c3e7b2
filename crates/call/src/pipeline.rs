//! HTTP/1.1 pipelining: reads a caller's connection ahead of the server.
//!
//! The server handles the requests of a connection in sequence, so a pipelined request would wait for
//! all earlier ones. Requests that are safe to run early therefore start as soon as their heads arrive,
//! and the server picks up their responses when it reaches them. Reading ahead also detects at once
//! that the caller has disconnected.

use std::collections::HashMap;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use http::{Request, Response};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::body::{Body, empty};
use crate::scan::Scanner;
use model::lock;

/// Number of buffered bytes from which no more are read ahead of the server.
const MAX_BUFFER: usize = 64 << 10;

/// Size of one read, in bytes.
const READ_SIZE: usize = 8 << 10;

/// Maximum number of requests of one connection that run ahead of their turn.
const MAX_AHEAD: usize = 16;

/// Signal to a request that was started early that the server has reached it.
#[derive(Debug, Clone)]
pub(crate) struct Turn(Arc<Mutex<Option<oneshot::Receiver<()>>>>);

impl Turn {
    /// Waits for the turn. Never returns if the connection ends first.
    pub(crate) async fn wait(&self) {
        let receiver = lock(&self.0).take();
        if let Some(receiver) = receiver
            && receiver.await.is_err()
        {
            std::future::pending().await
        }
    }
}

/// A request that was started early. Aborted when dropped.
#[derive(Debug)]
pub(crate) struct EarlyRequest {
    turn: Option<oneshot::Sender<()>>,
    response: JoinHandle<Response<Body>>,
}

impl EarlyRequest {
    /// Signals the request's turn and returns its response, or `None` if its task failed.
    pub(crate) async fn finish(mut self) -> Option<Response<Body>> {
        if let Some(sender) = self.turn.take() {
            // A request that does not wait for its turn has dropped the receiver.
            let _ = sender.send(());
        }
        (&mut self.response).await.ok()
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.response.abort();
    }
}

/// State of the requests of one connection.
#[derive(Debug, Default)]
pub(crate) struct PipelineState {
    early: HashMap<u64, EarlyRequest>,
    /// Ordinals of requests that state their body's length in two ways.
    ambiguous: Vec<u64>,
    /// Number of requests whose heads have been read.
    read_heads: u64,
    /// Number of requests that the server has reached.
    reached: u64,
    /// Number of requests that have been answered.
    answered: u64,
}

/// State of a request when the server reaches it.
#[derive(Debug)]
pub(crate) enum RequestState {
    /// The request has not been started.
    Fresh,
    /// The request was started early.
    Early(EarlyRequest),
    /// The request must be refused because it states its body's length in two ways.
    Ambiguous,
}

/// Pipelined requests of one connection, shared by its server and its reader.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pipeline(Arc<Mutex<PipelineState>>);

impl Pipeline {
    /// Advances the server to the next request and returns that request's state.
    pub(crate) fn advance(&self) -> RequestState {
        let mut state = lock(&self.0);
        let ordinal = state.reached;
        state.reached += 1;
        if state.ambiguous.contains(&ordinal) {
            return RequestState::Ambiguous;
        }
        match state.early.remove(&ordinal) {
            Some(early) => RequestState::Early(early),
            None => RequestState::Fresh,
        }
    }

    /// Records a response; returns whether further requests have already been read.
    pub(crate) fn record_response(&self) -> bool {
        let mut state = lock(&self.0);
        state.answered += 1;
        state.read_heads > state.answered
    }
}

/// Starts a request ahead of its turn.
pub(crate) type StartRequest = Box<dyn Fn(Request<Body>) -> JoinHandle<Response<Body>> + Send>;

/// A connection that is read ahead of its server.
pub(crate) struct ReadAhead {
    stream: TcpStream,
    buffer: BytesMut,
    is_closed: bool,
    scanner: Scanner,
    pipeline: Pipeline,
    start: StartRequest,
}

impl ReadAhead {
    /// Takes over `stream`; `start` starts the requests that may run early.
    pub(crate) fn open(
        stream: TcpStream,
        pipeline: Pipeline,
        start: StartRequest,
    ) -> SharedReadAhead {
        SharedReadAhead(Arc::new(Mutex::new(Self {
            stream,
            buffer: BytesMut::new(),
            is_closed: false,
            scanner: Scanner::default(),
            pipeline,
            start,
        })))
    }

    /// Reads the available bytes until the buffer holds at least [`MAX_BUFFER`].
    fn fill(&mut self, cx: &mut Context<'_>) {
        while !self.is_closed && self.buffer.len() < MAX_BUFFER {
            let from = self.buffer.len();
            self.buffer.resize(from + READ_SIZE, 0);
            let mut space = ReadBuf::new(&mut self.buffer[from..]);
            let polled = Pin::new(&mut self.stream).poll_read(cx, &mut space);
            let size = space.filled().len();
            self.buffer.truncate(from + size);
            match polled {
                Poll::Pending => return,
                Poll::Ready(Ok(())) if size > 0 => self.scan(from),
                // End of stream, or an error that the server also gets when it writes.
                Poll::Ready(_) => self.is_closed = true,
            }
        }
    }

    /// Discards the available bytes; ready once the caller has closed the connection.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_SIZE];
        while !self.is_closed {
            let mut space = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut space) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !space.filled().is_empty() => {}
                Poll::Ready(_) => self.is_closed = true,
            }
        }
        Poll::Ready(())
    }

    /// Scans the bytes from position `from` on for requests to start early.
    fn scan(&mut self, from: usize) {
        for head in self.scanner.feed(&self.buffer[from..]) {
            let mut state = lock(&self.pipeline.0);
            state.read_heads = head.ordinal + 1;
            if head.ambiguous {
                state.ambiguous.push(head.ordinal);
            }
            let may_start = head.ordinal > state.answered && state.early.len() < MAX_AHEAD;
            let Some(request) = head.request.filter(|_| may_start) else {
                continue;
            };
            let (sender, receiver) = oneshot::channel();
            let mut request = request.map(|()| empty());
            let turn = Turn(Arc::new(Mutex::new(Some(receiver))));
            request.extensions_mut().insert(turn);
            let early = EarlyRequest {
                turn: Some(sender),
                response: (self.start)(request),
            };
            state.early.insert(head.ordinal, early);
        }
    }
}

/// Stream from which the server reads, backed by a [`ReadAhead`].
#[derive(Clone)]
pub(crate) struct SharedReadAhead(Arc<Mutex<ReadAhead>>);

impl SharedReadAhead {
    /// Reads ahead; returns whether the caller has disconnected.
    fn poll_fill(&self, cx: &mut Context<'_>) -> bool {
        let mut reader = lock(&self.0);
        reader.fill(cx);
        reader.is_closed
    }

    /// Reads and discards what still arrives, until the caller closes the connection.
    pub(crate) async fn drain(&self) {
        poll_fn(|cx| lock(&self.0).poll_drain(cx)).await;
    }

    /// Returns whether the buffer has room for another read.
    fn has_room(&self) -> bool {
        lock(&self.0).buffer.len() < MAX_BUFFER
    }
}

impl AsyncRead for SharedReadAhead {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut reader = lock(&self.0);
        if reader.buffer.is_empty() {
            // `Driver` reads the connection in the same task and then polls the server again.
            return match reader.is_closed {
                true => Poll::Ready(Ok(())),
                false => Poll::Pending,
            };
        }
        let size = reader.buffer.len().min(out.remaining());
        out.put_slice(&reader.buffer[..size]);
        reader.buffer.advance(size);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SharedReadAhead {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_shutdown(cx)
    }
}

/// Future that drives a server connection and reads ahead of it.
pub(crate) struct Driver<C> {
    /// The server's connection.
    pub(crate) connection: Pin<Box<C>>,
    /// Stream that is read ahead.
    pub(crate) stream: SharedReadAhead,
}

impl<C, E> Future for Driver<C>
where
    C: Future<Output = Result<(), E>>,
{
    type Output = Result<(), E>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), E>> {
        loop {
            let is_closed = self.stream.poll_fill(cx);
            let was_full = !self.stream.has_room();
            let polled = self.connection.as_mut().poll(cx);
            if polled.is_ready() {
                return polled;
            }
            if is_closed {
                // The caller has disconnected; its requests are cancelled with the connection.
                return Poll::Ready(Ok(()));
            }
            if !was_full || !self.stream.has_room() {
                return Poll::Pending;
            }
        }
    }
}
