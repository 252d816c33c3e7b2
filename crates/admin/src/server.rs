//! HTTP servers of the administration API.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Starts to serve `routes` on `listener` until the task is aborted, which does not wait for calls
/// in flight.
pub fn spawn_routes(listener: TcpListener, routes: Router) -> AbortHandle {
    tokio::spawn(async move {
        // Never returns; ends when the task is aborted.
        let _ = axum::serve(listener, routes).await;
    })
    .abort_handle()
}

/// A running HTTP server of the administration API.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts to serve `routes` on `listener`.
    pub(crate) fn spawn(listener: TcpListener, routes: Router) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let stopped = stop.clone().cancelled_owned();
        let task = tokio::spawn(async move {
            // Returns only after `stop` is cancelled.
            let _ = axum::serve(listener, routes)
                .with_graceful_shutdown(stopped)
                .await;
        });
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits up to `limit` for the calls in flight; returns whether
    /// all of them completed.
    pub async fn stop(self, limit: Duration) -> bool {
        self.stop.cancel();
        let abort = self.task.abort_handle();
        let finished = timeout(limit, self.task).await.is_ok();
        abort.abort();
        finished
    }
}
