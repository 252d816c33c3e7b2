//! What callers' connections may take.

use crate::{Millis, Size};

/// Limits on a caller's connection to the ingress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConnectionLimits {
    /// Largest head of a request.
    pub head: Size,
    /// Longest wait for the head of a request once it has begun.
    pub head_timeout: Millis,
    /// Time that a connection without a request is kept.
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
