//! Policies of the distribution, without sockets.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use model::DomainName;
use spread::{Flight, Guard, JoinLimit, is_enough};
use tokio::time::{Instant, advance, sleep};

fn answers(answers: &[(&str, bool)]) -> Vec<(DomainName, bool)> {
    let answers = answers.iter().map(|(domain, answered)| {
        let domain = domain.parse().expect("a valid name");
        (domain, *answered)
    });
    answers.collect()
}

#[test]
fn one_failure_domain_of_three_may_be_silent_but_none_of_two() {
    assert!(is_enough(&answers(&[
        ("a", true),
        ("b", true),
        ("c", false)
    ])));
    assert!(is_enough(&answers(&[("a", true), ("b", true)])));
    assert!(!is_enough(&answers(&[("a", true), ("b", false)])));
    assert!(is_enough(&answers(&[("a", true)])));
    assert!(!is_enough(&answers(&[("a", false)])));
    assert!(!is_enough(&answers(&[
        ("a", true),
        ("b", false),
        ("c", false)
    ])));
    assert!(!is_enough(&[]));
}

#[test]
fn failure_domain_has_answered_only_if_each_of_its_relays_did() {
    let partly = [
        ("a", true),
        ("a", false),
        ("b", true),
        ("b", true),
        ("c", true),
    ];
    assert!(is_enough(&answers(&partly)));
    assert!(!is_enough(&answers(&partly[..4])));
    let both = [
        ("a", true),
        ("a", false),
        ("b", false),
        ("b", true),
        ("c", true),
    ];
    assert!(!is_enough(&answers(&both)));
}

#[tokio::test(start_paused = true)]
async fn loss_of_a_large_share_is_doubted_and_a_small_one_is_not() {
    let mut guard = Guard::default();
    assert!(guard.admits(2, 4, Instant::now()));
    advance(Duration::from_secs(60)).await;
    assert!(guard.admits(20, 1_200, Instant::now()));
    advance(Duration::from_secs(60)).await;
    assert!(!guard.admits(600, 1_200, Instant::now()));
    // Losses that trickle in within a short time count together.
    advance(Duration::from_secs(60)).await;
    let verdicts: Vec<bool> = (0..8)
        .map(|_| guard.admits(1, 10, Instant::now()))
        .collect();
    assert_eq!(verdicts.iter().filter(|admitted| **admitted).count(), 3);
}

#[tokio::test(start_paused = true)]
async fn herd_is_sent_back_over_a_growing_time() {
    let mut limit = JoinLimit::new(Instant::now());
    let refused: Vec<Duration> = (0..100)
        .filter_map(|_| limit.admit(Instant::now()).err())
        .collect();
    assert_eq!(refused.len(), 84);
    assert!(refused.is_sorted());
    assert!(refused[83] > refused[0] * 10);
    advance(Duration::from_secs(3)).await;
    assert!(limit.admit(Instant::now()).is_ok());
}

#[tokio::test(start_paused = true)]
async fn many_callers_share_two_questions_and_none_gets_an_older_answer() {
    let flight = Arc::new(Flight::default());
    let asked = Arc::new(AtomicU32::new(0));
    let mut callers = Vec::new();
    for _ in 0..100 {
        let flight = Arc::clone(&flight);
        let asked = Arc::clone(&asked);
        callers.push(tokio::spawn(async move {
            flight
                .join(async || {
                    sleep(Duration::from_millis(5)).await;
                    asked.fetch_add(1, Ordering::Relaxed)
                })
                .await
        }));
    }
    for caller in callers {
        caller.await.expect("an answer");
    }
    assert!(asked.load(Ordering::Relaxed) <= 2);
    // A later wish is not served by an earlier answer.
    advance(Duration::from_millis(1)).await;
    let before = asked.load(Ordering::Relaxed);
    let fresh = flight.join(async || asked.fetch_add(1, Ordering::Relaxed));
    assert_eq!(fresh.await, before);
}
