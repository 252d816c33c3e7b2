//! Retry budgets: bound the retries of a service's calls.

use std::collections::HashMap;
use std::sync::Mutex;

use model::{Service, ServiceName, lock};

/// Default capacity of a budget, in retries, if the fleet's share is not known.
const MAX_RETRIES: u32 = 10;

/// Units per retry: a first attempt earns a percentage of a retry, and budgets are whole numbers.
const PARTS: u32 = 100;

/// Maximum number of services with a budget; beyond it, all budgets are reset.
const MAX_SERVICES: usize = 4_096;

/// Retry budget of one service.
#[derive(Debug)]
pub struct Budget {
    parts: u32,
    /// Capacity, in retries.
    room: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(MAX_RETRIES)
    }
}

impl Budget {
    /// Returns a full budget of `capacity` retries.
    pub fn new(room: u32) -> Self {
        Self {
            parts: room * PARTS,
            room,
        }
    }

    /// Credits a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        let parts = self.parts.saturating_add(percent);
        self.parts = parts.min(self.room * PARTS);
    }

    /// Spends one retry; returns whether one was left.
    pub fn spend(&mut self) -> bool {
        match self.parts.checked_sub(PARTS) {
            Some(left) => {
                self.parts = left;
                true
            }
            None => false,
        }
    }

    /// Refunds a retry that did not reach an upstream.
    pub fn refund(&mut self) {
        self.earn(PARTS);
    }

    /// Returns the number of whole retries left.
    pub fn left(&self) -> u32 {
        self.parts / PARTS
    }

    /// Sets the capacity, in retries.
    pub fn resize(&mut self, room: u32) {
        self.room = room;
        self.parts = self.parts.min(room * PARTS);
    }
}

/// Returns one daemon's share of the `slack` retries that a fleet of `daemons` may make at once. It is at
/// least one: in a large fleet, each daemon makes at most one retry at once.
pub fn share(slack: u32, daemons: usize) -> u32 {
    (slack / daemons.max(1) as u32).max(1)
}

/// Retry budgets of all services.
#[derive(Debug, Default)]
pub struct Budgets(Mutex<HashMap<ServiceName, Budget>>);

impl Budgets {
    /// Sets the capacity of the budget of `service`, in retries.
    pub fn resize(&self, service: &Service, room: u32) {
        self.with(&service.name, |budget| budget.resize(room));
    }

    /// Credits a first attempt of a call to `service`.
    pub fn earn(&self, service: &Service) {
        self.with(&service.name, |budget| budget.earn(service.retry_percent));
    }

    /// Spends one retry of `service`; returns whether one was left.
    pub fn spend(&self, service: &Service) -> bool {
        self.with(&service.name, Budget::spend)
    }

    /// Returns the number of whole retries left for `service`.
    pub fn left(&self, service: &Service) -> u32 {
        self.with(&service.name, |budget| budget.left())
    }

    /// Refunds a retry of `service` that did not reach an upstream.
    pub fn refund(&self, service: &Service) {
        self.with(&service.name, Budget::refund);
    }

    fn with<T>(&self, name: &ServiceName, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = lock(&self.0);
        if let Some(budget) = budgets.get_mut(name) {
            return change(budget);
        }
        if budgets.len() >= MAX_SERVICES {
            budgets.clear();
        }
        change(budgets.entry(name.clone()).or_default())
    }
}
