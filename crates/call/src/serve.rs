//! HTTP server with graceful shutdown.

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

use crate::body::{Body, GuardedBody, boxed};
use crate::dialect::DefaultDialect;
use crate::pipeline::{Driver, Pipeline, ReadAhead, RequestState};
use crate::{Refusal, RefusalKind};

/// Interval between HTTP/2 pings and timeout of their response.
const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Largest HTTP/2 header list, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 64 << 10;

/// Time during which responses carry `Connection: close` before the server closes the remaining
/// keep-alive connections itself. A call sent while the server closes its connection would be lost.
const KEEP_ALIVE_CLOSE_TIME: Duration = Duration::from_millis(500);

/// Time without a call after which a stopping server is done, even if connections are still open.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Time for which a connection is read on after its last response, unless the caller closes it before. What the caller
/// sends meanwhile would reset a closed connection, and responses that are still on their way would be lost with it.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Interval of checks whether callers have closed the last connections.
const LINGER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Error when a server cannot start.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve on the listener: {0}")]
pub struct ServerError(#[from] std::io::Error);

/// Counter of calls in flight, each until the end of its response, or of lingering connections.
#[derive(Debug, Clone, Default)]
struct CallCounter(Arc<AtomicUsize>);

impl CallCounter {
    fn enter(&self) -> CallGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        CallGuard(self.clone())
    }

    fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one call as in flight until it is dropped.
struct CallGuard(CallCounter);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    keep_alive_off: CancellationToken,
    stop: CancellationToken,
    abort: CancellationToken,
    calls: CallCounter,
    lingering: CallCounter,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts serving HTTP/1.1 and HTTP/2 on `listener` with `handler`.
    ///
    /// Each connection keeps the `limits` that applied when it was accepted.
    pub(crate) fn spawn<F, A>(
        listener: TcpListener,
        limits: impl Fn() -> ConnectionLimits + Send + Sync + 'static,
        log: Logger,
        handler: F,
    ) -> Result<Self, ServerError>
    where
        F: Fn(Request<Body>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Response<Body>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let connections = ConnectionServer {
            graceful: GracefulShutdown::new(),
            keep_alive_off: CancellationToken::new(),
            abort: CancellationToken::new(),
            calls: CallCounter::default(),
            lingering: CallCounter::default(),
            handler,
            limits: Box::new(limits),
            log,
        };
        Ok(Self {
            address,
            keep_alive_off: connections.keep_alive_off.clone(),
            stop: stop.clone(),
            abort: connections.abort.clone(),
            calls: connections.calls.clone(),
            lingering: connections.lingering.clone(),
            task: tokio::spawn(run(listener, stop, connections)),
        })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends each HTTP/1.1 connection after the requests that have been read, with `Connection: close` in
    /// the last response.
    pub fn disable_keep_alive(&self) {
        self.keep_alive_off.cancel();
    }

    /// Disables keep-alive, stops accepting connections, waits at most `limit` for calls in flight, and
    /// returns the number of calls that were aborted.
    pub async fn stop(self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        self.keep_alive_off.cancel();
        sleep(KEEP_ALIVE_CLOSE_TIME.min(limit / 2)).await;
        self.stop.cancel();
        let done = async {
            tokio::select! {
                _ = self.task => {}
                () = wait_until_quiet(&self.calls) => {}
            }
            while self.lingering.count() > 0 {
                sleep(LINGER_CHECK_INTERVAL).await;
            }
        };
        let ended = timeout_at(end, done).await.is_ok();
        if ended || self.calls.count() == 0 {
            return 0;
        }
        let aborted = self.calls.count();
        self.abort.cancel();
        aborted
    }
}

/// Waits until there has been no call for [`QUIET_TIME`]. Waiting for all connections instead would
/// never end if a peer disappeared without closing its connection.
async fn wait_until_quiet(calls: &CallCounter) {
    let mut since = Instant::now();
    while since.elapsed() < QUIET_TIME {
        sleep(QUIET_TIME / 10).await;
        if calls.count() > 0 {
            since = Instant::now();
        }
    }
}

/// State shared by all connections of a server.
struct ConnectionServer<F> {
    graceful: GracefulShutdown,
    keep_alive_off: CancellationToken,
    abort: CancellationToken,
    calls: CallCounter,
    /// Connections that have had their last response.
    lingering: CallCounter,
    handler: F,
    limits: Box<dyn Fn() -> ConnectionLimits + Send + Sync>,
    log: Logger,
}

async fn run<F, A>(listener: TcpListener, stop: CancellationToken, connections: ConnectionServer<F>)
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
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections already in the accept queue are served as well.
    while let Some(stream) = accept_pending(&listener).await {
        connections.serve(stream);
    }
    drop(listener);
    connections.graceful.shutdown().await;
}

