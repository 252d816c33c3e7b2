//! Builders for a configuration.

use model::{
    Config, FORMAT, HeaderMatch, Millis, NameError, PathMatch, Pool, PoolName, Priority, Route,
    Rules, Service, ServiceName, Size, Target, TeamName, Version, Weight,
};

/// Error of building or printing a plan.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The configuration cannot be serialised to JSON.
    #[error("the configuration cannot be printed: {0}")]
    Print(#[from] serde_json::Error),
}

/// Reference to a service.
#[derive(Debug, Clone)]
pub struct ServiceRef(ServiceName);

/// Reference to a pool.
#[derive(Debug, Clone)]
pub struct PoolRef(PoolName);

/// The configuration of one team.
#[derive(Debug)]
pub struct Plan {
    team: TeamName,
    config: Config,
}

impl Plan {
    /// Creates an empty plan for `team`.
    ///
    /// # Errors
    ///
    /// Fails if the name is not valid.
    pub fn new(team: &str) -> Result<Self, PlanError> {
        let team: TeamName = team.parse()?;
        Ok(Self {
            config: Config {
                format: FORMAT,
                parent: None,
                teams: vec![team.clone()],
                services: Vec::new(),
                pools: Vec::new(),
                routes: Vec::new(),
            },
            team,
        })
    }

    /// Sets the version that the plan is based on, so that an accept detects conflicting changes since
    /// then.
    pub fn parent(&mut self, version: Version) {
        self.config.parent = Some(version);
    }

    /// Starts building a service.
    ///
    /// # Errors
    ///
    /// Fails if the name is not valid.
    pub fn service(&mut self, name: &str) -> Result<ServiceBuilder<'_>, PlanError> {
        let service = Service::new(name.parse()?, self.team.clone());
        Ok(ServiceBuilder {
            plan: self,
            service,
        })
    }

    /// Adds a pool of all upstreams of `service`.
    ///
    /// # Errors
    ///
    /// Fails if the name is not valid.
    pub fn pool(&mut self, name: &str, service: &ServiceRef) -> Result<PoolRef, PlanError> {
        self.pool_in(name, service, &[])
    }

    /// Adds a pool of the upstreams of `service` in the given failure domains; all if empty.
    ///
    /// # Errors
    ///
    /// Fails if a name is not valid.
    pub fn pool_in(
        &mut self,
        name: &str,
        service: &ServiceRef,
        domains: &[&str],
    ) -> Result<PoolRef, PlanError> {
        let name: PoolName = name.parse()?;
        let domains: Result<Vec<_>, _> = domains.iter().map(|domain| domain.parse()).collect();
        self.config.pools.push(Pool {
            name: name.clone(),
            team: self.team.clone(),
            service: service.0.clone(),
            domains: domains?,
        });
        Ok(PoolRef(name))
    }

    /// Refers to a service of another team, which must exist when the plan is accepted.
    ///
    /// # Errors
    ///
    /// Fails if the name is not valid.
    pub fn other_service(&self, name: &str) -> Result<ServiceRef, PlanError> {
        Ok(ServiceRef(name.parse()?))
    }

    /// Refers to a pool of another team, which must exist when the plan is accepted.
    ///
    /// # Errors
    ///
    /// Fails if the name is not valid.
    pub fn other_pool(&self, name: &str) -> Result<PoolRef, PlanError> {
        Ok(PoolRef(name.parse()?))
    }

    /// Starts building a route of `host` for `path`.
    ///
    /// # Errors
    ///
    /// Fails if the name is not valid.
    pub fn route(
        &mut self,
        name: &str,
        host: &str,
        path: PathMatch,
    ) -> Result<RouteBuilder<'_>, PlanError> {
        let route = Route {
            name: name.parse()?,
            team: self.team.clone(),
            hosts: vec![host.into()],
            path,
            methods: Vec::new(),
            headers: Vec::new(),
            to: Vec::new(),
            rules: Rules::default(),
        };
        Ok(RouteBuilder { plan: self, route })
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the configuration as JSON.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be serialised.
    pub fn to_json(&self) -> Result<String, PlanError> {
        Ok(serde_json::to_string_pretty(&self.config)?)
    }
}

/// Builder for a service, which [`ServiceBuilder::add`] adds to its plan.
#[derive(Debug)]
pub struct ServiceBuilder<'a> {
    plan: &'a mut Plan,
    service: Service,
}

impl ServiceBuilder<'_> {
    /// Sets the number of calls that one upstream runs concurrently.
    pub fn slots(mut self, slots: u32) -> Self {
        self.service.slots = slots;
        self
    }

    /// Sets the largest number of connections that one upstream accepts.
    pub fn connections(mut self, connections: u32) -> Self {
        self.service.connections = connections;
        self
    }

    /// Sets the time over which the share of a newly started upstream grows, in milliseconds.
    pub fn slow_start_ms(mut self, millis: u64) -> Self {
        self.service.slow_start = Millis::new(millis);
        self
    }

    /// Sets the retry budget, in percent of first attempts.
    pub fn retry_percent(mut self, percent: u32) -> Self {
        self.service.retry_percent = percent;
        self
    }

    /// Adds the service to its plan.
    pub fn add(self) -> ServiceRef {
        let name = self.service.name.clone();
        self.plan.config.services.push(self.service);
        ServiceRef(name)
    }
}

/// Builder for a route, which [`RouteBuilder::add`] adds to its plan.
#[derive(Debug)]
pub struct RouteBuilder<'a> {
    plan: &'a mut Plan,
    route: Route,
}

impl RouteBuilder<'_> {
    /// Adds another host.
    pub fn host(mut self, host: &str) -> Self {
        self.route.hosts.push(host.into());
        self
    }

    /// Restricts the route to a method; repeated calls allow several methods.
    pub fn method(mut self, method: &str) -> Self {
        self.route.methods.push(method.into());
        self
    }

    /// Restricts the route to calls with a header; any value matches if none is given.
    pub fn header(mut self, name: &str, value: Option<&str>) -> Self {
        self.route.headers.push(HeaderMatch {
            name: name.to_ascii_lowercase(),
            value: value.map(Into::into),
        });
        self
    }

    /// Adds a pool with its relative share of the calls.
    pub fn to(mut self, pool: &PoolRef, weight: u32) -> Self {
        self.route.to.push(Target {
            pool: pool.0.clone(),
            weight: Weight::new(weight),
        });
        self
    }

    /// Sets the time limit of a call, in milliseconds.
    pub fn timeout_ms(mut self, millis: u64) -> Self {
        self.route.rules.timeout = Millis::new(millis);
        self
    }

    /// Sets the number of attempts after the first one.
    pub fn retries(mut self, retries: u32) -> Self {
        self.route.rules.retries = retries;
        self
    }

    /// Sets whether a call may run more than once.
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.route.rules.idempotent = Some(idempotent);
        self
    }

    /// Sets whether the responses are large, such as downloads.
    pub fn large_response(mut self, large: bool) -> Self {
        self.route.rules.large_response = large;
        self
    }

    /// Sets the priority of the calls under overload.
    pub fn priority(mut self, priority: Priority) -> Self {
        self.route.rules.priority = priority;
        self
    }

    /// Sets the largest request body, in bytes.
    pub fn body_limit(mut self, bytes: u64) -> Self {
        self.route.rules.body_limit = Size::new(bytes);
        self
    }

    /// Adds the route to its plan.
    pub fn add(self) {
        self.plan.config.routes.push(self.route);
    }
}
