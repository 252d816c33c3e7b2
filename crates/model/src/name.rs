//! Names of configuration items, operators, VMs and upstreams.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::intern::intern;

/// Longest valid name.
const MAX_NAME_BYTES: usize = 63;

/// Error for a text that is not a valid name.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("`{text}` is not a valid {what}: use 1 to 63 of a-z, 0-9, `-`, `_` and `.`")]
pub struct NameError {
    text: String,
    what: &'static str,
}

/// Returns whether `text` is a valid name.
fn is_name(text: &str) -> bool {
    let allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $what:literal, $share:expr) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, JsonSchema,
            SerializeDisplay, DeserializeFromStr,
        )]
        #[schemars(transparent)]
        pub struct $type(#[schemars(with = "String", regex(pattern = "^[a-z0-9._-]{1,63}$"))] Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if !is_name(text) {
                    return Err(NameError { text: text.into(), what: $what });
                }
                Ok(Self($share(text)))
            }
        }
    };
}

name!(
    /// Name of a service, which upstreams register for.
    ServiceName,
    "service name",
    intern
);
name!(
    /// Name of a pool, a selection of the upstreams of one service.
    PoolName,
    "pool name",
    intern
);
name!(
    /// Name of a route.
    RouteName,
    "route name",
    Arc::from
);
name!(
    /// Name of a team, which owns items of the configuration.
    TeamName,
    "team name",
    intern
);
name!(
    /// Name of an operator.
    OperatorName,
    "operator name",
    intern
);
name!(
    /// Name of a failure domain.
    DomainName,
    "failure domain",
    intern
);
name!(
    /// Name of a region.
    RegionName,
    "region name",
    intern
);
name!(
    /// Name of a VM; one daemon runs on each.
    VmId,
    "VM id",
    Arc::from
);
name!(
    /// Id of one accept, chosen by the caller, which makes it safe to repeat after a lost response.
    AcceptId,
    "accept id",
    Arc::from
);
name!(
    /// Id of one upstream process, under which it registers.
    InstanceId,
    "instance id",
    Arc::from
);
