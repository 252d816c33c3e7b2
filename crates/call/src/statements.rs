//! What an upstream states in its responses about the calls that it takes.
//!
//! The gate beside the upstream sees every response and applies what they state. A gate that has just
//! started has seen none; it learns from the ingresses, which send back what the gate last reported.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Mutex;

use http::{HeaderMap, HeaderValue};
use model::{CallRate, Incarnation, InstanceId, VmId, lock};

use crate::backend::Announcement;
use crate::header::NOTICE;

/// Maximum number of VMs whose notices an ingress keeps; at the limit an arbitrary one is dropped.
const MAX_NOTICES: usize = 32_768;

/// What one incarnation of an upstream states, as daemons report it to each other.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Notice {
    instance: InstanceId,
    start: Incarnation,
    limit: Option<CallRate>,
    leaving: bool,
}

/// Error for a text that is not a notice.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("`{0}` is not a notice of an upstream; check that both daemons run one release")]
pub(crate) struct NoticeError(String);

impl Notice {
    /// Parses the notice in the headers of another daemon's request or response.
    pub(crate) fn of(headers: &HeaderMap) -> Option<Self> {
        headers.get(NOTICE)?.to_str().ok()?.parse().ok()
    }

    /// Returns whether the upstream takes calls without restriction.
    pub(crate) fn is_plain(&self) -> bool {
        self.limit.is_none() && !self.leaving
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.instance, self.start)?;
        match self.limit {
            Some(limit) => write!(f, " {limit}")?,
            None => write!(f, " -")?,
        }
        f.write_str(if self.leaving { " leaving" } else { " staying" })
    }
}

impl FromStr for Notice {
    type Err = NoticeError;

    fn from_str(text: &str) -> Result<Self, NoticeError> {
        let parse = || {
            let mut words = text.split(' ');
            let instance = words.next()?.parse().ok()?;
            let start = words.next()?.parse().ok()?;
            let limit = match words.next()? {
                "-" => None,
                limit => Some(limit.parse().ok()?),
            };
            let leaving = match words.next()? {
                "leaving" => true,
                "staying" => false,
                _ => return None,
            };
            let notice = Self {
                instance,
                start,
                limit,
                leaving,
            };
            words.next().is_none().then_some(notice)
        };
        parse().ok_or_else(|| NoticeError(text.into()))
    }
}

/// What the current incarnation of the upstream states.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    upstream: Option<Announcement>,
    /// Whether `limit` is from a response, rather than from notices of ingresses.
    confirmed: bool,
    limit: Option<CallRate>,
    /// Whether it leaves; an incarnation that leaves does not come back.
    leaving: bool,
}

impl Statements {
    /// Returns the limit in force.
    pub(crate) fn limit(&self) -> Option<CallRate> {
        self.limit
    }

    /// Returns whether `upstream` leaves.
    pub(crate) fn is_leaving(&self, upstream: &Announcement) -> bool {
        self.leaving && self.concerns(upstream)
    }

    /// Starts over if `upstream` is another incarnation than the last one.
    pub(crate) fn track(&mut self, upstream: &Announcement) {
        if !self.concerns(upstream) {
            *self = Self {
                upstream: Some(upstream.clone()),
                ..Self::default()
            };
        }
    }

    /// Records the limit that a response of `upstream` states, unless it is no longer the current incarnation.
    pub(crate) fn record_limit(&mut self, upstream: &Announcement, limit: Option<CallRate>) {
        if self.concerns(upstream) {
            self.confirmed = true;
            self.limit = limit;
        }
    }

    /// Records that a response of `upstream` states that it leaves, unless it is no longer the current incarnation.
    pub(crate) fn record_leaving(&mut self, upstream: &Announcement) {
        self.leaving |= self.concerns(upstream);
    }

    /// Records the notice of an ingress: that the upstream leaves and, until a response has been seen, its
    /// limit. Of several limits, the lowest counts.
    pub(crate) fn merge_notice(&mut self, notice: &Notice) {
        let current = self.notice();
        let concerned = current.is_some_and(|current| {
            current.instance == notice.instance && current.start == notice.start
        });
        if !concerned {
            return;
        }
        self.leaving |= notice.leaving;
        if self.confirmed {
            return;
        }
        self.limit = match (self.limit, notice.limit) {
            (Some(one), Some(other)) if one < other => Some(one),
            (one, other) => other.or(one),
        };
    }

    /// Returns the notice for other daemons, unless the upstream has no instance id.
    pub(crate) fn notice(&self) -> Option<Notice> {
        let upstream = self.upstream.as_ref()?;
        Some(Notice {
            instance: upstream.instance.clone()?,
            start: upstream.start,
            limit: self.limit,
            leaving: self.leaving,
        })
    }

    fn concerns(&self, upstream: &Announcement) -> bool {
        let current = self.upstream.as_ref();
        current.is_some_and(|current| current.is_same_incarnation(upstream))
    }
}

/// The notices of upstreams that restrict their calls, by VM, which an ingress sends along with its calls.
#[derive(Debug, Default)]
pub(crate) struct Notices(Mutex<HashMap<VmId, HeaderValue>>);

impl Notices {
    /// Records and removes the notice in a response of the gate on `vm`.
    pub(crate) fn receive(&self, vm: &VmId, headers: &mut HeaderMap) {
        let notice = Notice::of(headers);
        let (Some(value), Some(notice)) = (headers.remove(NOTICE), notice) else {
            return;
        };
        let mut notices = lock(&self.0);
        if notice.is_plain() {
            notices.remove(vm);
            return;
        }
        if notices.len() >= MAX_NOTICES
            && let Some(other) = notices.keys().next().cloned()
        {
            notices.remove(&other);
        }
        notices.insert(vm.clone(), value);
    }

    /// Adds the notice of the upstream on `vm` to a request to its gate.
    pub(crate) fn send(&self, vm: &VmId, headers: &mut HeaderMap) {
        if let Some(notice) = lock(&self.0).get(vm) {
            headers.insert(NOTICE, notice.clone());
        }
    }
}
