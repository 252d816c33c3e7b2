//! Retry budgets: how many tries a service's calls may take beside their first.

use std::collections::HashMap;
use std::sync::Mutex;

use model::{Service, ServiceName, lock};

/// Retries that a budget holds at most where the fleet's share is not known.
const MAX_RETRIES: u32 = 10;

/// Parts of one retry, so that a budget is a whole number.
const PARTS: u32 = 100;

/// Services whose budgets are kept at most; all start anew beyond that.
const MAX_SERVICES: usize = 4_096;

/// Budget of one service.
#[derive(Debug)]
pub struct Budget {
    parts: u32,
    /// Retries that it holds at most.
    room: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(MAX_RETRIES)
    }
}

impl Budget {
    /// Returns a full budget that holds `room` retries.
    pub fn new(room: u32) -> Self {
        Self {
            parts: room * PARTS,
            room,
        }
    }

    /// Notes a first try, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        let parts = self.parts.saturating_add(percent);
        self.parts = parts.min(self.room * PARTS);
    }

    /// Takes one retry; returns whether there was one left.
    pub fn spend(&mut self) -> bool {
        match self.parts.checked_sub(PARTS) {
            Some(left) => {
                self.parts = left;
                true
            }
            None => false,
        }
    }

    /// Gives back a retry that did not reach an upstream.
    pub fn refund(&mut self) {
        self.earn(PARTS);
    }

    /// Returns the whole retries left.
    pub fn left(&self) -> u32 {
        self.parts / PARTS
    }

    /// Changes how many retries the budget holds at most.
    pub fn resize(&mut self, room: u32) {
        self.room = room;
        self.parts = self.parts.min(room * PARTS);
    }
}

/// Returns how many of the `slack` retries that the whole fleet may take at once are this daemon's, one
/// of `daemons`. Each has one at least, so that a large fleet takes no more than one each at once.
pub fn share(slack: u32, daemons: usize) -> u32 {
    (slack / daemons.max(1) as u32).max(1)
}

/// Budgets of all services.
#[derive(Debug, Default)]
pub struct Budgets(Mutex<HashMap<ServiceName, Budget>>);

impl Budgets {
    /// Changes how many retries each budget holds at most.
    pub fn resize(&self, service: &Service, room: u32) {
        self.with(&service.name, |budget| budget.resize(room));
    }

    /// Notes a first try of `service`.
    pub fn earn(&self, service: &Service) {
        self.with(&service.name, |budget| budget.earn(service.retry_percent));
    }

    /// Takes one retry of `service`; returns whether there was one left.
    pub fn spend(&self, service: &Service) -> bool {
        self.with(&service.name, Budget::spend)
    }

    /// Returns the retries of `service` that are left.
    pub fn left(&self, service: &Service) -> u32 {
        self.with(&service.name, |budget| budget.left())
    }

    /// Gives back a retry of `service` that did not reach an upstream.
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
