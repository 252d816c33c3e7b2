//! Requests that crash upstreams.
//!
//! Designed for a request that ends each upstream that begins to run it, and that its caller sends again. After
//! [`QUARANTINE_CRASHES`] crashes it is refused everywhere; until then it is a suspect. A gate runs one suspect at a
//! time, so that a crash is attributed to the suspect alone, and calls that were in flight at an earlier crash are
//! not quarantined with it.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use model::{CrashId, CrashReport, Fingerprint, UnixMillis, lock};
use tokio::sync::watch;

/// Crashes of upstreams under a request after which the request is refused.
pub const QUARANTINE_CRASHES: usize = 3;

/// Time after which a crash no longer counts, in milliseconds.
pub const CRASH_TTL_MS: u64 = 600_000;

/// Maximum number of requests of which crashes are known; at the limit, a quarter of them is evicted: those with the
/// fewest crashes, among equals those whose crashes are the oldest.
pub const MAX_REQUESTS: usize = 4_096;

/// Maximum number of crashes kept for one request.
const MAX_CRASHES: usize = 8;

/// Maximum number of reports in a membership record.
const MAX_PUBLISHED: usize = 48;

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// No crash counts against it.
    Clear,
    /// It may have crashed an upstream.
    Suspect,
    /// It is not sent to upstreams.
    Quarantined {
        /// Time at which the first of its crashes no longer counts.
        until: UnixMillis,
    },
}

/// Where a crash was observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Place {
    /// At the upstream beside this daemon.
    Local,
    /// At an upstream elsewhere.
    Elsewhere,
}

/// A crash during which a request was in flight.
#[derive(Debug, Clone, Copy)]
struct Crash {
    id: CrashId,
    expires: UnixMillis,
    place: Place,
    /// Whether the request has completed a run since, and so did not cause the crash.
    acquitted: bool,
}

/// The crashes known of each request.
#[derive(Debug, Default)]
pub struct CrashTable(HashMap<Fingerprint, Vec<Crash>>);

impl CrashTable {
    /// Records that a request is held to have caused a crash; returns whether that is new.
    pub fn record(&mut self, report: CrashReport, place: Place, now: UnixMillis) -> bool {
        if report.expires <= now {
            return false;
        }
        // A daemon whose clock is ahead must not prolong a quarantine.
        let latest = UnixMillis::new(now.get() + CRASH_TTL_MS);
        let crashes = self.0.entry(report.request).or_default();
        if let Some(known) = crashes.iter_mut().find(|crash| crash.id == report.crash) {
            if place == Place::Local {
                known.place = place;
            }
            return false;
        }
        if crashes.len() >= MAX_CRASHES {
            let Some(least) = crashes.iter().position(|crash| crash.acquitted) else {
                return false;
            };
            crashes.swap_remove(least);
        }
        crashes.push(Crash {
            id: report.crash,
            expires: report.expires.min(latest),
            place,
            acquitted: false,
        });
        self.evict(now);
        true
    }

    /// Records that a run of `request` was completed; returns whether crashes had counted against it.
    pub fn acquit(&mut self, request: Fingerprint) -> bool {
        let Some(crashes) = self.0.get_mut(&request) else {
            return false;
        };
        let mut changed = false;
        for crash in crashes {
            changed |= !crash.acquitted;
            crash.acquitted = true;
        }
        changed
    }

    /// Returns what is known of `request`.
    pub fn verdict(&self, request: Fingerprint, now: UnixMillis) -> Verdict {
        let mut expiries: Vec<UnixMillis> = self.counted(request, now).map(|c| c.expires).collect();
        expiries.sort();
        match expiries.len() {
            0 => Verdict::Clear,
            // The latest crashes keep it quarantined for as long as enough of them count.
            count if count >= QUARANTINE_CRASHES => Verdict::Quarantined {
                until: expiries[count - QUARANTINE_CRASHES],
            },
            _ => Verdict::Suspect,
        }
    }

    /// Returns the requests among `in_flight` that are held to have caused a crash: those against which the most
    /// crashes count, so that a suspect is held to have caused the crash of the calls beside it.
    pub fn suspects(&self, in_flight: &[Fingerprint], now: UnixMillis) -> Vec<Fingerprint> {
        let count = |request: &Fingerprint| self.counted(*request, now).count();
        let most = in_flight.iter().map(count).max().unwrap_or(0);
        let mut suspects: Vec<Fingerprint> = in_flight
            .iter()
            .copied()
            .filter(|request| count(request) == most)
            .collect();
        suspects.sort();
        suspects.dedup();
        suspects
    }

