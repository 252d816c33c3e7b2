//! A TCP proxy on the loopback that injects network faults.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Largest number of bytes forwarded by one read and write.
const CHUNK_BYTES: usize = 16 << 10;

/// Network fault that a [`FaultProxy`] injects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkFault {
    /// Bytes are forwarded at once.
    None,
    /// Bytes of both directions are withheld; connections stay open.
    Stall,
    /// Bytes from the connecting side are withheld.
    StallOutbound,
    /// Bytes to the connecting side are withheld.
    StallInbound,
    /// Each chunk is forwarded after this delay.
    Delay(Duration),
    /// Open connections are closed, and new ones are closed once accepted.
    Reset,
}

/// Direction of the bytes, as seen from the connecting side.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Direction {
    Outbound,
    Inbound,
}

impl LinkFault {
    /// Returns whether the fault withholds bytes in `direction`.
    fn stalls(self, direction: Direction) -> bool {
        match self {
            Self::Stall => true,
            Self::StallOutbound => direction == Direction::Outbound,
            Self::StallInbound => direction == Direction::Inbound,
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// Target of the proxy's connections, and the fault injected into them.
#[derive(Debug, Clone, Copy)]
struct State {
    target: Option<SocketAddr>,
    fault: LinkFault,
    /// Number of times that the open connections were severed.
    severed: u32,
}

/// A TCP proxy to one target address.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    _tasks: JoinSet<()>,
}

impl FaultProxy {
    /// Opens a proxy; connections wait until [`FaultProxy::set_target`] is called.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn open() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(State {
            target: None,
            fault: LinkFault::None,
            severed: 0,
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

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Withholds the bytes of both directions.
    pub fn stall(&self) {
        self.set_fault(LinkFault::Stall);
    }

    /// Injects `fault` from now on, in place of the previous one.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Withholds the bytes of the connections that are open now, for good and without closing them.
    pub fn sever(&self) {
        self.state.send_modify(|state| state.severed += 1);
    }

    /// Removes the fault; withheld bytes are forwarded.
    pub fn restore(&self) {
        self.set_fault(LinkFault::None);
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

async fn forward(client: TcpStream, mut state: watch::Receiver<State>) {
    let Some(target) = open_target(&mut state, Direction::Outbound).await else {
        return;
    };
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let before = state.borrow().severed;
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let both = async {
        tokio::join!(
            copy(
                client_read,
                server_write,
                state.clone(),
                Direction::Outbound
            ),
            copy(server_read, client_write, state.clone(), Direction::Inbound),
        )
    };
    let mut both = pin!(both);
    let mut severs = state.clone();
    let severed = async {
        severs
            .wait_for(|state| state.severed > before)
            .await
            .is_ok()
    };
    let until_severed = async {
        tokio::select! {
            _ = &mut both => {}
            // The halves stay open in `both`, which nothing polls any more.
            true = severed => std::future::pending().await,
        }
    };
    let mut resets = state.clone();
    tokio::select! {
        () = until_severed => {}
        _ = resets.wait_for(|state| state.fault == LinkFault::Reset) => {}
    }
}

/// Copies the bytes of one direction until its end.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        if open_target(&mut state, direction).await.is_none() {
            return;
        }
        let fault = state.borrow().fault;
        if let LinkFault::Delay(delay) = fault {
            sleep(delay).await;
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

/// Waits until the proxy has a target and forwards bytes in `direction`.
async fn open_target(
    state: &mut watch::Receiver<State>,
    direction: Direction,
) -> Option<SocketAddr> {
    let open = state.wait_for(|state| !state.fault.stalls(direction) && state.target.is_some());
    open.await.ok()?.target
}
