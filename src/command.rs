//! Executes a command of the command line.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use admin::{Client, ClientError, Status, TokenHash};
use clap::CommandFactory;
use clap_mangen::Man;
use daemon::{Addresses, Daemon, DirectDaemon, Settings, StoreProtocol};
use model::{AcceptId, Secret, State, Version};
use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep};

use crate::cli::{AcceptArgs, Cli, Command, Remote, RollbackArgs};
use crate::error::Error;
use crate::output::Output;
use crate::signals::{SignalAction, Signals};
use crate::{describe, logging};

/// Interval between polls of the fleet's status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "SARDINESTALL_TOKEN";

/// Executes the command in `cli`.
pub(crate) async fn run(cli: Cli) -> Result<(), Error> {
    let output = Output { json: cli.json };
    match cli.command {
        Command::Daemon { settings } => run_daemon(&settings).await,
        Command::Check { file, admin } => check(&file, admin, output).await,
        Command::Accept(args) => accept(args, output).await,
        Command::Show { version, remote } => {
            let shown = client(&remote)?.show(version).await?;
            // Always JSON, the format that `accept` reads.
            Output { json: false }.print(&shown.config, |config| {
                serde_json::to_string_pretty(config).unwrap_or_default()
            })
        }
        Command::Diff { from, to, remote } => {
            let diff = client(&remote)?.diff(from, to).await?;
            output.print(&diff, describe::diff)
        }
        Command::Log { limit, remote } => {
            let entries = client(&remote)?.log(limit).await?;
            output.print(&entries, |entries| describe::log(entries))
        }
        Command::Rollback(args) => rollback(args, output).await,
        Command::Status { remote } => {
            let status = client(&remote)?.status().await?;
            output.print(&status, describe::status)
        }
        Command::Drain { upstream, remote } => {
            client(&remote)?.drain(&upstream).await?;
            output.print(&upstream, |vm| format!("upstream on VM {vm} drains"))
        }
        Command::Settings => {
            print!("{}", Settings::COMMENTED);
            Ok(())
        }
        Command::Token => token(output),
        #[cfg(feature = "demo")]
        Command::Demo => crate::demo::run().await,
        Command::Completions { shell } => {
            let mut command = Cli::command();
            clap_complete::generate(shell, &mut command, "sardinestall", &mut io::stdout());
            Ok(())
        }
        Command::Man { command, dir } => man(command.as_deref(), dir.as_deref()),
    }
}

async fn run_daemon(path: &Path) -> Result<(), Error> {
    let mut signals = Signals::open()?;
    let settings = Settings::read(path)?;
    let log = logging::open(&settings.log);
    match settings.store.protocol {
        StoreProtocol::Grpc => {
            let daemon = tokio::select! {
                daemon = Daemon::spawn(settings, log) => daemon,
                () = signals.wait_stop() => return Ok(()),
            };
            let daemon = daemon.map_err(|error| Error::Spawn(path.into(), error))?;
            announce_ready(daemon.addresses())?;
            signals.wait_stop().await;
            daemon.stop().await;
        }
        StoreProtocol::Platform => {
            let adapters = platform::adapters(&settings);
            let daemon = DirectDaemon::spawn(settings, adapters, log.clone()).await;
            let daemon = daemon.map_err(|error| Error::Spawn(path.into(), error))?;
            announce_ready(daemon.addresses())?;
            while signals.next_action().await == SignalAction::CheckSettings {
                check_settings(path, &log);
            }
            daemon.stop().await;
        }
    }
    Ok(())
}

/// Prints the addresses on which a daemon listens.
fn announce_ready(addresses: Addresses) -> io::Result<()> {
    let mut stdout = io::stdout();
    writeln!(
        stdout,
        "ready {{\"caller\":\"{}\",\"gate\":\"{}\",\"fleet\":\"{}\",\"admin\":\"{}\",\"announce\":\"{}\"}}",
        addresses.caller, addresses.gate, addresses.fleet, addresses.admin, addresses.announce
    )?;
    stdout.flush()
}

/// Checks changed settings and logs the result. The running daemon keeps the settings with which
/// it was started.
fn check_settings(path: &Path, log: &Logger) {
    match Settings::read(path) {
        Ok(_) => {
            info!(log, "settings read again"; "outcome" => "valid, in force from the next start")
        }
        Err(error) => warn!(log, "settings read again"; "outcome" => "refused", "reason" => %error),
    }
}

