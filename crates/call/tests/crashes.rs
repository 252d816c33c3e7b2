//! Requests that crash upstreams, without sockets and clocks.

use call::crashes::{CRASH_TTL_MS, CrashTable, MAX_REQUESTS, Place, QUARANTINE_CRASHES, Verdict};
use model::{CrashId, CrashReport, Fingerprint, Involvement, UnixMillis};

const NOW: UnixMillis = UnixMillis::new(1_790_000_000_000);

fn request(name: &str) -> Fingerprint {
    Fingerprint::of([name.as_bytes()])
}

fn report(name: &str, crash: u64) -> CrashReport {
    CrashReport {
        request: request(name),
        crash: CrashId::new(crash),
        involvement: Involvement::Cause,
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

/// A request and those in flight with it are suspects after the first crash. At the next one, the gate runs only one of
/// them, so that the others are not held to have caused it.
#[test]
fn crash_is_attributed_to_the_suspect_and_not_to_the_calls_beside_it() {
    let table = table(&[("suspect", 1)]);
    let in_flight = ["new-1", "suspect", "new-2"].map(request);
    assert_eq!(table.causes(&in_flight, NOW), [request("suspect")].into());
    // Any of several new requests may be the cause; one alone is.
    let new = ["new-1", "new-2", "new-1"].map(request);
    assert!(table.causes(&new, NOW).is_empty());
    assert_eq!(table.causes(&new[..1], NOW), [request("new-1")].into());
}

/// Records a crash for the requests that were in flight, as a gate does.
fn crash(table: &mut CrashTable, number: u64, in_flight: &[&str]) {
    let requests: Vec<Fingerprint> = in_flight.iter().map(|name| request(name)).collect();
    let causes = table.causes(&requests, NOW);
    for name in in_flight {
        let involvement = match causes.contains(&request(name)) {
            true => Involvement::Cause,
            false => Involvement::InFlight,
        };
        let report = CrashReport {
            involvement,
            ..report(name, number)
        };
        table.record(report, Place::Local, NOW);
    }
}

/// A request that crashes each upstream, and nine that are in flight with it at the first crash; an upstream then runs one
/// suspect at a time, beside calls that are new.
#[test]
fn only_the_request_that_crashes_upstreams_is_quarantined() {
    let mut table = CrashTable::default();
    let names: Vec<String> = (0..9).map(|index| format!("innocent-{index}")).collect();
    let mut all: Vec<&str> = names.iter().map(String::as_str).collect();
    all.push("poison");
    crash(&mut table, 1, &all);
    crash(&mut table, 2, &["poison", "new"]);
    assert!(!is_quarantined(&table, "poison", NOW));
    crash(&mut table, 3, &["poison", "new"]);
    assert!(is_quarantined(&table, "poison", NOW));
    for name in &names {
        assert_eq!(table.verdict(request(name), NOW), Verdict::Suspect);
        assert!(table.acquit(request(name)));
        assert_eq!(table.verdict(request(name), NOW), Verdict::Clear);
    }
    assert_eq!(table.verdict(request("new"), NOW), Verdict::Suspect);
}

/// A request that is in flight at many crashes, each of which has another cause, goes on being served.
#[test]
fn request_in_flight_at_many_crashes_is_not_quarantined() {
    let mut table = CrashTable::default();
    for number in 0..20 {
        let poison = format!("poison-{number}");
        crash(&mut table, 10 * number, &[&poison]);
        crash(&mut table, 10 * number + 1, &[&poison, "popular"]);
    }
    assert_eq!(table.verdict(request("popular"), NOW), Verdict::Suspect);
    // Later crashes that it does cause still count.
    for number in 100..103 {
        crash(&mut table, number, &["popular"]);
    }
    assert!(is_quarantined(&table, "popular", NOW));
}

/// A gate that does not know yet of the request that crashes upstreams holds a suspect beside it to be the cause.
#[test]
fn request_that_a_gate_did_not_know_becomes_a_suspect_beside_another_one() {
    let mut table = table(&[("innocent", 1)]);
    crash(&mut table, 2, &["poison", "innocent"]);
    assert_eq!(table.verdict(request("poison"), NOW), Verdict::Suspect);
    assert!(table.acquit(request("innocent")));
    crash(&mut table, 3, &["poison", "innocent"]);
    crash(&mut table, 4, &["poison", "innocent"]);
    assert!(is_quarantined(&table, "poison", NOW));
    assert!(!is_quarantined(&table, "innocent", NOW));
}

/// An ingress may hear of a crash before the daemon that attributes it.
#[test]
fn later_report_that_a_request_is_the_cause_counts() {
    let mut table = table(&[("a", 1), ("a", 2)]);
    let in_flight = CrashReport {
        involvement: Involvement::InFlight,
        ..report("b", 1)
    };
    assert!(table.record(in_flight, Place::Elsewhere, NOW));
    assert!(table.record(report("b", 1), Place::Elsewhere, NOW));
    assert!(!table.record(in_flight, Place::Elsewhere, NOW));
    assert_eq!(table.reports(request("b"), NOW), [report("b", 1)]);
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
