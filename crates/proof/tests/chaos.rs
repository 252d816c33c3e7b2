//! Randomised faults of fixed seeds; `cargo run -p proof --bin chaos` runs others.

use proof::run_chaos;

async fn run(seed: u64) {
    let report = run_chaos(seed).await.expect("the run comes to its end");
    let found: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "seed {seed}:\n{}", found.join("\n"));
    assert!(report.faults > 0, "seed {seed} injects nothing");
    assert!(
        !report.history.calls.is_empty(),
        "seed {seed} calls nothing"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_1() {
    run(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_2() {
    run(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_3() {
    run(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_4() {
    run(4).await;
}
