//! A snapshot as a reader of it sees it.

use table::Snapshot;

/// A pool in a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolView {
    /// Name.
    pub name: String,
    /// Service that the configuration names.
    pub wants: String,
    /// Service that the snapshot holds.
    pub has: String,
}

/// A route in a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteView {
    /// Name.
    pub name: String,
    /// Pools that the configuration names.
    pub wants: Vec<String>,
    /// Pools that the snapshot leads to.
    pub has: Vec<String>,
}

/// A snapshot as a reader of it sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct View {
    /// Version that it says it holds.
    pub version: u64,
    /// Every route and pool of it, as JSON, sorted.
    pub items: Vec<String>,
    /// Pools.
    pub pools: Vec<PoolView>,
    /// Routes.
    pub routes: Vec<RouteView>,
}

impl View {
    /// Returns what a reader sees of `snapshot`.
    pub fn of(snapshot: &Snapshot) -> Self {
        let pools = snapshot.pools().iter().map(|pool| PoolView {
            name: pool.pool.name.to_string(),
            wants: pool.pool.service.to_string(),
            has: pool.service.name.to_string(),
        });
        let routes = snapshot.routes().iter().map(|route| {
            let has = route.targets.iter().map(|(index, _)| snapshot.pool(*index));
            RouteView {
                name: route.route.name.to_string(),
                wants: route
                    .route
                    .to
                    .iter()
                    .map(|to| to.pool.to_string())
                    .collect(),
                has: has.map(|pool| pool.pool.name.to_string()).collect(),
            }
        });
        let pool_items = snapshot.pools().iter().map(|pool| to_json(&pool.pool));
        let route_items = snapshot.routes().iter().map(|route| to_json(&route.route));
        let mut items: Vec<String> = pool_items.chain(route_items).collect();
        items.sort();
        Self {
            version: snapshot.version.get(),
            items,
            pools: pools.collect(),
            routes: routes.collect(),
        }
    }
}

/// Returns an item as the items of a view are written.
pub(crate) fn to_json(item: &impl serde::Serialize) -> String {
    serde_json::to_string(item).unwrap_or_default()
}
