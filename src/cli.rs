//! Arguments of the command line.

use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use model::{AcceptId, Millis, TeamName, Version, VmId};

/// Configuration distribution for a service mesh.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub(crate) struct Cli {
    /// Prints results on standard output and errors on standard error as JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// Command to execute.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Exit codes that the help lists.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused, nothing was \
changed; 4 unknown whether it was accepted; 5 the daemon cannot be reached; 6 accepted, but not \
in force everywhere in time.";

/// Commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a daemon until it receives an interrupt or termination signal.
    Daemon {
        /// Settings file, in TOML.
        #[arg(long, env = "SARDINESTALL_SETTINGS")]
        settings: PathBuf,
    },
    /// Checks a configuration file without accepting it.
    Check {
        /// File to check; `-` reads standard input.
        file: PathBuf,
        /// Administration address of a daemon, which checks against the newest version; checked
        /// locally when not given.
        #[arg(long, value_parser = parse_admin_address)]
        admin: Option<SocketAddr>,
    },
    /// Accepts a configuration file as the next version.
    Accept(AcceptArgs),
    /// Shows the configuration of a version.
    Show {
        /// Version; the newest when not given.
        version: Option<Version>,
        #[command(flatten)]
        remote: Remote,
    },
    /// Shows the differences between two versions, field by field.
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
        /// Maximum number of entries to show.
        #[arg(long, default_value_t = 20)]
        limit: usize,
        #[command(flatten)]
        remote: Remote,
    },
    /// Accepts the content of an old version as a new one.
    Rollback(RollbackArgs),
    /// Shows how many daemons serve each version, and which daemons lag.
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
    /// Prints every setting of a daemon with its default and description.
    Settings,
    /// Prints the hash of the token read from standard input, for the settings.
    Token,
    /// Runs a demo fleet in one process, with the Brno example configuration.
    #[cfg(feature = "demo")]
    Demo,
    /// Prints the completion script of a shell.
    Completions {
        /// Shell to print the script for.
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
    /// Maximum time to wait for every daemon.
    #[arg(long, default_value = "30s")]
    pub(crate) wait_limit: Millis,
    /// Id under which the command can be repeated after a lost response; a new one when not given.
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
    /// Team whose items alone are rolled back; all items that differ when not given.
    #[arg(long)]
    pub(crate) team: Option<TeamName>,
    /// Reason for the audit trail.
    #[arg(long)]
    pub(crate) reason: Option<String>,
    /// Id under which the command can be repeated after a lost response; a new one when not given.
    #[arg(long)]
    pub(crate) accept_id: Option<AcceptId>,
    #[command(flatten)]
    pub(crate) remote: Remote,
}

/// Daemon to contact and the operator's credentials.
#[derive(Debug, Args)]
pub(crate) struct Remote {
    /// Administration address of any daemon.
    #[arg(
        long,
        env = "SARDINESTALL_ADMIN",
        default_value = "127.0.0.1:7403",
        value_parser = parse_admin_address
    )]
    pub(crate) admin: SocketAddr,
    /// File that holds the operator's token; the variable SARDINESTALL_TOKEN when not given.
    #[arg(long, env = "SARDINESTALL_TOKEN_FILE")]
    pub(crate) token_file: Option<PathBuf>,
}

/// Parses an address with an optional `http://` prefix.
fn parse_admin_address(text: &str) -> Result<SocketAddr, AddrParseError> {
    let text = text.strip_prefix("http://").unwrap_or(text);
    text.trim_end_matches('/').parse()
}
