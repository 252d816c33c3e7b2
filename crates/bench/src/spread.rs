//! Benchmarks of distribution and membership.

mod converge;

use clap::Subcommand;
use harness::Error;

/// Benchmarks of distribution and membership.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Time from an accept until every daemon serves it.
    Converge(converge::Args),
}

/// Runs one benchmark.
pub(crate) async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Converge(args) => converge::run(args).await,
    }
}
