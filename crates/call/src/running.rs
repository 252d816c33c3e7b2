//! Calls that the upstream runs, to which its crash is attributed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use model::{CrashId, CrashReport, Fingerprint, lock};

use crate::backend::Announcement;
use crate::crashes::Crashes;

/// State of [`RunningCalls`].
#[derive(Debug, Default)]
struct Inner {
    next: u64,
    calls: HashMap<u64, (CrashId, Fingerprint)>,
    /// Reports of the last crash.
    last: Vec<CrashReport>,
}

/// Calls that the upstream of one gate runs.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunningCalls(Arc<Mutex<Inner>>);

/// A call that the upstream runs; ends when dropped.
#[derive(Debug)]
pub(crate) struct RunningCall {
    all: RunningCalls,
    number: u64,
    request: Fingerprint,
    /// Identifies the crash of the upstream's incarnation, should it come.
    crash: CrashId,
}

impl RunningCalls {
    /// Adds a run of `request` at `upstream`.
    pub(crate) fn enter(&self, upstream: &Announcement, request: Fingerprint) -> RunningCall {
        let crash = crash_of(upstream);
        let mut inner = lock(&self.0);
        inner.next += 1;
        let number = inner.next;
        inner.calls.insert(number, (crash, request));
        RunningCall {
            all: self.clone(),
            number,
            request,
            crash,
        }
    }
}

impl RunningCall {
    /// Records the crash of the upstream during this call, and returns the report on the call's request.
    ///
    /// The calls that broke in one crash share its attribution, which the first of them makes.
    pub(crate) fn attribute_crash(&self, crashes: &Crashes) -> Option<CrashReport> {
        let mut inner = lock(&self.all.0);
        let last = inner.last.first();
        if last.is_none_or(|last| last.crash != self.crash) {
            let calls = inner.calls.values();
            let in_flight = calls.filter(|(crash, _)| *crash == self.crash);
            let in_flight: Vec<Fingerprint> = in_flight.map(|(_, request)| *request).collect();
            inner.last = crashes.attribute(self.crash, &in_flight);
        }
        let mut reports = inner.last.iter();
        reports
            .find(|report| report.request == self.request)
            .copied()
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        lock(&self.all.0).calls.remove(&self.number);
    }
}

/// Returns the identifier of the crash of an upstream's incarnation.
fn crash_of(upstream: &Announcement) -> CrashId {
    let instance = upstream.instance.as_ref().map(ToString::to_string);
    let instance = instance.unwrap_or_default();
    let address = upstream.address.to_string();
    let start = upstream.start.get().to_le_bytes();
    CrashId::of([instance.as_bytes(), address.as_bytes(), &start])
}
