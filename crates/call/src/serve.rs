//! HTTP servers that stop gracefully.

use std::net::SocketAddr;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use slog::{Logger, debug, warn};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{Duration, timeout};
use tokio_util::sync::CancellationToken;

use crate::body::Body;

/// Longest wait for the head of a request, in seconds.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Largest list of headers over HTTP/2, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 64 << 10;

/// Pause after a failed accept of a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A server could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot serve on the listener: {0}")]
pub struct ServerError(#[from] std::io::Error);

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<usize>,
}

impl Server {
    /// Starts to serve HTTP/1.1 and HTTP/2 on `listener` with `answer`.
    pub(crate) fn spawn<F, A>(
        listener: TcpListener,
        log: Logger,
        answer: F,
    ) -> Result<Self, ServerError>
    where
        F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Response<Body>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(run(listener, stop.clone(), log, answer));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, lets calls in flight finish for at most `limit`, and returns the
    /// number of connections that were cut.
    pub async fn stop(self, limit: Duration) -> usize {
        self.stop.cancel();
        let abort = self.task.abort_handle();
        match timeout(limit, self.task).await {
            Ok(Ok(cut)) => cut,
            Ok(Err(_)) => 0,
            Err(_) => {
                abort.abort();
                1
            }
        }
    }
}

async fn run<F, A>(listener: TcpListener, stop: CancellationToken, log: Logger, answer: F) -> usize
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let (stream, _) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(log, "connection not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answered = answer(request);
            async move { Ok::<_, std::convert::Infallible>(answered.await) }
        });
        let builder = builder();
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        let log = log.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(log, "connection ended"; "error" => %error);
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
    0
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEADER_LIST_BYTES);
    builder
}
