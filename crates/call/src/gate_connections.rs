//! HTTP/2 connections to the gates of other daemons: one per gate, shared by all calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use model::lock;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::body::Body;
use crate::live_stream::{Activity, ActivityGuard, LiveStream};
use crate::{Refusal, RefusalKind};

/// Time-out for connecting to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of pings on a connection with calls in flight on which nothing arrives. A connection that goes on being silent
/// fails by [`LiveStream`]; until then, calls on it are lost.
const PING_INTERVAL: Duration = Duration::from_millis(700);

/// Time-out for the answer to a ping while other bytes arrive. The answer may be queued behind them on a narrow link.
const PING_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of connected gates; the least recently used is evicted first.
const MAX_GATES: usize = 512;

/// Connections to the gates of other daemons.
#[derive(Debug, Default)]
pub(crate) struct GateConnections {
    entries: Mutex<HashMap<SocketAddr, Entry>>,
}

/// Table entry of one gate.
#[derive(Debug)]
struct Entry {
    connection: Arc<SharedConnection>,
    last_used: Instant,
}

/// Connection to a gate. The lock is held while it is opened, so that it is opened only once.
type SharedConnection = tokio::sync::Mutex<Option<Connection>>;

/// An open connection to a gate.
#[derive(Debug, Clone)]
struct Connection {
    sender: SendRequest<Body>,
    activity: Activity,
}

impl GateConnections {
    /// Sends `request` to the gate at `address`. The guard is to be kept until the end of the response.
    ///
    /// # Errors
    ///
    /// The refusal says `not-run` only if the request certainly did not leave this daemon.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<(Response<Incoming>, ActivityGuard), Refusal> {
        loop {
            let (mut connection, is_new) = self.get(address).await?;
            let active = connection.activity.begin();
            let mut error = match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, active)),
                Err(error) => error,
            };
            // hyper returns the request only if it has not begun to send it.
            match error.take_message() {
                Some(unsent) if !is_new => request = unsent,
                Some(_) => return Err(unreachable(address, error.into_error())),
                None => return Err(lost(&error.into_error())),
            }
        }
    }

    /// Returns the connection to `address` and whether it was newly opened.
    async fn get(&self, address: SocketAddr) -> Result<(Connection, bool), Refusal> {
        let shared = self.entry(address);
        let mut known = shared.lock().await;
        let open = known.as_ref();
        if let Some(open) = open.filter(|connection| !connection.sender.is_closed()) {
            return Ok((open.clone(), false));
        }
        let opened = connect(address).await?;
        *known = Some(opened.clone());
        Ok((opened, true))
    }

    fn entry(&self, address: SocketAddr) -> Arc<SharedConnection> {
        let mut entries = lock(&self.entries);
        let now = Instant::now();
        if entries.len() >= MAX_GATES && !entries.contains_key(&address) {
            let oldest = entries.iter().min_by_key(|(_, entry)| entry.last_used);
            if let Some(oldest) = oldest.map(|(address, _)| *address) {
                // Calls in flight continue; the connection closes after the last of them.
                entries.remove(&oldest);
            }
        }
        let entry = entries.entry(address).or_insert_with(|| Entry {
            connection: Arc::default(),
            last_used: now,
        });
        entry.last_used = now;
        Arc::clone(&entry.connection)
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, Refusal> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable(address, "no answer in time"))?
        .map_err(|error| unreachable(address, error))?;
    let _ = stream.set_nodelay(true);
    let activity = Activity::default();
    let stream = LiveStream::open(stream, activity.clone());
    let (sender, connection) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(address, error))?;
    tokio::spawn(async move {
        // The calls on the connection receive the error themselves.
        let _ = connection.await;
    });
    Ok(Connection { sender, activity })
}

fn unreachable(address: SocketAddr, error: impl std::fmt::Display) -> Refusal {
    let message = format!("the gate at {address} cannot be reached ({error}); try again");
    Refusal::not_run(RefusalKind::Unreachable, message)
}

/// Classifies a call that was sent and got no response.
fn lost(error: &hyper::Error) -> Refusal {
    if is_refused(error) {
        let message = "the gate refused the call before it looked at it; try again";
        return Refusal::not_run(RefusalKind::Unreachable, message);
    }
    broken(error)
}

/// Returns whether the gate stated that it did not process the call (REFUSED_STREAM).
///
/// A GOAWAY does not prove that: the library reports it for processed calls too.
fn is_refused(error: &hyper::Error) -> bool {
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if let Some(reset) = error.downcast_ref::<h2::Error>() {
            return reset.is_remote()
                && reset.is_reset()
                && reset.reason() == Some(h2::Reason::REFUSED_STREAM);
        }
        cause = error.source();
    }
    false
}

fn broken(error: &hyper::Error) -> Refusal {
    let message = format!("the connection to the gate broke ({error}); the call may have run");
    Refusal::unknown(RefusalKind::Broken, message)
}
