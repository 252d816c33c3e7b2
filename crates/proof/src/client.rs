//! A caller and operator at one daemon, who records what happens.

use std::net::SocketAddr;
use std::time::Duration;

use admin::{Client, ClientError, ErrorKind};
use bytes::Bytes;
use harness::{Caller, Response};
use http::Method;
use model::AcceptId;
use serde::Deserialize;
use tokio::time::timeout;

use crate::config::{HOST, print, service_of};
use crate::history::{Accept, Answered, Call, CallResult, HeadRead, Moment, Recorder, Verdict};
use crate::world::Error;

/// Longest wait of a caller; over the timeout of every route.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// Longest wait of an operator; over the time that an accept may take.
const ACCEPT_LIMIT: Duration = Duration::from_secs(60);

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Read,
    /// Runs at most once.
    Notice,
}

/// A caller and operator at one daemon.
#[derive(Debug, Clone)]
pub struct Agent {
    vm: String,
    address: SocketAddr,
    caller: Caller,
    client: Client,
    recorder: Recorder,
}

/// What an upstream's answer says.
#[derive(Debug, Deserialize)]
struct Page {
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

    /// Returns the present instant of the history.
    pub fn now(&self) -> Moment {
        self.recorder.now()
    }

    /// Makes one call and records it.
    pub async fn call(&self, team: &str, kind: Kind, id: &str) -> CallResult {
        let (method, name) = match kind {
            Kind::Read => (Method::GET, "reads"),
            Kind::Notice => (Method::POST, "notices"),
        };
        let path = format!("/{team}/{name}/{id}");
        let body = match kind {
            Kind::Read => Bytes::new(),
            Kind::Notice => Bytes::from(format!("body of {id}")),
        };
        let digest = blake3::hash(&body).to_string();
        let start = self.recorder.now();
        let headers = [("x-request-id", id)];
        let called = self
            .caller
            .call(self.address, method, HOST, &path, &headers, body);
        let result = match timeout(CALL_LIMIT, called).await {
            Ok(Ok(answer)) => read(&answer),
            Ok(Err(_)) | Err(_) => CallResult::Lost,
        };
        let call = Call {
            id: id.into(),
            vm: self.vm.clone(),
            path,
            digest,
            service: service_of(team),
            idempotent: kind == Kind::Read,
            start,
            end: self.recorder.now(),
            result: result.clone(),
        };
        self.recorder.history().calls.push(call);
        result
    }

    /// Asks for an accept and records it; the tries under one id make one entry.
    ///
    /// # Errors
    ///
    /// Fails if the id or the team is no name.
    pub async fn accept(&self, team: &str, stamp: u64, id: &str) -> Result<Verdict, Error> {
        let config = print(team, stamp)?;
        let start = self.recorder.now();
        let verdict = self.try_accept(config, id).await?;
        self.note_accept(id, start, &verdict);
        Ok(verdict)
    }

    /// Asks for an accept of `config` and returns what the operator is told.
    async fn try_accept(&self, config: String, id: &str) -> Result<Verdict, Error> {
        let accept_id: AcceptId = id.parse().map_err(|_| Error::Unknown(id.into()))?;
        let asked = self.client.accept(config.into(), &accept_id, "proof");
        let Ok(answer) = timeout(ACCEPT_LIMIT, asked).await else {
            return Ok(Verdict::Unknown);
        };
        Ok(match answer {
            Ok(accepted) if accepted.changed.is_empty() => {
                Verdict::Unchanged(accepted.version.get())
            }
            Ok(accepted) => Verdict::Accepted(accepted.version.get()),
            Err(ClientError::Refused(page)) if page.kind != ErrorKind::Unknown => {
                Verdict::NotAccepted
            }
            Err(_) => Verdict::Unknown,
        })
    }

    fn note_accept(&self, id: &str, start: Moment, verdict: &Verdict) {
        let end = self.recorder.now();
        let mut history = self.recorder.history();
        match history.accepts.iter_mut().find(|accept| accept.id == id) {
            Some(accept) => {
                accept.end = end;
                accept.verdict = verdict.clone();
            }
            None => history.accepts.push(Accept {
                id: id.into(),
                start,
                end,
                verdict: verdict.clone(),
            }),
        }
    }

    /// Reads the head and records it; `None` while the store is out.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
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
        self.recorder.history().reads.push(read);
        Ok(Some(version))
    }
}

/// Reads what a caller got.
fn read(answer: &Response) -> CallResult {
    match answer.outcome() {
        Some("not-run") => return CallResult::NotRun,
        Some(_) => return CallResult::Unknown,
        None => {}
    }
    match serde_json::from_slice::<Page>(&answer.body) {
        Ok(page) if answer.status.is_success() => CallResult::Answered(Answered {
            id: page.request_id,
            path: page.path,
            digest: page.body_digest,
            service: page.service,
        }),
        _ => CallResult::Unknown,
    }
}
