//! Printing answers, for people or for programs.

use std::io::{self, Write};

use serde::Serialize;

use crate::error::Error;

/// Form of the answers on standard output.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Output {
    /// Whether answers are JSON, one value a line.
    pub(crate) json: bool,
}

impl Output {
    /// Prints `answer` as JSON if asked to, and as `text` otherwise.
    pub(crate) fn print<T: Serialize>(
        self,
        answer: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), Error> {
        let line = if self.json {
            serde_json::to_string(answer)?
        } else {
            text(answer)
        };
        Ok(writeln!(io::stdout(), "{line}")?)
    }
}
