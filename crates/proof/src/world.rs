//! A fleet of separate processes that records its history.

use std::collections::BTreeMap;
use std::time::Duration;

use admin::ClientError;
use harness::{FaultProxy, Fleet, VmSpec, wait_until};
use model::Version;
use serde::Deserialize;
use standin::{Behaviour, Faults};
use tokio::time::timeout;

use crate::client::Agent;
use crate::config::service_of;
use crate::history::{
    ChainEntry, Drain, Fault, History, InForce, Moment, Recorder, Run, RunCount, Stop,
};

/// Longest wait for a condition that must come about; reached only when something hangs.
pub const HANG_LIMIT: Duration = Duration::from_secs(60);

/// Longest wait of an operator who drains an upstream.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Most versions read of a chain.
const MAX_CHAIN: usize = 1_000;

/// Why a world could not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The harness failed.
    #[error(transparent)]
    Harness(#[from] harness::Error),
    /// A stand-in's control failed.
    #[error(transparent)]
    Control(#[from] standin::ControlError),
    /// A daemon's administration failed.
    #[error(transparent)]
    Admin(#[from] ClientError),
    /// A cut could not be opened.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A configuration could not be printed.
    #[error(transparent)]
    Plan(#[from] plan::PlanError),
    /// A name is not known or not valid.
    #[error("`{0}` is not known here")]
    Unknown(String),
}

/// Where traffic to a VM, or from it to the store, is cut.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Place {
    /// From the daemon to the store.
    Store,
    /// From other daemons to the daemon's fleet port.
    Fleet,
    /// From other daemons to the daemon's gate.
    Gate,
}

/// The forwarders around one VM.
#[derive(Debug)]
struct Cuts {
    store: FaultProxy,
    fleet: FaultProxy,
    gate: FaultProxy,
}

/// State of a daemon's process.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Life {
    Runs,
    Frozen,
    Ended,
}

/// A fleet of separate processes that records its history.
#[derive(Debug)]
pub struct World {
    fleet: Fleet,
    recorder: Recorder,
    cuts: Vec<Cuts>,
    lives: Vec<Life>,
    /// Position of the upstream beside each daemon that has one.
    upstreams: BTreeMap<usize, usize>,
    faults: Faults,
    /// Daemons that were asked to stop, and when.
    stopping: BTreeMap<String, Moment>,
}

/// A line of a daemon's log.
#[derive(Debug, Deserialize)]
struct LogLine {
    msg: String,
    version: Option<u64>,
    cut: Option<u64>,
}

impl World {
    /// Opens a world with a store and no daemon.
    ///
    /// # Errors
    ///
    /// Fails if the store does not become ready.
    pub async fn open(teams: &[&str]) -> Result<Self, Error> {
        Ok(Self {
            fleet: Fleet::open(teams).await?,
            recorder: Recorder::default(),
            cuts: Vec::new(),
            lives: Vec::new(),
            upstreams: BTreeMap::new(),
            faults: Faults::default(),
            stopping: BTreeMap::new(),
        })
    }

    /// Starts a daemon on `vm`, with an upstream of `team` beside it where one is given.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub async fn start(&mut self, vm: &str, domain: &str, team: Option<&str>) -> Result<(), Error> {
        let cuts = Cuts {
            store: FaultProxy::open().await?,
            fleet: FaultProxy::open().await?,
            gate: FaultProxy::open().await?,
        };
        cuts.store.set_target(self.fleet.kv.address);
        let mut spec = VmSpec::new(vm, domain, "proof");
        spec.fixed_ports = true;
        spec.store = Some(cuts.store.address());
        spec.listen = format!(
            "advertise_gate = \"{}\"\nadvertise_fleet = \"{}\"",
            cuts.gate.address(),
            cuts.fleet.address()
        );
        let seeds = self
            .cuts
            .iter()
            .map(|cuts| format!("\"{}\"", cuts.fleet.address()));
        let seeds: Vec<String> = seeds.collect();
        spec.fleet = format!(
            "beacon = \"500ms\"\nlease = \"2s\"\ncompare = \"1s\"\nseeds = [{}]",
            seeds.join(", ")
        );
        spec.settings = "[log]\nformat = \"json\"\n\n[upstream]\nstop_limit = \"8s\"".into();
        let daemon = self.fleet.start_daemon(spec).await?;
        cuts.fleet.set_target(self.fleet.daemons[daemon].fleet);
        cuts.gate.set_target(self.fleet.daemons[daemon].gate);
        self.cuts.push(cuts);
        self.lives.push(Life::Runs);
        if let Some(team) = team {
            self.start_upstream(daemon, team).await?;
        }
        Ok(())
    }

    async fn start_upstream(&mut self, daemon: usize, team: &str) -> Result<(), Error> {
        let upstream = self.fleet.start_upstream(daemon, &service_of(team)).await?;
        self.upstreams.insert(daemon, upstream);
        Ok(())
    }

    /// Returns the VMs of all daemons.
    pub fn vms(&self) -> Vec<String> {
        let vms = self
            .fleet
            .daemons
            .iter()
            .map(|daemon| daemon.spec.vm.clone());
        vms.collect()
    }

    /// Returns the recorder.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Returns a caller and operator at the daemon on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if no daemon was started there.
    pub fn agent(&self, vm: &str) -> Result<Agent, Error> {
        let daemon = &self.fleet.daemons[self.find(vm)?];
        Ok(Agent::new(
            vm,
            daemon.caller,
            daemon.client(),
            self.recorder.clone(),
        ))
    }

    /// Kills the daemon on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub async fn kill(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.find(vm)?;
        self.forget_drain(vm);
        self.begin_fault("kill", vm);
        self.fleet.daemons[daemon].process.end().await?;
        self.lives[daemon] = Life::Ended;
        Ok(())
    }

    /// Starts the daemon on `vm`, which has ended, again.
    ///
    /// # Errors
    ///
    /// Fails if it does not become ready.
    pub async fn restart(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.find(vm)?;
        if self.stopping.contains_key(vm) {
            self.finish_stop(vm).await?;
        }
        self.fleet.restart_daemon(daemon).await?;
        self.lives[daemon] = Life::Runs;
        self.end_fault("kill", vm);
        Ok(())
    }

    /// Freezes the daemon on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn freeze(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.find(vm)?;
        self.begin_fault("freeze", vm);
        self.fleet.daemons[daemon].process.freeze()?;
        self.lives[daemon] = Life::Frozen;
        Ok(())
    }

    /// Lets the daemon on `vm` go on.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn thaw(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.find(vm)?;
        self.fleet.daemons[daemon].process.thaw()?;
        self.lives[daemon] = Life::Runs;
        self.end_fault("freeze", vm);
        Ok(())
    }

    /// Cuts the traffic of `vm` at `place`.
    ///
    /// # Errors
    ///
    /// Fails if no daemon was started there.
    pub fn cut(&mut self, vm: &str, place: Place) -> Result<(), Error> {
        let daemon = self.find(vm)?;
        if place == Place::Gate {
            self.begin_fault("cut", vm);
        }
        self.cuts[daemon].at(place).stall();
        Ok(())
    }

    /// Heals the traffic of `vm` at `place`.
    ///
    /// # Errors
    ///
    /// Fails if no daemon was started there.
    pub fn heal(&mut self, vm: &str, place: Place) -> Result<(), Error> {
        let daemon = self.find(vm)?;
        self.cuts[daemon].at(place).restore();
        if place == Place::Gate {
            self.end_fault("cut", vm);
        }
        Ok(())
    }

    /// Sets the store's faults through `update`.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not answer.
    pub async fn store(&mut self, update: impl FnOnce(&mut Faults)) -> Result<(), Error> {
        update(&mut self.faults);
        Ok(self.fleet.kv.control.set_faults(&self.faults).await?)
    }

    /// Sets what the upstream on `vm` does.
    ///
    /// # Errors
    ///
    /// Fails if there is none or it does not answer.
    pub async fn behave(&self, vm: &str, behaviour: &Behaviour) -> Result<(), Error> {
        let upstream = self.upstream(vm)?;
        let control = &self.fleet.upstreams[upstream].control;
        Ok(control.set_behaviour(behaviour).await?)
    }

    /// Drains the upstream on `vm`, asked for at the daemon on `at`.
    ///
    /// # Errors
    ///
    /// Fails if the daemon refuses.
    pub async fn drain(&self, vm: &str, at: &str) -> Result<(), Error> {
        let client = self.fleet.daemons[self.find(at)?].client();
        let id = vm.parse().map_err(|_| Error::Unknown(vm.into()))?;
        let drained = timeout(DRAIN_LIMIT, client.drain(&id)).await;
        drained.map_err(|_| Error::Unknown(format!("the end of the drain of {vm}")))??;
        let drain = Drain {
            vm: vm.into(),
            at: self.recorder.now(),
            until: None,
        };
        self.recorder.history().drains.push(drain);
        Ok(())
    }

    /// Notes that the drain of `vm` no longer holds, because its daemon forgets it now.
    pub fn forget_drain(&self, vm: &str) {
        let now = self.recorder.now();
        for drain in &mut self.recorder.history().drains {
            if drain.vm == vm && drain.until.is_none() {
                drain.until = Some(now);
            }
        }
    }

    /// Stops the daemon on `vm` as planned.
    ///
    /// # Errors
    ///
    /// Fails if it does not end.
    pub async fn stop(&mut self, vm: &str) -> Result<bool, Error> {
        self.begin_stop(vm)?;
        self.finish_stop(vm).await
    }

    /// Asks the daemon on `vm` to stop, without waiting for its end.
    ///
    /// # Errors
    ///
    /// Fails if it has ended already.
    pub fn begin_stop(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.find(vm)?;
        self.forget_drain(vm);
        self.stopping.insert(vm.into(), self.recorder.now());
        self.fleet.daemons[daemon].process.interrupt()?;
        self.lives[daemon] = Life::Ended;
        Ok(())
    }

    /// Waits for the end of a daemon that was asked to stop; returns whether it reports success.
    ///
    /// # Errors
    ///
    /// Fails if it does not end.
    pub async fn finish_stop(&mut self, vm: &str) -> Result<bool, Error> {
        let daemon = self.find(vm)?;
        let start = self.stopping.remove(vm);
        let start = start.ok_or_else(|| Error::Unknown(vm.into()))?;
        let status = self.fleet.daemons[daemon].process.wait(HANG_LIMIT).await?;
        let lines = self.lines(vm);
        let last = lines.iter().rfind(|line| line.msg == "daemon stopped");
        let stop = Stop {
            vm: vm.into(),
            start,
            end: self.recorder.now(),
            cut: last.and_then(|line| line.cut),
        };
        self.recorder.history().stops.push(stop);
        Ok(status.success())
    }

    /// Reads the head at the daemon on `vm`, if the store answers.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub async fn read_head(&self, vm: &str) -> Result<Option<u64>, Error> {
        self.agent(vm)?.read_head().await
    }

    /// Returns the version that the daemon on `vm` serves.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer.
    pub async fn serving(&self, vm: &str) -> Result<Version, Error> {
        let client = self.fleet.daemons[self.find(vm)?].client();
        Ok(client.status().await?.serving)
    }

    /// Waits until the daemon on `vm` serves `version` or a later one.
    ///
    /// # Errors
    ///
    /// Fails if that does not come about within `limit`.
    pub async fn wait_serving(&self, vm: &str, version: u64, limit: Duration) -> Result<(), Error> {
        let what = format!("version {version} on {vm}");
        let arrived = async || {
            let serving = self.serving(vm).await;
            serving.is_ok_and(|serving| serving.get() >= version)
        };
        Ok(wait_until(&what, limit, arrived).await?)
    }

    /// Notes how many calls each upstream has begun.
    pub async fn look_at_runs(&self) {
        for upstream in &self.fleet.upstreams {
            // An upstream that is frozen or gone is looked at again later.
            let looked = timeout(Duration::from_secs(2), upstream.control.runs());
            if let Ok(Ok(runs)) = looked.await {
                let count = RunCount {
                    vm: upstream.vm.clone(),
                    at: self.recorder.now(),
                    count: runs.len(),
                };
                self.recorder.history().counts.push(count);
            }
        }
    }

    /// Notes which version each daemon that runs serves, once it serves the head or `limit` passed.
    ///
    /// # Errors
    ///
    /// Fails if the store or no daemon answers.
    pub async fn settle(&self, limit: Duration) -> Result<u64, Error> {
        let alive = self.alive();
        let first = alive
            .first()
            .ok_or_else(|| Error::Unknown("a daemon".into()))?;
        let head = self.read_head(first).await?.unwrap_or_default();
        for vm in &alive {
            // What is not served in time is reported by the check.
            let _ = self.wait_serving(vm, head, limit).await;
            let serving = self.serving(vm).await?.get();
            self.recorder.history().settled.insert(vm.clone(), serving);
        }
        Ok(head)
    }

    /// Returns the VMs whose daemons run.
    pub fn alive(&self) -> Vec<String> {
        let vms = self.vms().into_iter().zip(&self.lives);
        let alive = vms.filter(|(_, life)| **life == Life::Runs);
        alive.map(|(vm, _)| vm).collect()
    }

    /// Collects the logs, runs and chain, and returns the whole history.
    ///
    /// # Errors
    ///
    /// Fails if the store, an upstream or every daemon does not answer.
    pub async fn collect(&self) -> Result<History, Error> {
        self.look_at_runs().await;
        let alive = self.alive();
        let first = alive
            .first()
            .ok_or_else(|| Error::Unknown("a daemon".into()))?;
        let log = self.fleet.daemons[self.find(first)?]
            .client()
            .log(MAX_CHAIN)
            .await?;
        let mut runs = Vec::new();
        for upstream in &self.fleet.upstreams {
            let begun = upstream.control.runs().await?;
            runs.extend(begun.into_iter().map(|run| Run {
                vm: upstream.vm.clone(),
                id: run.request_id,
            }));
        }
        let mut forced = Vec::new();
        for vm in self.vms() {
            let lines = self.lines(&vm).into_iter();
            let lines = lines.filter(|line| line.msg == "version in force");
            forced.extend(lines.filter_map(|line| {
                Some(InForce {
                    vm: vm.clone(),
                    version: line.version?,
                })
            }));
        }
        let mut history = self.recorder.history();
        history.chain = log
            .iter()
            .rev()
            .map(|entry| ChainEntry {
                version: entry.version.get(),
                id: entry.accept_id.to_string(),
            })
            .collect();
        history.runs = runs;
        history.forced = forced;
        Ok(history.clone())
    }

    /// Returns the log of the daemon on `vm`, as text.
    pub fn log(&self, vm: &str) -> String {
        self.fleet.log(vm)
    }

    /// Returns the fleet below.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    fn lines(&self, vm: &str) -> Vec<LogLine> {
        let log = self.fleet.log(vm);
        // A killed daemon may have left half a line.
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines.collect()
    }

    fn find(&self, vm: &str) -> Result<usize, Error> {
        let found = self
            .fleet
            .daemons
            .iter()
            .position(|daemon| daemon.spec.vm == vm);
        found.ok_or_else(|| Error::Unknown(vm.into()))
    }

    fn upstream(&self, vm: &str) -> Result<usize, Error> {
        let found = self.upstreams.get(&self.find(vm)?);
        found.copied().ok_or_else(|| Error::Unknown(vm.into()))
    }

    fn begin_fault(&self, what: &'static str, vm: &str) {
        let fault = Fault {
            what,
            vm: vm.into(),
            start: self.recorder.now(),
            end: None,
        };
        self.recorder.history().faults.push(fault);
    }

    fn end_fault(&self, what: &str, vm: &str) {
        let now = self.recorder.now();
        for fault in &mut self.recorder.history().faults {
            if fault.what == what && fault.vm == vm && fault.end.is_none() {
                fault.end = Some(now);
            }
        }
    }
}

impl Cuts {
    fn at(&self, place: Place) -> &FaultProxy {
        match place {
            Place::Store => &self.store,
            Place::Fleet => &self.fleet,
            Place::Gate => &self.gate,
        }
    }
}
