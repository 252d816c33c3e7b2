//! Quantities with their units.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Error for a text that is not a valid quantity.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("`{text}` is not a valid {what}: write {remedy}")]
pub struct UnitError {
    text: String,
    what: &'static str,
    remedy: &'static str,
}

/// Parses a number followed by one of `units`, which are pairs of a name and its factor.
fn parse_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(end);
    let count: u64 = digits.parse().ok()?;
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    count.checked_mul(*factor)
}

/// Formats `count` in the largest of `units` that divides it.
fn write_unit(f: &mut fmt::Formatter<'_>, count: u64, units: &[(&str, u64)]) -> fmt::Result {
    let largest = units
        .iter()
        .rev()
        .find(|(_, factor)| count >= *factor && count.is_multiple_of(*factor));
    let (name, factor) = largest.unwrap_or(&units[0]);
    write!(f, "{}{name}", count / factor)
}

/// Time units and their factors in milliseconds.
const TIME_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Size units and their factors in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20)];

/// A duration with millisecond resolution, written as `250ms`, `2s`, `5m` or `1h`.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
    JsonSchema,
)]
#[schemars(transparent)]
pub struct Millis(#[schemars(with = "String", regex(pattern = "^[0-9]+(ms|s|m|h)$"))] u64);

impl Millis {
    /// Creates a duration of `millis` milliseconds.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the duration in milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Converts to a standard [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unit(f, self.0, TIME_UNITS)
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_unit(text, TIME_UNITS)
            .map(Self)
            .ok_or_else(|| UnitError {
                text: text.into(),
                what: "time",
                remedy: "a whole number with a unit, such as `250ms`, `2s`, `5m` or `1h`",
            })
    }
}

/// A size in bytes, written as `512B`, `64KiB` or `1MiB`.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    SerializeDisplay,
    DeserializeFromStr,
    JsonSchema,
)]
#[schemars(transparent)]
pub struct Size(#[schemars(with = "String", regex(pattern = "^[0-9]+(B|KiB|MiB)$"))] u64);

impl Size {
    /// Creates a size of `bytes` bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the size in bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unit(f, self.0, SIZE_UNITS)
    }
}

impl FromStr for Size {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_unit(text, SIZE_UNITS)
            .map(Self)
            .ok_or_else(|| UnitError {
                text: text.into(),
                what: "size",
                remedy: "a whole number with a unit, such as `512B`, `64KiB` or `1MiB`",
            })
    }
}

/// A transfer rate in bits per second, written as `5Mbit`.
#[derive(Debug, Clone, Copy, PartialEq, SerializeDisplay, DeserializeFromStr)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate of `bits` per second; `None` for zero.
    pub fn from_bits(bits: u64) -> Option<Self> {
        (bits > 0).then_some(Self(bits as f64))
    }

    /// Returns the rate in bits per second.
    pub fn bits(self) -> u64 {
        self.0 as u64
    }

    /// Returns the time that a transfer of `size` takes.
    pub fn time(self, size: Size) -> Duration {
        Duration::from_secs_f64(size.get() as f64 * 8.0 / self.0)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit", self.0 / 1e6)
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let mega = text
            .strip_suffix("Mbit")
            .and_then(|number| number.parse::<f64>().ok());
        let valid = mega.filter(|mega| mega.is_finite() && *mega > 0.0);
        valid.map(|mega| Self(mega * 1e6)).ok_or_else(|| UnitError {
            text: text.into(),
            what: "rate",
            remedy: "a number above 0 with its unit, such as `5Mbit` or `1000Mbit`",
        })
    }
}

/// A rate of calls, in calls per second, written as a decimal number.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct CallRate(f64);

impl CallRate {
    /// Returns the number of calls per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the time between two calls; the longest duration at a rate of zero.
    pub fn interval(self) -> Duration {
        Duration::try_from_secs_f64(self.0.recip()).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for CallRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number: Option<f64> = text.trim().parse().ok();
        let rate = number.filter(|rate| rate.is_finite() && *rate >= 0.0);
        rate.map(Self).ok_or_else(|| UnitError {
            text: text.into(),
            what: "rate of calls",
            remedy: "a decimal number of calls per second, such as `12.5`",
        })
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $type:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $type($repr);

        impl $type {
            /// Creates the value from a plain number.
            pub const fn new(number: $repr) -> Self {
                Self(number)
            }

            /// Returns the value as a plain number.
            pub const fn get(self) -> $repr {
                self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

number!(
    /// Number of a configuration version. Zero means that none was accepted yet.
    Version,
    u64
);
number!(
    /// Incarnation number of a daemon process, in milliseconds since the Unix epoch; a later
    /// incarnation has a higher number.
    Incarnation,
    u64
);
number!(
    /// A wall-clock time, in milliseconds since the Unix epoch.
    UnixMillis,
    u64
);
number!(
    /// Relative share of a route's calls that one target receives.
    Weight,
    u32
);

impl Version {
    /// Returns the version that follows this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl UnixMillis {
    /// Returns the current time of the system clock.
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self(since.map_or(0, |elapsed| elapsed.as_millis() as u64))
    }
}