    /// Returns the reports of the crashes that count against `request`.
    pub fn reports(&self, request: Fingerprint, now: UnixMillis) -> Vec<CrashReport> {
        let crashes = self.counted(request, now);
        let reports = crashes.map(|crash| CrashReport {
            request,
            crash: crash.id,
            expires: crash.expires,
        });
        reports.collect()
    }

    /// Returns the reports to publish: all crashes of the requests that are held to have crashed the upstream beside
    /// this daemon, ordered, those of requests with the most crashes first if there are too many.
    pub fn published(&self, now: UnixMillis) -> Vec<CrashReport> {
        let local = self.0.keys().filter(|request| {
            let mut crashes = self.counted(**request, now);
            crashes.any(|crash| crash.place == Place::Local)
        });
        let mut reports: Vec<_> = local.map(|request| self.reports(*request, now)).collect();
        reports.sort_by_key(|reports| (Reverse(reports.len()), reports.first().copied()));
        let mut published: Vec<_> = reports.into_iter().flatten().take(MAX_PUBLISHED).collect();
        published.sort();
        published
    }

    /// Returns the crashes that count against `request`.
    fn counted(&self, request: Fingerprint, now: UnixMillis) -> impl Iterator<Item = &Crash> {
        let crashes = self.0.get(&request).into_iter().flatten();
        crashes.filter(move |crash| !crash.acquitted && crash.expires > now)
    }

    fn evict(&mut self, now: UnixMillis) {
        if self.0.len() <= MAX_REQUESTS {
            return;
        }
        self.0
            .retain(|_, crashes| crashes.iter().any(|crash| crash.expires > now));
        if self.0.len() <= MAX_REQUESTS {
            return;
        }
        let rank = |request: &Fingerprint| {
            let expires = self.0[request].iter().map(|crash| crash.expires).max();
            (self.counted(*request, now).count(), expires, *request)
        };
        let mut requests: Vec<Fingerprint> = self.0.keys().copied().collect();
        requests.sort_by_cached_key(rank);
        for request in &requests[..MAX_REQUESTS / 4] {
            self.0.remove(request);
        }
    }
}

/// The crashes known to a daemon, shared by its ingress, its gate and the membership.
#[derive(Debug, Default)]
pub struct Crashes {
    table: Mutex<CrashTable>,
    /// Notified when the reports to publish may have changed.
    changed: watch::Sender<()>,
}

impl Crashes {
    /// Records reports of other daemons.
    pub fn merge<'a>(&self, reports: impl IntoIterator<Item = &'a CrashReport>) {
        let now = UnixMillis::now();
        let mut table = self.lock();
        let mut changed = false;
        for report in reports {
            changed |= table.record(*report, Place::Elsewhere, now);
        }
        drop(table);
        if changed {
            self.changed.send_replace(());
        }
    }

    /// Returns the reports to publish in the membership record of this daemon.
    pub fn published(&self) -> Vec<CrashReport> {
        self.lock().published(UnixMillis::now())
    }

    /// Returns a receiver that is notified when the reports to publish may have changed.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Attributes the crash `id` of the local upstream to those of the calls `in_flight` that are held to have caused it;
    /// returns them.
    pub(crate) fn attribute(&self, id: CrashId, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        let now = UnixMillis::now();
        let expires = UnixMillis::new(now.get() + CRASH_TTL_MS);
        let mut table = self.lock();
        let suspects = table.suspects(in_flight, now);
        for request in &suspects {
            let report = CrashReport {
                request: *request,
                crash: id,
                expires,
            };
            table.record(report, Place::Local, now);
        }
        drop(table);
        self.changed.send_replace(());
        suspects
    }

    /// Records that a run of `request` was completed.
    pub(crate) fn acquit(&self, request: Fingerprint) {
        if self.lock().acquit(request) {
            self.changed.send_replace(());
        }
    }

    pub(crate) fn verdict(&self, request: Fingerprint) -> Verdict {
        self.lock().verdict(request, UnixMillis::now())
    }

    pub(crate) fn reports(&self, request: Fingerprint) -> Vec<CrashReport> {
        self.lock().reports(request, UnixMillis::now())
    }

    fn lock(&self) -> MutexGuard<'_, CrashTable> {
        lock(&self.table)
    }
}
