//! Accepts while the store loses requests or responses, or fails between the writes of an accept.

mod common;

use common::{Fault, Faulty, config, ledger, request};
use ledger::{Error, Ledger};
use model::Version;
use standin::{Faults, Kv};

/// Number of writes of the first accept: its change and the head.
const WRITES: usize = 2;

async fn head(kv: &Kv) -> Version {
    ledger(kv.clone()).head().await.expect("read").version
}

async fn accept_with(fault: Fault, at: usize) -> (Kv, Result<ledger::Accepted, Error>) {
    let kv = Kv::open();
    let ledger = ledger(Faulty::new(kv.clone(), fault, at));
    let result = ledger.accept(&request(config("a", 1, 20), "id")).await;
    kv.set_faults(Faults::default());
    (kv, result)
}

#[tokio::test(start_paused = true)]
async fn accept_succeeds_after_one_lost_or_limited_write() {
    for fault in [Fault::LoseResponse, Fault::LoseRequest, Fault::Limited] {
        for at in 0..WRITES {
            let (kv, result) = accept_with(fault, at).await;
            let accepted = result.unwrap_or_else(|error| panic!("{fault:?} at {at}: {error}"));
            assert_eq!(accepted.version, Version::new(1));
            assert_eq!(head(&kv).await, Version::new(1), "{fault:?} at {at}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn outage_between_the_writes_accepts_nothing() {
    for at in 0..WRITES {
        let (kv, result) = accept_with(Fault::Down, at).await;
        assert!(
            matches!(result, Err(Error::Store(_))),
            "at {at}: {result:?}"
        );
        assert_eq!(head(&kv).await, Version::new(0), "at {at}");
    }
}

#[tokio::test(start_paused = true)]
async fn unresolved_swap_is_reported_as_unknown_and_resolved_by_a_repeat() {
    for fault in [Fault::LoseResponseThenDown] {
        let (kv, result) = accept_with(fault, WRITES - 1).await;
        let Err(unknown @ Error::Unknown(_)) = result else {
            panic!("{result:?}");
        };
        assert!(
            unknown
                .to_string()
                .contains("sardinestall accept --accept-id id")
        );
        let again = request(config("a", 1, 20), "id");
        let repeated = ledger(kv.clone())
            .accept(&again)
            .await
            .expect("repeated accept succeeds");
        assert_eq!(repeated.version, Version::new(1));
        assert_eq!(head(&kv).await, Version::new(1));
    }
}

#[tokio::test(start_paused = true)]
async fn lost_swap_is_resolved_from_the_chain_while_another_daemon_accepts() {
    let kv = Kv::open();
    // The request of the first swap is lost, and another daemon accepts before it is retried.
    let lossy = ledger(Faulty::new(kv.clone(), Fault::LoseRequest, 1));
    let other = ledger(kv.clone());
    let (own, others) = (
        request(config("a", 1, 20), "own"),
        request(config("b", 1, 20), "other"),
    );
    let (own, others) = tokio::join!(lossy.accept(&own), other.accept(&others));
    let mut versions = [
        own.expect("accepted").version,
        others.expect("accepted").version,
    ];
    versions.sort_unstable();
    assert_eq!(versions, [Version::new(1), Version::new(2)]);
    assert_eq!(head(&kv).await, Version::new(2));
}

#[tokio::test(start_paused = true)]
async fn accept_succeeds_after_a_lost_response_while_writing_a_checkpoint() {
    for at in 0..4 {
        let kv = Kv::open();
        fill(&ledger(kv.clone()), 256).await;
        let ledger = ledger(Faulty::new(kv.clone(), Fault::LoseResponse, at));
        let last = request(config("a", 1, 1_000), "last");
        let accepted = ledger.accept(&last).await.expect("accepted");
        assert_eq!(accepted.version, Version::new(257));
        let tip = common::ledger(kv).head().await.expect("read");
        let base = tip.change.as_ref().and_then(|change| change.base);
        assert_eq!(base.map(|base| base.version), Some(Version::new(256)));
    }
}

async fn fill(ledger: &Ledger, versions: u32) {
    for i in 0..versions {
        let one = request(config("a", 1, i), &format!("id-{i}"));
        ledger.accept(&one).await.expect("accepted");
    }
}
