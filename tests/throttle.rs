//! Rate limit of the log, with instants that the test sets instead of a clock.

#[path = "../src/throttle.rs"]
#[expect(dead_code, reason = "The drain is part of the program's log.")]
mod throttle;

use std::time::{Duration, Instant};

use throttle::LineLimiter;

/// Lines of the flood, all within one window.
const FLOOD_LINES: u64 = 10_000;

#[test]
fn flood_of_one_kind_is_limited_and_its_dropped_lines_are_counted() {
    let now = Instant::now();
    let mut limiter = LineLimiter::new(now);
    let decisions = (0..FLOOD_LINES).map(|_| limiter.check("call refused", now));
    let written = decisions.filter(|decision| decision.write).count() as u64;
    assert_eq!(written, 200);
    let next = limiter.check("call refused", now + Duration::from_secs(1));
    assert!(next.write, "a new window begins after 1 s");
    assert_eq!(next.dropped, [("call refused", FLOOD_LINES - written)]);
}

#[test]
fn other_kinds_are_written_during_a_flood_of_one() {
    let now = Instant::now();
    let mut limiter = LineLimiter::new(now);
    for _ in 0..FLOOD_LINES {
        limiter.check("call refused", now);
    }
    assert!(limiter.check("store lost", now).write);
}

#[test]
fn window_within_the_limit_reports_no_dropped_lines() {
    let now = Instant::now();
    let mut limiter = LineLimiter::new(now);
    limiter.check("call refused", now);
    let next = limiter.check("call refused", now + Duration::from_secs(1));
    assert!(next.dropped.is_empty());
}
