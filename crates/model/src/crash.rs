//! Requests and the crashes of upstreams that they are held to have caused.

use std::fmt;
use std::str::FromStr;

use crate::UnixMillis;

/// Error for a text that is not an identifier in hexadecimal digits.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error(
    "`{0}` is not an identifier of a request or crash; check that both daemons run one release"
)]
pub struct CrashError(String);

/// Digest of what makes a request the same when it comes again, 128 bits, written in hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the digest of a request's `parts`. Neighbouring parts are kept apart by their lengths.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Self(u128::from_le_bytes(digest))
    }

    /// Creates a fingerprint from 16 bytes; `None` for any other length.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(u128::from_le_bytes).map(Self)
    }

    /// Returns the fingerprint as bytes.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_le_bytes()
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = CrashError;

    fn from_str(text: &str) -> Result<Self, CrashError> {
        let number = u128::from_str_radix(text, 16);
        number.map(Self).map_err(|_| CrashError(text.into()))
    }
}

/// Identifies the crash of one incarnation of an upstream, 64 bits, written in hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the identifier of the crash of an upstream that `parts` identify.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        Self(Fingerprint::of(parts).0 as u64)
    }

    /// Creates an identifier from its bits.
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the identifier's bits.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CrashId {
    type Err = CrashError;

    fn from_str(text: &str) -> Result<Self, CrashError> {
        let bits = u64::from_str_radix(text, 16);
        bits.map(Self).map_err(|_| CrashError(text.into()))
    }
}

/// How a request is involved in a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Involvement {
    /// It was in flight, and so may have caused the crash.
    InFlight,
    /// It is held to have caused the crash.
    Cause,
}

/// Report that a request was in flight when an upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashReport {
    /// The request.
    pub request: Fingerprint,
    /// The crash.
    pub crash: CrashId,
    /// Whether the request is held to have caused it.
    pub involvement: Involvement,
    /// Time at which the report expires.
    pub expires: UnixMillis,
}

impl fmt::Display for CrashReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let involvement = match self.involvement {
            Involvement::InFlight => "in-flight",
            Involvement::Cause => "cause",
        };
        let expires = self.expires.get();
        write!(f, "{}/{}/{involvement}/{expires}", self.request, self.crash)
    }
}

impl FromStr for CrashReport {
    type Err = CrashError;

    fn from_str(text: &str) -> Result<Self, CrashError> {
        let parse = || {
            let mut words = text.split('/');
            let report = Self {
                request: words.next()?.parse().ok()?,
                crash: words.next()?.parse().ok()?,
                involvement: match words.next()? {
                    "in-flight" => Involvement::InFlight,
                    "cause" => Involvement::Cause,
                    _ => return None,
                },
                expires: UnixMillis::new(words.next()?.parse().ok()?),
            };
            words.next().is_none().then_some(report)
        };
        parse().ok_or_else(|| CrashError(text.into()))
    }
}
