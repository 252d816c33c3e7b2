//! Builds a snapshot incrementally from the previous one and the changed items.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use member::Members;
use model::{Item, Key, Kind, PathMatch, Pool, PoolName, Problems, Route, Service, State};

use crate::compile::{resolve, select, service_of};
use crate::snapshot::{HostTable, PoolIndex, PoolTable, RouteIndex, RouteTable, Snapshot};

/// Builds the snapshot of `state`, which must differ from the state of `old` only in `keys`.
///
/// Shares unchanged parts with `old`. The state must be valid.
///
/// # Errors
///
/// Fails if any reference does not resolve.
pub(crate) fn update_snapshot(
    old: &Snapshot,
    state: &State,
    keys: &BTreeSet<Key>,
    members: &Members,
) -> Result<Snapshot, Problems> {
    let mut builder = SnapshotBuilder {
        pools: old.pools.clone(),
        routes: old.routes.to_vec(),
        hosts: (*old.hosts).clone(),
    };
    // Pools are removed last, when no route refers to them any more.
    for key in keys {
        let item = state.get(key).map(|hashed| &hashed.item);
        match item {
            Some(Item::Service(service)) => builder.set_service(service),
            Some(Item::Pool(pool)) => builder.set_pool(pool, state, members)?,
            _ => {}
        }
    }
    for key in keys.iter().filter(|key| key.kind == Kind::Route) {
        match state.get(key).map(|hashed| &hashed.item) {
            Some(Item::Route(route)) => builder.set_route(route)?,
            _ => builder.remove_route(&key.name),
        }
    }
    for key in keys.iter().filter(|key| key.kind == Kind::Pool) {
        if state.get(key).is_none() {
            builder.remove_pool(&key.name);
        }
    }
    Ok(Snapshot {
        version: old.version,
        digest: old.digest,
        limits: old.limits,
        pools: builder.pools,
        routes: builder.routes.into(),
        hosts: Arc::new(builder.hosts),
    })
}

/// A snapshot under construction.
struct SnapshotBuilder {
    pools: Vec<Arc<PoolTable>>,
    routes: Vec<Arc<RouteTable>>,
    hosts: HashMap<Arc<str>, Arc<HostTable>>,
}

impl SnapshotBuilder {
    fn set_service(&mut self, service: &Service) {
        for pool in &mut self.pools {
            if pool.pool.service == service.name {
                *pool = Arc::new(PoolTable {
                    service: service.clone(),
                    ..(**pool).clone()
                });
            }
        }
    }

    fn set_pool(&mut self, pool: &Pool, state: &State, members: &Members) -> Result<(), Problems> {
        let service = service_of(pool, state)?;
        let position = self.find_pool(&pool.name);
        let known = position.map(|index| &*self.pools[index.0].upstreams);
        let records = members.of_service(&pool.service);
        let table = Arc::new(PoolTable {
            upstreams: select(pool, &records, known.unwrap_or_default()),
            pool: pool.clone(),
            service: service.clone(),
        });
        match position {
            Some(index) => self.pools[index.0] = table,
            None => self.pools.push(table),
        }
        Ok(())
    }

    /// Removes a pool that no route refers to; the last pool moves to its position.
    fn remove_pool(&mut self, name: &str) {
        let found = self
            .pools
            .iter()
            .position(|pool| pool.pool.name.as_str() == name);
        let Some(position) = found else {
            return;
        };
        self.pools.swap_remove(position);
        let (from, to) = (PoolIndex(self.pools.len()), PoolIndex(position));
        for route in &mut self.routes {
            if route.targets.iter().any(|(index, _)| *index == from) {
                let moved = Arc::make_mut(route);
                let targets = moved.targets.iter_mut();
                targets
                    .filter(|(index, _)| *index == from)
                    .for_each(|(index, _)| *index = to);
            }
        }
    }

    fn set_route(&mut self, route: &Route) -> Result<(), Problems> {
        let table = resolve(route, |pool| self.find_pool(pool))?;
        let found = self
            .routes
            .iter()
            .position(|old| old.route.name == route.name);
        let position = match found {
            Some(position) => {
                self.detach(RouteIndex(position));
                self.routes[position] = Arc::new(table);
                position
            }
            None => {
                self.routes.push(Arc::new(table));
                self.routes.len() - 1
            }
        };
        self.attach(RouteIndex(position));
        Ok(())
    }

