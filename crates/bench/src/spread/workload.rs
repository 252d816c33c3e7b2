//! Seeded configurations of the design size.

use harness::Error;
use model::{AcceptId, Config, Millis, PathMatch, Priority};
use plan::{Plan, PlanError};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Team that owns every service of the workload.
pub(crate) const TEAM: &str = "bench";

/// Services at the design size.
const SERVICES: usize = 870;

/// A configuration of 870 services that changes one service at a time.
#[derive(Debug)]
pub(crate) struct Workload {
    config: Config,
    rng: StdRng,
    changes: u64,
}

impl Workload {
    /// Generates the configuration from `seed`.
    pub(crate) fn new(seed: u64) -> Result<Self, Error> {
        let mut rng = StdRng::seed_from_u64(seed);
        let plan = plan(&mut rng).map_err(to_error)?;
        Ok(Self {
            config: plan.config().clone(),
            rng,
            changes: 0,
        })
    }

    /// Returns the configuration as JSON.
    pub(crate) fn json(&self) -> Result<String, Error> {
        serde_json::to_string(&self.config).map_err(to_error)
    }

    /// Changes the route of one service; returns the new configuration as JSON.
    pub(crate) fn change(&mut self) -> Result<String, Error> {
        self.changes += 1;
        let index = self.rng.random_range(0..self.config.routes.len());
        let rules = &mut self.config.routes[index].rules;
        rules.timeout = Millis::new(60_000 + self.changes);
        self.json()
    }

    /// Returns the accept ID for the latest change.
    pub(crate) fn accept_id(&self) -> Result<AcceptId, Error> {
        format!("bench-{}", self.changes).parse().map_err(to_error)
    }
}

/// Returns the name of a service.
pub(crate) fn service(index: usize) -> String {
    format!("service-{index:03}")
}

fn plan(rng: &mut StdRng) -> Result<Plan, PlanError> {
    let mut plan = Plan::new(TEAM)?;
    for i in 0..SERVICES {
        let name = service(i);
        let service = plan
            .service(&name)?
            .slots(rng.random_range(8..16))
            .connections(rng.random_range(100..140))
            .add();
        let pool = plan.pool(&format!("{name}-all"), &service)?;
        let host = format!("{name}.mesh.example");
        let path = PathMatch::Prefix(format!("/v1/{name}"));
        plan.route(&format!("{name}-main"), &host, path)?
            .method("GET")
            .method("POST")
            .header("x-tenant", Some("editors"))
            .to(&pool, 1)
            .timeout_ms(rng.random_range(500..30_000))
            .retries(rng.random_range(0..3))
            .priority(Priority::High)
            .add();
    }
    Ok(plan)
}

/// Converts any error into one of the harness.
pub(crate) fn to_error(error: impl std::fmt::Display) -> Error {
    Error::Call(error.to_string())
}
