//! Caller and operator of one daemon that records its calls and accepts.

use std::net::SocketAddr;
use std::time::Duration;

use admin::{Client, ClientError, ErrorKind};
use bytes::Bytes;
use harness::{Caller, Response};
use http::Method;
use model::AcceptId;
use serde::Deserialize;
use tokio::time::timeout;

use crate::config::{HOST, render_config, service_of};
use crate::history::{
    Accept, AcceptResult, Answered, Call, CallResult, HeadRead, Moment, Recorder,
};
use crate::test_fleet::Error;

/// Longest wait of a caller; above the timeout of every route.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// Longest wait of an operator; above the time that an accept may take.
const ACCEPT_LIMIT: Duration = Duration::from_secs(60);

/// CallKind of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call runs at most once.
    NonIdempotent,
}

/// Caller and operator of one daemon.
#[derive(Debug, Clone)]
pub struct Agent {
    vm: String,
    address: SocketAddr,
    caller: Caller,
    client: Client,
    recorder: Recorder,
}

/// Response body of an upstream, which describes the request.
#[derive(Debug, Deserialize)]
struct ResponseBody {
    service: String,
    request_id: String,
    path: String,
    body_digest: String,
}

impl Agent {
    pub(crate) fn new(vm: &str, address: SocketAddr, client: Client, recorder: Recorder) -> Self {
        Self {
            vm: vm.into(),
            address,
            caller: Caller::default(),
            client,
            recorder,
        }
    }

    /// Returns the time since recording started.
    pub fn now(&self) -> Moment {
        self.recorder.now()
    }

    /// Sends one call and records it.
    pub async fn call(&self, team: &str, kind: CallKind, id: &str) -> CallResult {
        let (method, name) = match kind {
            CallKind::Idempotent => (Method::GET, "reads"),
            CallKind::NonIdempotent => (Method::POST, "notices"),
        };
        let path = format!("/{team}/{name}/{id}");
        let body = match kind {
            CallKind::Idempotent => Bytes::new(),
            CallKind::NonIdempotent => Bytes::from(format!("body of {id}")),
        };
        let digest = blake3::hash(&body).to_string();
        let start = self.recorder.now();
        let headers = [("x-request-id", id)];
        let request = self
            .caller
            .call(self.address, method, HOST, &path, &headers, body);
        let result = match timeout(CALL_LIMIT, request).await {
            Ok(Ok(answer)) => classify(&answer),
            Ok(Err(_)) | Err(_) => CallResult::Lost,
        };
        let call = Call {
            id: id.into(),
            vm: self.vm.clone(),
            path,
            digest,
            service: service_of(team),
            idempotent: kind == CallKind::Idempotent,
            start,
            end: self.recorder.now(),
            result: result.clone(),
        };
        self.recorder.history().calls.push(call);
        result
    }

    /// Sends an accept and records it; attempts with the same id are one entry.
    ///
    /// # Errors
    ///
    /// Fails if the id or the team is not a valid name.
    pub async fn accept(&self, team: &str, stamp: u64, id: &str) -> Result<AcceptResult, Error> {
        let config = render_config(team, stamp)?;
        let start = self.recorder.now();
        let result = self.send_accept(config, id).await?;
        self.record_accept(id, start, &result);
        Ok(result)
    }

    /// Sends one accept of `config`.
    async fn send_accept(&self, config: String, id: &str) -> Result<AcceptResult, Error> {
        let accept_id: AcceptId = id.parse().map_err(|_| Error::Unknown(id.into()))?;
        let request = self.client.accept(config.into(), &accept_id, "proof");
        let Ok(response) = timeout(ACCEPT_LIMIT, request).await else {
            return Ok(AcceptResult::Unknown);
        };
        Ok(match response {
            Ok(accepted) if accepted.changed.is_empty() => {
                AcceptResult::Unchanged(accepted.version.get())
            }
            Ok(accepted) => AcceptResult::Accepted(accepted.version.get()),
            Err(ClientError::Refused(error)) if error.kind != ErrorKind::Unknown => {
                AcceptResult::NotAccepted
            }
            Err(_) => AcceptResult::Unknown,
        })
    }

    fn record_accept(&self, id: &str, start: Moment, result: &AcceptResult) {
        let end = self.recorder.now();
        let mut history = self.recorder.history();
        match history.accepts.iter_mut().find(|accept| accept.id == id) {
            Some(accept) => {
                accept.end = end;
                accept.result = result.clone();
            }
            None => history.accepts.push(Accept {
                id: id.into(),
                start,
                end,
                result: result.clone(),
            }),
        }
    }

    /// Reads the head and records it; returns `None` while the store is unreachable.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn read_head(&self) -> Result<Option<u64>, Error> {
        let start = self.recorder.now();
        let head = self.client.status().await?.head;
        let Some(version) = head.map(|head| head.get()) else {
            return Ok(None);
        };
        let read = HeadRead {
            start,
            end: self.recorder.now(),
            version,
        };
        self.recorder.history().head_reads.push(read);
        Ok(Some(version))
    }
}

/// Classifies the response to a call.
fn classify(response: &Response) -> CallResult {
    match response.outcome() {
        Some("not-run") => return CallResult::NotRun,
        Some(_) => return CallResult::Unknown,
        None => {}
    }
    match serde_json::from_slice::<ResponseBody>(&response.body) {
        Ok(body) if response.status.is_success() => CallResult::Answered(Answered {
            id: body.request_id,
            path: body.path,
            digest: body.body_digest,
            service: body.service,
        }),
        _ => CallResult::Unknown,
    }
}
