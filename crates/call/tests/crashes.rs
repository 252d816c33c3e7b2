//! Requests that crash upstreams, without sockets and clocks.

use call::crashes::{CRASH_TTL_MS, CrashTable, MAX_REQUESTS, Place, QUARANTINE_CRASHES, Verdict};
use model::{CrashId, CrashReport, Fingerprint, UnixMillis};

const NOW: UnixMillis = UnixMillis::new(1_790_000_000_000);

fn request(name: &str) -> Fingerprint {
    Fingerprint::of([name.as_bytes()])
}

fn report(name: &str, crash: u64) -> CrashReport {
    CrashReport {
        request: request(name),
        crash: CrashId::new(crash),
        expires: UnixMillis::new(NOW.get() + CRASH_TTL_MS),
    }
}

fn table(crashes: &[(&str, u64)]) -> CrashTable {
    let mut table = CrashTable::default();
    for (name, crash) in crashes {
        assert!(table.record(report(name, *crash), Place::Elsewhere, NOW));
    }
    table
}

fn is_quarantined(table: &CrashTable, name: &str, now: UnixMillis) -> bool {
    matches!(
        table.verdict(request(name), now),
        Verdict::Quarantined { .. }
    )
}

/// Each gate, ingress and record that knows of a crash reports it.
#[test]
fn request_is_quarantined_after_three_crashes_however_often_each_is_reported() {
    let mut table = table(&[("a", 1), ("a", 2)]);
    assert!(!table.record(report("a", 1), Place::Elsewhere, NOW));
    assert!(!table.record(report("a", 2), Place::Local, NOW));
    assert_eq!(table.verdict(request("a"), NOW), Verdict::Suspect);
    assert!(table.record(report("a", 3), Place::Elsewhere, NOW));
    assert!(is_quarantined(&table, "a", NOW));
    assert_eq!(table.verdict(request("b"), NOW), Verdict::Clear);
}

/// A request and those in flight beside it are suspects after the first crash. At the next one, the gate runs only one of
/// them, so that the others are never held to have caused it.
#[test]
fn crash_is_attributed_to_the_suspect_and_not_to_the_calls_beside_it() {
    let table = table(&[("suspect", 1)]);
    let in_flight = ["new-1", "suspect", "new-2"].map(request);
    assert_eq!(table.suspects(&in_flight, NOW), [request("suspect")]);
    let mut all = ["new-1", "new-2", "new-1"].map(request).to_vec();
    let suspects = table.suspects(&all, NOW);
    all.sort();
    all.dedup();
    assert_eq!(suspects, all);
}

/// Three upstreams, a request that crashes each, and nine that are in flight at the first crash; each comes again
/// until it is served or refused, and an upstream runs one suspect at a time.
#[test]
fn only_the_request_that_crashes_upstreams_is_quarantined() {
    let mut table = CrashTable::default();
    let names: Vec<String> = (0..9).map(|index| format!("innocent-{index}")).collect();
    let poison = "poison";
    let mut crash = 0;
    let mut crashed = |table: &mut CrashTable, in_flight: &[Fingerprint]| {
        crash += 1;
        for request in table.suspects(in_flight, NOW) {
            let report = CrashReport {
                request,
                ..report(poison, crash)
            };
            table.record(report, Place::Local, NOW);
        }
    };
    let mut in_flight: Vec<Fingerprint> = names.iter().map(|name| request(name)).collect();
    in_flight.push(request(poison));
    crashed(&mut table, &in_flight);
    // The suspects take turns, the request that crashes upstreams first, beside calls that are new.
    for _ in 0..2 {
        crashed(&mut table, &[request(poison), request("new")]);
    }
    assert!(is_quarantined(&table, poison, NOW));
    for name in &names {
        assert_eq!(table.verdict(request(name), NOW), Verdict::Suspect);
        assert!(table.acquit(request(name)));
        assert_eq!(table.verdict(request(name), NOW), Verdict::Clear);
    }
    assert_eq!(table.verdict(request("new"), NOW), Verdict::Clear);
}

