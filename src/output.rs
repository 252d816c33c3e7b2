//! Prints results as text or as JSON.

use std::io::{self, Write};

use serde::Serialize;

use crate::error::Error;

/// Output format of results on standard output.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Output {
    /// Whether results are printed as JSON, one value per line.
    pub(crate) json: bool,
}

impl Output {
    /// Prints `result` as JSON if `json` is set, and as `text` otherwise.
    pub(crate) fn print<T: Serialize>(
        self,
        result: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), Error> {
        let line = if self.json {
            serde_json::to_string(result)?
        } else {
            text(result)
        };
        Ok(writeln!(io::stdout(), "{line}")?)
    }
}
