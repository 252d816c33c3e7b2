//! HTTP servers that stop gracefully.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::Poll;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use model::ConnectionLimits;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::body::{Body, Holding, boxed};
use crate::dialect::OwnDialect;
use crate::intake::{Arrival, Driver, Intake, Requests};
use crate::{Refusal, RefusalKind};

/// Time between two pings on a connection over HTTP/2, and the longest wait for their answer.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Least size of the buffer for a request's head that the library takes, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Largest list of headers over HTTP/2, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 64 << 10;

/// Time in which callers are told to close kept connections before the server closes them: a call
/// that crosses the closing of its connection would be cut.
const CLOSE_PAUSE: Duration = Duration::from_millis(500);

/// Time without a call after which a server that stops is done, whatever connections are left.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Pause after a failed accept of a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A server could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve on the listener: {0}")]
pub struct ServerError(#[from] std::io::Error);

/// Number of calls in flight, each until the end of its answer.
#[derive(Debug, Clone, Default)]
struct Calls(Arc<AtomicUsize>);

impl Calls {
    fn enter(&self) -> OneCall {
        self.0.fetch_add(1, Ordering::Relaxed);
        OneCall(self.clone())
    }

    fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// One call in flight.
struct OneCall(Calls);

impl Drop for OneCall {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    closing: CancellationToken,
    stop: CancellationToken,
    cut: CancellationToken,
    calls: Calls,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve HTTP/1.1 and HTTP/2 on `listener` with `answer`.
    ///
    /// Each connection keeps to the `limits` of its start.
    pub(crate) fn spawn<F, A>(
        listener: TcpListener,
        limits: impl Fn() -> ConnectionLimits + Send + Sync + 'static,
        log: Logger,
        answer: F,
    ) -> Result<Self, ServerError>
    where
        F: Fn(Request<Body>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Response<Body>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let connections = Connections {
            graceful: GracefulShutdown::new(),
            closing: CancellationToken::new(),
            cut: CancellationToken::new(),
            calls: Calls::default(),
            answer,
            limits: Box::new(limits),
            log,
        };
        Ok(Self {
            address,
            closing: connections.closing.clone(),
            stop: stop.clone(),
            cut: connections.cut.clone(),
            calls: connections.calls.clone(),
            task: tokio::spawn(run(listener, stop, connections)),
        })
    }

    /// Returns the address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks callers over HTTP/1.1 to close their kept connections, with each answer from now on.
    pub fn close_kept(&self) {
        self.closing.cancel();
    }

    /// Lets callers close their kept connections, takes no new one, lets calls in flight finish for at most `limit`, and returns the
    /// number of calls that were cut.
    pub async fn stop(self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        self.closing.cancel();
        sleep(CLOSE_PAUSE.min(limit / 2)).await;
        self.stop.cancel();
        let ended = tokio::select! {
            ended = timeout_at(end, self.task) => ended.is_ok(),
            () = quiet(&self.calls) => true,
        };
        if ended {
            return 0;
        }
        let cut = self.calls.count();
        self.cut.cancel();
        cut
    }
}

/// Waits until there has been no call for a while. Connections whose other end is gone without a word
/// would outlast any stop.
async fn quiet(calls: &Calls) {
    let mut since = Instant::now();
    while since.elapsed() < QUIET_TIME {
        sleep(QUIET_TIME / 10).await;
        if calls.count() > 0 {
            since = Instant::now();
        }
    }
}

/// What every connection of a server shares.
struct Connections<F> {
    graceful: GracefulShutdown,
    closing: CancellationToken,
    cut: CancellationToken,
    calls: Calls,
    answer: F,
    limits: Box<dyn Fn() -> ConnectionLimits + Send + Sync>,
    log: Logger,
}

async fn run<F, A>(listener: TcpListener, stop: CancellationToken, connections: Connections<F>)
where
    F: Fn(Request<Body>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => connections.serve(stream),
            Err(error) => {
                warn!(connections.log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that the operating system took already are served, too.
    while let Some(stream) = accept_pending(&listener).await {
        connections.serve(stream);
    }
    drop(listener);
    connections.graceful.shutdown().await;
}

/// Returns a connection that waits to be accepted, if there is one.
async fn accept_pending(listener: &TcpListener) -> Option<TcpStream> {
    let accepted = poll_fn(|cx| match listener.poll_accept(cx) {
        Poll::Ready(accepted) => Poll::Ready(Some(accepted)),
        Poll::Pending => Poll::Ready(None),
    });
    let (stream, _) = accepted.await?.ok()?;
    Some(stream)
}

impl<F, A> Connections<F>
where
    F: Fn(Request<Body>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let requests = Requests::default();
        let begin = {
            let answer = self.answer.clone();
            move |request| tokio::spawn(answer(request))
        };
        let intake = Intake::open(stream, requests.clone(), Box::new(begin));
        let answer = self.answer.clone();
        let calls = self.calls.clone();
        let closing = self.closing.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let call = calls.enter();
            let closing = closing.clone();
            let is_http1 = request.version() < Version::HTTP_2;
            let requests = requests.clone();
            let arrival = match is_http1 {
                true => requests.arrive(),
                false => Arrival::Fresh,
            };
            let answered = answer_one(&answer, request, arrival);
            async move {
                let mut response = answered.await;
                // Requests that were read behind this one are answered before the connection closes.
                let is_last = !is_http1 || !requests.answered();
                if is_http1 && is_last && closing.is_cancelled() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                let counted = response.map(|body| Holding::wrap(body, call));
                Ok::<_, std::convert::Infallible>(counted)
            }
        });
        let connection = builder(&(self.limits)())
            .serve_connection(TokioIo::new(intake.clone()), service)
            .into_owned();
        let driver = Driver {
            connection: Box::pin(self.graceful.watch(connection)),
            intake,
        };
        let log = self.log.clone();
        let cut = self.cut.clone();
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = driver => ended,
                () = cut.cancelled() => return,
            };
            if let Err(error) = ended {
                debug!(log, "connection ended"; "error" => %error);
            }
        });
    }
}

/// Answers the request that the server has come to.
fn answer_one<F, A>(
    answer: &F,
    request: Request<Incoming>,
    arrival: Arrival,
) -> impl Future<Output = Response<Body>> + use<F, A>
where
    F: Fn(Request<Body>) -> A + Clone,
    A: Future<Output = Response<Body>>,
{
    let answer = answer.clone();
    async move {
        match arrival {
            Arrival::Ambiguous => ambiguous(),
            Arrival::Fresh => answer(request.map(boxed)).await,
            Arrival::Early(early) => match early.finish().await {
                Some(response) => response,
                // It panicked; the request is safe, so it may run again.
                None => answer(request.map(boxed)).await,
            },
        }
    }
}

/// Refuses a request whose body other receivers could take to end elsewhere.
fn ambiguous() -> Response<Body> {
    let refusal = Refusal::not_run(
        RefusalKind::BadRequest,
        "the body's length is given twice; send Content-Length or Transfer-Encoding, not both",
    );
    let mut response = refusal.response(&OwnDialect);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn builder(limits: &ConnectionLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.duration().max(limits.idle.duration()))
        .max_buf_size((limits.head.get() as usize).max(MIN_HEAD_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    builder
}
