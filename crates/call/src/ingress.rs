//! The ingress: accepts calls from local callers and forwards each to the gate of an upstream.

use std::sync::Arc;

use http::{HeaderValue, Request, Response};
use model::{DomainName, RegionName, Secret, ServiceName};
use slog::{Logger, info};
use table::Table;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::body::Body;
use crate::closing::{Closing, Sent};
use crate::dialect::Dialect;
use crate::dispatch::{Dispatcher, Origin};
use crate::payload::Payload;
use crate::pipeline::Turn;
use crate::request::{Call, random_id};
use crate::serve::{Server, ServerError};
use crate::upstream_tracker::Site;
use crate::{Crashes, Metrics, Refusal};

/// The ingress of one daemon.
#[derive(Debug)]
pub struct Ingress {
    table: Arc<Table>,
    dispatcher: Dispatcher,
    dialect: Arc<dyn Dialect>,
    closing: Closing,
    metrics: Metrics,
    log: Logger,
}

/// Settings of an ingress.
#[derive(Debug)]
pub struct IngressSettings {
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Service of the VM, if known; stated to upstreams as the caller.
    pub service: Option<ServiceName>,
    /// Shared key of the fleet.
    pub key: Secret,
    /// Retries that all daemons together may make at once for each service. If absent, each daemon has
    /// a fixed allowance.
    pub retry_slack: Option<u32>,
    /// HTTP conventions of the callers.
    pub dialect: Arc<dyn Dialect>,
}

impl Ingress {
    /// Creates an ingress that routes calls by `table`, and refuses those that crash upstreams by `crashes`.
    pub fn open(
        table: Arc<Table>,
        settings: IngressSettings,
        crashes: Arc<Crashes>,
        metrics: Metrics,
        log: Logger,
    ) -> Arc<Self> {
        let origin = Origin {
            site: Site {
                domain: settings.domain,
                region: settings.region,
            },
            service: settings.service,
            key: settings.key,
            retry_slack: settings.retry_slack,
        };
        Arc::new(Self {
            table,
            dispatcher: Dispatcher::new(origin, crashes, metrics.clone(), log.clone()),
            dialect: settings.dialect,
            closing: Closing::default(),
            metrics,
            log,
        })
    }

    /// Starts serving callers on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(self: &Arc<Self>, listener: TcpListener) -> Result<Server, ServerError> {
        let ingress = Arc::clone(self);
        let table = Arc::clone(&self.table);
        let limits = move || table.snapshot().limits;
        Server::spawn(listener, limits, self.log.clone(), move |request| {
            let ingress = Arc::clone(&ingress);
            async move { ingress.handle(request).await }
        })
    }

    /// Refuses further calls as not run, because the process ends at `end`.
    pub fn refuse_calls(&self, end: Instant) {
        self.closing.refuse_calls(Some(end));
    }

    /// Answers the calls in flight that have no response yet with a refusal.
    pub fn end_calls(&self) {
        self.closing.end_calls();
    }

    async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let arrived = Instant::now();
        let sent = Sent::default();
        let id = request.headers().get(self.dialect.request_id_header());
        let id = id.cloned().unwrap_or_else(random_id);
        let forwarded = tokio::select! {
            biased;
            forwarded = self.forward(request, &id, arrived, &sent) => forwarded,
            refusal = self.closing.ended(&sent) => Err(refusal),
        };
        let mut response = match forwarded {
            Ok(response) => response,
            Err(refusal) => {
                info!(self.log, "call refused"; "request" => id.to_str().unwrap_or("unprintable"),
                    "version" => %self.table.snapshot().version,
                    "kind" => refusal.kind.as_str(), "outcome" => %refusal.outcome,
                    "reason" => %refusal, "took_ms" => arrived.elapsed().as_millis() as u64,
                    "retry_after_ms" => refusal.retry_after().map(|delay| delay.as_millis() as u64));
                self.metrics.count_refusal(&refusal);
                refusal.response(&*self.dialect)
            }
        };
        response
            .headers_mut()
            .insert(self.dialect.request_id_header(), id);
        let seconds = arrived.elapsed().as_secs_f64();
        self.metrics
            .duration
            .with_label_values(&["ingress"])
            .observe(seconds);
        let code = response.status();
        self.metrics.calls.with_label_values(&[code.as_str()]).inc();
        response
    }

    /// Validates the call and forwards it.
    async fn forward(
        &self,
        request: Request<Body>,
        id: &HeaderValue,
        arrived: Instant,
        sent: &Sent,
    ) -> Result<Response<Body>, Refusal> {
        self.closing.check()?;
        let (parts, body) = request.into_parts();
        let turn = parts.extensions.get::<Turn>().cloned();
        let mut call = Call::open(parts, self.table.snapshot(), &*self.dialect, id, arrived)?;
        call.sent = sent.clone();
        if self.dispatcher.shares_retry_allowance() {
            call.live_daemons = self.table.members().live();
        }
        if let Some(turn) = turn.filter(|_| !call.idempotent) {
            // The caller would resend the call if an earlier response closed the connection.
            turn.wait().await;
        }
        let limit = call.route.route.rules.body_limit;
        let mut payload = Payload::open(body, limit, call.deadline).await?;
        let mut request = self.dispatcher.fingerprint(&call, &payload);
        if !payload.is_replayable() && self.dispatcher.is_suspect(request) {
            // Upstreams crashed under a body that was streamed; only the whole body tells it from others.
            payload = payload.read_whole(limit, call.deadline).await?;
            request = self.dispatcher.fingerprint(&call, &payload);
        }
        call.fingerprint = Some(request);
        self.dispatcher.send(&call, payload).await
    }
}
