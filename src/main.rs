//! The `sardinestall` command: runs a daemon, and carries out what operators ask for.

mod cli;
mod command;
#[cfg(feature = "demo")]
mod demo;
mod describe;
mod error;
mod interrupt;
mod logging;
mod output;
mod throttle;

use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::Builder;

use crate::cli::Cli;

/// Allocator that gives back what a burst of changes or a cold start took.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// Threads that a process works with: a daemon is a small neighbour of its upstream.
const WORKER_THREADS: usize = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let json = cli.json;
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if json {
                eprintln!("{}", error.to_json());
            } else {
                eprintln!("sardinestall: {error}");
            }
            error.exit_code()
        }
    }
}

fn run(cli: Cli) -> Result<(), error::Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(command::run(cli))
}
