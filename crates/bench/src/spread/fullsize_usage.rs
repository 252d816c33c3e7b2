//! Memory, processor time and threads of a process, from `/proc`.

use std::fs;

use harness::Error;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Resident memory, in KiB.
    pub(crate) resident_kib: u64,
    /// Peak resident memory, in KiB.
    pub(crate) peak_kib: u64,
    /// Resident memory that is not backed by files, in KiB.
    pub(crate) anonymous_kib: u64,
    /// Processor time since the start, in seconds.
    pub(crate) cpu_s: f64,
    /// Number of threads.
    pub(crate) threads: u64,
}

impl Usage {
    /// Reads the usage of process `id`.
    pub(crate) fn read(id: u32) -> Result<Self, Error> {
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        // Field 2 is the process name in parentheses; user and system time are fields 14 and 15.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = fields.split(' ').skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
        Ok(Self {
            resident_kib: status_field(&status, "VmRSS:"),
            peak_kib: status_field(&status, "VmHWM:"),
            anonymous_kib: status_field(&status, "RssAnon:"),
            cpu_s: ticks as f64 / TICKS_PER_S,
            threads: status_field(&status, "Threads:"),
        })
    }
}

/// Returns the number in the line that begins with `name`, or 0.
fn status_field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
