//! Interface to the format of the configuration in the store.

use std::fmt::Debug;

use model::{ConnectionLimits, Item, Version};

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: Version,
    /// Services, pools and routes.
    pub items: Vec<Item>,
    /// Limits on callers' connections.
    pub limits: ConnectionLimits,
    /// What this release reads differently from what the operator may mean, for the log.
    pub warnings: Vec<String>,
}

/// A configuration that cannot be parsed.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error(
    "the configuration cannot be read ({0}); the one in force stays until a valid one is accepted"
)]
pub struct FormatError(pub String);

/// The format of the configuration in the store, and its key there.
pub trait ConfigFormat: Debug + Send + Sync {
    /// Returns the key that holds the newest configuration.
    fn key(&self) -> &str;

    /// Parses a configuration from the key's value.
    ///
    /// # Errors
    ///
    /// Fails unless the whole value can be parsed.
    fn read(&self, value: &[u8]) -> Result<Configuration, FormatError>;
}
