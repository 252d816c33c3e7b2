//! The service that other daemons call.

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

use crate::hub::Hub;
use crate::upper::Upper;
use crate::{Local, floor, repair};

/// Messages that may wait for a slow child; what changes meanwhile coalesces.
const DOWN_QUEUE: usize = 1;

/// The service that other daemons call.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) hub: Arc<Hub>,
    pub(crate) local: Arc<dyn Local>,
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
        self.hub.traffic.received(&first);
        let hello = first
            .hello
            .ok_or_else(|| Status::invalid_argument("the first message is no greeting"))?;
        let (sender, receiver) = mpsc::channel(DOWN_QUEUE);
        match Upper::admit(&self.hub, hello, sender.clone())? {
            Ok(upper) => {
                tokio::spawn(upper.run(ups));
            }
            Err(busy) => {
                let down = Down {
                    busy: Some(busy),
                    ..Down::default()
                };
                self.hub.traffic.sent(&down);
                // The queue is empty, so the message always fits.
                let _ = sender.try_send(Ok(down));
            }
        }
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn compare(
        &self,
        request: Request<CompareRequest>,
    ) -> Result<Response<CompareReply>, Status> {
        let theirs = request.into_inner();
        self.hub.traffic.received(&theirs);
        let reply = repair::answer(&self.hub, theirs);
        self.hub.traffic.sent(&reply);
        Ok(Response::new(reply))
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        let vm = &self.hub.settings.vm;
        if request.get_ref().vm != vm.as_str() {
            return Err(Status::not_found(format!("this daemon runs on VM `{vm}`")));
        }
        let draining = self.local.drain();
        Ok(Response::new(DrainReply { draining }))
    }

    async fn floor(&self, request: Request<FloorRequest>) -> Result<Response<FloorReply>, Status> {
        let request = request.into_inner();
        self.hub.traffic.received(&request);
        let reply = floor::answer(&self.hub, request).await?;
        self.hub.traffic.sent(&reply);
        Ok(Response::new(reply))
    }

    async fn hold(&self, request: Request<HoldRequest>) -> Result<Response<HoldReply>, Status> {
        self.hub.traffic.received(request.get_ref());
        let leased = *self.hub.duty.borrow();
        if leased.is_none_or(|until| until <= Instant::now()) {
            return Err(Status::unavailable("this daemon holds no relay's lease"));
        }
        let in_force = self.hub.table.snapshot().version;
        let reply = HoldReply {
            version: self.hub.floor.hold(in_force).get(),
        };
        self.hub.traffic.sent(&reply);
        Ok(Response::new(reply))
    }
}

/// Returns the digests that came over the wire, of an empty membership when there are none.
pub(crate) fn buckets(digests: Vec<u64>) -> Buckets {
    Buckets::from_wire(digests).unwrap_or_default()
}
