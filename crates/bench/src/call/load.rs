//! Open-loop load generator: sends each call on schedule, without waiting for earlier responses.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use harness::Error;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until, timeout};

/// Host of the example configuration.
pub(crate) const HOST: &str = "redakce.brno.example";

/// Default time-out of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// A call to send.
#[derive(Debug, Clone)]
pub(crate) struct CallSpec {
    /// Address to which the call is sent.
    pub(crate) address: SocketAddr,
    /// HTTP method.
    pub(crate) method: Method,
    /// Request path.
    pub(crate) path: String,
    /// Idempotency key; set for calls that must run at most once.
    pub(crate) idempotency_key: Option<String>,
    /// Time-out of one attempt.
    pub(crate) attempt_timeout: Duration,
    /// Attempts that the load generator makes after the first one.
    pub(crate) retries: u32,
}

impl CallSpec {
    /// Returns a GET request for `path`, sent to `address`.
    pub(crate) fn get(address: SocketAddr, path: &str) -> Self {
        Self {
            address,
            method: Method::GET,
            path: path.into(),
            idempotency_key: None,
            attempt_timeout: ATTEMPT_TIMEOUT,
            retries: 0,
        }
    }
}

/// Result of a call.
#[derive(Debug, Clone)]
pub(crate) struct CallResult {
    /// Sequence number of the call in the load, from 0.
    pub(crate) number: u64,
    /// Time of sending, since the start of the load.
    pub(crate) sent_at: Duration,
    /// Time from sending until the response body ended or the last attempt failed.
    pub(crate) latency: Duration,
    /// Delay of the sending behind the schedule.
    pub(crate) send_delay: Duration,
    /// Response status; `None` without a complete response.
    pub(crate) status: Option<StatusCode>,
    /// Value of the `sardinestall-outcome` response header.
    pub(crate) outcome: Option<String>,
    /// Value of the `sardinestall-kind` response header: the kind of refusal or failure.
    pub(crate) refusal_kind: Option<String>,
}

impl CallResult {
    /// Returns whether a complete response with a success status arrived.
    pub(crate) fn is_success(&self) -> bool {
        self.status.is_some_and(|status| status.is_success())
    }
}

/// IdlePool keep-alive connections, by address.
type IdlePool = Rc<RefCell<Vec<(SocketAddr, SendRequest<Full<Bytes>>)>>>;

/// Sends `rate` calls per second for `time`, on a separate thread.
pub(crate) async fn run(
    rate: u64,
    time: Duration,
    next_call: impl FnMut(u64) -> CallSpec + Send + 'static,
) -> Result<Vec<CallResult>, Error> {
    run_until(rate, time, Arc::default(), next_call).await
}

/// Sends `rate` calls per second for `time` or until `stop` is set, on a separate thread.
pub(crate) async fn run_until(
    rate: u64,
    time: Duration,
    stop: Arc<AtomicBool>,
    next_call: impl FnMut(u64) -> CallSpec + Send + 'static,
) -> Result<Vec<CallResult>, Error> {
    let handle = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let load = generate(rate, time, &stop, next_call);
        Ok::<_, Error>(LocalSet::new().block_on(&runtime, load))
    });
    handle
        .await
        .map_err(|error| Error::Call(error.to_string()))?
}

async fn generate(
    rate: u64,
    time: Duration,
    stop: &AtomicBool,
    mut next_call: impl FnMut(u64) -> CallSpec,
) -> Vec<CallResult> {
    let idle = IdlePool::default();
    let start = Instant::now();
    let interval = Duration::from_nanos(1_000_000_000 / rate.max(1));
    let mut calls = Vec::new();
    for number in 0..(time.as_secs_f64() * rate as f64) as u64 {
        let due = start + interval * number as u32;
        sleep_until(due).await;
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let (spec, idle) = (next_call(number), Rc::clone(&idle));
        calls.push(tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let Response {
                status,
                outcome,
                refusal_kind,
            } = call_with_retries(&spec, &idle).await;
            CallResult {
                number,
                sent_at: sent - start,
                latency: sent.elapsed(),
                send_delay: sent - due,
                status,
                outcome,
                refusal_kind,
            }
        }));
    }
    let mut results = Vec::with_capacity(calls.len());
    for call in calls {
        if let Ok(result) = call.await {
            results.push(result);
        }
    }
    results
}

/// Status and product headers of a response; empty if no attempt got one.
#[derive(Debug, Default)]
struct Response {
    status: Option<StatusCode>,
    outcome: Option<String>,
    refusal_kind: Option<String>,
}

/// Sends a call and retries it until it succeeds or the attempts are used up.
///
/// Returns the last complete response.
async fn call_with_retries(spec: &CallSpec, idle: &IdlePool) -> Response {
    let mut last = Response::default();
    for _ in 0..=spec.retries {
        if let Ok(Ok(response)) = timeout(spec.attempt_timeout, call(spec, idle)).await {
            last = response;
            if last.status.is_some_and(|status| status.is_success()) {
                break;
            }
        }
    }
    last
}

type BoxError = Box<dyn std::error::Error>;

async fn call(spec: &CallSpec, idle: &IdlePool) -> Result<Response, BoxError> {
    let mut sender = connection(spec.address, idle).await?;
    let mut request = Request::builder()
        .method(spec.method.clone())
        .uri(&spec.path)
        .header("host", HOST);
    if let Some(key) = &spec.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    let response = sender.send_request(request.body(Full::default())?).await?;
    let (parts, body) = response.into_parts();
    body.collect().await?;
    idle.borrow_mut().push((spec.address, sender));
    let header = |name| {
        let value = parts.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    Ok(Response {
        status: Some(parts.status),
        outcome: header("sardinestall-outcome"),
        refusal_kind: header("sardinestall-kind"),
    })
}

async fn connection(
    address: SocketAddr,
    idle: &IdlePool,
) -> Result<SendRequest<Full<Bytes>>, BoxError> {
    let reused = {
        let mut idle = idle.borrow_mut();
        idle.retain(|(_, sender)| !sender.is_closed());
        let is_usable = |(to, sender): &(SocketAddr, SendRequest<Full<Bytes>>)| {
            *to == address && sender.is_ready()
        };
        let index = idle.iter().rposition(is_usable);
        index.map(|index| idle.swap_remove(index).1)
    };
    if let Some(sender) = reused {
        return Ok(sender);
    }
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        // The sender reports the same error to the call.
        let _ = connection.await;
    });
    Ok(sender)
}
