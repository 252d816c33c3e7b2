//! Reads a caller's connection ahead of the server that answers it.
//!
//! The server takes one request of a connection after the other. A caller that sends further requests
//! without waiting would have each wait for the ones before it; so requests that may be run early are
//! begun as soon as their heads arrive, and the server finds their answers when it comes to them. Reading
//! ahead also shows at once when the caller has gone.

use std::collections::HashMap;
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

/// Bytes read ahead of the server at most.
const MAX_BUFFER: usize = 64 << 10;

/// Bytes asked for in one read.
const READ_SIZE: usize = 8 << 10;

/// Requests begun ahead of their turn at most, for each connection.
const MAX_AHEAD: usize = 16;

/// Tells a request that was begun early that its turn has come.
#[derive(Debug, Clone)]
pub(crate) struct Turn(Arc<Mutex<Option<oneshot::Receiver<()>>>>);

impl Turn {
    /// Waits for the turn. Never comes back if the connection ends before.
    pub(crate) async fn wait(&self) {
        let receiver = lock(&self.0).take();
        if let Some(receiver) = receiver
            && receiver.await.is_err()
        {
            std::future::pending().await
        }
    }
}

/// A request that was begun early. Stops when dropped.
#[derive(Debug)]
pub(crate) struct Early {
    turn: Option<oneshot::Sender<()>>,
    answer: JoinHandle<Response<Body>>,
}

impl Early {
    /// Lets the request know that its turn has come, and returns its answer.
    pub(crate) async fn finish(mut self) -> Option<Response<Body>> {
        if let Some(turn) = self.turn.take() {
            // A request that did not wait for its turn has dropped the other end.
            let _ = turn.send(());
        }
        (&mut self.answer).await.ok()
    }
}

impl Drop for Early {
    fn drop(&mut self) {
        self.answer.abort();
    }
}

/// The requests of one connection.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    early: HashMap<u64, Early>,
    /// Requests that state their body's length in two ways.
    ambiguous: Vec<u64>,
    /// Requests whose heads were read.
    read: u64,
    /// Requests that the server has come to.
    begun: u64,
    /// Requests that were answered.
    answered: u64,
}

/// What the server learns of a request when it comes to it.
#[derive(Debug)]
pub(crate) enum Arrival {
    /// It is to be answered now.
    Fresh,
    /// It was begun before.
    Early(Early),
    /// It must be refused: its body's length is stated in two ways.
    Ambiguous,
}

/// The shared requests of one connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Requests(Arc<Mutex<Lane>>);

impl Requests {
    /// Notes that the server came to the next request.
    pub(crate) fn arrive(&self) -> Arrival {
        let mut lane = lock(&self.0);
        let ordinal = lane.begun;
        lane.begun += 1;
        if lane.ambiguous.contains(&ordinal) {
            return Arrival::Ambiguous;
        }
        match lane.early.remove(&ordinal) {
            Some(early) => Arrival::Early(early),
            None => Arrival::Fresh,
        }
    }

    /// Notes an answer; returns whether further requests were read already.
    pub(crate) fn answered(&self) -> bool {
        let mut lane = lock(&self.0);
        lane.answered += 1;
        lane.read > lane.answered
    }
}

/// Begins requests ahead of their turn.
pub(crate) type Begin = Box<dyn Fn(Request<Body>) -> JoinHandle<Response<Body>> + Send>;

/// A connection that is read ahead.
pub(crate) struct Intake {
    stream: TcpStream,
    buffer: BytesMut,
    is_over: bool,
    scanner: Scanner,
    requests: Requests,
    begin: Begin,
}

impl Intake {
    /// Takes over `stream`; requests read ahead are begun with `begin`.
    pub(crate) fn open(stream: TcpStream, requests: Requests, begin: Begin) -> Shared {
        Shared(Arc::new(Mutex::new(Self {
            stream,
            buffer: BytesMut::new(),
            is_over: false,
            scanner: Scanner::default(),
            requests,
            begin,
        })))
    }

    /// Reads what has arrived, up to the limit.
    fn fill(&mut self, cx: &mut Context<'_>) {
        while !self.is_over && self.buffer.len() < MAX_BUFFER {
            let begun = self.buffer.len();
            self.buffer.resize(begun + READ_SIZE, 0);
            let mut space = ReadBuf::new(&mut self.buffer[begun..]);
            let polled = Pin::new(&mut self.stream).poll_read(cx, &mut space);
            let size = space.filled().len();
            self.buffer.truncate(begun + size);
            match polled {
                Poll::Pending => return,
                Poll::Ready(Ok(())) if size > 0 => self.look(begun),
                // The end of the stream, or an error that the server meets when it writes.
                Poll::Ready(_) => self.is_over = true,
            }
        }
    }

    /// Looks at the bytes from position `begun` on for requests to begin.
    fn look(&mut self, begun: usize) {
        for head in self.scanner.feed(&self.buffer[begun..]) {
            let mut lane = lock(&self.requests.0);
            lane.read = head.ordinal + 1;
            if head.ambiguous {
                lane.ambiguous.push(head.ordinal);
            }
            let waits = head.ordinal > lane.answered && lane.early.len() < MAX_AHEAD;
            let Some(request) = head.request.filter(|_| waits) else {
                continue;
            };
            let (turn, receiver) = oneshot::channel();
            let mut request = request.map(|()| empty());
            let waiting = Turn(Arc::new(Mutex::new(Some(receiver))));
            request.extensions_mut().insert(waiting);
            let early = Early {
                turn: Some(turn),
                answer: (self.begin)(request),
            };
            lane.early.insert(head.ordinal, early);
        }
    }
}

/// The server's end of a connection that is read ahead.
#[derive(Clone)]
pub(crate) struct Shared(Arc<Mutex<Intake>>);

impl Shared {
    /// Reads ahead; returns whether the caller has gone.
    fn poll_fill(&self, cx: &mut Context<'_>) -> bool {
        let mut intake = lock(&self.0);
        intake.fill(cx);
        intake.is_over
    }

    /// Returns whether there is room to read on.
    fn has_room(&self) -> bool {
        lock(&self.0).buffer.len() < MAX_BUFFER
    }
}

impl AsyncRead for Shared {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut intake = lock(&self.0);
        if intake.buffer.is_empty() {
            // The task that polls the server reads the connection, too, and polls it again.
            return match intake.is_over {
                true => Poll::Ready(Ok(())),
                false => Poll::Pending,
            };
        }
        let size = intake.buffer.len().min(out.remaining());
        out.put_slice(&intake.buffer[..size]);
        intake.buffer.advance(size);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Shared {
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

/// A server's connection, and the reading ahead of it.
pub(crate) struct Driver<C> {
    /// The server's connection.
    pub(crate) connection: Pin<Box<C>>,
    /// The connection read ahead.
    pub(crate) intake: Shared,
}

impl<C, E> Future for Driver<C>
where
    C: Future<Output = Result<(), E>>,
{
    type Output = Result<(), E>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), E>> {
        loop {
            let is_over = self.intake.poll_fill(cx);
            let was_full = !self.intake.has_room();
            let polled = self.connection.as_mut().poll(cx);
            if polled.is_ready() {
                return polled;
            }
            if is_over {
                // The caller has gone; what it asked for stops with the connection.
                return Poll::Ready(Ok(()));
            }
            if !was_full || !self.intake.has_room() {
                return Poll::Pending;
            }
        }
    }
}
