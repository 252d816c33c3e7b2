//! Event-driven simulation of callers, gates and upstreams.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use call::choose::{self, Candidate, Distance, Preference};
use call::health::{Availability, CallResult, Health};
use call::limit::{Reply, Sample};
use call::queue::{Decision, Queue, Rank, SchedulingParams};
use call::route_stats::RouteStats;
use call::selection::{Next, Selection, Wait};
use model::{RouteName, VmId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::load::RUN_MS;
use crate::{KindSummary, Load, Policy, Summary};

/// Maximum number of retries by a refused caller.
const MAX_RETRIES: u32 = 1;

/// Minimum pause before a caller's retry, in milliseconds.
const MIN_RETRY_PAUSE_MS: u64 = 20;

/// A call.
#[derive(Debug, Clone, Copy)]
struct Call {
    kind: usize,
    /// When the caller first made it, in milliseconds.
    first: u64,
    retries: u32,
}

/// A simulation event. Gates and calls are given by index, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A call arrives at its ingress.
    Arrive(usize),
    /// An upstream completes a call after a service time in milliseconds.
    End(usize, usize, u64),
    /// A queued call reaches its maximum queueing time at a gate.
    TimeOut(usize, usize),
}

/// A gate with its upstream.
struct Gate {
    vm: VmId,
    relative_latency: f64,
    queue: Queue<usize>,
    route_stats: RouteStats,
    ranks: HashMap<usize, Rank>,
}

/// State of a simulated run.
struct Simulation<'a> {
    load: &'a Load,
    policy: Policy,
    start: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    calls: Vec<Call>,
    gates: Vec<Gate>,
    routes: Vec<RouteName>,
    /// Health of the upstreams, as observed by the ingresses.
    healths: Vec<Health>,
    /// Service time of each route over all upstreams.
    route_stats: RouteStats,
    rng: SmallRng,
    summary: Summary,
    total_ms: f64,
}

/// Simulates a run of `load` under `policy`.
///
/// # Panics
///
/// Never: the fixed names are valid.
pub fn simulate(load: &Load, policy: Policy, seed: u64) -> Summary {
    let start = Instant::now();
    let gates = load
        .relative_latencies
        .iter()
        .enumerate()
        .map(|(i, relative_latency)| Gate {
            vm: format!("vm-{i}").parse().expect("a valid id"),
            relative_latency: *relative_latency,
            queue: Queue::new(load.slots, start),
            route_stats: RouteStats::default(),
            ranks: HashMap::new(),
        });
    let routes = load.kinds.iter().map(|kind| kind.name.parse());
    let mut run = Simulation {
        load,
        policy,
        start,
        now: 0,
        events: BinaryHeap::new(),
        sequence: 0,
        calls: Vec::new(),
        gates: gates.collect(),
        routes: routes.map(|route| route.expect("a valid name")).collect(),
        healths: load
            .relative_latencies
            .iter()
            .map(|_| Health::new(start))
            .collect(),
        route_stats: RouteStats::default(),
        rng: SmallRng::seed_from_u64(seed),
        summary: Summary {
            kinds: vec![KindSummary::default(); load.kinds.len()],
            ..Summary::default()
        },
        total_ms: 0.0,
    };
    run.schedule_arrivals();
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        run.now = at;
        match event {
            Event::Arrive(call) => run.arrive(call),
            Event::End(gate, call, time) => run.end(gate, call, time),
            Event::TimeOut(gate, call) => run.time_out(gate, call),
        }
    }
    run.finish()
}

