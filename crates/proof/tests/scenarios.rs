//! Runs the scenarios in `tests/scenarios`, one fleet of processes for each file.
//!
//! | verb | what it does |
//! | --- | --- |
//! | `open teams=(T,..)` | starts the store |
//! | `start vm=V domain=D [team=T]` | starts a daemon, with an upstream of team T beside it |
//! | `accept id=I at=V team=T stamp=N` | accepts; prints what the operator is told |
//! | `settle id=I at=V team=T stamp=N` | accepts again under the same id until it is accepted |
//! | `race id=I at=(V,..) teams=(T,..)` | accepts at the same moment, one for each pair; prints the teams that got in |
//! | `poison at=V` | writes a head that cannot be served, past every daemon |
//! | `call at=V team=T kind=K id=I` | calls; prints the outcome |
//! | `calls at=V team=T kind=K n=N` | makes N calls at once in the background |
//! | `join` | waits for all calls in the background; prints their outcomes |
//! | `behave vm=V ms=N [refuse]` | sets what an upstream does |
//! | `kill`, `freeze`, `thaw`, `restart`, `stop` `vm=V` | acts on a daemon |
//! | `cut`, `heal` `vm=V place=store,fleet,gate` | acts on its traffic |
//! | `store [down] [slow=MS] [lose=N]` | sets the store's faults; without any, it is well |
//! | `drain vm=V at=W` | drains an upstream |
//! | `wait vm=V version=N` | waits until a daemon serves a version |
//! | `within seconds=S version=N` | checks that every daemon that runs serves it within the bound |
//! | `pause ms=N` | lets time pass |
//! | `serving vm=V` | prints the version that a daemon serves |
//! | `runs` | looks at how many calls each upstream has begun |
//! | `check` | waits until the fleet has settled, and prints what the history breaks |

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

use datadriven::{TestCase, TestFile};
use model::Millis;
use proof::{CallResult, HANG_LIMIT, Kind, Place, Verdict, World, check};
use standin::Behaviour;
use store::{Expect, GrpcStore, Store};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Tries until an accept must be settled.
const MAX_TRIES: u32 = 20;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// One scenario under way.
#[derive(Default)]
struct Scenario {
    world: Option<World>,
    calls: JoinSet<CallResult>,
}

impl Scenario {
    fn world(&mut self) -> Result<&mut World, Failure> {
        self.world.as_mut().ok_or_else(|| "no store is open".into())
    }

    async fn run(&mut self, case: &mut TestCase) -> Result<String, Failure> {
        match case.directive.as_str() {
            "open" => {
                let teams: Vec<String> = case.take_args("teams")?;
                let teams: Vec<&str> = teams.iter().map(String::as_str).collect();
                self.world = Some(World::open(&teams).await?);
            }
            "start" => {
                let vm: String = case.take_arg("vm")?;
                let domain: String = case.take_arg("domain")?;
                let team: Option<String> = case.try_take_arg("team")?;
                let team = team.as_deref();
                self.world()?.start(&vm, &domain, team).await?;
            }
            "accept" => return self.accept(case, 1).await,
            "settle" => return self.accept(case, MAX_TRIES).await,
            "race" => return self.race(case).await,
            "poison" => self.poison().await?,
            "call" => return self.call(case).await,
            "calls" => self.spawn_calls(case)?,
            "join" => return Ok(self.join().await),
            "behave" => self.behave(case).await?,
            "kill" => self.world()?.kill(&vm(case)?).await?,
            "freeze" => self.world()?.freeze(&vm(case)?)?,
            "thaw" => self.world()?.thaw(&vm(case)?)?,
            "restart" => self.world()?.restart(&vm(case)?).await?,
            "stop" => {
                let success = self.world()?.stop(&vm(case)?).await?;
                return Ok(if success { "stopped" } else { "failed" }.into());
            }
            "cut" | "heal" => self.cut(case)?,
            "store" => self.store(case).await?,
            "drain" => {
                let at: String = case.take_arg("at")?;
                let vm = vm(case)?;
                self.world()?.drain(&vm, &at).await?;
            }
            "wait" => {
                let version = case.take_arg("version")?;
                let vm = vm(case)?;
                let world = self.world()?;
                world.wait_serving(&vm, version, HANG_LIMIT).await?;
            }
            "within" => return self.within(case).await,
            "pause" => sleep(Duration::from_millis(case.take_arg("ms")?)).await,
            "serving" => {
                let vm = vm(case)?;
                return Ok(self.world()?.serving(&vm).await?.to_string());
            }
            "runs" => self.world()?.look_at_runs().await,
            "check" => return self.check().await,
            other => return Err(format!("`{other}` is no verb").into()),
        }
        case.expect_empty()?;
        Ok(String::new())
    }

