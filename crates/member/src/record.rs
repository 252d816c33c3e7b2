//! Membership record of one daemon and its upstream.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use model::{
    CrashId, CrashReport, Departure, Departures, DomainName, Fingerprint, Incarnation, Involvement,
    Rate, RegionName, ServiceName, UnixMillis, VmId,
};
use wire::fleet;

/// Latest incarnation that a daemon can have, in milliseconds since the Unix epoch: the year 2200. The next one above it
/// can be formed.
const MAX_INCARNATION: u64 = 7_258_118_400_000;

/// Largest counter that a daemon can reach. The next one above it can be formed.
const MAX_COUNTER: u64 = 1 << 48;

/// State of the upstream of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// No upstream has announced itself.
    Absent,
    /// Slow start: receives a growing share of the calls.
    Warming,
    /// Receives calls.
    Ready,
    /// Receives no new calls; completes those in flight.
    Draining,
    /// The daemon has stopped.
    Left,
}

/// Membership record of one daemon and its upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// VM of the daemon.
    pub vm: VmId,
    /// Incarnation of the daemon that wrote the record.
    pub incarnation: Incarnation,
    /// Write counter within the incarnation.
    pub counter: u64,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Service that the upstream belongs to.
    pub service: Option<ServiceName>,
    /// Address of the daemon's gate.
    pub gate: SocketAddr,
    /// Address of the daemon's fleet port.
    pub fleet: SocketAddr,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Rate of the VM's link, if known.
    pub link: Option<Rate>,
    /// Whether another daemon marked the record as expired because its writer was unreachable.
    pub expired: bool,
    /// Time at which the daemon left or expired; `None` while it is alive.
    pub ended: Option<UnixMillis>,
    /// Requests that were in flight when the upstream crashed, with all crashes known of them.
    pub crashes: Vec<CrashReport>,
    /// Upstreams of the VM that drain or have left, so that a daemon that starts on it does not use them again.
    pub departures: Departures,
}

impl Record {
    /// Orders two records of one VM by incarnation, counter, expiry and end time. The greater one has
    /// precedence.
    pub fn order(&self, other: &Self) -> Ordering {
        let rank = |record: &Self| {
            (
                record.incarnation,
                record.counter,
                record.expired,
                record.ended,
            )
        };
        rank(self).cmp(&rank(other))
    }

    /// Returns whether the daemon ended at least `age` before `now`.
    pub(crate) fn ended_before(&self, now: UnixMillis, age: Duration) -> bool {
        let age = age.as_millis() as u64;
        self.ended
            .is_some_and(|at| at.get().saturating_add(age) <= now.get())
    }

    /// Returns whether the daemon has neither left nor expired.
    pub fn is_alive(&self) -> bool {
        !self.expired && self.state != UpstreamState::Left
    }

    /// Returns whether the upstream accepts new calls.
    pub fn takes_calls(&self) -> bool {
        !self.expired && matches!(self.state, UpstreamState::Warming | UpstreamState::Ready)
    }
}

/// A received record that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error(
    "the record of VM `{vm}` has an unreadable {field}; check that both daemons run one release"
)]
pub struct RecordError {
    vm: String,
    field: &'static str,
}

impl TryFrom<fleet::Record> for Record {
    type Error = RecordError;

