//! Limits on callers' connections.

use crate::{Millis, Size};

/// Limits on a caller's connection to the ingress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConnectionLimits {
    /// Largest request head (request line and headers).
    pub head: Size,
    /// Time in which a request head must be complete once it has begun.
    pub head_timeout: Millis,
    /// Time after which a connection without a request is closed.
    pub idle: Millis,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head: Size::new(64 << 10),
            head_timeout: Millis::new(10_000),
            idle: Millis::new(10_000),
        }
    }
}
