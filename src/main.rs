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
use tokio::runtime::Builder;

use crate::cli::Cli;

/// Threads that a process works with: a daemon is a small neighbour of its upstream.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardinestall: {error}");
            error.exit_code()
        }
    }
}

fn run() -> Result<(), error::Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(command::run(Cli::parse()))
}
