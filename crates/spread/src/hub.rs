//! What the tasks of the distribution share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ledger::Ledger;
use member::LinkId;
use model::{VmId, lock};
use slog::{Logger, info};
use store::Store;
use table::{ApplyError, Table};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tonic::transport::Channel;
use tonic::{Request, Status};
use wire::fleet::WholeState;
use wire::fleet::fleet_client::FleetClient;
use wire::{FleetKey, endpoint};

use crate::Settings;
use crate::children::Children;
use crate::codec::{Mark, Update, whole_to_wire};
use crate::counts::{Lag, Report};
use crate::floor::Floor;
use crate::guard::Guard;
use crate::join::JoinLimit;
use crate::relays::Relays;
use crate::traffic::Traffic;

/// Longest wait for a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message between daemons, in bytes: a whole state at the design size with room to grow.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Largest changes that are sent without a look at the size of the whole state, in bytes.
const MAX_SMALL_BYTES: usize = 16 << 10;

/// Whole states sent to children at once.
const MAX_TRANSFERS: usize = 4;

/// Set in the ids of links between relays.
const MESH_BIT: u64 = 1 << 63;

/// Returns whether a link is one between relays.
pub(crate) fn is_mesh(link: LinkId) -> bool {
    link.0 & MESH_BIT != 0
}

/// What the tasks of the distribution share. `packed` is taken before the lock of the table; no
/// other lock in it is held while another one is taken.
#[derive(Debug)]
pub(crate) struct Hub {
    pub(crate) settings: Settings,
    /// Fleet address that others reach this daemon at.
    pub(crate) address: SocketAddr,
    pub(crate) table: Arc<Table>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) log: Logger,
    /// Cancelled when a planned stop begins: the duty is handed over.
    pub(crate) retire: CancellationToken,
    /// Cancelled when the links end.
    pub(crate) stop: CancellationToken,
    /// VMs from the relay down to this daemon; empty while it is below no relay.
    pub(crate) path: watch::Sender<Vec<VmId>>,
    /// Fleet address of the daemon that this one follows.
    pub(crate) parent: watch::Sender<Option<String>>,
    /// Until when this daemon surely holds a relay's lease; `None` while it has no duty.
    pub(crate) duty: watch::Sender<Option<Instant>>,
    /// The relays of the fleet.
    pub(crate) relays: watch::Sender<Relays>,
    /// Changes whenever the report of this daemon does.
    pub(crate) reported: watch::Sender<u64>,
    /// Link to the child that is asked to take a relay's duty.
    pub(crate) appointed: watch::Sender<Option<LinkId>>,
    pub(crate) children: Children,
    pub(crate) floor: Floor,
    pub(crate) transfers: Arc<Semaphore>,
    pub(crate) traffic: Traffic,
    joins: Mutex<JoinLimit>,
    guard: Mutex<Guard>,
    packed: Mutex<Option<WholeState>>,
    trouble: Mutex<Option<String>>,
    links: AtomicU64,
}

impl Hub {
    pub(crate) fn new(
        settings: Settings,
        address: SocketAddr,
        table: Arc<Table>,
        ledger: Arc<Ledger>,
        store: Arc<dyn Store>,
        traffic: Traffic,
        log: Logger,
    ) -> Self {
        Self {
            settings,
            address,
            table,
            ledger,
            store,
            log,
            retire: CancellationToken::new(),
            stop: CancellationToken::new(),
            path: watch::Sender::new(Vec::new()),
            parent: watch::Sender::new(None),
            duty: watch::Sender::new(None),
            relays: watch::Sender::new(Relays::default()),
            reported: watch::Sender::new(0),
            appointed: watch::Sender::new(None),
            children: Children::default(),
            floor: Floor::default(),
            transfers: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            traffic,
            joins: Mutex::new(JoinLimit::new(Instant::now())),
            guard: Mutex::default(),
            packed: Mutex::default(),
            trouble: Mutex::default(),
            links: AtomicU64::new(1),
        }
    }

    /// Returns an id for a new link.
    pub(crate) fn new_link(&self, mesh: bool) -> LinkId {
        let id = self.links.fetch_add(1, Ordering::Relaxed);
        LinkId(if mesh { id | MESH_BIT } else { id })
    }

    /// Returns whether this daemon has a relay's duty.
    pub(crate) fn is_relay(&self) -> bool {
        self.duty.borrow().is_some()
    }

    /// Returns whether this daemon knows its floor and has reached it.
    pub(crate) fn is_ready(&self) -> bool {
        let floor = self.floor.get();
        floor.is_some_and(|floor| self.table.snapshot().version >= floor)
    }

