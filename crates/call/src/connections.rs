//! Connections from the gate to the upstream beside it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use model::lock;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::body::Body;
use crate::{Refusal, RefusalKind};

/// Time that a connection is kept without a call.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Kept connections to the upstream.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    /// Connections that no call uses, the one used last at the back.
    idle: Mutex<VecDeque<Idle>>,
}

/// A connection that no call uses.
#[derive(Debug)]
struct Idle {
    address: SocketAddr,
    sender: SendRequest<Body>,
    expires: Instant,
}

/// A connection whose call is under way. It is kept when dropped.
#[derive(Debug)]
pub(crate) struct InUse {
    connections: Arc<Connections>,
    address: SocketAddr,
    sender: Option<SendRequest<Body>>,
    /// Connections kept at most.
    limit: usize,
}

impl Drop for InUse {
    fn drop(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let mut idle = self.connections.lock();
        prune(&mut idle, self.address, Instant::now());
        if !sender.is_closed() && idle.len() < self.limit {
            idle.push_back(Idle {
                address: self.address,
                sender,
                expires: Instant::now() + IDLE_LIMIT,
            });
        }
    }
}

impl InUse {
    /// Closes the connection instead of keeping it.
    pub(crate) fn discard(&mut self) {
        self.sender = None;
    }
}

impl Connections {
    /// Sends `request` to the upstream at `address`; at most `limit` connections are kept.
    ///
    /// # Errors
    ///
    /// The refusal says `not-run` only if no byte of the request was sent.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: usize,
        mut request: Request<Body>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, InUse), Refusal> {
        loop {
            let kept = self.take(address);
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(sender) => sender,
                None => connect(address, deadline).await?,
            };
            let sent = timeout_at(deadline, sender.try_send_request(request)).await;
            let mut error = match sent {
                Ok(Ok(response)) => {
                    let in_use = InUse {
                        connections: Arc::clone(self),
                        address,
                        sender: Some(sender),
                        limit,
                    };
                    return Ok((response, in_use));
                }
                Ok(Err(error)) => error,
                Err(_) => {
                    let message =
                        "the upstream did not answer before the deadline; the call may have run";
                    return Err(Refusal::unknown(RefusalKind::Deadline, message));
                }
            };
            // The library gives back only what it did not begin to write.
            match error.take_message() {
                Some(unsent) if !fresh => request = unsent,
                Some(_) => return Err(unreachable(error.into_error())),
                None => {
                    let error = error.into_error();
                    let message = format!(
                        "the upstream broke the connection ({error}); the call may have run"
                    );
                    return Err(Refusal::unknown(RefusalKind::Broken, message));
                }
            }
        }
    }

    /// Takes a kept connection to `address` that is ready for a call.
    fn take(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let mut idle = self.lock();
        prune(&mut idle, address, Instant::now());
        // One whose answer has only just ended is ready in a moment and stays.
        let ready = idle.iter().rposition(|idle| idle.sender.is_ready())?;
        idle.remove(ready).map(|idle| idle.sender)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Idle>> {
        lock(&self.idle)
    }
}

/// Drops the connections that are closed, too old, or to another address.
fn prune(idle: &mut VecDeque<Idle>, address: SocketAddr, now: Instant) {
    idle.retain(|idle| idle.address == address && idle.expires > now && !idle.sender.is_closed());
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<SendRequest<Body>, Refusal> {
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable("no answer in time"))?
        .map_err(unreachable)?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(unreachable)?;
    tokio::spawn(async move {
        // The call on the connection sees its end itself.
        let _ = connection.await;
    });
    sender.ready().await.map_err(unreachable)?;
    Ok(sender)
}

fn unreachable(error: impl std::fmt::Display) -> Refusal {
    let message = format!("the upstream cannot be connected to ({error}); try again");
    Refusal::not_run(RefusalKind::Unreachable, message)
}
