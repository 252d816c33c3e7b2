//! Event-driven simulation of callers, gates and upstreams.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use call::choose::{self, Candidate, Nearness};
use call::health::{Health, Standing};
use call::kinds::Kinds;
use call::limit::{Reply, Sample};
use call::plan::{Next, Plan};
use call::queue::{Entry, Queue, Rank, Ticket};
use model::{RouteName, VmId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::load::DAY;
use crate::{KindTally, Load, Policy, Tally};

/// Maximum number of retries by a refused caller.
const COMEBACKS: u32 = 1;

/// Minimum pause before a caller's retry, in milliseconds.
const MIN_PAUSE: u64 = 20;

/// A call.
#[derive(Debug, Clone, Copy)]
struct Call {
    kind: usize,
    /// When the caller first made it, in milliseconds.
    first: u64,
    comebacks: u32,
}

/// A simulation event. Calls and gates are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A call arrives at its ingress.
    Arrive(usize),
    /// An upstream completes a call after a service time in milliseconds.
    End(usize, usize, u64),
    /// A queued call reaches its maximum queueing time at a gate.
    Tire(usize, usize),
}

/// A gate with its upstream.
struct Gate {
    vm: VmId,
    pace: f64,
    queue: Queue<usize>,
    kinds: Kinds,
    ranks: HashMap<usize, Rank>,
}

/// State of a simulated run.
struct World<'a> {
    load: &'a Load,
    policy: Policy,
    start: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    count: usize,
    calls: Vec<Call>,
    gates: Vec<Gate>,
    routes: Vec<RouteName>,
    /// Health of the upstreams, as observed by the ingresses.
    healths: Vec<Health>,
    usual: Kinds,
    rng: SmallRng,
    tally: Tally,
    times: f64,
}

/// Simulates a run of `load` under `policy`.
///
/// # Panics
///
/// Never: the fixed names are valid.
pub fn play(load: &Load, policy: Policy, seed: u64) -> Tally {
    let start = Instant::now();
    let gates = load.paces.iter().enumerate().map(|(i, pace)| Gate {
        vm: format!("vm-{i}").parse().expect("a valid id"),
        pace: *pace,
        queue: Queue::new(load.slots),
        kinds: Kinds::default(),
        ranks: HashMap::new(),
    });
    let routes = load.kinds.iter().map(|kind| kind.name.parse());
    let mut world = World {
        load,
        policy,
        start,
        now: 0,
        events: BinaryHeap::new(),
        count: 0,
        calls: Vec::new(),
        gates: gates.collect(),
        routes: routes.map(|route| route.expect("a valid name")).collect(),
        healths: load.paces.iter().map(|_| Health::new(start)).collect(),
        usual: Kinds::default(),
        rng: SmallRng::seed_from_u64(seed),
        tally: Tally {
            kinds: vec![KindTally::default(); load.kinds.len()],
            ..Tally::default()
        },
        times: 0.0,
    };
    world.draw_arrivals();
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        match event {
            Event::Arrive(call) => world.arrive(call),
            Event::End(gate, call, time) => world.end(gate, call, time),
            Event::Tire(gate, call) => world.tire(gate, call),
        }
    }
    world.finish()
}

