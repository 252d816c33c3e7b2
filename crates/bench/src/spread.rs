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
    /// Accepts per second on one head.
    Accepts(accepts::Args),
    /// Memory, processor time and traffic of one daemon that holds the full-size state.
    Fullsize(fullsize::Args),
    /// Time from an accept until every daemon serves the version.
    Converge(converge::Args),
    /// Upstreams that are drained, stopped and replaced.
    Churn(churn::Args),
    /// Restart of all daemons but one at once.
    Herd(herd::Args),
    /// Store outage with restarts of daemons.
    Outage(outage::Args),
    /// Encoded sizes of membership records and of the whole configuration.
    Sizes(sizes::Args),
}

/// Runs the benchmark that `command` selects.
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