    fn try_from(record: fleet::Record) -> Result<Self, RecordError> {
        let fail = |field| RecordError {
            vm: record.vm.clone(),
            field,
        };
        let service = match record.service.as_str() {
            "" => None,
            name => Some(name.parse().map_err(|_| fail("service"))?),
        };
        if record.incarnation > MAX_INCARNATION {
            return Err(fail("incarnation"));
        }
        if record.counter > MAX_COUNTER {
            return Err(fail("counter"));
        }
        Ok(Self {
            vm: record.vm.parse().map_err(|_| fail("vm"))?,
            incarnation: Incarnation::new(record.incarnation),
            counter: record.counter,
            state: state_from_wire(record.state()),
            service,
            gate: record.gate.parse().map_err(|_| fail("gate"))?,
            fleet: record.fleet.parse().map_err(|_| fail("fleet"))?,
            domain: record.domain.parse().map_err(|_| fail("domain"))?,
            region: record.region.parse().map_err(|_| fail("region"))?,
            slots: record.slots,
            link: Rate::from_bits(record.link_bits),
            expired: record.expired,
            ended: (record.ended_ms != 0).then_some(UnixMillis::new(record.ended_ms)),
            crashes: record
                .crashes
                .iter()
                .map(|report| report_from_wire(report).ok_or_else(|| fail("crash report")))
                .collect::<Result<_, _>>()?,
            departures: departures_from_wire(&record.departures)
                .ok_or_else(|| fail("departure"))?,
        })
    }
}

impl From<&Record> for fleet::Record {
    fn from(record: &Record) -> Self {
        Self {
            vm: record.vm.to_string(),
            incarnation: record.incarnation.get(),
            counter: record.counter,
            state: state_to_wire(record.state).into(),
            service: record
                .service
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            gate: record.gate.to_string(),
            fleet: record.fleet.to_string(),
            domain: record.domain.to_string(),
            region: record.region.to_string(),
            slots: record.slots,
            link_bits: record.link.map_or(0, Rate::bits),
            expired: record.expired,
            ended_ms: record.ended.map_or(0, UnixMillis::get),
            crashes: record.crashes.iter().map(report_to_wire).collect(),
            departures: departures_to_wire(&record.departures),
        }
    }
}

/// Returns the departures in a message; `None` if one of them cannot be read.
pub fn departures_from_wire(departures: &[fleet::Departure]) -> Option<Departures> {
    let departures = departures.iter().map(|departure| {
        Some(Departure {
            instance: departure.instance.parse().ok()?,
            until: Incarnation::new(departure.until),
            expires: UnixMillis::new(departure.expires_ms),
        })
    });
    departures.collect()
}

/// Returns the departures as they stand in messages.
pub fn departures_to_wire(departures: &Departures) -> Vec<fleet::Departure> {
    let departures = departures.iter().map(|departure| fleet::Departure {
        instance: departure.instance.to_string(),
        until: departure.until.get(),
        expires_ms: departure.expires.get(),
    });
    departures.collect()
}

fn report_from_wire(report: &fleet::CrashReport) -> Option<CrashReport> {
    Some(CrashReport {
        request: Fingerprint::from_slice(&report.request)?,
        crash: CrashId::new(report.crash),
        involvement: match report.cause {
            true => Involvement::Cause,
            false => Involvement::InFlight,
        },
        expires: UnixMillis::new(report.expires_ms),
    })
}

fn report_to_wire(report: &CrashReport) -> fleet::CrashReport {
    fleet::CrashReport {
        request: report.request.to_bytes().into(),
        crash: report.crash.get(),
        expires_ms: report.expires.get(),
        cause: report.involvement == Involvement::Cause,
    }
}

fn state_from_wire(state: fleet::UpstreamState) -> UpstreamState {
    match state {
        fleet::UpstreamState::Absent => UpstreamState::Absent,
        fleet::UpstreamState::Warming => UpstreamState::Warming,
        fleet::UpstreamState::Ready => UpstreamState::Ready,
        fleet::UpstreamState::Draining => UpstreamState::Draining,
        fleet::UpstreamState::Left => UpstreamState::Left,
    }
}

fn state_to_wire(state: UpstreamState) -> fleet::UpstreamState {
    match state {
        UpstreamState::Absent => fleet::UpstreamState::Absent,
        UpstreamState::Warming => fleet::UpstreamState::Warming,
        UpstreamState::Ready => fleet::UpstreamState::Ready,
        UpstreamState::Draining => fleet::UpstreamState::Draining,
        UpstreamState::Left => fleet::UpstreamState::Left,
    }
}
