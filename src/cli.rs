//! The command line.

use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use model::{AcceptId, Millis, TeamName, Version, VmId};

/// Configuration distribution for a service mesh.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub(crate) struct Cli {
    /// Prints answers, and errors on standard error, as JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Exit codes, as the help shows them.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused, nothing was \
changed; 4 unknown whether it was accepted; 5 the daemon cannot be reached; 6 accepted, but not \
in force everywhere in time.";

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a daemon until it is interrupted or told to terminate.
    Daemon {
        /// Settings file, in TOML.
        #[arg(long, env = "SARDINESTALL_SETTINGS")]
        settings: PathBuf,
    },
    /// Checks a printed configuration without accepting it.
    Check {
        /// File to check; `-` reads standard input.
        file: PathBuf,
        /// Administration address of a daemon, to check on top of the newest version.
        #[arg(long, value_parser = admin_address)]
        admin: Option<SocketAddr>,
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
    /// Shows what differs between two versions, field by field.
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
    Rollback(RollbackArgs),
    /// Shows which versions are in force on how many daemons, and who lags.
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
    /// Prints every setting of a daemon with its default and its meaning.
    Settings,
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
    /// Prints the manual page of sardinestall, or of one of its commands.
    Man {
        /// Command to print the page of.
        command: Option<String>,
        /// Writes all pages into this directory instead.
        #[arg(long, conflicts_with = "command")]
        dir: Option<PathBuf>,
    },
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
    /// Longest wait for every daemon.
    #[arg(long, default_value = "30s")]
    pub(crate) wait_limit: Millis,
    /// Id that settles a lost answer; a new one when not given.
    #[arg(long)]
    pub(crate) accept_id: Option<AcceptId>,
    #[command(flatten)]
    pub(crate) remote: Remote,
}

/// Arguments of `rollback`.
#[derive(Debug, Args)]
pub(crate) struct RollbackArgs {
    /// Version whose content to accept.
    pub(crate) version: Version,
    /// Team whose parts alone to roll back; every part that differs when not given.
    #[arg(long)]
    pub(crate) team: Option<TeamName>,
    /// Reason for the audit trail.
    #[arg(long)]
    pub(crate) reason: Option<String>,
    /// Id that settles a lost answer; a new one when not given.
    #[arg(long)]
    pub(crate) accept_id: Option<AcceptId>,
    #[command(flatten)]
    pub(crate) remote: Remote,
}

/// Which daemon to ask, and as whom.
#[derive(Debug, Args)]
pub(crate) struct Remote {
    /// Administration address of any daemon.
    #[arg(
        long,
        env = "SARDINESTALL_ADMIN",
        default_value = "127.0.0.1:7403",
        value_parser = admin_address
    )]
    pub(crate) admin: SocketAddr,
    /// File that holds the operator's token; the variable SARDINESTALL_TOKEN when not given.
    #[arg(long, env = "SARDINESTALL_TOKEN_FILE")]
    pub(crate) token_file: Option<PathBuf>,
}

/// Reads an address with or without `http://` before it.
fn admin_address(text: &str) -> Result<SocketAddr, AddrParseError> {
    let text = text.strip_prefix("http://").unwrap_or(text);
    text.trim_end_matches('/').parse()
}
