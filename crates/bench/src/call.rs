//! Benchmarks of the call path.

mod calls;

use clap::Subcommand;
use harness::Error;

/// Benchmarks of the call path.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Latency added to calls.
    Calls(calls::Args),
}

/// Runs one benchmark.
pub(crate) async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Calls(args) => calls::run(args).await,
    }
}
