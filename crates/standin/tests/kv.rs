//! The in-memory key-value service provides the guarantees of the `Store` trait.

use std::time::Duration;

use model::Millis;
use standin::{Faults, Kv};
use store::{Error, Expect, Put, Revision, Store};

#[tokio::test]
async fn compare_and_swap_lets_one_writer_win() {
    let kv = Kv::open();
    let first = kv.put("head", b"1".into(), Expect::Absent, None).await;
    let Ok(Put::Done(revision)) = first else {
        panic!("{first:?}");
    };
    let won = kv
        .put("head", b"2".into(), Expect::At(revision), None)
        .await;
    assert!(matches!(won, Ok(Put::Done(_))), "{won:?}");
    let lost = kv
        .put("head", b"3".into(), Expect::At(revision), None)
        .await;
    assert_eq!(lost, Ok(Put::Conflict));
}

#[tokio::test]
async fn write_with_lost_response_takes_effect() {
    let kv = Kv::open();
    kv.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let lost = kv.put("head", b"1".into(), Expect::Absent, None).await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    let read = kv
        .get("head")
        .await
        .expect("the service is up")
        .expect("written");
    assert_eq!(read.value, b"1");
}

#[tokio::test]
async fn write_to_unavailable_service_has_no_effect() {
    let kv = Kv::open();
    kv.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = kv.put("head", b"1".into(), Expect::Any, None).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    kv.set_faults(Faults::default());
    assert_eq!(kv.get("head").await, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn expired_lease_deletes_its_keys_and_wakes_the_watch() {
    let kv = Kv::open();
    let ttl = Millis::new(500).duration();
    let lease = kv.grant(ttl).await.expect("granted");
    let put = kv
        .put("relay/a/0", b"x".into(), Expect::Absent, Some(lease))
        .await;
    let Ok(Put::Done(revision)) = put else {
        panic!("{put:?}");
    };
    let wait = Duration::from_secs(10);
    let changes = kv.watch("relay/", revision, wait).await.expect("watched");
    assert_eq!(changes.deleted, ["relay/a/0"]);
    assert_eq!(kv.renew(lease).await, Ok(false));
    assert!(changes.revision > Revision::ZERO);
}