impl Simulation<'_> {
    fn schedule_arrivals(&mut self) {
        for kind in 0..self.load.kinds.len() {
            let mut at = 0.0;
            loop {
                let rate = self.load.kinds[kind].rate * self.load.rate_factor(at as u64);
                at += -self.rng.random_range(1e-9..1.0_f64).ln() * 1_000.0 / rate;
                if at >= RUN_MS as f64 {
                    break;
                }
                let first = at as u64;
                self.calls.push(Call {
                    kind,
                    first,
                    retries: 0,
                });
                self.summary.kinds[kind].asked += 1;
                self.push(first, Event::Arrive(self.calls.len() - 1));
            }
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at)
    }

    /// Makes the attempts of a call, like an ingress.
    fn arrive(&mut self, call: usize) {
        let mut selection = Selection::default();
        let mut pause = None;
        loop {
            let next = self.next(&selection);
            let Next::Attempt { index, wait } = next else {
                break;
            };
            let wait = if self.policy.asks { wait } else { Wait::Fully };
            selection.record_attempt(wait);
            match self.request_slot(index, call, wait) {
                Ok(()) => return,
                Err(expected) => {
                    let now = self.instant(self.now);
                    self.healths[index].observe(CallResult::Full(expected), now);
                    selection.record_full(self.gates[index].vm.clone(), wait, expected);
                    pause = pause.min(Some(expected)).or(Some(expected));
                }
            }
            if !self.policy.asks {
                break;
            }
        }
        self.refuse(call, pause.unwrap_or_default());
    }

    fn next(&mut self, selection: &Selection) -> Next {
        let now = self.instant(self.now);
        let vms: Vec<&VmId> = self.gates.iter().map(|gate| &gate.vm).collect();
        let candidates: Vec<Candidate> = self
            .gates
            .iter()
            .zip(&self.healths)
            .map(|(gate, health)| Candidate {
                distance: Distance::Domain,
                load: f64::from(gate.queue.load(now)) / 100.0,
                weight: 1.0,
                relative_latency: if self.policy.paced {
                    health.relative_latency()
                } else {
                    1.0
                },
                availability: Availability::Available,
                attempted: false,
                wait: if self.policy.asks {
                    health.wait(now)
                } else {
                    Duration::ZERO
                },
            })
            .collect();
        if self.policy.asks {
            return selection.next(&vms, &candidates, &mut self.rng);
        }
        let found = choose::upstream(&candidates, Preference::default(), &mut self.rng);
        found.map_or(Next::Stop, |index| Next::Attempt {
            index,
            wait: Wait::Fully,
        })
    }

    /// Requests a slot at a gate; a refusal returns the expected queueing time.
    fn request_slot(&mut self, index: usize, call: usize, wait: Wait) -> Result<(), Duration> {
        let now = self.instant(self.now);
        let mut params = self.params(index, call);
        params.brief = wait == Wait::Briefly;
        let route = self.routes[self.calls[call].kind].clone();
        let gate = &mut self.gates[index];
        if wait == Wait::Never {
            if !gate.queue.try_enter(now) {
                return Err(gate.queue.expected_wait(&params, now));
            }
            gate.route_stats.record_decision(&route, true);
            self.run(index, call);
            return Ok(());
        }
        match gate.queue.enter(params, call, now) {
            Decision::Run => {
                gate.route_stats.record_decision(&route, true);
                self.run(index, call);
            }
            Decision::Shed(_) => {
                if !params.brief {
                    gate.route_stats.record_decision(&route, false);
                }
                return Err(gate.queue.expected_wait(&params, now));
            }
            Decision::Wait { rank, until, shed } => {
                gate.ranks.insert(call, rank);
                let until = until.duration_since(self.start).as_millis() as u64;
                self.push(until, Event::TimeOut(index, call));
                for displaced in shed {
                    self.drop_waiting(index, displaced);
                }
            }
        }
        Ok(())
    }

    fn params(&mut self, index: usize, call: usize) -> SchedulingParams {
        let Call { kind, first, .. } = self.calls[call];
        let route = self.routes[kind].clone();
        let kind = &self.load.kinds[kind];
        let objective = Duration::from_millis(kind.objective);
        let route_stats = &mut self.gates[index].route_stats;
        let boost = route_stats.boost(&route, objective);
        SchedulingParams {
            priority: kind.priority,
            deadline: self.start + Duration::from_millis(first + kind.limit),
            objective: self
                .policy
                .bounded
                .then(|| self.start + Duration::from_millis(self.now) + objective),
            service_time: route_stats
                .service_time(&route)
                .filter(|_| self.policy.bounded),
            boost: if self.policy.fair {
                boost
            } else {
                Duration::ZERO
            },
            prefers_deadline: false,
            brief: false,
        }
    }

    /// Runs a call at an upstream.
    fn run(&mut self, index: usize, call: usize) {
        let mean = self.load.kinds[self.calls[call].kind].service_time
            * self.gates[index].relative_latency;
        // Between 0.5 and 1.5 times the mean; five times that for 1 % of the calls.
        let tail = if self.rng.random_bool(0.01) { 5.0 } else { 1.0 };
        let time = (mean * self.rng.random_range(0.5..1.5) * tail) as u64;
        self.push(self.now + time.max(1), Event::End(index, call, time));
    }

    fn end(&mut self, index: usize, call: usize, time: u64) {
        let Call { kind, first, .. } = self.calls[call];
        let latency = Duration::from_millis(time);
        let now = self.instant(self.now);
        let route = self.routes[kind].clone();
        if let Some(usual) = self.route_stats.service_time(&route) {
            self.healths[index].observe_relative_latency(latency, usual);
        }
        self.route_stats.observe(&route, latency);
        let gate = &mut self.gates[index];
        let sample = Sample {
            latency,
            reply: Reply::Ran,
            running: gate.queue.running(),
        };
        gate.queue.observe(sample, now);
        gate.route_stats.observe(&route, latency);
        let released = gate.queue.leave(now);
        let took = self.now - first;
        let summary = &mut self.summary.kinds[kind];
        let limits = &self.load.kinds[kind];
        if took <= limits.objective {
            summary.in_aim += 1;
        } else if took <= limits.limit {
            summary.late += 1;
        } else {
            summary.unserved += 1;
        }
        self.total_ms += took as f64;
        for waiting in released.admitted {
            self.gates[index].ranks.remove(&waiting);
            let route = self.routes[self.calls[waiting].kind].clone();
            self.gates[index].route_stats.record_decision(&route, true);
            self.run(index, waiting);
        }
        for late in released.expired {
            self.drop_waiting(index, late);
        }
    }

    fn time_out(&mut self, index: usize, call: usize) {
        if let Some(rank) = self.gates[index].ranks.get(&call).copied() {
            let now = self.instant(self.now);
            self.gates[index].queue.cancel(rank, now);
            self.drop_waiting(index, call);
        }
    }

    fn drop_waiting(&mut self, index: usize, call: usize) {
        if self.gates[index].ranks.remove(&call).is_none() {
            return;
        }
        let route = self.routes[self.calls[call].kind].clone();
        self.gates[index].route_stats.record_decision(&route, false);
        let now = self.instant(self.now);
        let params = self.params(index, call);
        let pause = self.gates[index].queue.expected_wait(&params, now);
        self.refuse(call, pause);
    }

    /// Refuses a call; the caller retries after the pause if time is left.
    fn refuse(&mut self, call: usize, pause: Duration) {
        let Call {
            kind,
            first,
            retries,
        } = self.calls[call];
        let left = (first + self.load.kinds[kind].limit).saturating_sub(self.now);
        let pause =
            (pause.as_millis() as u64).clamp(MIN_RETRY_PAUSE_MS, MIN_RETRY_PAUSE_MS.max(left / 3));
        if retries >= MAX_RETRIES || left <= pause {
            self.summary.kinds[kind].unserved += 1;
            return;
        }
        self.calls[call].retries += 1;
        self.push(self.now + pause, Event::Arrive(call));
    }

    fn finish(mut self) -> Summary {
        let mut earned = 0.0;
        let mut possible = 0.0;
        let mut calls = 0;
        for (kind, summary) in self.load.kinds.iter().zip(&self.summary.kinds) {
            let late = f64::from(summary.late) / 2.0;
            earned += kind.worth * (f64::from(summary.in_aim) + late);
            possible += kind.worth * f64::from(summary.asked);
            calls += summary.in_aim + summary.late + summary.unserved;
        }
        self.summary.worth = earned / possible;
        self.summary.mean = self.total_ms / f64::from(calls.max(1));
        self.summary
    }
}
