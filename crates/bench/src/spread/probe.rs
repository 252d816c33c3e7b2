//! Statistics of a fleet: bytes between daemons, store calls, versions in force, process usage.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use harness::{Caller, DaemonProcess, Error, Fleet, VmSpec};
use serde::{Deserialize, Serialize};
use standin::Counts;

use super::workload::to_error;

/// Time-out for a fleet to start or to converge.
pub(crate) const FLEET_TIMEOUT: Duration = Duration::from_secs(120);

/// Daemon settings that select JSON logs, which [`versions_in_force`] parses.
pub(crate) const JSON_LOG: &str = "[log]\nformat = \"json\"\n";

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: u64 = 100;

/// Bytes of the messages that a daemon exchanged with other daemons.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct ByteCounts {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

impl ByteCounts {
    /// Returns the bytes since `before`.
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            sent: self.sent - before.sent,
            received: self.received - before.received,
        }
    }
}

/// Returns the bytes of each daemon since its start.
pub(crate) async fn byte_counts(fleet: &Fleet) -> Result<Vec<ByteCounts>, Error> {
    let caller = Caller::default();
    let mut all = Vec::with_capacity(fleet.daemons.len());
    for daemon in &fleet.daemons {
        all.push(daemon_byte_counts(&caller, daemon).await?);
    }
    Ok(all)
}

async fn daemon_byte_counts(caller: &Caller, daemon: &DaemonProcess) -> Result<ByteCounts, Error> {
    let response = caller.get(daemon.admin, "bench", "/metrics").await?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    Ok(ByteCounts {
        sent: metric(&text, "sardinestall_fleet_sent_bytes_total")?,
        received: metric(&text, "sardinestall_fleet_received_bytes_total")?,
    })
}

fn metric(text: &str, name: &str) -> Result<u64, Error> {
    let mut values = text
        .lines()
        .filter_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
    let value = values.next();
    Ok(value.ok_or_else(|| to_error(format!("no metric {name}")))? as u64)
}

/// Bytes sent and received per daemon: mean and maximum over the fleet.
#[derive(Debug, Serialize)]
pub(crate) struct Traffic {
    pub(crate) mean: u64,
    pub(crate) max: u64,
}

impl Traffic {
    /// Returns the traffic between two readings, divided by `divisor`.
    pub(crate) fn between(before: &[ByteCounts], after: &[ByteCounts], divisor: f64) -> Self {
        let totals: Vec<u64> = after
            .iter()
            .zip(before)
            .map(|(after, before)| after.since(*before))
            .map(|bytes| ((bytes.sent + bytes.received) as f64 / divisor) as u64)
            .collect();
        Self {
            mean: totals.iter().sum::<u64>() / totals.len().max(1) as u64,
            max: totals.iter().copied().max().unwrap_or_default(),
        }
    }
}

/// Returns the store calls between two readings.
pub(crate) fn calls_between(before: &Counts, after: &Counts) -> Counts {
    Counts {
        gets: after.gets - before.gets,
        lists: after.lists - before.lists,
        puts: after.puts - before.puts,
        watches: after.watches - before.watches,
        leases: after.leases - before.leases,
        limited: after.limited - before.limited,
    }
}

/// A line of a daemon's JSON log. Lines with the message `version in force` have a version and a
/// time, in microseconds of UNIX time.
#[derive(Debug, Deserialize)]
struct LogLine {
    msg: String,
    version: Option<u64>,
    at_us: Option<u64>,
}

/// Returns when each version came into force on a daemon from `from_us` on.
///
/// All times are in microseconds of UNIX time. `from_us` excludes earlier processes: a restarted
/// daemon appends to the log of its predecessor.
pub(crate) fn versions_in_force(log: &str, from_us: u64) -> BTreeMap<u64, u64> {
    let lines = log.lines().filter_map(|line| {
        let line: LogLine = serde_json::from_str(line).ok()?;
        if line.msg != "version in force" {
            return None;
        }
        Some((line.version?, line.at_us?))
    });
    lines.filter(|(_, at)| *at >= from_us).collect()
}

/// Returns the UNIX time in microseconds.
pub(crate) fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_micros() as u64
}

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Usage {
    pub(crate) cpu_ms: u64,
    pub(crate) rss_kb: u64,
}

/// Returns the usage of each daemon since its start.
pub(crate) fn usage(fleet: &Fleet) -> Vec<Usage> {
    let daemons = fleet.daemons.iter();
    daemons
        .map(|daemon| daemon.process.id().map(process_usage).unwrap_or_default())
        .collect()
}

fn process_usage(id: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit_once(") ")
        .map_or(Vec::new(), |(_, rest)| rest.split(' ').collect());
    let field = |i: usize| fields.get(i).and_then(|text| text.parse::<u64>().ok());
    let ticks = field(11).unwrap_or_default() + field(12).unwrap_or_default();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let rss = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
    Usage {
        cpu_ms: ticks * 1_000 / TICKS_PER_S,
        rss_kb: rss
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or_default(),
    }
}

/// Returns the VM with number `index` of a fleet in `domains` failure domains.
pub(crate) fn vm_spec(index: usize, domains: usize) -> VmSpec {
    let domain = format!("domain-{}", index % domains);
    let mut spec = VmSpec::new(&format!("vm-{index}"), &domain, "region-0");
    spec.settings = JSON_LOG.into();
    spec
}

/// Waits until the first daemon's status counts `daemons` daemons that serve `version` or a later
/// one.
pub(crate) async fn wait_converged(
    fleet: &Fleet,
    daemons: usize,
    version: u64,
) -> Result<(), Error> {
    let client = fleet.daemons[0].client();
    harness::wait_until("the version on every daemon", FLEET_TIMEOUT, async || {
        let Ok(status) = client.status().await else {
            return false;
        };
        let counts = status.versions.iter();
        let served = counts.filter(|count| count.version.get() >= version);
        served.map(|count| count.daemons as usize).sum::<usize>() >= daemons
    })
    .await
}
