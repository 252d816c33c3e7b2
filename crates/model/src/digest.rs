//! Content digests.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// A BLAKE3 digest of 32 bytes, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Placeholder digest: the parent of the first change.
    pub const ZERO: Self = Self([0; 32]);

    /// Returns the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(blake3::hash(content).into())
    }

    /// Returns the digest as bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Creates a digest from 32 bytes; `None` for any other length.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl FromStr for Digest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, blake3::HexError> {
        blake3::Hash::from_hex(text).map(|hash| Self(hash.into()))
    }
}
