//! Which faults a randomised run injects, and when; a function of its seed.

use std::fmt;

use model::Millis;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use standin::Faults;

use crate::world::Place;

/// Faults drawn for one run; each may take several VMs at once.
const DRAWS: usize = 8;

/// Time in which faults begin, in milliseconds.
const SPAN_MS: u64 = 6_000;

/// Longest fault, in milliseconds; over the lease of the runs.
const MAX_FAULT_MS: u64 = 4_500;

/// Shortest fault, in milliseconds.
const MIN_FAULT_MS: u64 = 200;

/// A VM of every run.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) name: &'static str,
    pub(crate) domain: &'static str,
    pub(crate) team: Option<&'static str>,
}

const fn vm(name: &'static str, domain: &'static str, team: Option<&'static str>) -> Vm {
    Vm { name, domain, team }
}

/// VMs of every run.
pub(crate) const VMS: [Vm; 6] = [
    vm("a-1", "a", Some("red")),
    vm("a-2", "a", Some("blue")),
    vm("a-3", "a", None),
    vm("b-1", "b", Some("red")),
    vm("b-2", "b", Some("blue")),
    vm("b-3", "b", None),
];

/// A change of the store's faults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StoreFault {
    Well,
    Down,
    Slow(u64),
    Lose(u32),
}

impl StoreFault {
    pub(crate) fn set(self, faults: &mut Faults) {
        match self {
            Self::Well => *faults = Faults::default(),
            Self::Down => faults.down = true,
            Self::Slow(millis) => faults.delay = Millis::new(millis),
            Self::Lose(answers) => faults.lose_answers = answers,
        }
    }
}

/// One step of a schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Action {
    Kill(&'static str),
    Restart(&'static str),
    Freeze(&'static str),
    Thaw(&'static str),
    Stop(&'static str),
    Cut(&'static str, Place),
    Heal(&'static str, Place),
    Store(StoreFault),
    Drain(&'static str),
}

/// Kind of a fault to draw.
#[derive(Debug, Clone, Copy)]
enum Draw {
    Kill,
    Freeze,
    Stop,
    Cut,
    Store,
    Drain,
}

/// Everything that one run injects.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Schedule {
    /// Actions with their times, in milliseconds from the start, in order. All faults end.
    pub(crate) actions: Vec<(u64, Action)>,
    /// Faults injected.
    pub(crate) faults: usize,
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, action) in &self.actions {
            writeln!(f, "{at} ms: {action:?}")?;
        }
        Ok(())
    }
}

/// A VM that is under a fault.
struct Busy {
    vm: &'static str,
    from: u64,
    to: u64,
}

impl Schedule {
    /// Draws a schedule from `seed`.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut busy = Vec::new();
        let mut schedule = Self {
            actions: Vec::new(),
            faults: 0,
        };
        let kinds = [
            Draw::Kill,
            Draw::Freeze,
            Draw::Stop,
            Draw::Cut,
            Draw::Store,
            Draw::Store,
            Draw::Drain,
        ];
        for _ in 0..DRAWS {
            if let Some(kind) = kinds.choose(&mut rng) {
                schedule.add(*kind, &mut busy, &mut rng);
            }
        }
        let end = schedule.actions.iter().map(|(at, _)| *at).max();
        let well = Action::Store(StoreFault::Well);
        schedule.actions.push((end.unwrap_or_default(), well));
        schedule.actions.sort_by_key(|(at, _)| *at);
        schedule
    }

    fn add(&mut self, kind: Draw, busy: &mut Vec<Busy>, rng: &mut StdRng) {
        let from = rng.random_range(0..SPAN_MS);
        let to = from + rng.random_range(MIN_FAULT_MS..MAX_FAULT_MS);
        if let Draw::Store = kind {
            let fault = match rng.random_range(0..3) {
                0 => StoreFault::Down,
                1 => StoreFault::Slow(rng.random_range(20..800)),
                _ => StoreFault::Lose(rng.random_range(1..6)),
            };
            self.actions.push((from, Action::Store(fault)));
            self.actions.push((to, Action::Store(StoreFault::Well)));
            self.faults += 1;
            return;
        }
        let most = match kind {
            Draw::Kill | Draw::Freeze => VMS.len(),
            _ => 2,
        };
        let count = rng.random_range(1..=most);
        for vm in free(busy, from, to, rng).into_iter().take(count) {
            busy.push(Busy { vm, from, to });
            self.faults += 1;
            // A herd returns at once, or one after the other.
            let back = if rng.random() {
                to
            } else {
                rng.random_range(from..to)
            };
            let (begin, end) = pair(kind, vm, rng);
            self.actions.push((from, begin));
            self.actions
                .extend(end.map(|end| (back.max(from + 1), end)));
        }
    }
}

/// Returns the VMs without a fault between `from` and `to`, shuffled.
fn free(busy: &[Busy], from: u64, to: u64, rng: &mut StdRng) -> Vec<&'static str> {
    let is_free = |name: &&'static str| {
        !busy
            .iter()
            .any(|busy| busy.vm == *name && busy.from <= to && busy.to >= from)
    };
    let mut vms: Vec<_> = VMS.iter().map(|vm| vm.name).filter(is_free).collect();
    vms.shuffle(rng);
    vms
}

/// Returns the beginning and the end of a fault.
fn pair(kind: Draw, vm: &'static str, rng: &mut StdRng) -> (Action, Option<Action>) {
    match kind {
        Draw::Kill => (Action::Kill(vm), Some(Action::Restart(vm))),
        Draw::Freeze => (Action::Freeze(vm), Some(Action::Thaw(vm))),
        Draw::Stop => (Action::Stop(vm), Some(Action::Restart(vm))),
        Draw::Drain => (Action::Drain(vm), None),
        Draw::Cut | Draw::Store => {
            let places = [Place::Store, Place::Fleet, Place::Gate];
            let place = places[rng.random_range(0..places.len())];
            (Action::Cut(vm, place), Some(Action::Heal(vm, place)))
        }
    }
}