/// Records of other daemons go on reporting a crash that the request did not cause.
#[test]
fn completed_run_acquits_a_request_for_good() {
    let mut table = table(&[("a", 1), ("a", 2)]);
    assert!(table.acquit(request("a")));
    assert!(!table.record(report("a", 1), Place::Elsewhere, NOW));
    assert_eq!(table.verdict(request("a"), NOW), Verdict::Clear);
    assert!(!table.acquit(request("a")));
    assert!(table.record(report("a", 3), Place::Elsewhere, NOW));
    assert_eq!(table.verdict(request("a"), NOW), Verdict::Suspect);
}

#[test]
fn quarantine_ends_when_its_crashes_expire() {
    let mut table = CrashTable::default();
    for crash in 1..=QUARANTINE_CRASHES as u64 {
        let expires = UnixMillis::new(NOW.get() + crash * 1_000);
        let report = CrashReport {
            expires,
            ..report("a", crash)
        };
        assert!(table.record(report, Place::Elsewhere, NOW));
    }
    let until = UnixMillis::new(NOW.get() + 1_000);
    let verdict = table.verdict(request("a"), NOW);
    assert_eq!(verdict, Verdict::Quarantined { until });
    assert_eq!(table.verdict(request("a"), until), Verdict::Suspect);
    let over = UnixMillis::new(NOW.get() + 3_000);
    assert_eq!(table.verdict(request("a"), over), Verdict::Clear);
    assert!(!table.record(report_expired(), Place::Elsewhere, NOW));
}

fn report_expired() -> CrashReport {
    CrashReport {
        expires: NOW,
        ..report("b", 1)
    }
}

/// The clock of the daemon that reports a crash may be ahead.
#[test]
fn report_from_the_future_does_not_prolong_a_quarantine() {
    let mut table = CrashTable::default();
    let expires = UnixMillis::new(NOW.get() + 100 * CRASH_TTL_MS);
    let report = CrashReport {
        expires,
        ..report("a", 1)
    };
    table.record(report, Place::Elsewhere, NOW);
    let over = UnixMillis::new(NOW.get() + CRASH_TTL_MS);
    assert_eq!(table.verdict(request("a"), over), Verdict::Clear);
}

#[test]
fn flood_of_crashes_does_not_evict_a_quarantined_request() {
    let mut table = table(&[("a", 1), ("a", 2), ("a", 3)]);
    for index in 0..2 * MAX_REQUESTS as u64 {
        let name = format!("flood-{index}");
        table.record(report(&name, index), Place::Elsewhere, NOW);
    }
    assert!(is_quarantined(&table, "a", NOW));
}

/// One of the daemons whose upstreams crashed is enough to tell a daemon that starts.
#[test]
fn record_has_every_crash_of_a_request_that_crashed_the_local_upstream() {
    let mut table = table(&[("a", 1), ("a", 2), ("b", 1)]);
    assert!(table.published(NOW).is_empty());
    table.record(report("a", 3), Place::Local, NOW);
    let published = table.published(NOW);
    assert_eq!(published, [1, 2, 3].map(|crash| report("a", crash)));
    let mut started = CrashTable::default();
    for report in published {
        started.record(report, Place::Elsewhere, NOW);
    }
    assert!(is_quarantined(&started, "a", NOW));
    assert!(started.published(NOW).is_empty());
}

#[test]
fn fingerprint_keeps_neighbouring_parts_apart() {
    let one: [&[u8]; 2] = [b"/proofs", b"1"];
    let other: [&[u8]; 2] = [b"/proof", b"s1"];
    assert_ne!(Fingerprint::of(one), Fingerprint::of(other));
    let text = report("a", 7).to_string();
    assert_eq!(text.parse(), Ok(report("a", 7)));
    assert!("a/b".parse::<CrashReport>().is_err());
}
