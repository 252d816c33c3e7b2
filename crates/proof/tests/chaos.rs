//! Randomised fault schedules with fixed seeds; `cargo run -p proof --bin chaos` runs other seeds.

use proof::run_chaos;

async fn check_seed(seed: u64) {
    let report = run_chaos(seed).await.expect("the run completes");
    let found: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(found.is_empty(), "seed {seed}:\n{}", found.join("\n"));
    assert!(report.faults > 0, "seed {seed} injects no fault");
    assert!(
        !report.history.calls.is_empty(),
        "seed {seed} sends no call"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_1() {
    check_seed(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_2() {
    check_seed(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_3() {
    check_seed(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seed_4() {
    check_seed(4).await;
}
