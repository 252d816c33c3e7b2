//! The ingress: takes the calls of local callers and passes each to the gate of an upstream.

use std::sync::Arc;

use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use model::{DomainName, RegionName, Secret};
use slog::{Logger, debug};
use table::Table;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::body::Body;
use crate::header::REQUEST_ID;
use crate::payload::Payload;
use crate::request::{Call, random_id};
use crate::serve::{Server, ServerError};
use crate::tries::Dispatcher;
use crate::watch::Site;
use crate::{Metrics, Refusal};

/// The ingress of one daemon.
#[derive(Debug)]
pub struct Ingress {
    table: Arc<Table>,
    dispatcher: Dispatcher,
    metrics: Metrics,
    log: Logger,
}

impl Ingress {
    /// Returns the ingress of a daemon in `domain` of `region` that serves `table`.
    pub fn open(
        table: Arc<Table>,
        domain: DomainName,
        region: RegionName,
        key: Secret,
        metrics: Metrics,
        log: Logger,
    ) -> Arc<Self> {
        let site = Site { domain, region };
        Arc::new(Self {
            table,
            dispatcher: Dispatcher::new(site, key, metrics.clone()),
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
        Server::spawn(listener, self.log.clone(), move |request| {
            let ingress = Arc::clone(&ingress);
            async move { ingress.answer(request).await }
        })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let started = Instant::now();
        let id = request.headers().get(REQUEST_ID);
        let id = id.cloned().unwrap_or_else(random_id);
        let mut response = match self.pass(request, &id, started).await {
            Ok(response) => response,
            Err(refusal) => {
                debug!(self.log, "call refused"; "request" => ?id, "reason" => %refusal);
                self.metrics.refused(&refusal);
                refusal.response()
            }
        };
        response.headers_mut().insert(REQUEST_ID, id);
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
        request: Request<Incoming>,
        id: &HeaderValue,
        started: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let (parts, body) = request.into_parts();
        let call = Call::open(parts, self.table.snapshot(), id, started)?;
        let limit = call.route.route.rules.body_limit;
        let payload = Payload::open(body, limit, call.deadline).await?;
        self.dispatcher.send(&call, payload).await
    }
}