impl World<'_> {
    fn draw_arrivals(&mut self) {
        for kind in 0..self.load.kinds.len() {
            let mut at = 0.0;
            loop {
                let rate = self.load.kinds[kind].rate * self.load.press(at as u64);
                at += -self.rng.random_range(1e-9..1.0_f64).ln() * 1_000.0 / rate;
                if at >= DAY as f64 {
                    break;
                }
                let first = at as u64;
                self.calls.push(Call {
                    kind,
                    first,
                    comebacks: 0,
                });
                self.tally.kinds[kind].asked += 1;
                self.push(first, Event::Arrive(self.calls.len() - 1));
            }
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at)
    }

    /// Makes the attempts of a call, like an ingress.
    fn arrive(&mut self, call: usize) {
        let mut plan = Plan::default();
        let mut pause = None;
        loop {
            let next = self.next(&plan);
            let Next::Try { index, wait } = next else {
                break;
            };
            let wait = wait || !self.policy.asks;
            plan.tried(wait);
            match self.ask(index, call, wait) {
                Ok(()) => return,
                Err(expected) => {
                    plan.found_full(self.gates[index].vm.clone(), expected);
                    pause = pause.min(Some(expected)).or(Some(expected));
                }
            }
            if !self.policy.asks {
                break;
            }
        }
        self.refuse(call, pause.unwrap_or_default());
    }

    fn next(&mut self, plan: &Plan) -> Next {
        let vms: Vec<&VmId> = self.gates.iter().map(|gate| &gate.vm).collect();
        let candidates: Vec<Candidate> = self
            .gates
            .iter()
            .zip(&self.healths)
            .map(|(gate, health)| Candidate {
                nearness: Nearness::Domain,
                load: f64::from(gate.queue.load()) / 100.0,
                weight: 1.0,
                pace: if self.policy.paced {
                    health.pace()
                } else {
                    1.0
                },
                standing: Standing::Open,
                tried: false,
            })
            .collect();
        if self.policy.asks {
            return plan.next(&vms, &candidates, &mut self.rng);
        }
        let found = choose::upstream(&candidates, &mut self.rng);
        found.map_or(Next::Stop, |index| Next::Try { index, wait: true })
    }

    /// Requests a slot at a gate; a refusal returns the expected queueing time.
    fn ask(&mut self, index: usize, call: usize, wait: bool) -> Result<(), Duration> {
        let now = self.instant(self.now);
        let ticket = self.ticket(index, call);
        let route = self.routes[self.calls[call].kind].clone();
        let gate = &mut self.gates[index];
        if !wait {
            if !gate.queue.enter_now() {
                return Err(gate.queue.expected_wait(&ticket, now));
            }
            gate.kinds.decided(&route, true);
            self.run(index, call);
            return Ok(());
        }
        match gate.queue.enter(ticket, call, now) {
            Entry::Run => {
                gate.kinds.decided(&route, true);
                self.run(index, call);
            }
            Entry::Shed(_) => {
                gate.kinds.decided(&route, false);
                return Err(gate.queue.expected_wait(&ticket, now));
            }
            Entry::Wait { rank, until, shed } => {
                gate.ranks.insert(call, rank);
                let until = until.duration_since(self.start).as_millis() as u64;
                self.push(until, Event::Tire(index, call));
                for displaced in shed {
                    self.drop_waiting(index, displaced);
                }
            }
        }
        Ok(())
    }

    fn ticket(&mut self, index: usize, call: usize) -> Ticket {
        let Call { kind, first, .. } = self.calls[call];
        let route = self.routes[kind].clone();
        let kind = &self.load.kinds[kind];
        let aim = Duration::from_millis(kind.objective);
        let kinds = &mut self.gates[index].kinds;
        let boost = kinds.boost(&route, aim);
        Ticket {
            priority: kind.priority,
            deadline: self.start + Duration::from_millis(first + kind.limit),
            aim: self
                .policy
                .bounded
                .then(|| self.start + Duration::from_millis(self.now) + aim),
            work: kinds.work(&route).filter(|_| self.policy.bounded),
            boost: if self.policy.fair {
                boost
            } else {
                Duration::ZERO
            },
            patient: false,
        }
    }

    /// Runs a call at an upstream.
    fn run(&mut self, index: usize, call: usize) {
        let mean = self.load.kinds[self.calls[call].kind].work * self.gates[index].pace;
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
        if let Some(usual) = self.usual.work(&route) {
            self.healths[index].observe_pace(latency, usual);
        }
        self.usual.observe(&route, latency);
        let gate = &mut self.gates[index];
        let sample = Sample {
            latency,
            reply: Reply::Ran,
            running: gate.queue.running(),
        };
        gate.queue.observe(sample, now);
        gate.kinds.observe(&route, latency);
        let next = gate.queue.leave(now);
        let took = self.now - first;
        let tally = &mut self.tally.kinds[kind];
        let limits = &self.load.kinds[kind];
        if took <= limits.objective {
            tally.in_aim += 1;
        } else if took <= limits.limit {
            tally.late += 1;
        } else {
            tally.unserved += 1;
        }
        self.times += took as f64;
        for waiting in next.run {
            self.gates[index].ranks.remove(&waiting);
            let route = self.routes[self.calls[waiting].kind].clone();
            self.gates[index].kinds.decided(&route, true);
            self.run(index, waiting);
        }
        for late in next.late {
            self.drop_waiting(index, late);
        }
    }

    fn tire(&mut self, index: usize, call: usize) {
        if let Some(rank) = self.gates[index].ranks.get(&call).copied() {
            self.gates[index].queue.cancel(rank);
            self.drop_waiting(index, call);
        }
    }

    fn drop_waiting(&mut self, index: usize, call: usize) {
        if self.gates[index].ranks.remove(&call).is_none() {
            return;
        }
        let route = self.routes[self.calls[call].kind].clone();
        self.gates[index].kinds.decided(&route, false);
        let now = self.instant(self.now);
        let ticket = self.ticket(index, call);
        let pause = self.gates[index].queue.expected_wait(&ticket, now);
        self.refuse(call, pause);
    }

    /// Refuses a call; the caller retries after the pause if time is left.
    fn refuse(&mut self, call: usize, pause: Duration) {
        let Call {
            kind,
            first,
            comebacks,
        } = self.calls[call];
        let left = (first + self.load.kinds[kind].limit).saturating_sub(self.now);
        let pause = (pause.as_millis() as u64).clamp(MIN_PAUSE, MIN_PAUSE.max(left / 3));
        if comebacks >= COMEBACKS || left <= pause {
            self.tally.kinds[kind].unserved += 1;
            return;
        }
        self.calls[call].comebacks += 1;
        self.push(self.now + pause, Event::Arrive(call));
    }

    fn finish(mut self) -> Tally {
        let mut earned = 0.0;
        let mut owed = 0.0;
        let mut served = 0;
        for (kind, tally) in self.load.kinds.iter().zip(&self.tally.kinds) {
            let late = f64::from(tally.late) / 2.0;
            earned += kind.worth * (f64::from(tally.in_aim) + late);
            owed += kind.worth * f64::from(tally.asked);
            served += tally.in_aim + tally.late + tally.unserved;
        }
        self.tally.worth = earned / owed;
        self.tally.mean = self.times / f64::from(served.max(1));
        self.tally
    }
}
