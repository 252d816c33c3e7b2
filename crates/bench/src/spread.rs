//! Benchmarks of distribution and membership.

mod accepts;
mod baseline;
mod churn;
mod converge;
mod design;
mod fullsize;
mod fullsize_parent;
mod fullsize_usage;
mod herd;
mod outage;
mod probe;
mod sizes;
mod testbed;
mod workload;

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
    /// Upstreams that start, drain and stop.
    Churn(churn::Args),
    /// All daemons but one restarted at once.
    Herd(herd::Args),
    /// The store out for the whole run.
    Outage(outage::Args),
    /// Bytes of records and whole states on the wire.
    Sizes(sizes::Args),
}

/// Runs one benchmark.
pub(crate) async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Accepts(args) => accepts::run(args).await,
        Command::Fullsize(args) => fullsize::run(args).await,
        Command::Converge(args) => converge::run(args).await,
        Command::Churn(args) => churn::run(args).await,
        Command::Herd(args) => herd::run(args).await,
        Command::Outage(args) => outage::run(args).await,
        Command::Sizes(args) => sizes::run(args),
    }
}
