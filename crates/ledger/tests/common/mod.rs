//! Test configurations, and a store that injects a fault at a chosen write.
#![allow(dead_code, reason = "each test file uses a subset")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use ledger::{Ledger, Request};
use model::{
    Config, FORMAT, PathMatch, Pool, Route, Rules, Service, Target, TeamName, Version, Weight,
};
use standin::{Faults, Kv};
use store::{Changes, Entry, Error, Expect, LeaseId, Put, Revision, Store};

/// Fault injected at the chosen write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// The write takes effect, but its response is lost.
    LoseResponse,
    /// The request is lost; the write has no effect and gets no response.
    LoseRequest,
    /// The write takes effect, its response is lost, and the service stays down.
    LoseResponseThenDown,
    /// The service goes down before the write and stays down.
    Down,
    /// The service refuses the write because of its rate limit.
    Limited,
}

/// A key-value service that injects a fault at one write.
#[derive(Debug, Clone)]
pub(crate) struct Faulty {
    pub(crate) kv: Kv,
    pub(crate) fault: Option<Fault>,
    /// Index of the write that the fault is injected at.
    pub(crate) at: usize,
    writes: Arc<AtomicUsize>,
}

impl Faulty {
    pub(crate) fn new(kv: Kv, fault: Fault, at: usize) -> Self {
        Self {
            kv,
            fault: Some(fault),
            at,
            writes: Arc::default(),
        }
    }

    fn set_down(&self) {
        self.kv.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    }
}

#[async_trait]
impl Store for Faulty {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.kv.get(key).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error> {
        self.kv.list(prefix, after, limit).await
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error> {
        let lost = || Error::Unknown("lost".into());
        let write = self.writes.fetch_add(1, Ordering::Relaxed);
        let fault = self.fault.filter(|_| write == self.at);
        match fault {
            None => {}
            Some(Fault::Limited) => return Err(Error::Limited),
            Some(Fault::LoseRequest) => return Err(lost()),
            Some(Fault::Down) => self.set_down(),
            Some(Fault::LoseResponse | Fault::LoseResponseThenDown) => {
                self.kv.put(key, value, expect, lease).await?;
                if fault == Some(Fault::LoseResponseThenDown) {
                    self.set_down();
                }
                return Err(lost());
            }
        }
        self.kv.put(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<Put, Error> {
        self.kv.delete(key, expect).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        self.kv.watch(prefix, after, wait).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.kv.grant(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, Error> {
        self.kv.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.kv.revoke(lease).await
    }
}

pub(crate) fn ledger(store: impl Store + 'static) -> Ledger {
    Ledger::open(Arc::new(store))
}

pub(crate) fn team(name: &str) -> TeamName {
    name.parse().expect("a valid name")
}

/// Returns a configuration of one team with `services` services, each with a pool and a route.
pub(crate) fn config(owner: &str, services: usize, retry_percent: u32) -> Config {
    let team = team(owner);
    let mut config = Config {
        format: FORMAT,
        parent: None,
        teams: vec![team.clone()],
        services: Vec::new(),
        pools: Vec::new(),
        routes: Vec::new(),
    };
    for i in 0..services {
        let name = format!("{owner}-{i}");
        let mut service = Service::new(name.parse().expect("valid"), team.clone());
        service.retry_percent = retry_percent;
        config.services.push(service);
        config.pools.push(Pool {
            name: name.parse().expect("valid"),
            team: team.clone(),
            service: name.parse().expect("valid"),
            domains: Vec::new(),
        });
        config.routes.push(Route {
            name: name.parse().expect("valid"),
            team: team.clone(),
            hosts: vec![format!("{name}.example")],
            path: PathMatch::Prefix("/".into()),
            methods: Vec::new(),
            headers: Vec::new(),
            to: vec![Target {
                pool: name.parse().expect("valid"),
                weight: Weight::new(1),
            }],
            rules: Rules::default(),
        });
    }
    config
}

pub(crate) fn request(config: Config, id: &str) -> Request {
    Request {
        config,
        accept_id: id.parse().expect("a valid id"),
        operator: "operator".parse().expect("a valid name"),
        reason: "test".into(),
    }
}

pub(crate) fn parented(mut config: Config, parent: u64) -> Config {
    config.parent = Some(Version::new(parent));
    config
}
