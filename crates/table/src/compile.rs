//! Compiles a configuration and the membership to a snapshot.

use std::collections::HashMap;
use std::sync::Arc;

use member::Record;
use model::{
    Digest, Item, PathMatch, Pool, PoolName, Problem, Problems, Service, ServiceName, State,
    Version, validate,
};

use crate::snapshot::{HostTable, PoolIndex, PoolTable, RouteIndex, RouteTable, Snapshot};
use crate::upstream::Upstream;

/// Compiles `state` as `version`; observations of known upstreams are taken over from `old`.
///
/// # Errors
///
/// Fails as a whole if any reference does not resolve.
pub(crate) fn compile(
    state: &State,
    version: Version,
    digest: Digest,
    records: &[Record],
    old: &Snapshot,
) -> Result<Snapshot, Problems> {
    let problems = validate(state);
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    let services = services(state);
    let by_service = group(records);
    let mut snapshot = Snapshot::empty();
    snapshot.version = version;
    snapshot.digest = digest;
    let mut indices: HashMap<&PoolName, PoolIndex> = HashMap::new();
    for (_, piece) in state.pieces() {
        let Item::Pool(pool) = &piece.item else {
            continue;
        };
        let Some(service) = services.get(&pool.service) else {
            return Err(unresolved("pool", pool.name.as_str(), "service"));
        };
        indices.insert(&pool.name, PoolIndex(snapshot.pools.len()));
        let records = by_service.get(&pool.service).map_or(&[][..], Vec::as_slice);
        let known = old.pools.iter().find(|known| known.pool.name == pool.name);
        snapshot.pools.push(Arc::new(PoolTable {
            upstreams: select(pool, records, known.map(|known| &known.upstreams)),
            pool: pool.clone(),
            service: (*service).clone(),
        }));
    }
    for (_, piece) in state.pieces() {
        let Item::Route(route) = &piece.item else {
            continue;
        };
        let mut targets = Vec::with_capacity(route.to.len());
        for to in &route.to {
            let Some(index) = indices.get(&to.pool) else {
                return Err(unresolved("route", route.name.as_str(), "pool"));
            };
            targets.push((*index, to.weight));
        }
        snapshot.routes.push(Arc::new(RouteTable {
            route: route.clone(),
            targets,
        }));
    }
    snapshot.hosts = hosts(&snapshot.routes);
    Ok(snapshot)
}

/// Returns `snapshot` with the upstreams of `service` taken from `records`.
pub(crate) fn refresh(snapshot: &Snapshot, service: &ServiceName, records: &[Record]) -> Snapshot {
    let mut next = snapshot.clone();
    let records: Vec<&Record> = records
        .iter()
        .filter(|record| record.service.as_ref() == Some(service))
        .collect();
    for pool in &mut next.pools {
        if pool.pool.service == *service {
            *pool = Arc::new(PoolTable {
                upstreams: select(&pool.pool, &records, Some(&pool.upstreams)),
                pool: pool.pool.clone(),
                service: pool.service.clone(),
            });
        }
    }
    next
}

fn services(state: &State) -> HashMap<&ServiceName, &Service> {
    let items = state.pieces().filter_map(|(_, piece)| match &piece.item {
        Item::Service(service) => Some((&service.name, service)),
        _ => None,
    });
    items.collect()
}

fn group(records: &[Record]) -> HashMap<&ServiceName, Vec<&Record>> {
    let mut groups: HashMap<&ServiceName, Vec<&Record>> = HashMap::new();
    for record in records {
        if let Some(service) = &record.service {
            groups.entry(service).or_default().push(record);
        }
    }
    groups
}

/// Returns the upstreams of `pool` that take calls.
fn select(
    pool: &Pool,
    records: &[&Record],
    known: Option<&Arc<[Arc<Upstream>]>>,
) -> Arc<[Arc<Upstream>]> {
    let selected = records.iter().filter(|record| {
        record.takes_calls() && (pool.domains.is_empty() || pool.domains.contains(&record.domain))
    });
    let find = |record: &Record| known?.iter().find(|known| known.vm == record.vm);
    selected
        .map(|record| Arc::new(Upstream::of(record, find(record))))
        .collect()
}

/// Groups routes by host and path.
fn hosts(routes: &[Arc<RouteTable>]) -> HashMap<String, HostTable> {
    let mut hosts: HashMap<String, HostTable> = HashMap::new();
    for (i, route) in routes.iter().enumerate() {
        for host in &route.route.hosts {
            let table = hosts.entry(host.to_ascii_lowercase()).or_default();
            let paths = match route.route.path {
                PathMatch::Exact(_) => &mut table.exact,
                PathMatch::Prefix(_) => &mut table.prefix,
            };
            let list = paths.entry(route.path_key().to_owned()).or_default();
            list.push(RouteIndex(i));
        }
    }
    for table in hosts.values_mut() {
        for list in table.exact.values_mut().chain(table.prefix.values_mut()) {
            list.sort_by_key(|index| {
                let route = &routes[index.0].route;
                let any_method = route.methods.is_empty();
                (
                    usize::MAX - route.headers.len(),
                    any_method,
                    route.name.clone(),
                )
            });
        }
    }
    hosts
}

fn unresolved(kind: &str, name: &str, field: &str) -> Problems {
    Problems(vec![Problem::new(
        format!("{kind}/{name}"),
        format!("its {field} does not exist"),
        "accept a configuration that has it",
    )])
}
