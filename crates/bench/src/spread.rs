//! Benchmarks of distribution and membership.

mod accepts;
mod converge;
mod design;
mod fullsize;
mod fullsize_parent;
mod fullsize_usage;

use clap::Subcommand;
use harness::Error;

/// Benchmarks of distribution and membership.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Accepts a second that one head carries.
    Accepts(accepts::Args),
    /// Memory, processor time and bytes of one daemon that holds the full-size state.
    Fullsize(fullsize::Args),
    /// Time from an accept until every daemon serves it.
    Converge(converge::Args),
}

/// Runs one benchmark.
pub(crate) async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Accepts(args) => accepts::run(args).await,
        Command::Fullsize(args) => fullsize::run(args).await,
        Command::Converge(args) => converge::run(args).await,
    }
}
