//! gRPC server of the key-value service.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use store::{Entry, Error, Expect, LeaseId, Put, Revision, Store};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};
use wire::kv;
use wire::kv::kv_server::{Kv as KvService, KvServer as KvGrpc};

use crate::Kv;

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Running key-value service.
#[derive(Debug)]
pub struct KvServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl KvServer {
    /// Serves `kv` on `listener` in a background task.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(kv: Kv, listener: TcpListener) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let service = KvGrpc::new(Service { kv })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let task = tokio::spawn(async move {
            // Runs until the task is aborted.
            let _ = Server::builder()
                .add_service(service)
                .serve_with_incoming(incoming)
                .await;
        });
        Ok(Self { address, task })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for KvServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Service {
    kv: Kv,
}

#[async_trait]
impl KvService for Service {
    async fn get(
        &self,
        request: Request<kv::GetRequest>,
    ) -> Result<Response<kv::GetReply>, Status> {
        let found = self.kv.get(&request.get_ref().key).await.map_err(status)?;
        let entry = found.map(to_wire);
        Ok(Response::new(kv::GetReply { entry }))
    }

    async fn list(
        &self,
        request: Request<kv::ListRequest>,
    ) -> Result<Response<kv::ListReply>, Status> {
        let request = request.into_inner();
        let found = self
            .kv
            .list(&request.prefix, &request.after, request.limit)
            .await;
        let entries = found.map_err(status)?.into_iter().map(to_wire).collect();
        Ok(Response::new(kv::ListReply { entries }))
    }

    async fn put(
        &self,
        request: Request<kv::PutRequest>,
    ) -> Result<Response<kv::PutReply>, Status> {
        let request = request.into_inner();
        let expect = match request.expect {
            None => Expect::Any,
            Some(0) => Expect::Absent,
            Some(revision) => Expect::At(Revision::new(revision)),
        };
        let lease = (request.lease != 0).then_some(LeaseId::new(request.lease));
        let put = match request.value {
            Some(value) => self.kv.put(&request.key, value, expect, lease).await,
            None => self.kv.delete(&request.key, expect).await,
        };
        let reply = match put.map_err(status)? {
            Put::Done(revision) => kv::PutReply {
                done: true,
                revision: revision.number,
            },
            Put::Conflict => kv::PutReply::default(),
        };
        Ok(Response::new(reply))
    }

    async fn watch(
        &self,
        request: Request<kv::WatchRequest>,
    ) -> Result<Response<kv::WatchReply>, Status> {
        let request = request.into_inner();
        let wait = Duration::from_millis(request.wait_ms);
        let after = Revision::new(request.after);
        let changes = self
            .kv
            .watch(&request.prefix, after, wait)
            .await
            .map_err(status)?;
        Ok(Response::new(kv::WatchReply {
            entries: changes.entries.into_iter().map(to_wire).collect(),
            deleted: changes.deleted,
            revision: changes.revision.number,
        }))
    }

    async fn grant(
        &self,
        request: Request<kv::GrantRequest>,
    ) -> Result<Response<kv::GrantReply>, Status> {
        let ttl = Duration::from_millis(request.get_ref().ttl_ms);
        let lease = self.kv.grant(ttl).await.map_err(status)?;
        Ok(Response::new(kv::GrantReply {
            lease: lease.number,
        }))
    }

    async fn renew(
        &self,
        request: Request<kv::RenewRequest>,
    ) -> Result<Response<kv::RenewReply>, Status> {
        let lease = LeaseId::new(request.get_ref().lease);
        let alive = self.kv.renew(lease).await.map_err(status)?;
        Ok(Response::new(kv::RenewReply { alive }))
    }

    async fn revoke(
        &self,
        request: Request<kv::RevokeRequest>,
    ) -> Result<Response<kv::RevokeReply>, Status> {
        let lease = LeaseId::new(request.get_ref().lease);
        self.kv.revoke(lease).await.map_err(status)?;
        Ok(Response::new(kv::RevokeReply {}))
    }
}

fn to_wire(entry: Entry) -> kv::Entry {
    kv::Entry {
        key: entry.key,
        value: entry.value,
        revision: entry.revision.number,
    }
}

/// Returns the gRPC status of `error`. Its code shows the client whether the call may have taken effect.
fn status(error: Error) -> Status {
    let message = error.to_string();
    match error {
        Error::Unavailable(_) => Status::failed_precondition(message),
        Error::Unknown(_) | Error::Restored => Status::unknown(message),
        Error::Limited => Status::resource_exhausted(message),
        Error::TooLarge(_) | Error::LeaseEnded | Error::Compacted => {
            Status::failed_precondition(message)
        }
    }
}
