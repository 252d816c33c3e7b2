//! Bounds the volume of the log: so many lines a second for each kind of line.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use model::lock;
use slog::{Drain, Level, OwnedKVList, Record, b, record};

/// Lines of one kind in a window. At the usual load of a VM, a line for each refused call fits.
const MAX_LINES: u32 = 200;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind in the current window.
#[derive(Debug, Default)]
struct Count {
    written: u32,
    left_out: u64,
}

/// Decides which lines are written.
#[derive(Debug)]
pub(crate) struct Meter {
    until: Instant,
    counts: HashMap<&'static str, Count>,
}

/// What becomes of a line.
#[derive(Debug, PartialEq)]
pub(crate) struct Verdict {
    /// Whether it is written.
    pub(crate) write: bool,
    /// Lines that the last window left out, by kind, if a new one begins.
    pub(crate) left_out: Vec<(&'static str, u64)>,
}

impl Meter {
    /// Returns a meter whose first window begins at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            until: now + WINDOW,
            counts: HashMap::new(),
        }
    }

    /// Decides about a line of `kind`.
    pub(crate) fn pass(&mut self, kind: &'static str, now: Instant) -> Verdict {
        let mut left_out = Vec::new();
        if now >= self.until {
            self.until = now + WINDOW;
            for (kind, count) in self.counts.drain() {
                if count.left_out > 0 {
                    left_out.push((kind, count.left_out));
                }
            }
        }
        let count = self.counts.entry(kind).or_default();
        let write = count.written < MAX_LINES;
        if write {
            count.written += 1;
        } else {
            count.left_out += 1;
        }
        Verdict { write, left_out }
    }
}

/// Passes lines on to another drain within their bounds.
#[derive(Debug)]
pub(crate) struct Throttle<D> {
    drain: D,
    meter: Mutex<Meter>,
}

impl<D> Throttle<D> {
    /// Returns a throttle before `drain`.
    pub(crate) fn new(drain: D) -> Self {
        Self {
            drain,
            meter: Mutex::new(Meter::new(Instant::now())),
        }
    }
}

impl<D: Drain> Drain for Throttle<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        // A line whose message is not fixed counts by its place in the code.
        let kind = line.msg().as_str().unwrap_or_else(|| line.file());
        let verdict = {
            let mut meter = lock(&self.meter);
            meter.pass(kind, Instant::now())
        };
        for (kind, count) in verdict.left_out {
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
        if verdict.write {
            self.drain.log(line, values)?;
        }
        Ok(())
    }
}