    /// Takes over newer knowledge of the relays.
    pub(crate) fn learn_relays(&self, relays: Relays) {
        self.relays.send_if_modified(|known| {
            let newer = relays.revision > known.revision;
            if newer {
                *known = relays;
            }
            newer
        });
    }

    /// Puts in force what another daemon sent, unless it lies below the floor.
    ///
    /// # Errors
    ///
    /// Fails if the update cannot be put in force.
    pub(crate) fn offer(&self, update: Update) -> Result<(), ApplyError> {
        if !self.is_ready() {
            let Some(floor) = self.floor.get() else {
                return Ok(());
            };
            if update.version()? < Some(floor) {
                return Ok(());
            }
        }
        update.apply(&self.table)
    }

    /// Returns what a daemon at `mark` lacks: the changes, or the whole state where that is smaller.
    pub(crate) fn update_after(&self, mark: Mark) -> Update {
        let changes = Update::changes_after(&self.table, mark);
        if let Some(changes) = &changes
            && changes.size() <= MAX_SMALL_BYTES
        {
            return changes.clone();
        }
        let whole = Update::of_state(self.whole());
        match changes {
            Some(changes) if changes.size() <= whole.size() => changes,
            _ => whole,
        }
    }

    /// Returns whether a daemon at `mark` lacks so much that only some may take it at once.
    pub(crate) fn is_far_behind(&self, mark: Mark) -> bool {
        let changes = Update::changes_after(&self.table, mark);
        changes.is_none_or(|changes| changes.size() > MAX_SMALL_BYTES)
    }

    /// Returns the version in force, whole and compressed.
    fn whole(&self) -> Option<WholeState> {
        let version = self.table.snapshot().version;
        let mut packed = lock(&self.packed);
        if let Some(whole) = packed
            .as_ref()
            .filter(|whole| whole.version == version.get())
        {
            return Some(whole.clone());
        }
        let whole = whole_to_wire(version, &self.table.full_version()?).ok()?;
        *packed = Some(whole.clone());
        Some(whole)
    }

    /// Returns what this daemon and those below it serve, and which of them lag.
    pub(crate) fn report(&self) -> Report {
        let version = self.table.snapshot().version;
        let mut report = Report::default();
        report.counts.add(version, 1);
        if let Some(reason) = self.own_trouble() {
            report.lags.push(Lag {
                vm: self.settings.vm.clone(),
                version,
                reason,
            });
        }
        self.children.add_to(&mut report, version, Instant::now());
        report
    }

    /// Tells the parent that the report has changed.
    pub(crate) fn touch_report(&self) {
        self.reported.send_modify(|count| *count += 1);
        self.traffic.children.set(self.children.len() as i64);
    }

    /// Notes why this daemon does not serve the newest version, until the next one is in force.
    pub(crate) fn set_trouble(&self, reason: &str) {
        *lock(&self.trouble) = Some(reason.into());
        self.touch_report();
    }

    /// Forgets why this daemon did not serve the newest version.
    pub(crate) fn clear_trouble(&self) {
        *lock(&self.trouble) = None;
    }

    fn own_trouble(&self) -> Option<String> {
        if !self.is_ready() {
            return Some("it has not reached its version floor since its start".into());
        }
        lock(&self.trouble).clone()
    }

    /// Admits a daemon that wants to join.
    ///
    /// # Errors
    ///
    /// Returns the time after which there is room for it.
    pub(crate) fn admit_join(&self) -> Result<(), Duration> {
        lock(&self.joins).admit(Instant::now())
    }

    /// Returns whether `lost` daemons, of `known`, that were lost together may be expired.
    pub(crate) fn may_expire(&self, lost: usize, known: usize) -> bool {
        lock(&self.guard).admits(lost, known, Instant::now())
    }

    /// Asks a child in this failure domain to take a vacant relay's duty.
    pub(crate) fn appoint(&self) {
        let Some(link) = self.children.random(&self.settings.domain) else {
            return;
        };
        info!(self.log, "child asked to take a relay's duty");
        self.appointed.send_replace(Some(link));
    }

    /// Returns a client for the daemon at `address`. Connects on first use.
    ///
    /// # Errors
    ///
    /// Fails if `address` is no address.
    pub(crate) fn client(&self, address: &str) -> Result<FleetClient<Channel>, Status> {
        let channel = endpoint(address)?
            .connect_timeout(CONNECT_TIMEOUT)
            .connect_lazy();
        Ok(FleetClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Returns a request that carries the fleet's key.
    pub(crate) fn request<T>(&self, message: T) -> Result<Request<T>, Status> {
        let key = FleetKey::new(self.settings.key.clone()).ok_or_else(|| {
            Status::invalid_argument("the fleet's key has bytes a header cannot carry")
        })?;
        Ok(key.authorized(message))
    }
}
