//! Benchmarks on real daemons, and replays of seeded loads on simulated time:
//! `cargo run --release -p bench -- NAME`.
//!
//! Build the programs first with `cargo build --release --workspace`. Each result is one line of
//! JSON on standard output.

mod call;
mod loads;
mod report;
mod spread;

use clap::{Parser, Subcommand};

/// Benchmarks on real daemons, and replays of seeded loads on simulated time.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    #[command(flatten)]
    Spread(spread::Command),
    #[command(flatten)]
    Call(call::Command),
    /// Replays seeded loads against the decisions of the call path, on simulated time.
    Loads(loads::LoadsArgs),
}

#[tokio::main]
async fn main() -> Result<(), harness::Error> {
    match Cli::parse().command {
        Command::Spread(command) => spread::run(command).await,
        Command::Call(command) => call::run(command).await,
        Command::Loads(args) => {
            loads::run(&args);
            Ok(())
        }
    }
}
