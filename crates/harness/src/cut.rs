//! A forwarder on the loopback that harms what goes through it, as a network does.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What becomes of the bytes that go through.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Harm {
    /// They pass.
    None,
    /// They wait, and connections stand still.
    Cut,
    /// Those from the side that connects wait.
    CutOut,
    /// Those to the side that connects wait.
    CutBack,
    /// They pass this much later.
    Delay(Duration),
    /// Connections end, and new ones do so at once.
    Reset,
}

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    Out,
    Back,
}

impl Harm {
    /// Returns whether bytes that go `way` wait.
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Cut => true,
            Self::CutOut => way == Way::Out,
            Self::CutBack => way == Way::Back,
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// Where connections go, and what becomes of them.
#[derive(Debug, Clone, Copy)]
struct State {
    target: Option<SocketAddr>,
    harm: Harm,
}

/// A forwarder to one address.
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
            harm: Harm::None,
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
        self.harm(Harm::Cut);
    }

    /// Harms what goes through from now on.
    pub fn harm(&self, harm: Harm) {
        self.state.send_modify(|state| state.harm = harm);
    }

    /// Lets everything through again, and what waited.
    pub fn heal(&self) {
        self.harm(Harm::None);
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
    let Some(target) = open_target(&mut state, Way::Out).await else {
        return;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let both = async {
        tokio::join!(
            copy(near_read, far_write, state.clone(), Way::Out),
            copy(far_read, near_write, state.clone(), Way::Back),
        )
    };
    let mut resets = state.clone();
    tokio::select! {
        _ = both => {}
        _ = resets.wait_for(|state| state.harm == Harm::Reset) => {}
    }
}

/// Copies one direction to its end.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    way: Way,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        if open_target(&mut state, way).await.is_none() {
            return;
        }
        let harm = state.borrow().harm;
        if let Harm::Delay(delay) = harm {
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

/// Waits until the forwarder has a target and bytes pass `way`.
async fn open_target(state: &mut watch::Receiver<State>, way: Way) -> Option<SocketAddr> {
    let open = state.wait_for(|state| !state.harm.holds(way) && state.target.is_some());
    open.await.ok()?.target
}
