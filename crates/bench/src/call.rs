//! Benchmarks of the call path.

mod calls;
mod drain;
mod grey;
mod load;
mod overload;
mod testbed;

use clap::Subcommand;
use harness::Error;

/// Benchmarks of the call path.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Latency that the call path adds.
    Calls(calls::Args),
    /// Goodput and refusals above the capacity.
    Overload(overload::Args),
    /// Upstreams that announce themselves as ready but are slow, fail or refuse calls.
    Grey(grey::Args),
    /// Rolling replacement of all upstreams and daemons under load.
    Drain(drain::Args),
}

/// Runs the benchmark that `command` selects.
pub(crate) async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Calls(args) => calls::run(args).await,
        Command::Overload(args) => overload::run(args).await,
        Command::Grey(args) => grey::run(args).await,
        Command::Drain(args) => drain::run(args).await,
    }
}
