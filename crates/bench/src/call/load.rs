//! An open-loop load: calls leave at their time whatever becomes of the others.

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

/// Host of the example.
pub(crate) const HOST: &str = "redakce.brno.example";

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// One call to make.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// Address to call.
    pub(crate) address: SocketAddr,
    /// Method.
    pub(crate) method: Method,
    /// Path.
    pub(crate) path: String,
    /// Key of a call that may run only once.
    pub(crate) key: Option<String>,
    /// Longest wait for an answer of one try.
    pub(crate) timeout: Duration,
    /// Tries after the first one, by the load itself.
    pub(crate) retries: u32,
}

impl Ask {
    /// Returns a call that gets `path` from `address`.
    pub(crate) fn get(address: SocketAddr, path: &str) -> Self {
        Self {
            address,
            method: Method::GET,
            path: path.into(),
            key: None,
            timeout: ANSWER_TIMEOUT,
            retries: 0,
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone)]
pub(crate) struct Ended {
    /// Position of the call in the load.
    pub(crate) number: u64,
    /// When it was sent, from the start of the load.
    pub(crate) at: Duration,
    /// Time from sending it to the end of its answer.
    pub(crate) latency: Duration,
    /// Time that it was sent behind its schedule.
    pub(crate) late: Duration,
    /// Status; none if no whole answer came.
    pub(crate) status: Option<StatusCode>,
    /// Outcome that the system stated.
    pub(crate) outcome: Option<String>,
    /// Why the system itself answered.
    pub(crate) kind: Option<String>,
}

impl Ended {
    /// Returns whether a whole good answer came.
    pub(crate) fn is_good(&self) -> bool {
        self.status.is_some_and(|status| status.is_success())
    }
}

/// Kept connections that no call uses.
type Idle = Rc<RefCell<Vec<(SocketAddr, SendRequest<Full<Bytes>>)>>>;

/// Makes `rate` calls a second for `time`, on a thread of its own.
pub(crate) async fn run(
    rate: u64,
    time: Duration,
    ask: impl FnMut(u64) -> Ask + Send + 'static,
) -> Result<Vec<Ended>, Error> {
    run_until(rate, time, Arc::default(), ask).await
}

/// Makes `rate` calls a second for `time` or until it is `over`, on a thread of its own.
pub(crate) async fn run_until(
    rate: u64,
    time: Duration,
    over: Arc<AtomicBool>,
    ask: impl FnMut(u64) -> Ask + Send + 'static,
) -> Result<Vec<Ended>, Error> {
    let running = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let load = load(rate, time, &over, ask);
        Ok::<_, Error>(LocalSet::new().block_on(&runtime, load))
    });
    running
        .await
        .map_err(|error| Error::Call(error.to_string()))?
}

async fn load(
    rate: u64,
    time: Duration,
    over: &AtomicBool,
    mut ask: impl FnMut(u64) -> Ask,
) -> Vec<Ended> {
    let idle = Idle::default();
    let start = Instant::now();
    let gap = Duration::from_nanos(1_000_000_000 / rate.max(1));
    let mut calls = Vec::new();
    for number in 0..(time.as_secs_f64() * rate as f64) as u64 {
        let due = start + gap * number as u32;
        sleep_until(due).await;
        if over.load(Ordering::Relaxed) {
            break;
        }
        let (ask, idle) = (ask(number), Rc::clone(&idle));
        calls.push(tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let Answer {
                status,
                outcome,
                kind,
            } = tries(&ask, &idle).await;
            Ended {
                number,
                at: sent - start,
                latency: sent.elapsed(),
                late: sent - due,
                status,
                outcome,
                kind,
            }
        }));
    }
    let mut ended = Vec::with_capacity(calls.len());
    for call in calls {
        if let Ok(call) = call.await {
            ended.push(call);
        }
    }
    ended
}

/// What came back of a call.
#[derive(Debug, Default)]
struct Answer {
    status: Option<StatusCode>,
    outcome: Option<String>,
    kind: Option<String>,
}

/// Makes a call and repeats it while no good answer comes.
async fn tries(ask: &Ask, idle: &Idle) -> Answer {
    let mut ended = Answer::default();
    for _ in 0..=ask.retries {
        if let Ok(Ok(answer)) = timeout(ask.timeout, call(ask, idle)).await {
            ended = answer;
            if ended.status.is_some_and(|status| status.is_success()) {
                break;
            }
        }
    }
    ended
}

type AnyError = Box<dyn std::error::Error>;

async fn call(ask: &Ask, idle: &Idle) -> Result<Answer, AnyError> {
    let mut sender = connection(ask.address, idle).await?;
    let mut request = Request::builder()
        .method(ask.method.clone())
        .uri(&ask.path)
        .header("host", HOST);
    if let Some(key) = &ask.key {
        request = request.header("idempotency-key", key);
    }
    let response = sender.send_request(request.body(Full::default())?).await?;
    let (parts, body) = response.into_parts();
    body.collect().await?;
    idle.borrow_mut().push((ask.address, sender));
    let text = |name| {
        let value = parts.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    Ok(Answer {
        status: Some(parts.status),
        outcome: text("sardinestall-outcome"),
        kind: text("sardinestall-kind"),
    })
}

async fn connection(
    address: SocketAddr,
    idle: &Idle,
) -> Result<SendRequest<Full<Bytes>>, AnyError> {
    let kept = {
        let mut idle = idle.borrow_mut();
        idle.retain(|(_, sender)| !sender.is_closed());
        let fits = |(to, sender): &(SocketAddr, SendRequest<Full<Bytes>>)| {
            *to == address && sender.is_ready()
        };
        let found = idle.iter().rposition(fits);
        found.map(|found| idle.swap_remove(found).1)
    };
    if let Some(sender) = kept {
        return Ok(sender);
    }
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        // The call sees the end itself.
        let _ = connection.await;
    });
    Ok(sender)
}
