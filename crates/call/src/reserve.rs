//! Reservations of slots at a gate, for calls that are about to be sent.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use model::lock;

/// Time after which an unused reservation expires: a few round trips between failure domains.
const RESERVATION_TTL: Duration = Duration::from_millis(500);

/// Random identifier of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ReservationId(u64);

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ReservationId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Reserved items by identifier; each expires after `RESERVATION_TTL`.
#[derive(Debug)]
pub(crate) struct Reservations<T>(Arc<Mutex<HashMap<ReservationId, T>>>);

impl<T> Default for Reservations<T> {
    fn default() -> Self {
        Self(Arc::default())
    }
}

impl<T: Send + 'static> Reservations<T> {
    /// Reserves `item` until it is taken or expires.
    pub(crate) fn hold(&self, item: T) -> ReservationId {
        let id = ReservationId(rand::rng().random());
        lock(&self.0).insert(id, item);
        let all = Arc::clone(&self.0);
        tokio::spawn(async move {
            sleep(RESERVATION_TTL).await;
            let expired = lock(&all).remove(&id);
            drop(expired);
        });
        id
    }

    /// Takes the item reserved under `id`, unless it has expired.
    pub(crate) fn take(&self, id: ReservationId) -> Option<T> {
        lock(&self.0).remove(&id)
    }
}
