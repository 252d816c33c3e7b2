//! The pace of calls to an upstream that states a limit of calls a second.

use std::time::Duration;

use call::pace::Pacer;
use call::queue::{Decision, Queue, SchedulingParams, ShedReason};
use model::{CallRate, Priority};
use tokio::time::Instant;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rate(text: &str) -> Option<CallRate> {
    Some(text.parse().expect("a rate"))
}

#[test]
fn calls_run_at_the_stated_rate() {
    let start = Instant::now();
    let mut pacer = Pacer::new(start);
    assert!((0..100).all(|_| pacer.take(start)), "no limit is stated");
    pacer.set_limit(rate("20"), start);
    let mut runs = 0;
    for step in 0..4_000 {
        runs += u32::from(pacer.take(start + millis(step)));
    }
    // The burst of a quarter second runs ahead of the rate.
    assert_eq!(runs, 80 + 5);
    let now = start + millis(4_000);
    assert!(pacer.load(now) >= 80);
    assert!(pacer.load(now + millis(1_000)) == 0);
    pacer.set_limit(None, now);
    assert!((0..100).all(|_| pacer.take(now)), "the limit is withdrawn");
}

#[test]
fn lower_and_higher_limits_hold_from_the_statement_on() {
    let start = Instant::now();
    let mut pacer = Pacer::new(start);
    pacer.set_limit(rate("0.1"), start);
    assert!(pacer.take(start));
    let wait = pacer.wait(0, start);
    assert!(wait > millis(3_000), "{wait:?}");
    // The wait for the lower rate does not outlast it.
    pacer.set_limit(rate("10"), start);
    let wait = pacer.wait(0, start);
    assert!(wait <= millis(100), "{wait:?}");
}

#[test]
fn upstream_without_room_still_gets_a_call_now_and_then() {
    let start = Instant::now();
    let mut pacer = Pacer::new(start);
    pacer.set_limit(rate("0"), start);
    let runs = (0..8_000).filter(|step| pacer.take(start + millis(*step)));
    // At 0, 3.75 and 7.75 s: each may run a quarter second early.
    assert_eq!(runs.count(), 3);
}

#[test]
fn call_over_the_stated_rate_waits_or_is_shed_at_once() {
    let now = Instant::now();
    let mut queue: Queue<u32> = Queue::new(12, now);
    queue.set_call_limit(rate("10"), now);
    while queue.try_enter(now) {}
    assert!(queue.running() <= 3, "{} of 12 slots", queue.running());
    let params = SchedulingParams {
        priority: Priority::Normal,
        deadline: now + millis(10_000),
        objective: Some(now + millis(430)),
        service_time: Some(millis(100)),
        boost: Duration::ZERO,
        prefers_deadline: false,
        brief: false,
    };
    let wait = queue.expected_wait(&params, now);
    assert!(matches!(queue.enter(params, 1, now), Decision::Wait { .. }));
    assert!(wait > millis(0) && wait <= millis(100), "{wait:?}");
    // Two more fit before the objective; the others are told when they would.
    let decisions: Vec<Decision<u32>> = (2..8).map(|call| queue.enter(params, call, now)).collect();
    let shed = decisions
        .iter()
        .filter(|decision| **decision == Decision::Shed(ShedReason::Full));
    assert!(shed.count() >= 3, "{decisions:?}");
    assert!(queue.expected_wait(&params, now) > millis(200));
    // A queued call runs when it is due, although no other one ends.
    let due = queue.next_release(now).expect("a queued call");
    assert!(queue.release(now).admitted.is_empty());
    assert_eq!(queue.release(due).admitted, [1]);
}
