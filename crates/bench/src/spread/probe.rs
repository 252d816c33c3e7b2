//! What a fleet of daemons has done: bytes, calls of the store, versions in force.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use harness::{Caller, DaemonProcess, Error, Fleet, VmSpec};
use serde::{Deserialize, Serialize};
use standin::Counts;

use super::workload::fail;

/// Longest wait for a fleet to come up or to converge.
pub(crate) const LIMIT: Duration = Duration::from_secs(120);

/// Settings of the daemons' logs.
pub(crate) const JSON_LOG: &str = "[log]\nformat = \"json\"\n";

/// Clock ticks a second in `/proc`.
const TICKS: u64 = 100;

/// Bytes of messages between daemons.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Bytes {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

impl Bytes {
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            sent: self.sent - before.sent,
            received: self.received - before.received,
        }
    }
}

/// Returns the bytes of each daemon since its start.
pub(crate) async fn bytes(fleet: &Fleet) -> Result<Vec<Bytes>, Error> {
    let caller = Caller::default();
    let mut all = Vec::with_capacity(fleet.daemons.len());
    for daemon in &fleet.daemons {
        all.push(bytes_of(&caller, daemon).await?);
    }
    Ok(all)
}

async fn bytes_of(caller: &Caller, daemon: &DaemonProcess) -> Result<Bytes, Error> {
    let answer = caller.get(daemon.admin, "bench", "/metrics").await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Ok(Bytes {
        sent: metric(&text, "sardinestall_fleet_sent_bytes_total")?,
        received: metric(&text, "sardinestall_fleet_received_bytes_total")?,
    })
}

fn metric(text: &str, name: &str) -> Result<u64, Error> {
    let mut values = text
        .lines()
        .filter_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
    let value = values.next();
    Ok(value.ok_or_else(|| fail(format!("no metric {name}")))? as u64)
}

/// Bytes of a fleet, each daemon's sent and received together.
#[derive(Debug, Serialize)]
pub(crate) struct Load {
    pub(crate) mean: u64,
    pub(crate) max: u64,
}

impl Load {
    /// Returns what the daemons moved between two looks, divided by `share`.
    pub(crate) fn between(before: &[Bytes], after: &[Bytes], share: f64) -> Self {
        let moved: Vec<u64> = after
            .iter()
            .zip(before)
            .map(|(after, before)| after.since(*before))
            .map(|bytes| ((bytes.sent + bytes.received) as f64 / share) as u64)
            .collect();
        Self {
            mean: moved.iter().sum::<u64>() / moved.len().max(1) as u64,
            max: moved.iter().copied().max().unwrap_or_default(),
        }
    }
}

/// Returns the calls between two counts.
pub(crate) fn calls(before: &Counts, after: &Counts) -> Counts {
    Counts {
        gets: after.gets - before.gets,
        lists: after.lists - before.lists,
        puts: after.puts - before.puts,
        watches: after.watches - before.watches,
        leases: after.leases - before.leases,
        limited: after.limited - before.limited,
    }
}

/// A line of a daemon's log that says which version came in force.
#[derive(Debug, Deserialize)]
struct Line {
    msg: String,
    version: Option<u64>,
    at_us: Option<u64>,
}

/// Returns when each version came in force on a daemon after `from`, in microseconds of UNIX time.
///
/// A restarted daemon's log follows the one of its predecessor.
pub(crate) fn versions(log: &str, from: u64) -> BTreeMap<u64, u64> {
    let lines = log.lines().filter_map(|line| {
        let line: Line = serde_json::from_str(line).ok()?;
        if line.msg != "version in force" {
            return None;
        }
        Some((line.version?, line.at_us?))
    });
    lines.filter(|(_, at)| *at >= from).collect()
}

/// Returns the UNIX time in microseconds.
pub(crate) fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_micros() as u64
}

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Usage {
    pub(crate) cpu_ms: u64,
    pub(crate) rss_kb: u64,
}

/// Returns what each daemon has used since its start.
pub(crate) fn usage(fleet: &Fleet) -> Vec<Usage> {
    let daemons = fleet.daemons.iter();
    daemons
        .map(|daemon| daemon.process.id().map(usage_of).unwrap_or_default())
        .collect()
}

fn usage_of(id: u32) -> Usage {
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
        cpu_ms: ticks * 1_000 / TICKS,
        rss_kb: rss
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or_default(),
    }
}

/// Describes the daemon with number `index`, of a fleet over `domains` failure domains.
pub(crate) fn spec(index: usize, domains: usize) -> VmSpec {
    let domain = format!("domain-{}", index % domains);
    let mut spec = VmSpec::new(&format!("vm-{index}"), &domain, "region-0");
    spec.settings = JSON_LOG.into();
    spec
}

/// Waits until the first daemon counts `daemons` that all serve `version` or a later one.
pub(crate) async fn wait_counted(fleet: &Fleet, daemons: usize, version: u64) -> Result<(), Error> {
    let client = fleet.daemons[0].client();
    harness::wait_until("the version on every daemon", LIMIT, async || {
        let Ok(status) = client.status().await else {
            return false;
        };
        let counts = status.versions.iter();
        let served = counts.filter(|count| count.version.get() >= version);
        served.map(|count| count.daemons as usize).sum::<usize>() >= daemons
    })
    .await
}
