//! Connection pool of the gate to its upstream.

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
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::body::Body;
use crate::{Refusal, RefusalKind};

/// Time after which an idle connection is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Largest head of a response. Also bounds the bytes that are read before other tasks run.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Pool of idle connections to the upstream.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    /// Idle connections, the most recently used at the back.
    idle: Mutex<VecDeque<IdleConnection>>,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Body>,
    /// Task that reads and writes the connection.
    task: AbortHandle,
}

/// A connection without a call.
#[derive(Debug)]
struct IdleConnection {
    address: SocketAddr,
    connection: Connection,
    expires: Instant,
}

/// Closes a connection whose call ends without a response, unless it is disarmed.
///
/// The library notices a call that has ended only between two messages, which an upstream that sends
/// interim responses without end never lets happen.
struct CloseGuard(Option<AbortHandle>);

impl CloseGuard {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

/// A connection with a call in flight. Returns to the pool when dropped.
#[derive(Debug)]
pub(crate) struct InUse {
    connections: Arc<Connections>,
    address: SocketAddr,
    connection: Option<Connection>,
    /// Maximum number of idle connections.
    max_idle: usize,
}

impl Drop for InUse {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let mut idle = self.connections.lock();
        prune(&mut idle, self.address, Instant::now());
        if !connection.sender.is_closed() && idle.len() < self.max_idle {
            idle.push_back(IdleConnection {
                address: self.address,
                connection,
                expires: Instant::now() + IDLE_TIMEOUT,
            });
        }
    }
}

impl InUse {
    /// Closes the connection instead of keeping it.
    pub(crate) fn discard(&mut self) {
        self.connection = None;
    }
}

impl Connections {
    /// Sends `request` to the upstream at `address`; at most `max_idle` idle connections are kept.
    ///
    /// # Errors
    ///
    /// The refusal says `not-run` only if no byte of the request was sent.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        max_idle: usize,
        mut request: Request<Body>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, InUse), Refusal> {
        loop {
            let pooled = self.take(address);
            let fresh = pooled.is_none();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => connect(address, deadline).await?,
            };
            let guard = CloseGuard(Some(connection.task.clone()));
            let sent = connection.sender.try_send_request(request);
            let sent = timeout_at(deadline, sent).await;
            let mut error = match sent {
                Ok(Ok(response)) => {
                    guard.disarm();
                    let in_use = InUse {
                        connections: Arc::clone(self),
                        address,
                        connection: Some(connection),
                        max_idle,
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
            // hyper returns a request only if it has not started to write it.
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

    /// Takes an idle connection to `address` that is ready for a call.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        prune(&mut idle, address, Instant::now());
        // A connection whose response has only just ended is not ready yet and stays in the pool.
        let ready = idle
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        idle.remove(ready).map(|idle| idle.connection)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<IdleConnection>> {
        lock(&self.idle)
    }
}

/// Drops connections that are closed, have been idle too long, or lead to another address.
fn prune(idle: &mut VecDeque<IdleConnection>, address: SocketAddr, now: Instant) {
    idle.retain(|idle| {
        idle.address == address && idle.expires > now && !idle.connection.sender.is_closed()
    });
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<Connection, Refusal> {
    let stream = timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable("no answer in time"))?
        .map_err(unreachable)?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(unreachable)?;
    let task = tokio::spawn(async move {
        // An error of the connection is reported to its call.
        let _ = connection.await;
    });
    sender.ready().await.map_err(unreachable)?;
    let task = task.abort_handle();
    Ok(Connection { sender, task })
}

fn unreachable(error: impl std::fmt::Display) -> Refusal {
    let message = format!("the upstream cannot be connected to ({error}); try again");
    Refusal::not_run(RefusalKind::Unreachable, message)
}
