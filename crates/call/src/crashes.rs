//! Requests that crash upstreams.
//!
//! Designed for a request that ends each upstream that begins to run it, and that its caller sends again. After
//! [`QUARANTINE_CRASHES`] crashes it is refused everywhere; until then it is a suspect, as is every request that was in
//! flight at a crash. A gate runs one suspect at a time, so that a crash is attributed to the suspect alone, and requests that
//! were merely in flight are not quarantined with it.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard};

use model::{CrashId, CrashReport, Fingerprint, Involvement, UnixMillis, lock};
use tokio::sync::watch;

/// Crashes of upstreams under a request after which the request is refused.
pub const QUARANTINE_CRASHES: usize = 3;

/// How many of these the request must be held to have caused. At the first crash, every request in flight may be the
/// cause.
pub const QUARANTINE_CAUSED: usize = 2;

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
        /// Time at which too few of its crashes count.
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
    involvement: Involvement,
    /// Whether the request has completed a run since, and so did not cause the crash.
    acquitted: bool,
}

/// The crashes known of each request.
#[derive(Debug, Default)]
pub struct CrashTable(HashMap<Fingerprint, Vec<Crash>>);

impl CrashTable {
    /// Records that a request was in flight at a crash; returns whether the report says something new.
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
            let is_worse = report.involvement > known.involvement;
            known.involvement = known.involvement.max(report.involvement);
            return is_worse;
        }
        if crashes.len() >= MAX_CRASHES {
            let replaceable =
                |crash: &Crash| crash.acquitted || crash.involvement < report.involvement;
            let Some(least) = crashes.iter().position(replaceable) else {
                return false;
            };
            crashes.swap_remove(least);
        }
        crashes.push(Crash {
            id: report.crash,
            expires: report.expires.min(latest),
            place,
            involvement: report.involvement,
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
        let expiries = |least: Involvement| {
            let crashes = self.counted(request, now);
            let crashes = crashes.filter(|crash| crash.involvement >= least);
            let mut expiries: Vec<UnixMillis> = crashes.map(|crash| crash.expires).collect();
            expiries.sort_by_key(|expires| Reverse(*expires));
            expiries
        };
        let all = expiries(Involvement::InFlight);
        let caused = expiries(Involvement::Cause);
        // It is quarantined for as long as enough crashes count.
        let until = all.get(QUARANTINE_CRASHES - 1).copied();
        match until.zip(caused.get(QUARANTINE_CAUSED - 1).copied()) {
            Some((one, other)) => Verdict::Quarantined {
                until: one.min(other),
            },
            None if all.is_empty() => Verdict::Clear,
            None => Verdict::Suspect,
        }
    }

    /// Returns the requests among `in_flight` that are held to have caused a crash: of the suspects, those that are held to
    /// have caused the most crashes; without suspects, the only request, if there is but one.
    pub fn causes(&self, in_flight: &[Fingerprint], now: UnixMillis) -> BTreeSet<Fingerprint> {
        let rank = |request: &Fingerprint| {
            let crashes = self.counted(*request, now);
            let caused = crashes.filter(|crash| crash.involvement == Involvement::Cause);
            (self.counted(*request, now).count().min(1), caused.count())
        };
        let highest = in_flight.iter().map(rank).max().unwrap_or_default();
        let causes = in_flight.iter().filter(|request| rank(request) == highest);
        let causes: BTreeSet<Fingerprint> = causes.copied().collect();
        let is_known = highest > (0, 0) || causes.len() == 1;
        if is_known { causes } else { BTreeSet::new() }
    }

    /// Returns the reports of the crashes that count against `request`.
    pub fn reports(&self, request: Fingerprint, now: UnixMillis) -> Vec<CrashReport> {
        let crashes = self.counted(request, now);
        let reports = crashes.map(|crash| CrashReport {
            request,
            crash: crash.id,
            involvement: crash.involvement,
            expires: crash.expires,
        });
        reports.collect()
    }

    /// Returns the reports to publish, ordered: all crashes of the requests that were in flight at a crash of the upstream
    /// beside this daemon. If there are too many, those of requests with few crashes are left out.
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

    /// Records a crash of the local upstream for the requests `in_flight`; returns the report of each.
    pub(crate) fn attribute(&self, crash: CrashId, in_flight: &[Fingerprint]) -> Vec<CrashReport> {
        let now = UnixMillis::now();
        let mut table = self.lock();
        let causes = table.causes(in_flight, now);
        let reports = in_flight.iter().map(|request| CrashReport {
            request: *request,
            crash,
            involvement: match causes.contains(request) {
                true => Involvement::Cause,
                false => Involvement::InFlight,
            },
            expires: UnixMillis::new(now.get() + CRASH_TTL_MS),
        });
        let reports: Vec<CrashReport> = reports.collect();
        for report in &reports {
            table.record(*report, Place::Local, now);
        }
        drop(table);
        self.changed.send_replace(());
        reports
    }

    /// Records that a run of `request` was completed.
    pub(crate) fn acquit(&self, request: Fingerprint) {
        if self.lock().acquit(request) {
            self.changed.send_replace(());
        }
    }

    /// Returns whether crashes count against `request`.
    pub(crate) fn is_suspect(&self, request: Fingerprint) -> bool {
        self.verdict(request) != Verdict::Clear
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
