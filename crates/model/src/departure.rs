//! Upstreams that have left, as remembered beyond the life of the daemon that acknowledged it.

use crate::{Incarnation, InstanceId, UnixMillis};

/// Time for which a departure is remembered: longer than any heartbeat is delayed, and than an upstream that leaves
/// goes on serving.
pub const DEPARTURE_TTL_MS: u64 = 600_000;

/// Maximum number of remembered departures of one VM; those that expire first are evicted.
pub const MAX_DEPARTURES: usize = 16;

/// An upstream that drains or has left.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Departure {
    /// Instance id of the upstream.
    pub instance: InstanceId,
    /// Latest departed incarnation of it.
    pub until: Incarnation,
    /// Time at which the departure is forgotten.
    pub expires: UnixMillis,
}

/// Departures of the upstreams of one VM, ordered by instance, one for each.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Departures(Vec<Departure>);

impl Departures {
    /// Records that the incarnations of `instance` up to `until` have left; returns whether that is news.
    pub fn record(&mut self, instance: &InstanceId, until: Incarnation, now: UnixMillis) -> bool {
        self.insert(Departure {
            instance: instance.clone(),
            until,
            expires: latest_expiry(now),
        })
    }

    /// Adds the departures of `others`; returns whether one of them is news.
    pub fn merge(&mut self, others: &Self, now: UnixMillis) -> bool {
        let mut changed = false;
        for departure in others.iter().filter(|departure| departure.expires > now) {
            changed |= self.insert(Departure {
                // A daemon whose clock is ahead does not prolong it.
                expires: departure.expires.min(latest_expiry(now)),
                ..departure.clone()
            });
        }
        changed
    }

    /// Returns whether the incarnation `start` of `instance` has left.
    pub fn cover(&self, instance: Option<&InstanceId>, start: Incarnation) -> bool {
        self.0
            .iter()
            .any(|known| Some(&known.instance) == instance && start <= known.until)
    }

    /// Removes the departures that have expired.
    pub fn evict(&mut self, now: UnixMillis) {
        self.0.retain(|departure| departure.expires > now);
    }

    /// Returns the departures in order.
    pub fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.0.iter()
    }

    fn insert(&mut self, departure: Departure) -> bool {
        let place = self
            .0
            .binary_search_by(|known| known.instance.cmp(&departure.instance));
        match place {
            Ok(known) if self.0[known].until >= departure.until => return false,
            Ok(known) => self.0[known] = departure,
            Err(place) => self.0.insert(place, departure),
        }
        if self.0.len() > MAX_DEPARTURES {
            let expiries = self.0.iter().map(|known| known.expires).enumerate();
            if let Some((first, _)) = expiries.min_by_key(|(_, expires)| *expires) {
                self.0.remove(first);
            }
        }
        true
    }
}

impl FromIterator<Departure> for Departures {
    fn from_iter<T: IntoIterator<Item = Departure>>(departures: T) -> Self {
        let mut all = Self::default();
        for departure in departures {
            all.insert(departure);
        }
        all
    }
}

fn latest_expiry(now: UnixMillis) -> UnixMillis {
    UnixMillis::new(now.get().saturating_add(DEPARTURE_TTL_MS))
}
