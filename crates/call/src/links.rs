//! Connections to the gates of other daemons: one each, shared by all calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body::Body;
use crate::{Refusal, RefusalKind};

/// Longest wait for a connection to a gate.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two pings on a quiet connection with calls in flight.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Connections to the gates of other daemons.
#[derive(Debug, Default)]
pub(crate) struct Links {
    open: Mutex<HashMap<SocketAddr, SendRequest<Body>>>,
}

impl Links {
    /// Sends `request` to the gate at `address`.
    ///
    /// # Errors
    ///
    /// The refusal says `not-run` only if the request surely did not leave this daemon.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, Refusal> {
        let mut sender = match self.get(address) {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                Err(classify(&error.into_error(), unsent))
            }
        }
    }

    fn get(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let mut open = self.lock();
        let sender = open.get(&address)?;
        if sender.is_closed() {
            open.remove(&address);
            return None;
        }
        Some(sender.clone())
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Body>, Refusal> {
        let unreachable = |error: String| {
            let message = format!("the gate at {address} cannot be reached ({error}); try again");
            Refusal::not_run(RefusalKind::Unreachable, message)
        };
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| unreachable("no answer in time".into()))?
            .map_err(|error| unreachable(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_INTERVAL)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        tokio::spawn(async move {
            // The calls on the connection see its end themselves.
            let _ = connection.await;
        });
        self.lock().insert(address, sender.clone());
        Ok(sender)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, SendRequest<Body>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Classifies a failed send.
fn classify(error: &hyper::Error, unsent: bool) -> Refusal {
    if unsent {
        let message = "the connection to the gate closed before the call was sent; try again";
        return Refusal::not_run(RefusalKind::Unreachable, message);
    }
    let message = format!("the connection to the gate broke ({error}); the call may have run");
    Refusal::unknown(RefusalKind::Broken, message)
}
