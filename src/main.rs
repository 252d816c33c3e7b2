//! The `sardinestall` command: runs a daemon, and carries out what operators ask for.

mod cli;
mod command;
#[cfg(feature = "demo")]
mod demo;
mod error;
mod logging;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;

// More threads cost more wake-ups a call than they save: a daemon runs few calls at once.
#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    match command::run(Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardinestall: {error}");
            error.exit_code()
        }
    }
}
