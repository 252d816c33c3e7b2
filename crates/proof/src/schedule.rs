//! Fault schedule of a randomised run, derived from its seed.

use std::fmt;

use model::Millis;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use standin::Faults;

use crate::test_fleet::CutPoint;

/// Number of faults drawn for one run; each may affect several VMs at once.
const FAULT_DRAWS: usize = 8;

/// Time from the start of a run in which faults begin.
const START_SPAN_MS: u64 = 6_000;

/// Longest fault; above the relay lease of 2 s that the fleets of the runs use.
const MAX_FAULT_MS: u64 = 4_500;

/// Shortest fault.
const MIN_FAULT_MS: u64 = 200;

/// A VM of the fleet.
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
    pub(crate) fn apply_to(self, faults: &mut Faults) {
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
    Cut(&'static str, CutPoint),
    Heal(&'static str, CutPoint),
    Store(StoreFault),
    Drain(&'static str),
}

/// Kind of a drawn fault.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    Kill,
    Freeze,
    Stop,
    Cut,
    Store,
    Drain,
}

/// Fault schedule of one run.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Schedule {
    /// Actions in order of their times, in milliseconds from the start. All faults end.
    pub(crate) actions: Vec<(u64, Action)>,
    /// Number of injected faults.
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

/// Time in which a VM is under a fault.
struct FaultWindow {
    vm: &'static str,
    from_ms: u64,
    to_ms: u64,
}

impl Schedule {
    /// Draws a schedule from `seed`.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut windows = Vec::new();
        let mut schedule = Self {
            actions: Vec::new(),
            faults: 0,
        };
        let kinds = [
            FaultKind::Kill,
            FaultKind::Freeze,
            FaultKind::Stop,
            FaultKind::Cut,
            FaultKind::Store,
            FaultKind::Store,
            FaultKind::Drain,
        ];
        for _ in 0..FAULT_DRAWS {
            if let Some(kind) = kinds.choose(&mut rng) {
                schedule.add(*kind, &mut windows, &mut rng);
            }
        }
        let end = schedule.actions.iter().map(|(at, _)| *at).max();
        let recovered = Action::Store(StoreFault::Well);
        schedule.actions.push((end.unwrap_or_default(), recovered));
        schedule.actions.sort_by_key(|(at, _)| *at);
        schedule
    }

    fn add(&mut self, kind: FaultKind, windows: &mut Vec<FaultWindow>, rng: &mut StdRng) {
        let from_ms = rng.random_range(0..START_SPAN_MS);
        let to_ms = from_ms + rng.random_range(MIN_FAULT_MS..MAX_FAULT_MS);
        if let FaultKind::Store = kind {
            let fault = match rng.random_range(0..3) {
                0 => StoreFault::Down,
                1 => StoreFault::Slow(rng.random_range(20..800)),
                _ => StoreFault::Lose(rng.random_range(1..6)),
            };
            self.actions.push((from_ms, Action::Store(fault)));
            self.actions.push((to_ms, Action::Store(StoreFault::Well)));
            self.faults += 1;
            return;
        }
        let max_vms = match kind {
            FaultKind::Kill | FaultKind::Freeze => VMS.len(),
            _ => 2,
        };
        let count = rng.random_range(1..=max_vms);
        for vm in vms_without_fault(windows, from_ms, to_ms, rng)
            .into_iter()
            .take(count)
        {
            windows.push(FaultWindow { vm, from_ms, to_ms });
            self.faults += 1;
            // The VMs of one fault recover at the same time, as a herd, or one after the other.
            let end_ms = if rng.random() {
                to_ms
            } else {
                rng.random_range(from_ms..to_ms)
            };
            let (begin, end) = fault_actions(kind, vm, rng);
            self.actions.push((from_ms, begin));
            self.actions
                .extend(end.map(|end| (end_ms.max(from_ms + 1), end)));
        }
    }
}

/// Returns the VMs without a fault between `from_ms` and `to_ms`, shuffled.
fn vms_without_fault(
    windows: &[FaultWindow],
    from_ms: u64,
    to_ms: u64,
    rng: &mut StdRng,
) -> Vec<&'static str> {
    let is_free = |name: &&'static str| {
        !windows
            .iter()
            .any(|window| window.vm == *name && window.from_ms <= to_ms && window.to_ms >= from_ms)
    };
    let mut vms: Vec<_> = VMS.iter().map(|vm| vm.name).filter(is_free).collect();
    vms.shuffle(rng);
    vms
}

/// Returns the actions that begin and end a fault.
fn fault_actions(kind: FaultKind, vm: &'static str, rng: &mut StdRng) -> (Action, Option<Action>) {
    match kind {
        FaultKind::Kill => (Action::Kill(vm), Some(Action::Restart(vm))),
        FaultKind::Freeze => (Action::Freeze(vm), Some(Action::Thaw(vm))),
        FaultKind::Stop => (Action::Stop(vm), Some(Action::Restart(vm))),
        FaultKind::Drain => (Action::Drain(vm), None),
        FaultKind::Cut | FaultKind::Store => {
            let points = [CutPoint::Store, CutPoint::Fleet, CutPoint::Gate];
            let point = points[rng.random_range(0..points.len())];
            (Action::Cut(vm, point), Some(Action::Heal(vm, point)))
        }
    }
}
