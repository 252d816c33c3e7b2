//! Retry budgets: how many tries a service's calls may take beside their first.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use model::{Service, ServiceName};

/// Retries that a budget holds at most, and at its start.
const MAX_RETRIES: u32 = 10;

/// Parts of one retry, so that a budget is a whole number.
const PARTS: u32 = 100;

/// Services whose budgets are kept at most; all start anew beyond that.
const MAX_SERVICES: usize = 4_096;

/// Budget of one service.
#[derive(Debug)]
pub struct Budget {
    parts: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            parts: MAX_RETRIES * PARTS,
        }
    }
}

impl Budget {
    /// Notes a first try, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: u32) {
        let parts = self.parts.saturating_add(percent);
        self.parts = parts.min(MAX_RETRIES * PARTS);
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
}

impl Budget {
    /// Gives back a retry that did not reach an upstream.
    pub fn refund(&mut self) {
        self.earn(PARTS);
    }
}

/// Budgets of all services.
#[derive(Debug, Default)]
pub struct Budgets(Mutex<HashMap<ServiceName, Budget>>);

impl Budgets {
    /// Notes a first try of `service`.
    pub fn earn(&self, service: &Service) {
        self.with(&service.name, |budget| budget.earn(service.retry_percent));
    }

    /// Takes one retry of `service`; returns whether there was one left.
    pub fn spend(&self, service: &Service) -> bool {
        self.with(&service.name, Budget::spend)
    }

    /// Gives back a retry of `service` that did not reach an upstream.
    pub fn refund(&self, service: &Service) {
        self.with(&service.name, Budget::refund);
    }

    fn with<T>(&self, name: &ServiceName, change: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(name) {
            return change(budget);
        }
        if budgets.len() >= MAX_SERVICES {
            budgets.clear();
        }
        change(budgets.entry(name.clone()).or_default())
    }
}
