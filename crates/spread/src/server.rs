//! gRPC service for other daemons.

use std::pin::Pin;
use std::sync::Arc;

use async_trait::async_trait;
use futures_util::{Stream, StreamExt};
use member::Buckets;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};
use wire::fleet::fleet_server::Fleet;
use wire::fleet::{
    CompareReply, CompareRequest, Down, DrainReply, DrainRequest, FloorReply, FloorRequest,
    HoldReply, HoldRequest, Up,
};

use crate::child_link::ChildLink;
use crate::hub::Hub;
use crate::{DrainHandler, floor, repair};

/// Messages queued for a slow child; later changes are coalesced into the next message.
const DOWN_QUEUE: usize = 1;

/// gRPC service for other daemons.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) hub: Arc<Hub>,
    pub(crate) drain_handler: Arc<dyn DrainHandler>,
}

#[async_trait]
impl Fleet for Server {
    type FollowStream = Pin<Box<dyn Stream<Item = Result<Down, Status>> + Send>>;

    async fn follow(
        &self,
        request: Request<Streaming<Up>>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let mut ups = request.into_inner();
        let limit = Instant::now() + self.hub.settings.silence.duration();
        let first = timeout_at(limit, ups.next())
            .await
            .map_err(|_| Status::deadline_exceeded("no greeting in time"))?;
        let Some(Ok(first)) = first else {
            return Err(Status::invalid_argument("there is no greeting"));
        };
        self.hub.metrics.received(&first);
        let hello = first
            .hello
            .ok_or_else(|| Status::invalid_argument("the first message is no greeting"))?;
        let (sender, receiver) = mpsc::channel(DOWN_QUEUE);
        match ChildLink::admit(&self.hub, hello, sender.clone())? {
            Ok(link) => {
                tokio::spawn(link.run(ups));
            }
            Err(busy) => {
                let down = Down {
                    busy: Some(busy),
                    ..Down::default()
                };
                self.hub.metrics.sent(&down);
                // The queue is empty, so sending cannot fail.
                let _ = sender.try_send(Ok(down));
            }
        }
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn compare(
        &self,
        request: Request<CompareRequest>,
    ) -> Result<Response<CompareReply>, Status> {
        let request = request.into_inner();
        self.hub.metrics.received(&request);
        let reply = repair::serve(&self.hub, request);
        self.hub.metrics.sent(&reply);
        Ok(Response::new(reply))
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        let vm = &self.hub.settings.vm;
        if request.get_ref().vm != vm.as_str() {
            return Err(Status::not_found(format!("this daemon runs on VM `{vm}`")));
        }
        let draining = self.drain_handler.drain();
        Ok(Response::new(DrainReply { draining }))
    }

    async fn floor(&self, request: Request<FloorRequest>) -> Result<Response<FloorReply>, Status> {
        let request = request.into_inner();
        self.hub.metrics.received(&request);
        let reply = floor::serve(&self.hub, request).await?;
        self.hub.metrics.sent(&reply);
        Ok(Response::new(reply))
    }

    async fn hold(&self, request: Request<HoldRequest>) -> Result<Response<HoldReply>, Status> {
        self.hub.metrics.received(request.get_ref());
        let lease_until = *self.hub.lease_until.borrow();
        if lease_until.is_none_or(|until| until <= Instant::now()) {
            return Err(Status::unavailable("this daemon holds no relay's lease"));
        }
        let in_force = self.hub.table.snapshot().version;
        let reply = HoldReply {
            version: self.hub.floor.hold(in_force).get(),
        };
        self.hub.metrics.sent(&reply);
        Ok(Response::new(reply))
    }
}

/// Returns the bucket digests of a wire message, or those of an empty membership if they are missing
/// or invalid.
pub(crate) fn buckets_from_wire(digests: Vec<u64>) -> Buckets {
    Buckets::from_wire(digests).unwrap_or_default()
}
