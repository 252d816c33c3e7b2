//! Runs the scenarios in `tests/scenarios`, each in a fleet of its own.
//!
//! | command | effect |
//! | --- | --- |
//! | `open teams=(T,..)` | starts the store of a fleet of these teams |
//! | `start vm=V domain=D [team=T]` | starts a daemon, and an upstream of team T on the same VM |
//! | `accept id=I at=V team=T stamp=N` | sends an accept; prints its result |
//! | `settle id=I at=V team=T stamp=N` | sends an accept, repeated with the same id until it is accepted; prints its result |
//! | `race id=I at=(V,..) teams=(T,..)` | sends an accept for each pair at the same time; prints the accepted teams |
//! | `poison` | writes an invalid version and a head for it directly to the store |
//! | `call at=V team=T kind=K id=I` | sends a call; prints its result |
//! | `calls at=V team=T kind=K n=N` | sends N concurrent calls in the background |
//! | `join` | waits for all background calls; prints the number of each result |
//! | `behave vm=V ms=N [refuse]` | sets the service time of an upstream, and whether it refuses calls |
//! | `kill`, `freeze`, `thaw`, `restart`, `stop` `vm=V` | does this to a daemon; `stop` prints whether it succeeded |
//! | `cut`, `heal` `vm=V place=store,fleet,gate` | cuts or restores the traffic of a VM |
//! | `store [down] [slow=MS] [lose=N]` | sets the faults of the store; none without arguments |
//! | `drain vm=V at=W` | drains the upstream on V through the daemon on W |
//! | `wait vm=V version=N` | waits until a daemon serves the version or a later one |
//! | `within seconds=S version=N` | checks that every running daemon serves the version or a later one within the bound |
//! | `pause ms=N` | waits |
//! | `serving vm=V` | prints the version that a daemon serves |
//! | `runs` | records how many calls each upstream has begun |
//! | `check` | waits until all daemons serve the head; prints the violations in the history |

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

use datadriven::{TestCase, TestFile};
use model::Millis;
use proof::{AcceptResult, CallKind, CallResult, CutPoint, HANG_LIMIT, TestFleet, check};
use standin::Behaviour;
use store::{Expect, GrpcStore, Store};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Maximum number of attempts of a repeated accept.
const MAX_ATTEMPTS: u32 = 20;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// State of a running scenario.
#[derive(Default)]
struct Scenario {
    fleet: Option<TestFleet>,
    calls: JoinSet<CallResult>,
}

impl Scenario {
    fn fleet(&mut self) -> Result<&mut TestFleet, Failure> {
        self.fleet
            .as_mut()
            .ok_or_else(|| "no fleet is open; `open` must be first".into())
    }

    async fn run(&mut self, case: &mut TestCase) -> Result<String, Failure> {
        match case.directive.as_str() {
            "open" => {
                let teams: Vec<String> = case.take_args("teams")?;
                let teams: Vec<&str> = teams.iter().map(String::as_str).collect();
                self.fleet = Some(TestFleet::open(&teams).await?);
            }
            "start" => {
                let vm: String = case.take_arg("vm")?;
                let domain: String = case.take_arg("domain")?;
                let team: Option<String> = case.try_take_arg("team")?;
                let team = team.as_deref();
                self.fleet()?.start(&vm, &domain, team).await?;
            }
            "accept" => return self.accept(case, 1).await,
            "settle" => return self.accept(case, MAX_ATTEMPTS).await,
            "race" => return self.accept_concurrently(case).await,
            "poison" => self.poison().await?,
            "call" => return self.call(case).await,
            "calls" => self.spawn_calls(case)?,
            "join" => return Ok(self.join().await),
            "behave" => self.set_behaviour(case).await?,
            "kill" => self.fleet()?.kill(&vm(case)?).await?,
            "freeze" => self.fleet()?.freeze(&vm(case)?)?,
            "thaw" => self.fleet()?.thaw(&vm(case)?)?,
            "restart" => self.fleet()?.restart(&vm(case)?).await?,
            "stop" => {
                let success = self.fleet()?.stop(&vm(case)?).await?;
                return Ok(if success { "stopped" } else { "failed" }.into());
            }
            "cut" | "heal" => self.set_cut(case)?,
            "store" => self.set_store_faults(case).await?,
            "drain" => {
                let at: String = case.take_arg("at")?;
                let vm = vm(case)?;
                self.fleet()?.drain(&vm, &at).await?;
            }
            "wait" => {
                let version = case.take_arg("version")?;
                let vm = vm(case)?;
                let fleet = self.fleet()?;
                fleet.wait_serving(&vm, version, HANG_LIMIT).await?;
            }
            "within" => return self.check_bound(case).await,
            "pause" => sleep(Duration::from_millis(case.take_arg("ms")?)).await,
            "serving" => {
                let vm = vm(case)?;
                return Ok(self.fleet()?.serving(&vm).await?.to_string());
            }
            "runs" => self.fleet()?.record_run_counts().await,
            "check" => return self.check().await,
            other => return Err(format!("unknown command `{other}`").into()),
        }
        case.expect_empty()?;
        Ok(String::new())
    }

