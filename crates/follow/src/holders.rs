//! Decides which peers hold what this daemon must not forget, and when enough of them do.

use member::Record;
use model::{Digest, UnixMillis};

use crate::peers::may_be_running;

/// Peers that are asked at once to hold the local record, or for what they hold.
pub const HOLDERS: usize = 3;

/// Peers that must hold the local record if the store may not. Any two of [`HOLDERS`] that answer a daemon which starts
/// then include one that holds it.
pub const MIN_HOLDERS: usize = 2;

/// Returns the other daemons that may run, in the order in which they hold the record of `own`.
///
/// The order depends only on the ids of the VMs and on which daemons live, so a daemon that starts asks those that its
/// predecessor on the VM told. Daemons that ended lately go last: they have started again, or never answer.
pub fn holders<'a>(own: &Record, members: &'a [Record], now: UnixMillis) -> Vec<&'a Record> {
    let others = members.iter().filter(|record| record.vm != own.vm);
    let mut others: Vec<&Record> = others.filter(|other| may_be_running(other, now)).collect();
    others.sort_by_cached_key(|other| {
        let pair = format!("{} {}", own.vm, other.vm);
        (!other.is_alive(), *Digest::of(pair.as_bytes()).as_bytes())
    });
    others
}

/// Whether the store and peers may still answer in the time that they usually take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UsualTime {
    /// They may.
    Running,
    /// Those that have not answered are late.
    Over,
}

/// Where the local record is kept.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Copies {
    /// Whether the store has it.
    pub in_store: bool,
    /// Number of peers that have it.
    pub peers: usize,
    /// Number of peers that may run.
    pub known: usize,
}

impl Copies {
    /// Returns whether a daemon that starts on this VM will find the record.
    ///
    /// Designed for a daemon that is killed right after it has acknowledged something, while the store is silent, or
    /// falls silent before other daemons have read the record there.
    pub fn are_enough(self, time: UsualTime) -> bool {
        match (self.in_store, time) {
            (true, UsualTime::Running) => self.peers > 0,
            (true, UsualTime::Over) => true,
            (false, UsualTime::Running) => false,
            (false, UsualTime::Over) => self.known > 0 && self.peers >= MIN_HOLDERS.min(self.known),
        }
    }
}

/// What a daemon that has just started has learnt about its predecessors on the VM.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Inquiry {
    /// Whether the records in the store have been read, directly or through a relay.
    pub store_read: bool,
    /// Number of peers that may run.
    pub known: usize,
    /// Number of peers that have answered.
    pub answered: usize,
    /// Number of peers that have failed to answer in time.
    pub failed: usize,
    /// Number of peers that have been asked and may still answer.
    pub pending: usize,
}

impl Inquiry {
    /// Returns whether what the predecessors acknowledged is known.
    ///
    /// Designed for a daemon that starts while some of its peers do not respond: they are not waited for once enough others
    /// have answered, as the upstream is idle meanwhile.
    pub fn is_complete(self, time: UsualTime) -> bool {
        let is_answered = self.answered >= MIN_HOLDERS.min(self.known);
        let is_settled = self.pending == 0 || time == UsualTime::Over;
        match self.store_read {
            true => is_answered && is_settled || self.answered + self.failed >= self.known,
            false => self.known > 0 && is_answered && is_settled,
        }
    }
}
