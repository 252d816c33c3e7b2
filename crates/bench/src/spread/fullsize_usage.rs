//! What a process uses, as the kernel tells.

use std::fs;

use harness::Error;

/// Ticks of processor time a second.
const TICKS_PER_S: f64 = 100.0;

/// What a process used so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Resident memory, in KiB.
    pub(crate) resident: u64,
    /// Most resident memory, in KiB.
    pub(crate) peak: u64,
    /// Resident memory that is not backed by files, in KiB.
    pub(crate) anonymous: u64,
    /// Processor time, in seconds.
    pub(crate) cpu: f64,
    /// Threads.
    pub(crate) threads: u64,
}

impl Usage {
    /// Reads what process `id` used.
    pub(crate) fn read(id: u32) -> Result<Self, Error> {
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The second field is a name in parentheses; user and system time follow as 14 and 15.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = fields.split(' ').skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
        Ok(Self {
            resident: field(&status, "VmRSS:"),
            peak: field(&status, "VmHWM:"),
            anonymous: field(&status, "RssAnon:"),
            cpu: ticks as f64 / TICKS_PER_S,
            threads: field(&status, "Threads:"),
        })
    }
}

/// Returns the number in the line that begins with `name`.
fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