    /// Removes a route; the last route moves to its position.
    fn remove_route(&mut self, name: &str) {
        let found = self
            .routes
            .iter()
            .position(|old| old.route.name.as_str() == name);
        let Some(position) = found else {
            return;
        };
        self.detach(RouteIndex(position));
        let last = self.routes.len() - 1;
        if position == last {
            self.routes.pop();
            return;
        }
        self.detach(RouteIndex(last));
        self.routes.swap_remove(position);
        self.attach(RouteIndex(position));
    }

    /// Adds the route at `index` to the tables of its hosts.
    fn attach(&mut self, index: RouteIndex) {
        let route = &self.routes[index.0];
        for host in &route.route.hosts {
            let host = host.to_ascii_lowercase();
            let table = self.hosts.entry(host.into()).or_default();
            let list = Arc::make_mut(table).list(route);
            list.push(index);
            sort_by_precedence(list, &self.routes);
        }
    }

    /// Removes the route at `index` from the tables of its hosts.
    fn detach(&mut self, index: RouteIndex) {
        let route = &self.routes[index.0];
        for host in &route.route.hosts {
            let host = host.to_ascii_lowercase();
            let Some(table) = self.hosts.get_mut(host.as_str()) else {
                continue;
            };
            let table = Arc::make_mut(table);
            table.list(route).retain(|other| *other != index);
            table.drop_empty(route);
            if table.is_empty() {
                self.hosts.remove(host.as_str());
            }
        }
    }

    fn find_pool(&self, name: &PoolName) -> Option<PoolIndex> {
        let position = self.pools.iter().position(|pool| pool.pool.name == *name);
        position.map(PoolIndex)
    }
}

/// Builds the tables of all hosts.
pub(crate) fn hosts(routes: &[Arc<RouteTable>]) -> HashMap<Arc<str>, Arc<HostTable>> {
    let mut hosts: HashMap<String, HostTable> = HashMap::new();
    for (i, route) in routes.iter().enumerate() {
        for host in &route.route.hosts {
            let table = hosts.entry(host.to_ascii_lowercase()).or_default();
            table.list(route).push(RouteIndex(i));
        }
    }
    for table in hosts.values_mut() {
        let lists = table.exact.values_mut().chain(table.prefix.values_mut());
        for list in lists.chain(table.directory.values_mut()) {
            sort_by_precedence(list, routes);
        }
    }
    let shared = hosts
        .into_iter()
        .map(|(host, table)| (host.into(), Arc::new(table)));
    shared.collect()
}

impl HostTable {
    /// Returns the list of routes at the path of `route`.
    fn list(&mut self, route: &RouteTable) -> &mut Vec<RouteIndex> {
        let paths = match route.route.path {
            PathMatch::Exact(_) => &mut self.exact,
            PathMatch::Prefix(_) => &mut self.prefix,
            PathMatch::Directory(_) => &mut self.directory,
        };
        paths.entry(route.path_key().to_owned()).or_default()
    }

    /// Removes the path of `route` if no route is left there.
    fn drop_empty(&mut self, route: &RouteTable) {
        if self.list(route).is_empty() {
            let paths = match route.route.path {
                PathMatch::Exact(_) => &mut self.exact,
                PathMatch::Prefix(_) => &mut self.prefix,
                PathMatch::Directory(_) => &mut self.directory,
            };
            paths.remove(route.path_key());
        }
    }

    fn is_empty(&self) -> bool {
        self.exact.is_empty() && self.prefix.is_empty() && self.directory.is_empty()
    }
}

/// Sorts routes at one path: most header conditions first, then routes with methods, then by name.
fn sort_by_precedence(list: &mut [RouteIndex], routes: &[Arc<RouteTable>]) {
    list.sort_by(|a, b| {
        let rank = |index: &RouteIndex| {
            let route = &routes[index.0].route;
            (
                usize::MAX - route.headers.len(),
                route.methods.is_empty(),
                &route.name,
            )
        };
        rank(a).cmp(&rank(b))
    });
}
