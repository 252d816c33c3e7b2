//! State shared by the tasks of a node.

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
use crate::codec::{Update, VersionStamp, whole_to_wire};
use crate::counts::{Lag, Report};
use crate::expiry_guard::ExpiryGuard;
use crate::floor::Floor;
use crate::join_limit::JoinLimit;
use crate::metrics::NodeMetrics;
use crate::relays::Relays;

/// Time-out for connecting to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a message between daemons: a whole state at the design size, with headroom.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Size up to which changes are sent without comparing them with the whole state.
const MAX_SMALL_BYTES: usize = 16 << 10;

/// Maximum number of whole states sent to children concurrently.
const MAX_TRANSFERS: usize = 4;

/// Bit that is set in the ids of links between relays.
const MESH_BIT: u64 = 1 << 63;

/// Returns whether `link` connects two relays.
pub(crate) fn is_mesh(link: LinkId) -> bool {
    link.0 & MESH_BIT != 0
}

/// State shared by the tasks of a node.
///
/// Lock order: `packed_state` is locked before the table. No other lock is held while acquiring
/// another one.
#[derive(Debug)]
pub(crate) struct Hub {
    pub(crate) settings: Settings,
    /// Fleet address under which other daemons reach this one.
    pub(crate) address: SocketAddr,
    pub(crate) table: Arc<Table>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) log: Logger,
    /// Cancelled when a graceful shutdown begins; the relay role is handed over.
    pub(crate) shutdown: CancellationToken,
    /// Cancelled when all links are to be closed.
    pub(crate) stop: CancellationToken,
    /// VMs from the relay down to this daemon; empty while it is not connected to a relay.
    pub(crate) path: watch::Sender<Vec<VmId>>,
    /// Fleet address of the parent.
    pub(crate) parent: watch::Sender<Option<String>>,
    /// Time until which the relay's lease is guaranteed to be valid; `None` if this daemon is not a
    /// relay.
    pub(crate) lease_until: watch::Sender<Option<Instant>>,
    /// Relays of the fleet.
    pub(crate) relays: watch::Sender<Relays>,
    /// Counter incremented whenever the report of this daemon changes.
    pub(crate) report_changes: watch::Sender<u64>,
    /// Link to the child that was last appointed to claim a relay slot.
    pub(crate) appointed: watch::Sender<Option<LinkId>>,
    pub(crate) children: Children,
    pub(crate) floor: Floor,
    pub(crate) transfers: Arc<Semaphore>,
    pub(crate) metrics: NodeMetrics,
    joins: Mutex<JoinLimit>,
    expiry_guard: Mutex<ExpiryGuard>,
    /// Compressed whole state, cached for its version.
    packed_state: Mutex<Option<WholeState>>,
    /// Reason why this daemon does not serve the newest version.
    lag_reason: Mutex<Option<String>>,
    next_link: AtomicU64,
}

impl Hub {
    pub(crate) fn new(
        settings: Settings,
        address: SocketAddr,
        table: Arc<Table>,
        ledger: Arc<Ledger>,
        store: Arc<dyn Store>,
        metrics: NodeMetrics,
        log: Logger,
    ) -> Self {
        Self {
            settings,
            address,
            table,
            ledger,
            store,
            log,
            shutdown: CancellationToken::new(),
            stop: CancellationToken::new(),
            path: watch::Sender::new(Vec::new()),
            parent: watch::Sender::new(None),
            lease_until: watch::Sender::new(None),
            relays: watch::Sender::new(Relays::default()),
            report_changes: watch::Sender::new(0),
            appointed: watch::Sender::new(None),
            children: Children::default(),
            floor: Floor::default(),
            transfers: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            metrics,
            joins: Mutex::new(JoinLimit::new(Instant::now())),
            expiry_guard: Mutex::default(),
            packed_state: Mutex::default(),
            lag_reason: Mutex::default(),
            next_link: AtomicU64::new(1),
        }
    }

    /// Allocates an id for a new link.
    pub(crate) fn new_link(&self, mesh: bool) -> LinkId {
        let id = self.next_link.fetch_add(1, Ordering::Relaxed);
        LinkId(if mesh { id | MESH_BIT } else { id })
    }

    /// Returns whether this daemon is a relay.
    pub(crate) fn is_relay(&self) -> bool {
        self.lease_until.borrow().is_some()
    }

    /// Returns whether the version floor is known and reached.
    pub(crate) fn is_ready(&self) -> bool {
        let floor = self.floor.get();
        floor.is_some_and(|floor| self.table.snapshot().version >= floor)
    }

