//! The configuration format.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::{
    Digest, DomainName, Millis, PoolName, RouteName, ServiceName, Size, TeamName, Version, Weight,
};

/// Format number that this version reads and writes.
pub const FORMAT: u32 = 1;

/// A configuration file: all items that the listed teams own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Format number, 1.
    pub format: u32,
    /// Version that the configuration is based on; the head if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<Version>,
    /// Teams whose items this configuration replaces; items of other teams are unchanged.
    pub teams: Vec<TeamName>,
    /// Services of these teams.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Pools of these teams.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Routes of these teams.
    #[serde(default)]
    pub routes: Vec<Route>,
}

impl Config {
    /// Returns all items in file order.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        let services = self.services.iter().cloned().map(Item::Service);
        let pools = self.pools.iter().cloned().map(Item::Pool);
        let routes = self.routes.iter().cloned().map(Item::Route);
        services.chain(pools).chain(routes)
    }

    /// Returns the digest of the content, which does not include `parent`.
    ///
    /// # Panics
    ///
    /// Never: configurations always serialise.
    pub fn digest(&self) -> Digest {
        let content = (
            self.format,
            &self.teams,
            &self.services,
            &self.pools,
            &self.routes,
        );
        let json = serde_json::to_vec(&content).expect("configurations serialise to JSON");
        Digest::of(&json)
    }
}

/// A service, which upstreams register for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: ServiceName,
    /// Owning team.
    pub team: TeamName,
    /// Calls that one upstream runs concurrently.
    #[serde(default = "Service::default_slots")]
    pub slots: u32,
    /// Largest number of connections that one upstream accepts.
    #[serde(default = "Service::default_connections")]
    pub connections: u32,
    /// Time over which the share of a newly started upstream grows to its full size.
    #[serde(default = "Service::default_slow_start")]
    pub slow_start: Millis,
    /// Retry budget, in percent of first attempts.
    #[serde(default = "Service::default_retry_percent")]
    pub retry_percent: u32,
}

impl Service {
    /// Creates a service with the default limits.
    pub const fn new(name: ServiceName, team: TeamName) -> Self {
        Self {
            name,
            team,
            slots: Self::default_slots(),
            connections: Self::default_connections(),
            slow_start: Self::default_slow_start(),
            retry_percent: Self::default_retry_percent(),
        }
    }

    const fn default_slots() -> u32 {
        12
    }

    const fn default_connections() -> u32 {
        110
    }

    const fn default_slow_start() -> Millis {
        Millis::new(5_000)
    }

    const fn default_retry_percent() -> u32 {
        20
    }
}

/// A pool: the upstreams of one service, or those in some failure domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name, unique among pools.
    pub name: PoolName,
    /// Owning team.
    pub team: TeamName,
    /// Service whose upstreams are selected.
    pub service: ServiceName,
    /// Failure domains to select from; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub domains: Vec<DomainName>,
}

/// A route: the calls that it matches, and the pools that they are sent to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique among routes.
    pub name: RouteName,
    /// Owning team.
    pub team: TeamName,
    /// Hosts, without port; `*` matches every host.
    pub hosts: Vec<String>,
    /// Path to match.
    pub path: PathMatch,
    /// Methods to match; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Headers that must all match.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<HeaderMatch>,
    /// Pools that share the calls by weight.
    pub to: Vec<Target>,
    /// Traffic rules for the calls of this route.
    #[serde(default)]
    pub rules: Rules,
}

/// Path that a route matches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PathMatch {
    /// The path itself.
    Exact(String),
    /// The path itself and everything below it.
    Prefix(String),
    /// Everything below a directory, written with a trailing `/`; not the path without the `/`.
    Directory(String),
}

/// A header that a call must have.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HeaderMatch {
    /// Header name, in lower case.
    pub name: String,
    /// Exact value; any value if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// A pool and its share of a route's calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Pool that the calls are sent to.
    pub pool: PoolName,
    /// Share relative to the route's other targets.
    #[serde(default = "Target::default_weight")]
    pub weight: Weight,
}

impl Target {
    const fn default_weight() -> Weight {
        Weight::new(1)
    }
}

/// Traffic rules of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Time limit of a call, from its arrival to the end of the response.
    pub timeout: Millis,
    /// Latency objective: time within which the response is most useful to the caller, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objective: Option<Millis>,
    /// Attempts after the first one.
    pub retries: u32,
    /// Whether a call may run more than once; determined by its HTTP method if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Whether the responses are large, so that their bytes weigh more than a short wait.
    #[serde(skip_serializing_if = "is_false")]
    pub large_response: bool,
    /// Priority of the calls under overload.
    pub priority: Priority,
    /// Largest request body.
    pub body_limit: Size,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            timeout: Millis::new(10_000),
            objective: None,
            retries: 2,
            idempotent: None,
            large_response: false,
            priority: Priority::Normal,
            body_limit: Size::new(64 << 20),
        }
    }
}

/// Returns whether `flag` is not set; such a flag is left out of the printed configuration.
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Priority of a route's calls under overload.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Shed first.
    Low,
    /// Shed after low priority.
    Normal,
    /// Shed last.
    High,
}

/// Kind of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A [`Service`].
    Service,
    /// A [`Pool`].
    Pool,
    /// A [`Route`].
    Route,
}

impl Kind {
    /// Returns the kind as written in keys.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Pool => "pool",
            Self::Route => "route",
        }
    }
}

/// Key of an item, written as `route/proofs`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Key {
    /// Kind of the item.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for Key {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let unknown = || format!("`{text}` is not a key: write KIND/NAME, such as `route/proofs`");
        let (kind, name) = text.split_once('/').ok_or_else(unknown)?;
        let kind = match kind {
            "service" => Kind::Service,
            "pool" => Kind::Pool,
            "route" => Kind::Route,
            _ => return Err(unknown()),
        };
        Ok(Self {
            kind,
            name: name.into(),
        })
    }
}

/// An item of a configuration, which changes insert, replace or remove as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A service.
    Service(Service),
    /// A pool.
    Pool(Pool),
    /// A route.
    Route(Route),
}

impl Item {
    /// Returns the item's key.
    pub fn key(&self) -> Key {
        let (kind, name) = match self {
            Self::Service(service) => (Kind::Service, service.name.as_str()),
            Self::Pool(pool) => (Kind::Pool, pool.name.as_str()),
            Self::Route(route) => (Kind::Route, route.name.as_str()),
        };
        Key {
            kind,
            name: name.into(),
        }
    }

    /// Returns the team that owns the item.
    pub fn team(&self) -> &TeamName {
        match self {
            Self::Service(service) => &service.team,
            Self::Pool(pool) => &pool.team,
            Self::Route(route) => &route.team,
        }
    }
}
