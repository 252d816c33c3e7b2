//! Retry budgets: bound the retries of a service's calls.

use std::collections::HashMap;
use std::sync::Mutex;

use model::{Service, ServiceName, lock};

/// Default capacity of a budget, in retries, if the fleet's share is not known.
const DEFAULT_CAPACITY: u32 = 10;

/// Units per retry: a first attempt earns a percentage of a retry, and budgets are whole numbers.
const UNITS_PER_RETRY: u32 = 100;

/// Maximum number of services with a budget; beyond it, all budgets are reset.
const MAX_SERVICES: usize = 4_096;

/// Retry budget of one service.
#[derive(Debug)]
pub struct Budget {
    units: u32,
    /// Capacity, in retries.
    capacity: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl Budget {
    /// Returns a full budget of `capacity` retries.
    pub fn new(capacity: u32) -> Self {
        Self {
            units: capacity * UNITS_PER_RETRY,
            capacity,
        }
    }

    /// Credits a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        let units = self.units.saturating_add(percent);
        self.units = units.min(self.capacity * UNITS_PER_RETRY);
    }

    /// Spends one retry; returns whether one was left.
    pub fn spend(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_RETRY) {
            Some(left) => {
                self.units = left;
                true
            }
            None => false,
        }
    }

    /// Refunds a retry that did not reach an upstream.
    pub fn refund(&mut self) {
        self.earn(UNITS_PER_RETRY);
    }

    /// Returns the number of whole retries left.
    pub fn left(&self) -> u32 {
        self.units / UNITS_PER_RETRY
    }

    /// Sets the capacity, in retries.
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity;
        self.units = self.units.min(capacity * UNITS_PER_RETRY);
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
    pub fn resize(&self, service: &Service, capacity: u32) {
        self.with(&service.name, |budget| budget.resize(capacity));
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
