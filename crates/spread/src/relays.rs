//! List of the fleet's relays, as last read from the store.

use std::collections::{BTreeMap, BTreeSet};

use model::DomainName;
use store::Revision;
use wire::fleet;

/// Prefix of the relays' store keys.
pub(crate) const PREFIX: &str = "relay/";

/// Relay of a failure domain.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Relay {
    pub(crate) domain: DomainName,
    /// Fleet address.
    pub(crate) address: String,
}

/// Relays of the fleet at one revision of the store. Revision 0 means that the list is unknown.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Relays {
    pub(crate) revision: Revision,
    pub(crate) list: Vec<Relay>,
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            revision: Revision::ZERO,
            list: Vec::new(),
        }
    }
}

impl Relays {
    /// Parses the store entries of the relays, which map keys to fleet addresses.
    pub(crate) fn new(revision: Revision, entries: &BTreeMap<String, String>) -> Self {
        let list = entries.iter().filter_map(|(key, address)| {
            let (domain, _slot) = key.strip_prefix(PREFIX)?.rsplit_once('/')?;
            Some(Relay {
                domain: domain.parse().ok()?,
                address: address.clone(),
            })
        });
        Self {
            revision,
            list: list.collect(),
        }
    }

    /// Returns the addresses of the relays in `domain`.
    pub(crate) fn inside(&self, domain: &DomainName) -> Vec<String> {
        let inside = self.list.iter().filter(|relay| relay.domain == *domain);
        inside.map(|relay| relay.address.clone()).collect()
    }

    /// Returns the addresses of the relays in failure domains other than `domain`.
    pub(crate) fn outside(&self, domain: &DomainName) -> Vec<String> {
        let outside = self.list.iter().filter(|relay| relay.domain != *domain);
        outside.map(|relay| relay.address.clone()).collect()
    }

    /// Returns the failure domains that have at least one relay.
    pub(crate) fn domains(&self) -> BTreeSet<DomainName> {
        self.list.iter().map(|relay| relay.domain.clone()).collect()
    }

    pub(crate) fn from_wire(relays: fleet::Relays) -> Self {
        let list = relays.relays.into_iter().filter_map(|relay| {
            Some(Relay {
                domain: relay.domain.parse().ok()?,
                address: relay.address,
            })
        });
        Self {
            revision: Revision::new(relays.revision),
            list: list.collect(),
        }
    }

    pub(crate) fn to_wire(&self) -> fleet::Relays {
        let relays = self.list.iter().map(|relay| fleet::Relay {
            domain: relay.domain.to_string(),
            address: relay.address.clone(),
        });
        fleet::Relays {
            revision: self.revision.number,
            relays: relays.collect(),
        }
    }
}