    async fn accept(&mut self, case: &mut TestCase, attempts: u32) -> Result<String, Failure> {
        let at: String = case.take_arg("at")?;
        let team: String = case.take_arg("team")?;
        let id: String = case.take_arg("id")?;
        let stamp = case.take_arg("stamp")?;
        let agent = self.fleet()?.agent(&at)?;
        let mut result = agent.accept(&team, stamp, &id).await?;
        for _ in 1..attempts {
            if let AcceptResult::Accepted(_) = result {
                break;
            }
            result = agent.accept(&team, stamp, &id).await?;
        }
        Ok(accept_result(&result))
    }

    async fn accept_concurrently(&mut self, case: &mut TestCase) -> Result<String, Failure> {
        let vms: Vec<String> = case.take_args("at")?;
        let teams: Vec<String> = case.take_args("teams")?;
        let name: String = case.take_arg("id")?;
        let mut accepts = JoinSet::new();
        for (i, (vm, team)) in vms.iter().zip(teams).enumerate() {
            let agent = self.fleet()?.agent(vm)?;
            let id = format!("{name}-{i}");
            accepts.spawn(async move {
                let result = agent.accept(&team, 100 + i as u64, &id).await;
                result.map(|result| (team, result))
            });
        }
        let mut accepted = BTreeSet::new();
        while let Some(ended) = accepts.join_next().await {
            if let (team, AcceptResult::Accepted(_)) = ended?? {
                accepted.insert(team);
            }
        }
        let accepted: Vec<String> = accepted.into_iter().collect();
        Ok(format!("accepted {}", accepted.join(" ")))
    }

    /// Writes a change whose routes name a missing pool, and sets the head to it.
    async fn poison(&mut self) -> Result<(), Failure> {
        let store = GrpcStore::open(self.fleet()?.processes().kv.address);
        let head = store.get("head").await?.ok_or("no head")?;
        let json: serde_json::Value = serde_json::from_slice(&head.value)?;
        let digest = json["digest"].as_str().ok_or("no digest")?;
        let change = store
            .get(&change_key(
                json["version"].as_u64().ok_or("no version")?,
                digest,
            ))
            .await?
            .ok_or("no change")?;
        let change = model::Change::from_bytes(&change.value)?;
        let invalid = invalid_change(change, digest)?;
        let bytes = invalid.to_bytes();
        let digest = model::Digest::of(&bytes);
        store
            .put(
                &change_key(invalid.version.get(), &digest.to_string()),
                bytes,
                Expect::Any,
                None,
            )
            .await?;
        let value = serde_json::json!({"version": invalid.version, "digest": digest});
        store
            .put("head", serde_json::to_vec(&value)?, Expect::Any, None)
            .await?;
        Ok(())
    }

    async fn call(&mut self, case: &mut TestCase) -> Result<String, Failure> {
        let at: String = case.take_arg("at")?;
        let team: String = case.take_arg("team")?;
        let id: String = case.take_arg("id")?;
        let kind = kind(case)?;
        let agent = self.fleet()?.agent(&at)?;
        Ok(result_name(&agent.call(&team, kind, &id).await).into())
    }

    fn spawn_calls(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let at: String = case.take_arg("at")?;
        let team: String = case.take_arg("team")?;
        let count: u32 = case.take_arg("n")?;
        let kind = kind(case)?;
        let agent = self.fleet()?.agent(&at)?;
        for i in 0..count {
            let (agent, team) = (agent.clone(), team.clone());
            let id = format!("{at}-{}-{i}", agent.now().0);
            self.calls
                .spawn(async move { agent.call(&team, kind, &id).await });
        }
        Ok(())
    }

    async fn join(&mut self) -> String {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        while let Some(result) = self.calls.join_next().await {
            let name = result.map_or("panicked", |result| result_name(&result));
            *counts.entry(name).or_default() += 1;
        }
        let counts = counts.iter().map(|(name, count)| format!("{name} {count}"));
        counts.collect::<Vec<_>>().join("\n")
    }

    async fn set_behaviour(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let behaviour = Behaviour {
            service_time: Millis::new(case.take_arg("ms")?),
            refuse: case.take_flag("refuse")?,
            ..Behaviour::default()
        };
        let vm = vm(case)?;
        Ok(self.fleet()?.set_behaviour(&vm, &behaviour).await?)
    }

    fn set_cut(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let place: String = case.take_arg("place")?;
        let point = match place.as_str() {
            "store" => CutPoint::Store,
            "fleet" => CutPoint::Fleet,
            "gate" => CutPoint::Gate,
            other => {
                return Err(
                    format!("unknown place `{other}`; expected store, fleet or gate").into(),
                );
            }
        };
        let cuts = case.directive == "cut";
        let vm = vm(case)?;
        match cuts {
            true => self.fleet()?.cut(&vm, point)?,
            false => self.fleet()?.heal(&vm, point)?,
        }
        Ok(())
    }

