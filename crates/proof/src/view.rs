//! Comparable views of routing snapshots.

use table::Snapshot;

/// A pool in a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolView {
    /// Name.
    pub name: String,
    /// Service that the configuration names.
    pub configured: String,
    /// Service that the snapshot resolved.
    pub resolved: String,
}

/// A route in a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteView {
    /// Name.
    pub name: String,
    /// Pools that the configuration names.
    pub configured: Vec<String>,
    /// Pools that the snapshot resolved.
    pub resolved: Vec<String>,
}

/// Content of a snapshot, as its readers see it.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotView {
    /// Version that the snapshot reports.
    pub version: u64,
    /// All routes and pools as JSON, sorted.
    pub items: Vec<String>,
    /// Pools.
    pub pools: Vec<PoolView>,
    /// Routes.
    pub routes: Vec<RouteView>,
}

impl SnapshotView {
    /// Returns the view of `snapshot`.
    pub fn of(snapshot: &Snapshot) -> Self {
        let pools = snapshot.pools().iter().map(|pool| PoolView {
            name: pool.pool.name.to_string(),
            configured: pool.pool.service.to_string(),
            resolved: pool.service.name.to_string(),
        });
        let routes = snapshot.routes().iter().map(|route| {
            let resolved = route.targets.iter().map(|(index, _)| snapshot.pool(*index));
            RouteView {
                name: route.route.name.to_string(),
                configured: route
                    .route
                    .to
                    .iter()
                    .map(|to| to.pool.to_string())
                    .collect(),
                resolved: resolved.map(|pool| pool.pool.name.to_string()).collect(),
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

/// Serialises `item` to JSON; empty if that fails.
pub(crate) fn to_json(item: &impl serde::Serialize) -> String {
    serde_json::to_string(item).unwrap_or_default()
}
