//! Digests of the membership, which two daemons compare to find differing records.

use model::{Digest, VmId};

use crate::Record;

/// Number of buckets that records are hashed into.
const BUCKET_COUNT: usize = 256;

/// Index of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BucketIndex(u8);

impl BucketIndex {
    /// Returns the bucket at `index`, or `None` if it is out of range.
    pub fn new(index: u32) -> Option<Self> {
        u8::try_from(index).ok().map(Self)
    }

    /// Returns the bucket that holds the record of `vm`.
    pub fn of(vm: &VmId) -> Self {
        Self(Digest::of(vm.as_str().as_bytes()).as_bytes()[0])
    }

    /// Returns the index as a number.
    pub fn get(self) -> u32 {
        u32::from(self.0)
    }
}

/// Digests of the live records, one per bucket.
///
/// Records of daemons that have left or expired are excluded, so that daemons may drop them at
/// different times.
#[derive(Debug, Clone, PartialEq)]
pub struct Buckets(Vec<u64>);

impl Default for Buckets {
    fn default() -> Self {
        Self(vec![0; BUCKET_COUNT])
    }
}

impl Buckets {
    /// Creates buckets from received digests, or `None` if their number is wrong.
    pub fn from_wire(digests: Vec<u64>) -> Option<Self> {
        (digests.len() == BUCKET_COUNT).then_some(Self(digests))
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
        digest_prefix(&bytes)
    }

    /// Returns the buckets in which `other` differs.
    pub fn differing(&self, other: &Self) -> Vec<BucketIndex> {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        let differing = pairs.filter(|(_, (own, other))| own != other);
        differing.map(|(i, _)| BucketIndex(i as u8)).collect()
    }

    /// Adds a record, or removes it if it was added before (XOR).
    pub(crate) fn toggle(&mut self, record: &Record) {
        if !record.is_alive() {
            return;
        }
        let text = format!("{} {} {}", record.vm, record.incarnation, record.counter);
        let BucketIndex(index) = BucketIndex::of(&record.vm);
        self.0[usize::from(index)] ^= digest_prefix(text.as_bytes());
    }
}

/// Returns the first 8 bytes of the digest of `content` as a number.
fn digest_prefix(content: &[u8]) -> u64 {
    let digest = Digest::of(content);
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
