//! Compiles a configuration and the membership to a snapshot.

use std::collections::HashMap;
use std::sync::Arc;

use member::{Members, Record};
use model::{
    Item, Key, Kind, Pool, PoolName, Problem, Problems, Route, Service, ServiceName, State,
};

use crate::incremental::hosts;
use crate::snapshot::{PoolIndex, PoolTable, RouteTable, Snapshot};
use crate::upstream::Upstream;

/// Compiles `state`, which must be valid. Reuses the known upstreams of `old`.
///
/// # Errors
///
/// Fails if any reference does not resolve.
pub(crate) fn compile(
    old: &Snapshot,
    state: &State,
    members: &Members,
) -> Result<Snapshot, Problems> {
    let known: HashMap<&PoolName, &Arc<PoolTable>> = old
        .pools
        .iter()
        .map(|pool| (&pool.pool.name, pool))
        .collect();
    let mut pools = Vec::new();
    let mut indices: HashMap<&PoolName, PoolIndex> = HashMap::new();
    for (_, piece) in state.items() {
        let Item::Pool(pool) = &piece.item else {
            continue;
        };
        let known = known.get(&pool.name).map(|known| &*known.upstreams);
        let records = members.of_service(&pool.service);
        indices.insert(&pool.name, PoolIndex(pools.len()));
        pools.push(Arc::new(PoolTable {
            upstreams: select(pool, &records, known.unwrap_or_default()),
            pool: pool.clone(),
            service: service_of(pool, state)?.clone(),
        }));
    }
    let mut routes = Vec::new();
    for (_, piece) in state.items() {
        let Item::Route(route) = &piece.item else {
            continue;
        };
        let table = resolve(route, |pool| indices.get(pool).copied())?;
        routes.push(Arc::new(table));
    }
    Ok(Snapshot {
        version: old.version,
        digest: old.digest,
        limits: old.limits,
        pools,
        hosts: Arc::new(hosts(&routes)),
        routes: routes.into(),
    })
}

/// Returns `snapshot` with the upstreams of `service` rebuilt from `members`.
pub(crate) fn refresh_upstreams(
    snapshot: &Snapshot,
    service: &ServiceName,
    members: &Members,
) -> Snapshot {
    let mut next = snapshot.clone();
    let records = members.of_service(service);
    for pool in &mut next.pools {
        if pool.pool.service == *service {
            *pool = Arc::new(PoolTable {
                upstreams: select(&pool.pool, &records, &pool.upstreams),
                pool: pool.pool.clone(),
                service: pool.service.clone(),
            });
        }
    }
    next
}

/// Returns the service of `pool`.
pub(crate) fn service_of<'a>(pool: &Pool, state: &'a State) -> Result<&'a Service, Problems> {
    let key = Key {
        kind: Kind::Service,
        name: pool.service.to_string(),
    };
    match state.get(&key).map(|piece| &piece.item) {
        Some(Item::Service(service)) => Ok(service),
        _ => Err(unresolved("pool", pool.name.as_str(), "service")),
    }
}

/// Returns `route` with its pools resolved to indices by `find`.
pub(crate) fn resolve(
    route: &Route,
    find: impl Fn(&PoolName) -> Option<PoolIndex>,
) -> Result<RouteTable, Problems> {
    let mut targets = Vec::with_capacity(route.to.len());
    for to in &route.to {
        let Some(index) = find(&to.pool) else {
            return Err(unresolved("route", route.name.as_str(), "pool"));
        };
        targets.push((index, to.weight));
    }
    Ok(RouteTable {
        route: route.clone(),
        targets,
    })
}

/// Returns the upstreams of `pool` that accept calls, ordered by VM.
///
/// `records` and `known` must both be in that order.
pub(crate) fn select(
    pool: &Pool,
    records: &[Record],
    known: &[Arc<Upstream>],
) -> Arc<[Arc<Upstream>]> {
    let selected = records.iter().filter(|record| {
        record.takes_calls() && (pool.domains.is_empty() || pool.domains.contains(&record.domain))
    });
    let upstreams = selected.map(|record| {
        let index = known.binary_search_by(|upstream| upstream.vm.cmp(&record.vm));
        Upstream::from_record(record, index.ok().map(|index| &known[index]))
    });
    upstreams.collect()
}

fn unresolved(kind: &str, name: &str, field: &str) -> Problems {
    Problems(vec![Problem::new(
        format!("{kind}/{name}"),
        format!("its {field} does not exist"),
        "accept a configuration that has it",
    )])
}
