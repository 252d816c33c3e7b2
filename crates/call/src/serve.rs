//! HTTP server with graceful shutdown.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Poll;

use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, Request, Response, Version};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use model::{ConnectionLimits, lock};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::body::{Body, GuardedBody, boxed};
use crate::dialect::DefaultDialect;
use crate::header::number;
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

/// Size from which a response counts as large.
const LARGE_BYTES: u64 = 64 << 10;

/// Time after a small response within which the caller has it. A connection is read on until then, unless the caller
/// closes it before: what the caller sends meanwhile would reset a closed connection, and the response would be lost with it.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

/// The same for a large response.
const LARGE_DELIVERY_TIME: Duration = Duration::from_secs(2);

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

/// Time by which the caller of a connection has the last response.
#[derive(Debug, Clone, Default)]
struct Delivery(Arc<Mutex<Option<Instant>>>);

impl Delivery {
    fn until(&self) -> Option<Instant> {
        *lock(&self.0)
    }
}

/// Notes the delivery of a response when it is dropped, at the end of the response.
struct DeliveryGuard {
    delivery: Delivery,
    time: Duration,
}

impl DeliveryGuard {
    fn new(delivery: &Delivery, response: &Response<Body>) -> Self {
        let stated = number(response.headers(), &CONTENT_LENGTH);
        let size = stated.or_else(|| response.body().size_hint().exact());
        Self {
            delivery: delivery.clone(),
            time: match size {
                Some(..LARGE_BYTES) => DELIVERY_TIME,
                _ => LARGE_DELIVERY_TIME,
            },
        }
    }
}

impl Drop for DeliveryGuard {
    fn drop(&mut self) {
        let until = Instant::now() + self.time;
        let mut last = lock(&self.delivery.0);
        *last = (*last).max(Some(until));
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
        let delivery = Delivery::default();
        let delivered = delivery.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let call = calls.enter();
            let keep_alive_off = keep_alive_off.clone();
            let delivery = delivery.clone();
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
                let guards = (call, DeliveryGuard::new(&delivery, &response));
                let guarded = response.map(|body| GuardedBody::wrap(body, guards));
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
            let Some(until) = delivered.until().filter(|until| *until > Instant::now()) else {
                return;
            };
            let _lingering = lingering.enter();
            tokio::select! {
                () = stream.drain() => {}
                () = sleep_until(until) => {}
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