/// Accepts a pending connection, if there is one.
async fn accept_pending(listener: &TcpListener) -> Option<TcpStream> {
    let accepted = poll_fn(|cx| match listener.poll_accept(cx) {
        Poll::Ready(accepted) => Poll::Ready(Some(accepted)),
        Poll::Pending => Poll::Ready(None),
    });
    let (stream, _) = accepted.await?.ok()?;
    Some(stream)
}

impl<F, A> ConnectionServer<F>
where
    F: Fn(Request<Body>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let pipeline = Pipeline::default();
        let start = {
            let handler = self.handler.clone();
            move |request| tokio::spawn(handler(request))
        };
        let stream = ReadAhead::open(stream, pipeline.clone(), Box::new(start));
        let handler = self.handler.clone();
        let calls = self.calls.clone();
        let keep_alive_off = self.keep_alive_off.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let call = calls.enter();
            let keep_alive_off = keep_alive_off.clone();
            let is_http1 = request.version() < Version::HTTP_2;
            let pipeline = pipeline.clone();
            let state = match is_http1 {
                true => pipeline.advance(),
                false => RequestState::Fresh,
            };
            let response = respond(&handler, request, state);
            async move {
                let mut response = response.await;
                // Pipelined requests that have been read are answered before the connection closes.
                let is_last = !is_http1 || !pipeline.record_response();
                if is_http1 && is_last && keep_alive_off.is_cancelled() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                let guarded = response.map(|body| GuardedBody::wrap(body, call));
                Ok::<_, std::convert::Infallible>(guarded)
            }
        });
        let connection = builder(&(self.limits)())
            .serve_connection(TokioIo::new(stream.clone()), service)
            .into_owned();
        let driver = Driver {
            connection: Box::pin(self.graceful.watch(connection)),
            stream: stream.clone(),
        };
        let log = self.log.clone();
        let abort = self.abort.clone();
        let lingering = self.lingering.clone();
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = driver => ended,
                () = abort.cancelled() => return,
            };
            if let Err(error) = ended {
                debug!(log, "connection ended"; "error" => %error);
                return;
            }
            let _lingering = lingering.enter();
            tokio::select! {
                () = stream.drain() => {}
                () = sleep(LINGER_TIME) => {}
                () = abort.cancelled() => {}
            }
        });
    }
}

/// Returns the response to the request that the server has reached.
fn respond<F, A>(
    handler: &F,
    request: Request<Incoming>,
    state: RequestState,
) -> impl Future<Output = Response<Body>> + use<F, A>
where
    F: Fn(Request<Body>) -> A + Clone,
    A: Future<Output = Response<Body>>,
{
    let handler = handler.clone();
    async move {
        match state {
            RequestState::Ambiguous => refuse_ambiguous(),
            RequestState::Fresh => handler(request.map(boxed)).await,
            RequestState::Early(early) => match early.finish().await {
                Some(response) => response,
                // The task panicked; the request's method is safe, so it may run again.
                None => handler(request.map(boxed)).await,
            },
        }
    }
}

/// Refuses a request whose body other receivers could delimit differently, which would allow request
/// smuggling.
fn refuse_ambiguous() -> Response<Body> {
    let refusal = Refusal::not_run(
        RefusalKind::BadRequest,
        "the body's length is given twice; send Content-Length or Transfer-Encoding, not both",
    );
    let mut response = refusal.response(&DefaultDialect);
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
        .max_buf_size((limits.head.get() as usize).max(MIN_HEAD_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_INTERVAL)
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    builder
}
