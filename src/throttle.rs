//! Rate limit of the log: a maximum number of lines a second for each kind of line.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use model::lock;
use slog::{Drain, Level, OwnedKVList, Record, b, record};

/// Maximum number of lines of one kind in a window. Leaves room for a line for each refused call at
/// the usual load of a VM.
const MAX_LINES_PER_WINDOW: u32 = 200;

/// Length of a counting window.
const WINDOW: Duration = Duration::from_secs(1);

/// Numbers of lines of one kind in the current window.
#[derive(Debug, Default)]
struct Count {
    written: u32,
    dropped: u64,
}

/// Counts lines by kind and window, and decides which are written.
#[derive(Debug)]
pub(crate) struct LineLimiter {
    window_end: Instant,
    counts: HashMap<&'static str, Count>,
}

/// Decision about one line.
#[derive(Debug, PartialEq)]
pub(crate) struct Decision {
    /// Whether the line is written.
    pub(crate) write: bool,
    /// Numbers of lines dropped in the previous window, by kind. Empty unless the line is the first
    /// of a new window.
    pub(crate) dropped: Vec<(&'static str, u64)>,
}

impl LineLimiter {
    /// Returns a limiter whose first window begins at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            window_end: now + WINDOW,
            counts: HashMap::new(),
        }
    }

    /// Counts a line of `kind` and decides whether it is written.
    pub(crate) fn check(&mut self, kind: &'static str, now: Instant) -> Decision {
        let mut dropped = Vec::new();
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            for (kind, count) in self.counts.drain() {
                if count.dropped > 0 {
                    dropped.push((kind, count.dropped));
                }
            }
        }
        let count = self.counts.entry(kind).or_default();
        let write = count.written < MAX_LINES_PER_WINDOW;
        if write {
            count.written += 1;
        } else {
            count.dropped += 1;
        }
        Decision { write, dropped }
    }
}

/// Drain that forwards lines to another drain within the rate limit.
#[derive(Debug)]
pub(crate) struct Throttle<D> {
    drain: D,
    limiter: Mutex<LineLimiter>,
}

impl<D> Throttle<D> {
    /// Returns a throttle that forwards to `drain`.
    pub(crate) fn new(drain: D) -> Self {
        Self {
            drain,
            limiter: Mutex::new(LineLimiter::new(Instant::now())),
        }
    }
}

impl<D: Drain> Drain for Throttle<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        // Lines with a formatted message are counted by source file.
        let kind = line.msg().as_str().unwrap_or_else(|| line.file());
        let decision = {
            let mut limiter = lock(&self.limiter);
            limiter.check(kind, Instant::now())
        };
        for (kind, count) in decision.dropped {
            self.drain.log(
                &record!(
                    Level::Warning,
                    "",
                    &format_args!("lines left out"),
                    b!("kind" => kind, "count" => count)
                ),
                values,
            )?;
        }
        if decision.write {
            self.drain.log(line, values)?;
        }
        Ok(())
    }
}
