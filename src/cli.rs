//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use model::{AcceptId, Version, VmId};

/// Configuration distribution for a service mesh.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub(crate) struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Exit codes, as the help shows them.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused, nothing was \
changed; 4 unknown whether it was accepted; 5 the daemon cannot be reached; 6 not in force \
everywhere in time.";

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a daemon.
    Daemon {
        /// Settings file, in TOML.
        #[arg(long, env = "SARDINESTALL_SETTINGS")]
        settings: PathBuf,
    },
    /// Checks a printed configuration without accepting it.
    Check {
        /// File to check; `-` reads standard input.
        file: PathBuf,
    },
    /// Accepts a printed configuration as the next version.
    Accept(AcceptArgs),
    /// Shows the configuration of a version.
    Show {
        /// Version; the newest when not given.
        version: Option<Version>,
        #[command(flatten)]
        remote: Remote,
    },
    /// Shows what differs between two versions.
    Diff {
        /// Older version.
        from: Version,
        /// Newer version.
        to: Version,
        #[command(flatten)]
        remote: Remote,
    },
    /// Shows the audit trail, newest first.
    Log {
        /// Entries to show.
        #[arg(long, default_value_t = 20)]
        limit: usize,
        #[command(flatten)]
        remote: Remote,
    },
    /// Accepts the content of an old version as a new one.
    Rollback {
        /// Version whose content to accept.
        version: Version,
        /// Reason for the audit trail.
        #[arg(long)]
        reason: Option<String>,
        /// Id that settles a lost answer; a new one when not given.
        #[arg(long)]
        accept_id: Option<AcceptId>,
        #[command(flatten)]
        remote: Remote,
    },
    /// Shows which versions are in force on how many daemons.
    Status {
        #[command(flatten)]
        remote: Remote,
    },
    /// Drains the upstream on a VM.
    Drain {
        /// VM of the upstream.
        upstream: VmId,
        #[command(flatten)]
        remote: Remote,
    },
    /// Prints the hash of the token read from standard input, for the settings.
    Token,
    /// Runs everything in one process, with the example of Brno.
    #[cfg(feature = "demo")]
    Demo,
    /// Prints the completions of a shell.
    Completions {
        /// Shell.
        shell: Shell,
    },
    /// Prints the manual page.
    Man,
}

/// Arguments of `accept`.
#[derive(Debug, Args)]
pub(crate) struct AcceptArgs {
    /// File to accept; `-` reads standard input.
    pub(crate) file: PathBuf,
    /// Reason for the audit trail.
    #[arg(long, default_value = "")]
    pub(crate) reason: String,
    /// Waits until every daemon serves the version.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Id that settles a lost answer; a new one when not given.
    #[arg(long)]
    pub(crate) accept_id: Option<AcceptId>,
    #[command(flatten)]
    pub(crate) remote: Remote,
}

/// Which daemon to ask, and how to print its answer.
#[derive(Debug, Args)]
pub(crate) struct Remote {
    /// Administration address of any daemon.
    #[arg(long, env = "SARDINESTALL_ADMIN", default_value = "127.0.0.1:7403")]
    pub(crate) admin: SocketAddr,
    /// Prints JSON.
    #[arg(long)]
    pub(crate) json: bool,
}
