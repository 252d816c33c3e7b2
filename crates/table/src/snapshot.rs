//! Immutable snapshot that a call uses from its arrival to its response.

use std::collections::HashMap;
use std::sync::Arc;

use http::{HeaderMap, Method};
use model::{
    ConnectionLimits, Digest, PathMatch, Pool, Route, Service, ServiceName, Version, Weight,
};

use crate::Upstream;

/// Index of a pool in its snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolIndex(pub(crate) usize);

/// Index of a route in its snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteIndex(pub(crate) usize);

/// A pool with its service and the upstreams that accept calls.
#[derive(Debug, Clone)]
pub struct PoolTable {
    /// The pool as configured.
    pub pool: Pool,
    /// Its service as configured.
    pub service: Service,
    /// Upstreams that accept calls; may be empty.
    pub upstreams: Arc<[Arc<Upstream>]>,
}

/// A route with its targets resolved.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// The route as configured.
    pub route: Route,
    /// Target pools with their weights. There is at least one, and not all weights are 0.
    pub targets: Vec<(PoolIndex, Weight)>,
}

/// The routes of one host, by path.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    pub(crate) exact: HashMap<String, Vec<RouteIndex>>,
    pub(crate) prefix: HashMap<String, Vec<RouteIndex>>,
    pub(crate) directory: HashMap<String, Vec<RouteIndex>>,
}

/// Configuration and membership at one instant. Every index in it is valid.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Version of the configuration.
    pub version: Version,
    /// Digest of the version's change.
    pub digest: Digest,
    /// Limits on callers' connections.
    pub limits: ConnectionLimits,
    pub(crate) pools: Vec<Arc<PoolTable>>,
    pub(crate) routes: Arc<[Arc<RouteTable>]>,
    pub(crate) hosts: Arc<HashMap<Arc<str>, Arc<HostTable>>>,
}

impl Snapshot {
    /// Creates the snapshot that is used before the first version. It has no routes.
    pub fn empty() -> Self {
        Self {
            version: Version::default(),
            digest: Digest::ZERO,
            limits: ConnectionLimits::default(),
            pools: Vec::new(),
            routes: Arc::from([]),
            hosts: Arc::default(),
        }
    }

    /// Returns the pool at `index`.
    pub fn pool(&self, index: PoolIndex) -> &Arc<PoolTable> {
        &self.pools[index.0]
    }

    /// Returns the pools.
    pub fn pools(&self) -> &[Arc<PoolTable>] {
        &self.pools
    }

    /// Returns whether a route may lead to `service`.
    pub fn uses(&self, service: &ServiceName) -> bool {
        self.pools.iter().any(|pool| pool.service.name == *service)
    }

    /// Returns the routes.
    pub fn routes(&self) -> &[Arc<RouteTable>] {
        &self.routes
    }

    /// Returns the route of a call to `host`, which is in lower case.
    ///
    /// Routes of `host` have precedence over those of `*`. On one host, an exact path has
    /// precedence, then the longest prefix or directory; at one path, the route with the most
    /// header conditions.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        method: &Method,
        headers: &HeaderMap,
    ) -> Option<&Arc<RouteTable>> {
        let named = self.hosts.get(host);
        let tables = named.into_iter().chain(self.hosts.get("*"));
        let mut candidates = tables.flat_map(|table| table.candidates(path));
        let index = candidates.find(|index| self.routes[index.0].matches(method, headers))?;
        Some(&self.routes[index.0])
    }
}

impl HostTable {
    /// Returns the routes that match `path`, most specific first.
    fn candidates<'a>(&'a self, path: &'a str) -> impl Iterator<Item = RouteIndex> + 'a {
        let exact = self.exact.get(path).into_iter().flatten();
        let directories = directories(path);
        let directories = directories.filter_map(|path| Some((path, self.directory.get(path)?)));
        let prefixes = prefixes(path).filter_map(|path| Some((path, self.prefix.get(path)?)));
        let below = longest_first(directories, prefixes);
        exact.chain(below.flatten()).copied()
    }
}

/// Merges two sequences of paths, each sorted longest first.
fn longest_first<'a, T>(
    one: impl Iterator<Item = (&'a str, T)>,
    other: impl Iterator<Item = (&'a str, T)>,
) -> impl Iterator<Item = T> {
    let mut one = one.peekable();
    let mut other = other.peekable();
    std::iter::from_fn(move || {
        let one_first = match (one.peek(), other.peek()) {
            (Some((one, _)), Some((other, _))) => one.len() >= other.len(),
            (one, _) => one.is_some(),
        };
        let next = if one_first { one.next() } else { other.next() };
        next.map(|(_, value)| value)
    })
}

/// Returns the directories that contain `path`, longest first: `/a/b/`, `/a/`, `/`.
fn directories(path: &str) -> impl Iterator<Item = &str> {
    let ends = path.rmatch_indices('/').map(|(start, _)| start + 1);
    ends.map(|end| &path[..end])
}

/// Returns `path` and its ancestors, longest first: `/a/b`, `/a`, `/`.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let trimmed = path.trim_end_matches('/');
    let longest = if trimmed.is_empty() { "/" } else { trimmed };
    std::iter::successors(Some(longest), |path| match path.rfind('/') {
        None => None,
        Some(0) if path.len() > 1 => Some("/"),
        Some(0) => None,
        Some(end) => Some(&path[..end]),
    })
}

impl RouteTable {
    fn matches(&self, method: &Method, headers: &HeaderMap) -> bool {
        let route = &self.route;
        let method_fits =
            route.methods.is_empty() || route.methods.iter().any(|name| name == method.as_str());
        method_fits
            && route.headers.iter().all(|wanted| {
                let found = headers.get(&wanted.name);
                match (&wanted.value, found) {
                    (_, None) => false,
                    (None, Some(_)) => true,
                    (Some(value), Some(found)) => found.as_bytes() == value.as_bytes(),
                }
            })
    }

    /// Returns the key of the route's path in [`HostTable`].
    pub(crate) fn path_key(&self) -> &str {
        match &self.route.path {
            PathMatch::Exact(path) => path,
            PathMatch::Directory(path) => path,
            PathMatch::Prefix(path) if path == "/" => path,
            PathMatch::Prefix(path) => path.trim_end_matches('/'),
        }
    }
}
