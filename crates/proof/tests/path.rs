//! End-to-end test with separate processes: accept, call, drain, stop.

use std::time::Duration;

use harness::{Caller, Error, Fleet, VmSpec, wait_until};

/// Longest wait for a condition that must become true.
const LIMIT: Duration = Duration::from_secs(30);

/// Host of the example configuration.
const HOST: &str = "redakce.brno.example";

/// Starts a daemon in each of two failure domains, each with an upstream of `proofdesk` on its VM.
async fn start_fleet() -> Result<Fleet, Error> {
    let mut fleet = Fleet::open(&["redakce"]).await?;
    for (vm, domain) in [("a-1", "morava-a"), ("b-1", "morava-b")] {
        let daemon = fleet
            .start_daemon(VmSpec::new(vm, domain, "cz-morava"))
            .await?;
        fleet.start_upstream(daemon, "proofdesk").await?;
    }
    Ok(fleet)
}

#[tokio::test]
async fn accepted_configuration_serves_calls_until_drained_and_stopped() -> Result<(), Error> {
    let mut fleet = start_fleet().await?;
    let config = plan::brno()
        .expect("the example is valid")
        .to_json()
        .expect("JSON");
    let id = "accept-1".parse().expect("a valid id");
    let accepted = fleet.accept(0, &config, &id).await?;
    fleet.wait_serving(accepted.version, LIMIT).await?;

    let caller = Caller::default();
    for daemon in &fleet.daemons {
        wait_until("a response", LIMIT, async || {
            let answer = caller.get(daemon.caller, HOST, "/proofs/7").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await?;
    }

    // A drained upstream receives no call; the other one handles all.
    fleet.daemons[1]
        .client()
        .drain(&"b-1".parse().expect("a valid id"))
        .await?;
    let before = fleet.upstreams[1].control.runs().await?.len();
    // This daemon may not have received the upstream of the other failure domain yet.
    wait_until("a response of the other upstream", LIMIT, async || {
        let answer = caller.get(fleet.daemons[1].caller, HOST, "/proofs/7").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await?;
    for _ in 0..50 {
        let answer = caller
            .get(fleet.daemons[1].caller, HOST, "/proofs/7")
            .await?;
        assert!(answer.status.is_success(), "{answer:?}");
    }
    assert_eq!(fleet.upstreams[1].control.runs().await?.len(), before);

    let daemon = fleet.daemons.remove(1);
    let status = daemon.process.stop(LIMIT).await?;
    assert!(status.success(), "{status}");
    Ok(())
}
