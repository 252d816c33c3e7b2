//! A forwarder on the loopback that can cut what goes through it, as a network does: silently.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Where connections go, and whether anything gets through.
#[derive(Debug, Clone, Copy)]
struct State {
    target: Option<SocketAddr>,
    cut: bool,
}

/// A forwarder to one address. While it is cut, bytes wait and connections stand still.
#[derive(Debug)]
pub struct Cut {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    _tasks: JoinSet<()>,
}

impl Cut {
    /// Opens a forwarder; connections wait until [`Cut::aim`] says where they go.
    ///
    /// # Errors
    ///
    /// Fails if no address is free.
    pub async fn open() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(State {
            target: None,
            cut: false,
        });
        let state = Arc::new(state);
        let mut tasks = JoinSet::new();
        tasks.spawn(run(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            _tasks: tasks,
        })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where connections go.
    pub fn aim(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Lets nothing through any more.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.cut = true);
    }

    /// Lets everything through again, and what waited.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.cut = false);
    }
}

async fn run(listener: TcpListener, state: Arc<watch::Sender<State>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(forward(stream, state.subscribe()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(near: TcpStream, mut state: watch::Receiver<State>) {
    let Some(target) = open_target(&mut state).await else {
        return;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, state.clone()),
        copy(far_read, near_write, state),
    );
}

/// Copies one direction to its end.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut state: watch::Receiver<State>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        if open_target(&mut state).await.is_none() {
            return;
        }
        if count == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until the forwarder has a target and is not cut.
async fn open_target(state: &mut watch::Receiver<State>) -> Option<SocketAddr> {
    let open = state.wait_for(|state| !state.cut && state.target.is_some());
    open.await.ok()?.target
}
