//! The `sardinestall` command: runs a daemon and executes operators' commands.

mod cli;
mod command;
#[cfg(feature = "demo")]
mod demo;
mod describe;
mod error;
mod logging;
mod output;
mod signals;
mod throttle;

use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::Builder;

use crate::cli::Cli;

/// Allocator that returns memory to the operating system after a burst of changes or a cold start.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// Worker threads of the runtime: few, as a daemon shares its VM with an upstream.
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
