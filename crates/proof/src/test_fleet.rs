//! Fleet of separate processes that records its history.

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
    Activation, ChainEntry, Drain, Fault, History, Moment, Recorder, Run, RunCount, Stop,
};

/// Longest wait for a condition that must become true; reached only if a process hangs.
pub const HANG_LIMIT: Duration = Duration::from_secs(60);

/// Longest wait of an operator for a drain.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Maximum number of versions read of the chain.
const MAX_CHAIN: usize = 1_000;

/// Failure of an operation on the test fleet.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The harness failed.
    #[error(transparent)]
    Harness(#[from] harness::Error),
    /// The control API of a stand-in failed.
    #[error(transparent)]
    Control(#[from] standin::ControlError),
    /// The administration API of a daemon failed.
    #[error(transparent)]
    Admin(#[from] ClientError),
    /// A proxy could not be opened.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A configuration could not be rendered.
    #[error(transparent)]
    Plan(#[from] plan::PlanError),
    /// A name is unknown or invalid, or a drain did not complete in time.
    #[error("unknown or unavailable: {0}")]
    Unknown(String),
}

/// Traffic that can be cut.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CutPoint {
    /// From the daemon to the store.
    Store,
    /// From other daemons to the daemon's fleet port.
    Fleet,
    /// From other daemons to the daemon's gate.
    Gate,
}

/// Proxies for the traffic of one VM.
#[derive(Debug)]
struct Proxies {
    store: FaultProxy,
    fleet: FaultProxy,
    gate: FaultProxy,
}

/// State of a daemon process.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ProcessState {
    Running,
    Frozen,
    Ended,
}

/// Fleet of separate processes that records its history.
#[derive(Debug)]
pub struct TestFleet {
    fleet: Fleet,
    recorder: Recorder,
    proxies: Vec<Proxies>,
    states: Vec<ProcessState>,
    /// Index of the upstream of each daemon that has one, by index of the daemon.
    upstreams: BTreeMap<usize, usize>,
    faults: Faults,
    /// VMs of the stopping daemons, with the time of the stop request.
    stopping: BTreeMap<String, Moment>,
}

/// Line of a daemon log.
#[derive(Debug, Deserialize)]
struct LogLine {
    msg: String,
    version: Option<u64>,
    cut: Option<u64>,
}

impl TestFleet {
    /// Starts a fleet with a store and no daemon.
    ///
    /// # Errors
    ///
    /// Fails if the store does not become ready.
    pub async fn open(teams: &[&str]) -> Result<Self, Error> {
        Ok(Self {
            fleet: Fleet::open(teams).await?,
            recorder: Recorder::default(),
            proxies: Vec::new(),
            states: Vec::new(),
            upstreams: BTreeMap::new(),
            faults: Faults::default(),
            stopping: BTreeMap::new(),
        })
    }

    /// Starts a daemon on `vm`, and an upstream of `team` there if one is given.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub async fn start(&mut self, vm: &str, domain: &str, team: Option<&str>) -> Result<(), Error> {
        let proxies = Proxies {
            store: FaultProxy::open().await?,
            fleet: FaultProxy::open().await?,
            gate: FaultProxy::open().await?,
        };
        proxies.store.set_target(self.fleet.kv.address);
        let mut spec = VmSpec::new(vm, domain, "proof");
        spec.fixed_ports = true;
        spec.store = Some(proxies.store.address());
        spec.listen = format!(
            "advertise_gate = \"{}\"\nadvertise_fleet = \"{}\"",
            proxies.gate.address(),
            proxies.fleet.address()
        );
        let seeds = self
            .proxies
            .iter()
            .map(|proxies| format!("\"{}\"", proxies.fleet.address()));
        let seeds: Vec<String> = seeds.collect();
        spec.fleet = format!(
            "beacon = \"500ms\"\nlease = \"2s\"\ncompare = \"1s\"\nseeds = [{}]",
            seeds.join(", ")
        );
        spec.settings = "[log]\nformat = \"json\"\n\n[upstream]\nstop_limit = \"8s\"".into();
        let daemon = self.fleet.start_daemon(spec).await?;
        proxies.fleet.set_target(self.fleet.daemons[daemon].fleet);
        proxies.gate.set_target(self.fleet.daemons[daemon].gate);
        self.proxies.push(proxies);
        self.states.push(ProcessState::Running);
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

    /// Returns a caller and operator of the daemon on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if no daemon was started there.
    pub fn agent(&self, vm: &str) -> Result<Agent, Error> {
        let daemon = &self.fleet.daemons[self.daemon_index(vm)?];
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
    /// Fails if no daemon was started there or it cannot be ended.
    pub async fn kill(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.daemon_index(vm)?;
        self.end_drain(vm);
        self.begin_fault("kill", vm);
        self.fleet.daemons[daemon].process.end().await?;
        self.states[daemon] = ProcessState::Ended;
        Ok(())
    }

    /// Restarts the daemon on `vm`, which has been killed or stopped.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not become ready.
    pub async fn restart(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.daemon_index(vm)?;
        if self.stopping.contains_key(vm) {
            self.finish_stop(vm).await?;
        }
        self.fleet.restart_daemon(daemon).await?;
        self.states[daemon] = ProcessState::Running;
        self.end_fault("kill", vm);
        Ok(())
    }

    /// Freezes the daemon on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn freeze(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.daemon_index(vm)?;
        self.begin_fault("freeze", vm);
        self.fleet.daemons[daemon].process.freeze()?;
        self.states[daemon] = ProcessState::Frozen;
        Ok(())
    }

    /// Resumes the frozen daemon on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn thaw(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.daemon_index(vm)?;
        self.fleet.daemons[daemon].process.thaw()?;
        self.states[daemon] = ProcessState::Running;
        self.end_fault("freeze", vm);
        Ok(())
    }

    /// Cuts the traffic of `vm` at `point`.
    ///
    /// # Errors
    ///
    /// Fails if no daemon was started there.
    pub fn cut(&mut self, vm: &str, point: CutPoint) -> Result<(), Error> {
        let daemon = self.daemon_index(vm)?;
        if point == CutPoint::Gate {
            self.begin_fault("cut", vm);
        }
        self.proxies[daemon].at(point).stall();
        Ok(())
    }

    /// Restores the traffic of `vm` at `point`.
    ///
    /// # Errors
    ///
    /// Fails if no daemon was started there.
    pub fn heal(&mut self, vm: &str, point: CutPoint) -> Result<(), Error> {
        let daemon = self.daemon_index(vm)?;
        self.proxies[daemon].at(point).restore();
        if point == CutPoint::Gate {
            self.end_fault("cut", vm);
        }
        Ok(())
    }

    /// Changes the faults of the store with `update`.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not respond.
    pub async fn set_store_faults(
        &mut self,
        update: impl FnOnce(&mut Faults),
    ) -> Result<(), Error> {
        update(&mut self.faults);
        Ok(self.fleet.kv.control.set_faults(&self.faults).await?)
    }

    /// Sets the behaviour of the upstream on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if there is no upstream or it does not respond.
    pub async fn set_behaviour(&self, vm: &str, behaviour: &Behaviour) -> Result<(), Error> {
        let upstream = self.upstream_index(vm)?;
        let control = &self.fleet.upstreams[upstream].control;
        Ok(control.set_behaviour(behaviour).await?)
    }

    /// Drains the upstream on `vm` through the daemon on `at`, and records the drain.
    ///
    /// # Errors
    ///
    /// Fails if the daemon refuses or the drain takes longer than 5 s.
    pub async fn drain(&self, vm: &str, at: &str) -> Result<(), Error> {
        let client = self.fleet.daemons[self.daemon_index(at)?].client();
        let id = vm.parse().map_err(|_| Error::Unknown(vm.into()))?;
        let drain = timeout(DRAIN_LIMIT, client.drain(&id)).await;
        drain.map_err(|_| {
            Error::Unknown(format!(
                "result of the drain of {vm} within {DRAIN_LIMIT:?}"
            ))
        })??;
        let drain = Drain {
            vm: vm.into(),
            at: self.recorder.now(),
            until: None,
        };
        self.recorder.history().drains.push(drain);
        Ok(())
    }

    /// Records the end of the drain of `vm`; a daemon that ends loses the drain.
    pub fn end_drain(&self, vm: &str) {
        let now = self.recorder.now();
        for drain in &mut self.recorder.history().drains {
            if drain.vm == vm && drain.until.is_none() {
                drain.until = Some(now);
            }
        }
    }

    /// Stops the daemon on `vm` gracefully; returns whether it reports success.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not exit.
    pub async fn stop(&mut self, vm: &str) -> Result<bool, Error> {
        self.begin_stop(vm)?;
        self.finish_stop(vm).await
    }

    /// Requests a graceful stop of the daemon on `vm` without waiting for its exit.
    ///
    /// # Errors
    ///
    /// Fails if it has already exited.
    pub fn begin_stop(&mut self, vm: &str) -> Result<(), Error> {
        let daemon = self.daemon_index(vm)?;
        self.end_drain(vm);
        self.stopping.insert(vm.into(), self.recorder.now());
        self.fleet.daemons[daemon].process.interrupt()?;
        self.states[daemon] = ProcessState::Ended;
        Ok(())
    }

    /// Waits for the exit of a stopping daemon; returns whether it reports success.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not exit.
    pub async fn finish_stop(&mut self, vm: &str) -> Result<bool, Error> {
        let daemon = self.daemon_index(vm)?;
        let start = self.stopping.remove(vm);
        let start = start.ok_or_else(|| Error::Unknown(vm.into()))?;
        let status = self.fleet.daemons[daemon].process.wait(HANG_LIMIT).await?;
        let lines = self.log_lines(vm);
        let last = lines.iter().rfind(|line| line.msg == "daemon stopped");
        let stop = Stop {
            vm: vm.into(),
            start,
            end: self.recorder.now(),
            cut_connections: last.and_then(|line| line.cut),
        };
        self.recorder.history().stops.push(stop);
        Ok(status.success())
    }

    /// Reads the head through the daemon on `vm`; returns `None` while the store is unreachable.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn read_head(&self, vm: &str) -> Result<Option<u64>, Error> {
        self.agent(vm)?.read_head().await
    }

    /// Returns the version that the daemon on `vm` serves.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn serving(&self, vm: &str) -> Result<Version, Error> {
        let client = self.fleet.daemons[self.daemon_index(vm)?].client();
        Ok(client.status().await?.serving)
    }

    /// Waits until the daemon on `vm` serves `version` or a later one.
    ///
    /// # Errors
    ///
    /// Fails if that does not happen within `limit`.
    pub async fn wait_serving(&self, vm: &str, version: u64, limit: Duration) -> Result<(), Error> {
        let what = format!("version {version} on {vm}");
        let serves_version = async || {
            let serving = self.serving(vm).await;
            serving.is_ok_and(|serving| serving.get() >= version)
        };
        Ok(wait_until(&what, limit, serves_version).await?)
    }

    /// Records how many calls each upstream has begun.
    pub async fn record_run_counts(&self) {
        for upstream in &self.fleet.upstreams {
            // An upstream that does not respond is read again later.
            let reading = timeout(Duration::from_secs(2), upstream.control.runs());
            if let Ok(Ok(runs)) = reading.await {
                let count = RunCount {
                    vm: upstream.vm.clone(),
                    at: self.recorder.now(),
                    count: runs.len(),
                };
                self.recorder.history().run_counts.push(count);
            }
        }
    }

    /// Waits until each running daemon serves the head, up to `limit`, and records the version that
    /// it serves then; returns the head.
    ///
    /// # Errors
    ///
    /// Fails if no daemon runs or one does not respond.
    pub async fn await_convergence(&self, limit: Duration) -> Result<u64, Error> {
        let running = self.running_vms();
        let first = running
            .first()
            .ok_or_else(|| Error::Unknown("a running daemon".into()))?;
        let head = self.read_head(first).await?.unwrap_or_default();
        for vm in &running {
            // The check reports a VM that does not serve the head in time.
            let _ = self.wait_serving(vm, head, limit).await;
            let serving = self.serving(vm).await?.get();
            self.recorder
                .history()
                .final_versions
                .insert(vm.clone(), serving);
        }
        Ok(head)
    }

    /// Returns the VMs with a running daemon.
    pub fn running_vms(&self) -> Vec<String> {
        let vms = self.vms().into_iter().zip(&self.states);
        let running = vms.filter(|(_, state)| **state == ProcessState::Running);
        running.map(|(vm, _)| vm).collect()
    }

    /// Reads the logs, executions and chain, and returns the complete history.
    ///
    /// # Errors
    ///
    /// Fails if no daemon runs, or if the first one, the store or an upstream does not respond.
    pub async fn collect(&self) -> Result<History, Error> {
        self.record_run_counts().await;
        let running = self.running_vms();
        let first = running
            .first()
            .ok_or_else(|| Error::Unknown("a running daemon".into()))?;
        let log = self.fleet.daemons[self.daemon_index(first)?]
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
        let mut activations = Vec::new();
        for vm in self.vms() {
            let lines = self.log_lines(&vm).into_iter();
            let lines = lines.filter(|line| line.msg == "version in force");
            activations.extend(lines.filter_map(|line| {
                Some(Activation {
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
        history.activations = activations;
        Ok(history.clone())
    }

    /// Returns the log of the daemon on `vm`, as text.
    pub fn log(&self, vm: &str) -> String {
        self.fleet.log(vm)
    }

    /// Returns the processes of the fleet.
    pub fn processes(&self) -> &Fleet {
        &self.fleet
    }

    fn log_lines(&self, vm: &str) -> Vec<LogLine> {
        let log = self.fleet.log(vm);
        // A killed daemon may have left an incomplete line.
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines.collect()
    }

    fn daemon_index(&self, vm: &str) -> Result<usize, Error> {
        let found = self
            .fleet
            .daemons
            .iter()
            .position(|daemon| daemon.spec.vm == vm);
        found.ok_or_else(|| Error::Unknown(vm.into()))
    }

    fn upstream_index(&self, vm: &str) -> Result<usize, Error> {
        let found = self.upstreams.get(&self.daemon_index(vm)?);
        found.copied().ok_or_else(|| Error::Unknown(vm.into()))
    }

    fn begin_fault(&self, kind: &'static str, vm: &str) {
        let fault = Fault {
            kind,
            vm: vm.into(),
            start: self.recorder.now(),
            end: None,
        };
        self.recorder.history().faults.push(fault);
    }

    fn end_fault(&self, kind: &str, vm: &str) {
        let now = self.recorder.now();
        for fault in &mut self.recorder.history().faults {
            if fault.kind == kind && fault.vm == vm && fault.end.is_none() {
                fault.end = Some(now);
            }
        }
    }
}

impl Proxies {
    fn at(&self, point: CutPoint) -> &FaultProxy {
        match point {
            CutPoint::Store => &self.store,
            CutPoint::Fleet => &self.fleet,
            CutPoint::Gate => &self.gate,
        }
    }
}
