//! Digests of the membership, by which two daemons find where theirs differ.

use model::{Digest, VmId};

use crate::Record;

/// Number of buckets that the records are spread over.
const BUCKETS: usize = 256;

/// Position of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BucketIndex(u8);

impl BucketIndex {
    /// Returns the bucket at `index`, if there is one.
    pub fn new(index: u32) -> Option<Self> {
        u8::try_from(index).ok().map(Self)
    }

    /// Returns the bucket that holds the record of `vm`.
    pub fn of(vm: &VmId) -> Self {
        Self(Digest::of(vm.as_str().as_bytes()).as_bytes()[0])
    }

    /// Returns the position.
    pub fn get(self) -> u32 {
        u32::from(self.0)
    }
}

/// Digests of the live records, one for each bucket.
///
/// Records that have left or expired are not counted, so that daemons may forget them at
/// different times.
#[derive(Debug, Clone, PartialEq)]
pub struct Buckets(Vec<u64>);

impl Default for Buckets {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl Buckets {
    /// Returns the digests as they came over the wire.
    pub fn from_wire(digests: Vec<u64>) -> Option<Self> {
        (digests.len() == BUCKETS).then_some(Self(digests))
    }

    /// Returns the digests.
    pub fn as_slice(&self) -> &[u64] {
        &self.0
    }

    /// Returns a digest of all buckets.
    pub fn root(&self) -> u64 {
        let bytes: Vec<u8> = self
            .0
            .iter()
            .flat_map(|digest| digest.to_le_bytes())
            .collect();
        short(&bytes)
    }

    /// Returns the buckets in which `other` differs.
    pub fn differing(&self, other: &Self) -> Vec<BucketIndex> {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        let differing = pairs.filter(|(_, (own, other))| own != other);
        differing.map(|(i, _)| BucketIndex(i as u8)).collect()
    }

    /// Adds a record, or takes it out again.
    pub(crate) fn toggle(&mut self, record: &Record) {
        if !record.is_alive() {
            return;
        }
        let text = format!("{} {} {}", record.vm, record.incarnation, record.counter);
        let BucketIndex(index) = BucketIndex::of(&record.vm);
        self.0[usize::from(index)] ^= short(text.as_bytes());
    }
}

/// Returns the first bytes of the digest of `content` as a number.
fn short(content: &[u8]) -> u64 {
    let digest = Digest::of(content);
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
