//! The ingress: takes the calls of local callers and passes each to the gate of an upstream.

use std::sync::Arc;

use http::{HeaderValue, Request, Response};
use model::{DomainName, RegionName, Secret, ServiceName};
use slog::{Logger, info};
use table::Table;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::body::Body;
use crate::dialect::Dialect;
use crate::intake::Turn;
use crate::payload::Payload;
use crate::request::{Call, random_id};
use crate::serve::{Server, ServerError};
use crate::tries::{Dispatcher, Origin};
use crate::upstream_stats::Site;
use crate::{Metrics, Refusal};

/// The ingress of one daemon.
#[derive(Debug)]
pub struct Ingress {
    table: Arc<Table>,
    dispatcher: Dispatcher,
    dialect: Arc<dyn Dialect>,
    metrics: Metrics,
    log: Logger,
}

/// Where an ingress is and how its callers speak.
#[derive(Debug)]
pub struct IngressSettings {
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Service of the VM, which upstreams are told as their caller.
    pub service: Option<ServiceName>,
    /// Key that the daemons of the fleet share.
    pub key: Secret,
    /// Retries that all daemons together may take at once for each service; a fixed number each where
    /// it is absent.
    pub retry_slack: Option<u32>,
    /// How callers speak.
    pub dialect: Arc<dyn Dialect>,
}

impl Ingress {
    /// Returns the ingress of a daemon that serves `table`.
    pub fn open(
        table: Arc<Table>,
        settings: IngressSettings,
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
            dispatcher: Dispatcher::new(origin, metrics.clone(), log.clone()),
            dialect: settings.dialect,
            metrics,
            log,
        })
    }

    /// Starts to serve callers on `listener`.
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
            async move { ingress.answer(request).await }
        })
    }

    async fn answer(&self, request: Request<Body>) -> Response<Body> {
        let started = Instant::now();
        let id = request.headers().get(self.dialect.id());
        let id = id.cloned().unwrap_or_else(random_id);
        let mut response = match self.pass(request, &id, started).await {
            Ok(response) => response,
            Err(refusal) => {
                info!(self.log, "call refused"; "request" => id.to_str().unwrap_or("unprintable"),
                    "version" => %self.table.snapshot().version,
                    "kind" => refusal.kind.as_str(), "outcome" => %refusal.outcome,
                    "reason" => %refusal, "took_ms" => started.elapsed().as_millis() as u64,
                    "retry_after_ms" => refusal.retry_after().map(|pause| pause.as_millis() as u64));
                self.metrics.refused(&refusal);
                refusal.response(&*self.dialect)
            }
        };
        response.headers_mut().insert(self.dialect.id(), id);
        let seconds = started.elapsed().as_secs_f64();
        self.metrics
            .duration
            .with_label_values(&["ingress"])
            .observe(seconds);
        let code = response.status();
        self.metrics.calls.with_label_values(&[code.as_str()]).inc();
        response
    }

    /// Checks the call and passes it on.
    async fn pass(
        &self,
        request: Request<Body>,
        id: &HeaderValue,
        started: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let (parts, body) = request.into_parts();
        let turn = parts.extensions.get::<Turn>().cloned();
        let mut call = Call::open(parts, self.table.snapshot(), &*self.dialect, id, started)?;
        if self.dispatcher.shares_retries() {
            call.daemons = self.table.members().live();
        }
        if let Some(turn) = turn.filter(|_| !call.idempotent) {
            // Were an answer before it to close the connection, the caller would send it again.
            turn.wait().await;
        }
        let limit = call.route.route.rules.body_limit;
        let payload = Payload::open(body, limit, call.deadline).await?;
        self.dispatcher.send(&call, payload).await
    }
}
