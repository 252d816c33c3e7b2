//! Upstream that responds with a description of each request and announces itself to its daemon.

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

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// VM of the upstream.
    pub vm: VmId,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address at which the local daemon receives announcements.
    pub daemon: SocketAddr,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
}

/// Behaviour of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Service time of each call.
    pub service_time: Millis,
    /// Size in bytes of the padding in each response body, after the description.
    pub answer_bytes: usize,
    /// Whether to refuse every call with status 503.
    pub refuse: bool,
    /// Whether every call runs and fails with status 500.
    pub fail: bool,
    /// Whether calls beyond the slots wait for a slot instead of being refused with status 429. Like
    /// a worker pool, the upstream then runs a call even if its caller has disconnected.
    pub queue: bool,
    /// Address to which calls of `.../chain/N` are forwarded as `.../chain/N-1`, down to 0.
    pub forward: Option<SocketAddr>,
    /// State to announce, independent of the actual behaviour; no announcements if `None`.
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

/// A call that an upstream has run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Request id of the call.
    pub request_id: String,
    /// Idempotency key of a call that may run only once.
    pub key: Option<String>,
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Whether the upstream finished the call.
    pub finished: bool,
}

/// Response body of an upstream.
#[derive(Debug, Serialize)]
struct ResponseBody<'a> {
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
    /// Slots of an upstream that queues calls.
    workers: Semaphore,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// State shared by the handlers of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct SharedState(Arc<Inner>);

impl SharedState {
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        self.0.behaviour.send_replace(behaviour);
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        lock(&self.0.runs)
    }

    fn begin_run(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    fn finish_run(&self, index: usize) {
        if let Some(run) = self.lock().get_mut(index) {
            run.finished = true;
        }
    }
}

/// Running upstream.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    control: SocketAddr,
    shared: SharedState,
    _tasks: JoinSet<()>,
}

impl Upstream {
    /// Starts an upstream on `listener`, with its control API on `control`.
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
        let shared = SharedState(Arc::new(Inner {
            workers: Semaphore::new(settings.slots as usize),
            client: Client::builder(TokioExecutor::new()).build(connector),
            settings,
            behaviour: watch::Sender::new(Behaviour::default()),
            runs: Mutex::default(),
            running: AtomicU32::new(0),
        }));
        let calls = Router::new()
            .fallback(handle_call)
            .with_state(shared.clone());
        let controls = upstream_routes(shared.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            // Runs until the task is aborted.
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

    /// Returns the address for calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control API.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Sets the behaviour of the upstream.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Returns the calls that the upstream has run.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs()
    }
}

/// Announces the upstream to its daemon periodically and on each change of its behaviour.
async fn announce(shared: SharedState, address: SocketAddr) {
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
                // The next announcement replaces a lost one.
                let _ = client.request(request).await;
            }
        }
        tokio::select! {
            () = sleep(ANNOUNCE_INTERVAL) => {}
            _ = behaviour.changed() => {}
        }
    }
}

/// Handles a call: refuses, queues or runs it.
async fn handle_call(
    State(shared): State<SharedState>,
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
    let _running = RunningGuard(&shared.0.running);
    if running >= shared.0.settings.slots {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    run(&shared, &behaviour, method, uri, headers, body).await
}

/// Runs a call and returns its response.
async fn run(
    shared: &SharedState,
    behaviour: &Behaviour,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let request_id = header_text(&headers, REQUEST_ID.as_str());
    let index = shared.begin_run(Run {
        request_id: request_id.clone(),
        key: headers
            .contains_key(KEY)
            .then(|| header_text(&headers, KEY.as_str())),
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
    let body = ResponseBody {
        service: &settings.service,
        vm: &settings.vm,
        request_id: &request_id,
        method: method.as_str(),
        path: uri.path(),
        body_digest: blake3::hash(&body).to_string(),
    };
    let mut json = serde_json::to_vec(&body).unwrap_or_default();
    json.resize(json.len() + behaviour.answer_bytes, b' ');
    shared.finish_run(index);
    ([("content-type", "application/json")], json).into_response()
}

/// Forwards a call of a chain; returns the status of the response unless it is a success.
async fn forward(
    shared: &SharedState,
    behaviour: &Behaviour,
    uri: &Uri,
    headers: &HeaderMap,
) -> Option<StatusCode> {
    let address = behaviour.forward?;
    let (path, remaining) = uri.path().rsplit_once('/')?;
    let remaining: u32 = remaining.parse().ok().filter(|remaining| *remaining > 0)?;
    if !path.ends_with("/chain") {
        return None;
    }
    let mut request = Request::builder().uri(format!("http://{address}{path}/{}", remaining - 1));
    for name in [HOST, REQUEST_ID, DEADLINE] {
        if let Some(value) = headers.get(&name) {
            request = request.header(name, value);
        }
    }
    let bad_gateway = Some(StatusCode::BAD_GATEWAY);
    let Ok(request) = request.body(Full::default()) else {
        return bad_gateway;
    };
    match shared.0.client.request(request).await {
        Ok(response) if response.status().is_success() => None,
        Ok(response) => Some(response.status()),
        Err(_) => bad_gateway,
    }
}

/// Counts a call as running until it ends or is cancelled.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}
