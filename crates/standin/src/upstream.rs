//! A small upstream: answers calls with what it got, and announces itself to its daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use call::{Announcement, DEADLINE, KEY, REQUEST_ID, Readiness};
use http::header::HOST;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use model::{Incarnation, Millis, ServiceName, UnixMillis, VmId, lock};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};

use crate::control::upstream_routes;

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// VM that it runs on.
    pub vm: VmId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where its daemon takes announcements.
    pub daemon: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
}

/// What an upstream does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Time that each call takes.
    pub service_time: Millis,
    /// Bytes of each answer's body, beside its description.
    pub answer_bytes: usize,
    /// Whether every call is refused with 503.
    pub refuse: bool,
    /// Whether every call fails with 500.
    pub fail: bool,
    /// Whether calls beyond the slots wait for one, instead of being refused with 429. Like a
    /// pool of workers, it then does not notice that a caller has gone.
    pub queue: bool,
    /// Where calls of `.../chain/N` are passed on to as `.../chain/N-1`, down to 0.
    pub forward: Option<SocketAddr>,
    /// State announced, whatever the upstream does.
    pub announce: Option<Readiness>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time: Millis::new(0),
            answer_bytes: 0,
            refuse: false,
            fail: false,
            queue: false,
            forward: None,
            announce: Some(Readiness::Ready),
        }
    }
}

/// One call that an upstream ran.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the call.
    pub request_id: String,
    /// Key of a call that may run only once.
    pub key: Option<String>,
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Whether the upstream finished the call.
    pub finished: bool,
}

/// What an upstream answers.
#[derive(Debug, Serialize)]
struct Answer<'a> {
    service: &'a ServiceName,
    vm: &'a VmId,
    request_id: &'a str,
    method: &'a str,
    path: &'a str,
    body_digest: String,
}

#[derive(Debug)]
struct Inner {
    settings: UpstreamSettings,
    behaviour: watch::Sender<Behaviour>,
    runs: Mutex<Vec<Run>>,
    running: AtomicU32,
    /// Slots of an upstream that lets calls wait.
    workers: Semaphore,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// State of an upstream, shared by its handlers.
#[derive(Debug, Clone)]
pub(crate) struct Shared(Arc<Inner>);

impl Shared {
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.0.behaviour.send_replace(behaviour);
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        lock(&self.0.runs)
    }

    fn start(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    fn finish(&self, index: usize) {
        if let Some(run) = self.lock().get_mut(index) {
            run.finished = true;
        }
    }
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    control: SocketAddr,
    shared: Shared,
    _tasks: JoinSet<()>,
}

impl Upstream {
    /// Starts an upstream on `listener`, with its control on `control`.
    ///
    /// # Errors
    ///
    /// Fails if a listener has no address.
    pub fn spawn(
        settings: UpstreamSettings,
        listener: TcpListener,
        control: TcpListener,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let control_address = control.local_addr()?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let shared = Shared(Arc::new(Inner {
            workers: Semaphore::new(settings.slots as usize),
            client: Client::builder(TokioExecutor::new()).build(connector),
            settings,
            behaviour: watch::Sender::new(Behaviour::default()),
            runs: Mutex::default(),
            running: AtomicU32::new(0),
        }));
        let calls = Router::new().fallback(answer).with_state(shared.clone());
        let controls = upstream_routes(shared.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            // Ends with the task only.
            let _ = axum::serve(listener, calls).await;
        });
        tasks.spawn(async move {
            let _ = axum::serve(control, controls).await;
        });
        tasks.spawn(announce(shared.clone(), address));
        Ok(Self {
            address,
            control: control_address,
            shared,
            _tasks: tasks,
        })
    }

    /// Returns the address that takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Sets what the upstream does from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Returns the calls run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs()
    }
}

