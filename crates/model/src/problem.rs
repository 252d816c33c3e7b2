//! Problems of a configuration and their places.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A reason to refuse a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Place in the file, such as `routes[3].to[0].pool`, or `route/proofs` in an accepted state.
    pub place: String,
    /// Description of the problem.
    pub message: String,
    /// Suggested correction.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem at `place`.
    pub fn new(
        place: impl Into<String>,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            place: place.into(),
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.message, self.remedy)
    }
}

/// All problems of one configuration; never empty when used as an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}
