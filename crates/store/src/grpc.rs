//! Adapter to a key-value service that implements `kv.proto`.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};
use wire::kv::kv_client::KvClient;
use wire::kv::{
    Entry as WireEntry, GetRequest, GrantRequest, ListRequest, PutReply, PutRequest, RenewRequest,
    RevokeRequest, WatchRequest,
};

use crate::{Changes, Entry, Error, Expect, LeaseId, MAX_VALUE_BYTES, Put, Revision, Store};

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call; a watch adds the wait that it requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest message; enough for a full page of values.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// A key-value service reached over gRPC. Connects on first use, and reconnects after a failure.
#[derive(Debug, Clone)]
pub struct GrpcStore {
    client: KvClient<Channel>,
}

impl GrpcStore {
    /// Creates a client of the service at `address` without connecting.
    ///
    /// # Panics
    ///
    /// Never: a socket address always makes a valid URI.
    pub fn open(address: SocketAddr) -> Self {
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .expect("a socket address makes a valid URI")
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        let client = KvClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Self { client }
    }

    async fn write(&self, request: PutRequest) -> Result<Put, Error> {
        let mut client = self.client.clone();
        let reply = call_with_timeout(CALL_TIMEOUT, client.put(request))
            .await
            .map_err(write_error)?;
        Ok(outcome(&reply))
    }
}

#[async_trait]
impl Store for GrpcStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let mut client = self.client.clone();
        let request = GetRequest { key: key.into() };
        let reply = call_with_timeout(CALL_TIMEOUT, client.get(request))
            .await
            .map_err(read_error)?;
        Ok(reply.entry.map(entry))
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error> {
        let mut client = self.client.clone();
        let request = ListRequest {
            prefix: prefix.into(),
            after: after.into(),
            limit,
        };
        let reply = call_with_timeout(CALL_TIMEOUT, client.list(request))
            .await
            .map_err(read_error)?;
        Ok(reply.entries.into_iter().map(entry).collect())
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        self.write(PutRequest {
            key: key.into(),
            value: Some(value),
            expect: expected(expect),
            lease: lease.map_or(0, |lease| lease.number),
        })
        .await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<Put, Error> {
        self.write(PutRequest {
            key: key.into(),
            value: None,
            expect: expected(expect),
            lease: 0,
        })
        .await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        let mut client = self.client.clone();
        let request = WatchRequest {
            prefix: prefix.into(),
            after: after.number,
            wait_ms: wait.as_millis() as u64,
        };
        let reply = call_with_timeout(CALL_TIMEOUT + wait, client.watch(request))
            .await
            .map_err(read_error)?;
        Ok(Changes {
            entries: reply.entries.into_iter().map(entry).collect(),
            deleted: reply.deleted,
            revision: Revision::new(reply.revision),
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let mut client = self.client.clone();
        let request = GrantRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let reply = call_with_timeout(CALL_TIMEOUT, client.grant(request))
            .await
            .map_err(write_error)?;
        Ok(LeaseId::new(reply.lease))
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, Error> {
        let mut client = self.client.clone();
        let request = RenewRequest {
            lease: lease.number,
        };
        let reply = call_with_timeout(CALL_TIMEOUT, client.renew(request))
            .await
            .map_err(write_error)?;
        Ok(reply.alive)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let mut client = self.client.clone();
        let request = RevokeRequest {
            lease: lease.number,
        };
        call_with_timeout(CALL_TIMEOUT, client.revoke(request))
            .await
            .map_err(write_error)?;
        Ok(())
    }
}

/// Awaits a call, with a timeout.
async fn call_with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<T, Status> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result.map(tonic::Response::into_inner),
        Err(_) => Err(Status::deadline_exceeded("no answer in time")),
    }
}

fn expected(expect: Expect) -> Option<u64> {
    match expect {
        Expect::Any => None,
        Expect::Absent => Some(0),
        Expect::At(revision) => Some(revision.number),
    }
}

fn outcome(reply: &PutReply) -> Put {
    if reply.done {
        Put::Done(Revision::new(reply.revision))
    } else {
        Put::Conflict
    }
}

fn entry(entry: WireEntry) -> Entry {
    Entry {
        key: entry.key,
        value: entry.value,
        revision: Revision::new(entry.revision),
    }
}

/// Classifies a failed read. Reads never have an effect.
fn read_error(status: Status) -> Error {
    match status.code() {
        Code::ResourceExhausted => Error::Limited,
        _ => Error::Unavailable(status.message().into()),
    }
}

/// Classifies a failed write. Unless the service refused it, or there was no connection, it may have
/// taken effect.
fn write_error(status: Status) -> Error {
    match status.code() {
        Code::ResourceExhausted => Error::Limited,
        Code::FailedPrecondition => Error::Unavailable(status.message().into()),
        _ if is_connect_error(&status) => Error::Unavailable(status.message().into()),
        _ => Error::Unknown(status.message().into()),
    }
}

/// Returns whether the connection was refused, so that the call was never sent.
fn is_connect_error(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}