    async fn accept(&mut self, case: &mut TestCase, tries: u32) -> Result<String, Failure> {
        let at: String = case.take_arg("at")?;
        let team: String = case.take_arg("team")?;
        let id: String = case.take_arg("id")?;
        let stamp = case.take_arg("stamp")?;
        let agent = self.world()?.agent(&at)?;
        let mut told = agent.accept(&team, stamp, &id).await?;
        for _ in 1..tries {
            if let Verdict::Accepted(_) = told {
                break;
            }
            told = agent.accept(&team, stamp, &id).await?;
        }
        Ok(verdict(&told))
    }

    async fn race(&mut self, case: &mut TestCase) -> Result<String, Failure> {
        let vms: Vec<String> = case.take_args("at")?;
        let teams: Vec<String> = case.take_args("teams")?;
        let name: String = case.take_arg("id")?;
        let mut accepts = JoinSet::new();
        for (i, (vm, team)) in vms.iter().zip(teams).enumerate() {
            let agent = self.world()?.agent(vm)?;
            let id = format!("{name}-{i}");
            accepts.spawn(async move {
                let verdict = agent.accept(&team, 100 + i as u64, &id).await;
                verdict.map(|verdict| (team, verdict))
            });
        }
        let mut accepted = BTreeSet::new();
        while let Some(ended) = accepts.join_next().await {
            if let (team, Verdict::Accepted(_)) = ended?? {
                accepted.insert(team);
            }
        }
        let accepted: Vec<String> = accepted.into_iter().collect();
        Ok(format!("accepted {}", accepted.join(" ")))
    }

    /// Writes a change that names a pool which does not exist, and moves the head to it.
    async fn poison(&mut self) -> Result<(), Failure> {
        let store = GrpcStore::open(self.world()?.fleet().kv.address);
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
        let bad = bad_change(change, digest)?;
        let bytes = bad.to_bytes();
        let digest = model::Digest::of(&bytes);
        store
            .put(
                &change_key(bad.version.get(), &digest.to_string()),
                bytes,
                Expect::Any,
                None,
            )
            .await?;
        let value = serde_json::json!({"version": bad.version, "digest": digest});
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
        let agent = self.world()?.agent(&at)?;
        Ok(name(&agent.call(&team, kind, &id).await).into())
    }