    /// Replaces the list of relays if `relays` has a higher revision.
    pub(crate) fn update_relays(&self, relays: Relays) {
        self.relays.send_if_modified(|known| {
            let newer = relays.revision > known.revision;
            if newer {
                *known = relays;
            }
            newer
        });
    }

    /// Applies an update from another daemon; ignores it if it is below the version floor or while
    /// the floor is unknown.
    ///
    /// # Errors
    ///
    /// Fails if the update cannot be applied.
    pub(crate) fn apply_update(&self, update: Update) -> Result<(), ApplyError> {
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

    /// Returns the update from `stamp` to the version in force: the changes, or the whole state if
    /// that is smaller.
    pub(crate) fn update_after(&self, stamp: VersionStamp) -> Update {
        let changes = Update::changes_after(&self.table, stamp);
        if let Some(changes) = &changes
            && changes.size() <= MAX_SMALL_BYTES
        {
            return changes.clone();
        }
        let whole = Update::of_state(self.whole_state());
        match changes {
            Some(changes) if changes.size() <= whole.size() => changes,
            _ => whole,
        }
    }

    /// Returns whether the update after `stamp` is large enough to count against `transfers`.
    pub(crate) fn is_far_behind(&self, stamp: VersionStamp) -> bool {
        let changes = Update::changes_after(&self.table, stamp);
        changes.is_none_or(|changes| changes.size() > MAX_SMALL_BYTES)
    }

    /// Returns the compressed whole state of the version in force.
    fn whole_state(&self) -> Option<WholeState> {
        let version = self.table.snapshot().version;
        let mut packed = lock(&self.packed_state);
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

    /// Returns the versions served in this daemon's subtree, and the daemons that lag.
    pub(crate) fn report(&self) -> Report {
        let version = self.table.snapshot().version;
        let mut report = Report::default();
        report.counts.add(version, 1);
        if let Some(reason) = self.local_lag_reason() {
            report.lags.push(Lag {
                vm: self.settings.vm.clone(),
                version,
                reason,
            });
        }
        self.children
            .add_to_report(&mut report, version, Instant::now());
        report
    }

    /// Notifies the parent link that the report has changed.
    pub(crate) fn notify_report(&self) {
        self.report_changes.send_modify(|count| *count += 1);
        self.metrics.children.set(self.children.len() as i64);
    }

    /// Sets the reason why this daemon does not serve the newest version; cleared when the next
    /// version is in force.
    pub(crate) fn set_lag_reason(&self, reason: &str) {
        *lock(&self.lag_reason) = Some(reason.into());
        self.notify_report();
    }

    /// Clears the lag reason.
    pub(crate) fn clear_lag_reason(&self) {
        *lock(&self.lag_reason) = None;
    }

    fn local_lag_reason(&self) -> Option<String> {
        if !self.is_ready() {
            return Some("it has not reached its version floor since its start".into());
        }
        lock(&self.lag_reason).clone()
    }

    /// Admits a joining daemon.
    ///
    /// # Errors
    ///
    /// Returns the delay after which to retry if the join rate is exceeded.
    pub(crate) fn admit_join(&self) -> Result<(), Duration> {
        lock(&self.joins).admit(Instant::now())
    }

    /// Returns whether `lost` of `known` daemons, lost at the same time, may be expired.
    pub(crate) fn may_expire(&self, lost: usize, known: usize) -> bool {
        lock(&self.expiry_guard).admits(lost, known, Instant::now())
    }

    /// Appoints a random child in this failure domain to claim a vacant relay slot.
    pub(crate) fn appoint(&self) {
        let Some(link) = self.children.random_in(&self.settings.domain) else {
            return;
        };
        info!(self.log, "asking a child to claim the vacant relay slot");
        self.appointed.send_replace(Some(link));
    }

    /// Returns a client for the daemon at `address`, which connects on first use.
    ///
    /// # Errors
    ///
    /// Fails if `address` is invalid.
    pub(crate) fn client(&self, address: &str) -> Result<FleetClient<Channel>, Status> {
        let channel = endpoint(address)?
            .connect_timeout(CONNECT_TIMEOUT)
            .connect_lazy();
        Ok(FleetClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Returns a request signed with the fleet key.
    ///
    /// # Errors
    ///
    /// Fails if the key contains bytes that are invalid in a header.
    pub(crate) fn request<T>(&self, message: T) -> Result<Request<T>, Status> {
        let key = FleetKey::new(self.settings.key.clone()).ok_or_else(|| {
            Status::invalid_argument("the fleet's key has bytes a header cannot carry")
        })?;
        Ok(key.authorized(message))
    }
}
