//! Section `upstream`.

use model::Millis;
use serde::Deserialize;

/// The local upstream.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamSettings {
    /// Time without an announcement after which the upstream is considered stopped.
    pub silence: Millis,
    /// Time limit for calls in flight when the daemon stops; with the store protocol `platform`,
    /// for the whole stop.
    pub stop_limit: Millis,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            silence: Millis::new(3_000),
            stop_limit: Millis::new(30_000),
        }
    }
}
