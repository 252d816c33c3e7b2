//! What is wrong with a configuration, and where.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One reason to refuse a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Place in the file, such as `routes[3].to[0].pool`, or `route/proofs` in an accepted state.
    pub place: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl Problem {
    /// Describes a problem at `place`.
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

/// Every problem found in one configuration, never empty when used as an error.
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