    async fn set_store_faults(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let down = case.take_flag("down")?;
        let slow = case.try_take_arg("slow")?.unwrap_or(0);
        let lose = case.try_take_arg("lose")?.unwrap_or(0);
        let set = |faults: &mut standin::Faults| {
            faults.down = down;
            faults.delay = Millis::new(slow);
            faults.lose_answers = lose;
        };
        Ok(self.fleet()?.set_store_faults(set).await?)
    }

    /// Checks the required bound on convergence, in seconds. No other check depends on time.
    async fn check_bound(&mut self, case: &mut TestCase) -> Result<String, Failure> {
        let bound = Duration::from_secs(case.take_arg("seconds")?);
        let version = case.take_arg("version")?;
        let deadline = Instant::now() + bound;
        let fleet = self.fleet()?;
        for vm in fleet.running_vms() {
            let left = deadline.saturating_duration_since(Instant::now());
            fleet.wait_serving(&vm, version, left).await?;
        }
        Ok(String::new())
    }

    async fn check(&mut self) -> Result<String, Failure> {
        let fleet = self.fleet()?;
        fleet.await_convergence(HANG_LIMIT).await?;
        let history = fleet.collect().await?;
        let found = check(&history);
        if found.is_empty() {
            return Ok("nothing broken".into());
        }
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        Ok(found.join("\n"))
    }
}

/// Returns the store key of a change that has one part.
fn change_key(version: u64, digest: &str) -> String {
    format!("change/{version:020}/{digest}/0000")
}

/// Returns the successor of `last`, whose digest is `digest`, with routes to a missing pool.
fn invalid_change(last: model::Change, digest: &str) -> Result<model::Change, Failure> {
    let mut entries = last.entries.clone();
    for entry in &mut entries {
        if let Some(model::Item::Route(route)) = &mut entry.item {
            route.to[0].pool = "no-such-pool".parse()?;
        }
    }
    let items = entries.iter().filter_map(|entry| entry.item.clone());
    let root = model::State::from_items(items).root();
    Ok(model::Change {
        version: last.version.next(),
        parent: digest.parse()?,
        accept_id: "poison".parse()?,
        entries,
        root,
        ..last
    })
}

fn vm(case: &mut TestCase) -> Result<String, Failure> {
    Ok(case.take_arg("vm")?)
}

fn kind(case: &mut TestCase) -> Result<CallKind, Failure> {
    let kind: String = case.take_arg("kind")?;
    match kind.as_str() {
        "read" => Ok(CallKind::Idempotent),
        "notice" => Ok(CallKind::NonIdempotent),
        other => Err(format!("unknown kind of call `{other}`; expected read or notice").into()),
    }
}

fn result_name(result: &CallResult) -> &'static str {
    match result {
        CallResult::Answered(_) => "answered",
        CallResult::NotRun => "not-run",
        CallResult::Unknown => "unknown",
        CallResult::Lost => "lost",
    }
}

fn accept_result(result: &AcceptResult) -> String {
    match result {
        AcceptResult::Accepted(version) => format!("accepted {version}"),
        AcceptResult::Unchanged(version) => format!("unchanged {version}"),
        AcceptResult::NotAccepted => "not accepted".into(),
        AcceptResult::Unknown => "unknown".into(),
    }
}

/// Runs the scenario file `name` with its own runtime and fleet.
fn run(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.txt"));
    let path = path.display().to_string();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    datadriven::walk(&path, |file: &mut TestFile| {
        let mut scenario = Scenario::default();
        file.run(|case| {
            let outcome = runtime.block_on(scenario.run(case));
            let mut text = outcome.unwrap_or_else(|error| format!("error: {error}"));
            if !text.is_empty() {
                text.push('\n');
            }
            text
        });
    });
}

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            run(stringify!($name));
        })*
    };
}

scenarios! {
    responses_match_their_requests
    bad_version_is_not_applied
    versions_converge_and_never_revert
    drain_works_on_an_isolated_vm
    drained_upstream_receives_no_new_calls
    drain_survives_a_frozen_daemon
    accept_with_lost_store_response_is_retried
    non_idempotent_call_runs_at_most_once
    not_run_calls_did_not_run
    concurrent_accepts_are_serialised
    refused_retry_elsewhere_is_not_reported_as_not_run
    refused_retry_is_not_reported_as_not_run
    relay_resumes_with_expired_lease
    restart_serves_no_older_version
    restart_serves_no_older_version_in_two_domains
    route_serves_after_its_first_upstream_starts
    stop_completes_calls_in_flight
    stop_with_unresponsive_peers
    stop_without_store_access
    store_outage
}