async fn check(file: &Path, admin: Option<SocketAddr>, output: Output) -> Result<(), Error> {
    let bytes = read(file)?;
    let changed = match admin {
        Some(admin) => Client::open(admin, None).check(bytes).await?.changed,
        None => {
            let config = model::parse(&bytes).map_err(Error::Problems)?;
            ledger::check(&config, &State::empty()).map_err(|error| match error {
                ledger::Error::Invalid(problems) => Error::Problems(problems),
                error => Error::Check(error),
            })?
        }
    };
    output.print(&admin::CheckReply { changed }, |_| "no problems".into())
}

async fn accept(args: AcceptArgs, output: Output) -> Result<(), Error> {
    let config = read(&args.file)?;
    let id = args.accept_id.unwrap_or_else(new_accept_id);
    let client = client(&args.remote)?;
    let accepted = client.accept(config, &id, &args.reason).await;
    let accepted = accepted.map_err(|error| with_accept_id(error, &id))?;
    output.print(&accepted, describe::accepted)?;
    if args.wait {
        wait_converged(&client, accepted.version, args.wait_limit.duration()).await?;
    }
    Ok(())
}

async fn rollback(args: RollbackArgs, output: Output) -> Result<(), Error> {
    let id = args.accept_id.unwrap_or_else(new_accept_id);
    let reason = args
        .reason
        .unwrap_or_else(|| format!("rollback to version {}", args.version));
    let client = client(&args.remote)?;
    let accepted = client
        .rollback(args.version, &id, &reason, args.team.as_ref())
        .await;
    let accepted = accepted.map_err(|error| with_accept_id(error, &id))?;
    output.print(&accepted, describe::accepted)
}

/// Adds the accept id to the error if the response to an accept was lost.
fn with_accept_id(error: ClientError, id: &AcceptId) -> Error {
    match error {
        ClientError::ResponseLost(..) => Error::OutcomeUnknown(id.clone(), error),
        error => error.into(),
    }
}

/// Waits until every daemon serves `version` or a later one, or fails after `limit`.
pub(crate) async fn wait_converged(
    client: &Client,
    version: Version,
    limit: Duration,
) -> Result<(), Error> {
    let deadline = Instant::now() + limit;
    loop {
        let status: Status = client.status().await?;
        if status.is_converged(version) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let lag = describe::lag(&status, version);
            return Err(Error::NotConverged { version, lag });
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn token(output: Output) -> Result<(), Error> {
    let mut token = String::new();
    io::stdin().read_line(&mut token)?;
    let token = token.trim_end();
    if token.is_empty() {
        return Err(Error::EmptyToken);
    }
    output.print(&TokenHash::of(token).to_string(), String::clone)
}

fn man(name: Option<&str>, dir: Option<&Path>) -> Result<(), Error> {
    let mut command = Cli::command();
    if let Some(dir) = dir {
        return Ok(clap_mangen::generate_to(command, dir)?);
    }
    command.build();
    let page = match name {
        None => command,
        Some(name) => command
            .find_subcommand(name)
            .cloned()
            .ok_or_else(|| Error::UnknownCommand(name.into()))?,
    };
    Ok(Man::new(page).render(&mut io::stdout())?)
}

fn read(file: &Path) -> Result<Vec<u8>, Error> {
    if file == Path::new("-") {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes)?;
        return Ok(bytes);
    }
    std::fs::read(file).map_err(|error| Error::Read(file.into(), error))
}

fn client(remote: &Remote) -> Result<Client, Error> {
    let token = match &remote.token_file {
        Some(file) => Some(String::from_utf8_lossy(&read(file)?).trim().to_owned()),
        None => std::env::var(TOKEN_VARIABLE).ok(),
    };
    Ok(Client::open(remote.admin, token.map(Secret::new)))
}

/// Returns a new accept id.
///
/// # Panics
///
/// Never: hexadecimal digits make a valid id.
pub(crate) fn new_accept_id() -> AcceptId {
    let id: u128 = rand::rng().random();
    format!("{id:032x}")
        .parse()
        .expect("hexadecimal digits make a valid id")
}
