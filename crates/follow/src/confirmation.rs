//! Decides when a daemon must check that it has missed no change, and for how long others may rely on it.
//!
//! Designed for watches that hear nothing while the store answers all other calls, and for relays that fall
//! behind or restart. Silence confirms nothing: only a read that sees every write does, or the word of a relay
//! that made one.

use std::time::Duration;

use tokio::time::Instant;

/// Times after the last confirmation of a topic at which something is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// A relay checks again.
    check: Duration,
    /// A daemon that reads the store for want of relays checks again. Longer, as the whole fleet may do so at once.
    fallback_check: Duration,
    /// A daemon whose relays do not follow the store reads the store itself.
    patience: Duration,
    /// A relay no longer answers for the store.
    limit: Duration,
}

/// Terms of the configuration: versions must be in force within 2 s of their acceptance.
pub const CONFIG_TERMS: Terms = Terms {
    check: Duration::from_millis(800),
    fallback_check: Duration::from_millis(1_500),
    patience: Duration::from_millis(1_200),
    limit: Duration::from_millis(2_000),
};

/// Terms of the membership, which is checked by a scan of every record: changes must be known within 4 s.
pub const MEMBERS_TERMS: Terms = Terms {
    check: Duration::from_millis(3_000),
    fallback_check: Duration::from_millis(3_000),
    patience: Duration::from_millis(3_500),
    limit: Duration::from_millis(5_000),
};

impl Terms {
    /// Returns the time of the next check by a daemon that reads the store, after a confirmation at `confirmed`. Without
    /// one, it is due at `now`.
    pub fn check_at(&self, confirmed: Option<Instant>, is_relay: bool, now: Instant) -> Instant {
        let interval = match is_relay {
            true => self.check,
            false => self.fallback_check,
        };
        confirmed.map_or(now, |confirmed| confirmed + interval)
    }

    /// Returns the time from which a daemon whose relays do not follow the store reads it itself.
    pub fn read_at(&self, confirmed: Option<Instant>, now: Instant) -> Instant {
        confirmed.map_or(now, |confirmed| confirmed + self.patience)
    }

    /// Returns the time until which others may rely on the confirmation, if there is one.
    pub fn valid_until(&self, confirmed: Option<Instant>) -> Option<Instant> {
        confirmed.map(|confirmed| confirmed + self.limit)
    }

    /// Returns whether others may rely on the confirmation at `now`.
    pub fn is_valid(&self, confirmed: Option<Instant>, now: Instant) -> bool {
        self.valid_until(confirmed).is_some_and(|until| now < until)
    }
}

/// Returns a bound on the time of a confirmation that a relay states as `offset_ms` after the arrival of a request
/// which was sent at `sent_at`. It is never later than the confirmation, however long the messages took.
pub fn relayed(sent_at: Instant, offset_ms: i64) -> Option<Instant> {
    let offset = Duration::from_millis(offset_ms.unsigned_abs());
    match offset_ms < 0 {
        true => sent_at.checked_sub(offset),
        false => sent_at.checked_add(offset),
    }
}

/// Returns the time of a confirmation as milliseconds after `arrival`; negative if it was before.
pub fn offset_ms(confirmed: Instant, arrival: Instant) -> i64 {
    match confirmed.checked_duration_since(arrival) {
        Some(after) => after.as_millis() as i64,
        // Rounded towards the past.
        None => -(arrival.duration_since(confirmed).as_millis() as i64) - 1,
    }
}
