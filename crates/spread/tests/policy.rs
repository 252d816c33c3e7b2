//! Tests of the admission, expiry and quorum policies, without sockets.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use model::DomainName;
use spread::{ExpiryGuard, JoinLimit, SingleFlight, is_quorum};
use tokio::time::{Instant, advance, sleep};

/// Returns an entry for each relay: its failure domain, and whether it replied.
fn replies(replies: &[(&str, bool)]) -> Vec<(DomainName, bool)> {
    let replies = replies.iter().map(|(domain, replied)| {
        let domain = domain.parse().expect("a valid name");
        (domain, *replied)
    });
    replies.collect()
}

#[test]
fn quorum_tolerates_one_missing_failure_domain_of_three_but_none_of_two() {
    assert!(is_quorum(&replies(&[
        ("a", true),
        ("b", true),
        ("c", false)
    ])));
    assert!(is_quorum(&replies(&[("a", true), ("b", true)])));
    assert!(!is_quorum(&replies(&[("a", true), ("b", false)])));
    assert!(is_quorum(&replies(&[("a", true)])));
    assert!(!is_quorum(&replies(&[("a", false)])));
    assert!(!is_quorum(&replies(&[
        ("a", true),
        ("b", false),
        ("c", false)
    ])));
    assert!(!is_quorum(&[]));
}

#[test]
fn failure_domain_counts_as_replied_only_if_all_its_relays_did() {
    let partly = [
        ("a", true),
        ("a", false),
        ("b", true),
        ("b", true),
        ("c", true),
    ];
    assert!(is_quorum(&replies(&partly)));
    assert!(!is_quorum(&replies(&partly[..4])));
    let both = [
        ("a", true),
        ("a", false),
        ("b", false),
        ("b", true),
        ("c", true),
    ];
    assert!(!is_quorum(&replies(&both)));
}

#[tokio::test(start_paused = true)]
async fn expiry_guard_rejects_loss_of_large_share_but_admits_small_one() {
    let mut guard = ExpiryGuard::default();
    assert!(guard.admits(2, 4, Instant::now()));
    advance(Duration::from_secs(60)).await;
    assert!(guard.admits(20, 1_200, Instant::now()));
    advance(Duration::from_secs(60)).await;
    assert!(!guard.admits(600, 1_200, Instant::now()));
    // Successive losses within the window are added up.
    advance(Duration::from_secs(60)).await;
    let admitted: Vec<bool> = (0..8)
        .map(|_| guard.admits(1, 10, Instant::now()))
        .collect();
    assert_eq!(admitted.iter().filter(|admitted| **admitted).count(), 3);
}

#[tokio::test(start_paused = true)]
async fn rejected_joins_get_growing_retry_delays() {
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
async fn concurrent_callers_share_two_queries_and_none_gets_a_stale_result() {
    let flight = Arc::new(SingleFlight::default());
    let queries = Arc::new(AtomicU32::new(0));
    let mut callers = Vec::new();
    for _ in 0..100 {
        let flight = Arc::clone(&flight);
        let queries = Arc::clone(&queries);
        callers.push(tokio::spawn(async move {
            flight
                .run(async || {
                    sleep(Duration::from_millis(5)).await;
                    queries.fetch_add(1, Ordering::Relaxed)
                })
                .await
        }));
    }
    for caller in callers {
        caller.await.expect("the caller's task completes");
    }
    assert!(queries.load(Ordering::Relaxed) <= 2);
    // A later call does not get the result of an earlier query.
    advance(Duration::from_millis(1)).await;
    let before = queries.load(Ordering::Relaxed);
    let fresh = flight.run(async || queries.fetch_add(1, Ordering::Relaxed));
    assert_eq!(fresh.await, before);
}