    fn spawn_calls(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let at: String = case.take_arg("at")?;
        let team: String = case.take_arg("team")?;
        let count: u32 = case.take_arg("n")?;
        let kind = kind(case)?;
        let agent = self.world()?.agent(&at)?;
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
            let name = result.map_or("panicked", |result| name(&result));
            *counts.entry(name).or_default() += 1;
        }
        let counts = counts.iter().map(|(name, count)| format!("{name} {count}"));
        counts.collect::<Vec<_>>().join("\n")
    }

    async fn behave(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let behaviour = Behaviour {
            service_time: Millis::new(case.take_arg("ms")?),
            refuse: case.take_flag("refuse")?,
            ..Behaviour::default()
        };
        let vm = vm(case)?;
        Ok(self.world()?.behave(&vm, &behaviour).await?)
    }

    fn cut(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let place: String = case.take_arg("place")?;
        let place = match place.as_str() {
            "store" => Place::Store,
            "fleet" => Place::Fleet,
            "gate" => Place::Gate,
            other => return Err(format!("`{other}` is no place").into()),
        };
        let cuts = case.directive == "cut";
        let vm = vm(case)?;
        match cuts {
            true => self.world()?.cut(&vm, place)?,
            false => self.world()?.heal(&vm, place)?,
        }
        Ok(())
    }

    async fn store(&mut self, case: &mut TestCase) -> Result<(), Failure> {
        let down = case.take_flag("down")?;
        let slow = case.try_take_arg("slow")?.unwrap_or(0);
        let lose = case.try_take_arg("lose")?.unwrap_or(0);
        let set = |faults: &mut standin::Faults| {
            faults.down = down;
            faults.delay = Millis::new(slow);
            faults.lose_answers = lose;
        };
        Ok(self.world()?.store(set).await?)
    }

    /// Checks the brief's bound, which is in seconds; nothing else is judged by time.
    async fn within(&mut self, case: &mut TestCase) -> Result<String, Failure> {
        let bound = Duration::from_secs(case.take_arg("seconds")?);
        let version = case.take_arg("version")?;
        let deadline = Instant::now() + bound;
        let world = self.world()?;
        for vm in world.alive() {
            let left = deadline.saturating_duration_since(Instant::now());
            world.wait_serving(&vm, version, left).await?;
        }
        Ok(String::new())
    }

    async fn check(&mut self) -> Result<String, Failure> {
        let world = self.world()?;
        world.settle(HANG_LIMIT).await?;
        let history = world.collect().await?;
        let found = check(&history);
        if found.is_empty() {
            return Ok("nothing broken".into());
        }
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        Ok(found.join("\n"))
    }
}

/// Returns the key under which a change of one part is stored.
fn change_key(version: u64, digest: &str) -> String {
    format!("change/{version:020}/{digest}/0000")
}

/// Returns a change after `last`, whose digest is `digest`, that adds a route to a missing pool.
fn bad_change(last: model::Change, digest: &str) -> Result<model::Change, Failure> {
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

fn kind(case: &mut TestCase) -> Result<Kind, Failure> {
    let kind: String = case.take_arg("kind")?;
    match kind.as_str() {
        "read" => Ok(Kind::Read),
        "notice" => Ok(Kind::Notice),
        other => Err(format!("`{other}` is no kind of call").into()),
    }
}

fn name(result: &CallResult) -> &'static str {
    match result {
        CallResult::Answered(_) => "answered",
        CallResult::NotRun => "not-run",
        CallResult::Unknown => "unknown",
        CallResult::Lost => "lost",
    }
}

fn verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(version) => format!("accepted {version}"),
        Verdict::Unchanged(version) => format!("unchanged {version}"),
        Verdict::NotAccepted => "not accepted".into(),
        Verdict::Unknown => "unknown".into(),
    }
}

/// Runs the scenario in one file, in a runtime and a fleet of its own.
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
    answers_belong
    bad_version_is_not_applied
    converges_and_never_reverts
    drain_needs_no_network_to_its_own_vm
    drain_receives_no_new_work
    drain_survives_a_frozen_daemon
    lost_answer_is_settled
    notice_runs_at_most_once
    not_run_is_true
    racing_operators
    refused_retry_elsewhere_is_not_reported_as_not_run
    refused_retry_is_not_reported_as_not_run
    relay_wakes_with_lapsed_lease
    restart_keeps_the_floor
    restart_keeps_the_floor_with_two_domains
    route_without_upstream_comes_alive
    stop_cuts_nothing
    stop_while_peers_stand_still
    stop_while_the_store_is_cut_off
    store_outage
}
