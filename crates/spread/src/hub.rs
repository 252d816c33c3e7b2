//! What the tasks of the distribution share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ledger::Ledger;
use member::LinkId;
use model::VmId;
use slog::Logger;
use store::Store;
use table::Table;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};
use wire::fleet::fleet_client::FleetClient;

use crate::{Counts, Settings};

/// Longest wait for a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message between daemons, in bytes: a whole state at the design size with room to grow.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// A daemon that follows this one.
#[derive(Debug)]
pub(crate) struct Child {
    /// Its fleet address.
    pub(crate) address: String,
    /// Daemons below it, itself among them, by version.
    pub(crate) counts: Counts,
}

/// What the tasks of the distribution share. The lock on `children` is taken last.
#[derive(Debug)]
pub(crate) struct Hub {
    pub(crate) settings: Settings,
    /// Fleet address that others reach this daemon at.
    pub(crate) address: SocketAddr,
    pub(crate) table: Arc<Table>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) log: Logger,
    pub(crate) stop: CancellationToken,
    /// VMs from the relay down to this daemon; empty while it is below no relay.
    pub(crate) path: watch::Sender<Vec<VmId>>,
    /// Changes whenever the counts below this daemon do.
    pub(crate) counted: watch::Sender<u64>,
    children: Mutex<BTreeMap<u64, Child>>,
    links: AtomicU64,
}

impl Hub {
    pub(crate) fn new(
        settings: Settings,
        address: SocketAddr,
        table: Arc<Table>,
        ledger: Arc<Ledger>,
        store: Arc<dyn Store>,
        log: Logger,
    ) -> Self {
        Self {
            settings,
            address,
            table,
            ledger,
            store,
            log,
            stop: CancellationToken::new(),
            path: watch::Sender::new(Vec::new()),
            counted: watch::Sender::new(0),
            children: Mutex::default(),
            links: AtomicU64::new(1),
        }
    }

    /// Returns an id for a new link.
    pub(crate) fn new_link(&self) -> LinkId {
        LinkId(self.links.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the daemons by version at and below this one.
    pub(crate) fn counts(&self) -> Counts {
        let mut sum = Counts::default();
        sum.add(self.table.snapshot().version, 1);
        for child in self.children().values() {
            sum.merge(&child.counts);
        }
        sum
    }

    /// Takes a child in if there is room; otherwise returns the addresses of the children.
    pub(crate) fn admit(&self, link: LinkId, child: Child) -> Result<(), Vec<String>> {
        let mut children = self.children();
        if children.len() >= self.settings.fanout {
            return Err(children
                .values()
                .map(|child| child.address.clone())
                .collect());
        }
        children.insert(link.0, child);
        drop(children);
        self.touch_counts();
        Ok(())
    }

    /// Replaces the counts of a child.
    pub(crate) fn count(&self, link: LinkId, counts: Counts) {
        if let Some(child) = self.children().get_mut(&link.0) {
            child.counts = counts;
        }
        self.touch_counts();
    }

    /// Forgets a child.
    pub(crate) fn dismiss(&self, link: LinkId) {
        self.children().remove(&link.0);
        self.touch_counts();
    }

    /// Returns a client for the daemon at `address`. Connects on first use.
    ///
    /// # Errors
    ///
    /// Fails if `address` is no address.
    pub(crate) fn client(&self, address: &str) -> Result<FleetClient<Channel>, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        Ok(FleetClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Returns a request that carries the fleet's key.
    pub(crate) fn request<T>(&self, message: T) -> Result<Request<T>, Status> {
        let mut request = Request::new(message);
        let bearer = format!("Bearer {}", self.settings.key.expose());
        let value: MetadataValue<Ascii> = bearer.parse().map_err(|_| {
            Status::invalid_argument("the fleet's key has bytes a header cannot carry")
        })?;
        request.metadata_mut().insert("authorization", value);
        Ok(request)
    }

    fn touch_counts(&self) {
        self.counted.send_modify(|count| *count += 1);
    }

    fn children(&self) -> MutexGuard<'_, BTreeMap<u64, Child>> {
        self.children.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