/// Announces the upstream to its daemon, again and again.
async fn announce(shared: Shared, address: SocketAddr) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let settings = &shared.0.settings;
    let mut behaviour = shared.0.behaviour.subscribe();
    let start = Incarnation::new(UnixMillis::now().get());
    loop {
        let state = behaviour.borrow_and_update().announce;
        if let Some(state) = state {
            let announcement = Announcement {
                service: settings.service.clone(),
                address,
                slots: settings.slots,
                connections: settings.connections,
                state,
                start,
                instance: None,
                sequence: 0,
            };
            let json = serde_json::to_vec(&announcement).unwrap_or_default();
            let request = Request::builder()
                .method(Method::PUT)
                .uri(format!("http://{}/v1/upstream", settings.daemon))
                .header("content-type", "application/json")
                .body(Full::new(Bytes::from(json)));
            if let Ok(request) = request {
                // The next announcement makes up for a lost one.
                let _ = client.request(request).await;
            }
        }
        tokio::select! {
            () = sleep(ANNOUNCE_INTERVAL) => {}
            _ = behaviour.changed() => {}
        }
    }
}

/// Takes one call.
async fn answer(
    State(shared): State<Shared>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let behaviour = shared.0.behaviour.borrow().clone();
    if behaviour.refuse {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if behaviour.queue {
        let queued = tokio::spawn(async move {
            let _worker = shared.0.workers.acquire().await;
            let behaviour = shared.0.behaviour.borrow().clone();
            run(&shared, &behaviour, method, uri, headers, body).await
        });
        let failed = |_| StatusCode::INTERNAL_SERVER_ERROR.into_response();
        return queued.await.unwrap_or_else(failed);
    }
    let running = shared.0.running.fetch_add(1, Ordering::SeqCst);
    let _running = Running(&shared.0.running);
    if running >= shared.0.settings.slots {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    run(&shared, &behaviour, method, uri, headers, body).await
}

/// Runs one call.
async fn run(
    shared: &Shared,
    behaviour: &Behaviour,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let request_id = text(&headers, REQUEST_ID.as_str());
    let index = shared.start(Run {
        request_id: request_id.clone(),
        key: headers
            .contains_key(KEY)
            .then(|| text(&headers, KEY.as_str())),
        method: method.to_string(),
        path: uri.path().into(),
        finished: false,
    });
    if behaviour.service_time.get() > 0 {
        sleep(behaviour.service_time.duration()).await;
    }
    if behaviour.fail {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    if let Some(status) = forward(shared, behaviour, &uri, &headers).await {
        return status.into_response();
    }
    let settings = &shared.0.settings;
    let answer = Answer {
        service: &settings.service,
        vm: &settings.vm,
        request_id: &request_id,
        method: method.as_str(),
        path: uri.path(),
        body_digest: blake3::hash(&body).to_string(),
    };
    let mut json = serde_json::to_vec(&answer).unwrap_or_default();
    json.resize(json.len() + behaviour.answer_bytes, b' ');
    shared.finish(index);
    ([("content-type", "application/json")], json).into_response()
}

/// Passes a call of a chain on, and returns the status that came back unless it is a success.
async fn forward(
    shared: &Shared,
    behaviour: &Behaviour,
    uri: &Uri,
    headers: &HeaderMap,
) -> Option<StatusCode> {
    let address = behaviour.forward?;
    let (start, left) = uri.path().rsplit_once('/')?;
    let left: u32 = left.parse().ok().filter(|left| *left > 0)?;
    if !start.ends_with("/chain") {
        return None;
    }
    let mut request = Request::builder().uri(format!("http://{address}{start}/{}", left - 1));
    for name in [HOST, REQUEST_ID, DEADLINE] {
        if let Some(value) = headers.get(&name) {
            request = request.header(name, value);
        }
    }
    let bad = Some(StatusCode::BAD_GATEWAY);
    let Ok(request) = request.body(Full::default()) else {
        return bad;
    };
    match shared.0.client.request(request).await {
        Ok(response) if response.status().is_success() => None,
        Ok(response) => Some(response.status()),
        Err(_) => bad,
    }
}

/// Counts a call as running until it ends or is cancelled.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}
