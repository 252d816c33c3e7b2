//! Bounds of the log's volume, on stated times.

#[path = "../src/throttle.rs"]
#[expect(dead_code, reason = "The drain is part of the program's log.")]
mod throttle;

use std::time::{Duration, Instant};

use throttle::Meter;

const FLOOD: u64 = 10_000;

#[test]
fn flood_of_one_kind_is_bounded_and_counted() {
    let now = Instant::now();
    let mut meter = Meter::new(now);
    let verdicts = (0..FLOOD).map(|_| meter.pass("call refused", now));
    let written = verdicts.filter(|verdict| verdict.write).count() as u64;
    assert_eq!(written, 200);
    let next = meter.pass("call refused", now + Duration::from_secs(1));
    assert!(next.write);
    assert_eq!(next.left_out, [("call refused", FLOOD - written)]);
}

#[test]
fn flood_of_one_kind_leaves_room_for_the_others() {
    let now = Instant::now();
    let mut meter = Meter::new(now);
    for _ in 0..FLOOD {
        meter.pass("call refused", now);
    }
    assert!(meter.pass("store lost", now).write);
}

#[test]
fn quiet_window_tells_of_nothing_left_out() {
    let now = Instant::now();
    let mut meter = Meter::new(now);
    meter.pass("call refused", now);
    let next = meter.pass("call refused", now + Duration::from_secs(1));
    assert!(next.left_out.is_empty());
}
