//! Benchmarks of the call path.

mod bed;
mod calls;
mod drain;
mod grey;
mod load;
mod overload;

use clap::Subcommand;
use harness::Error;

/// Benchmarks of the call path.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Latency added to calls.
    Calls(calls::Args),
    /// Goodput and refusals beyond the capacity.
    Overload(overload::Args),
    /// Upstreams that are slow, fail or refuse while they look healthy.
    Grey(grey::Args),
    /// Rolling replacement of all upstreams and daemons under load.
    Drain(drain::Args),
}

/// Runs one benchmark.
pub(crate) async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Calls(args) => calls::run(args).await,
        Command::Overload(args) => overload::run(args).await,
        Command::Grey(args) => grey::run(args).await,
        Command::Drain(args) => drain::run(args).await,
    }
}
