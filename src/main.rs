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

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let json = cli.json;
    match command::run(cli).await {
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
