//! Carries out one command.

use std::io::{self, Read, Write};
use std::path::Path;
use std::time::Duration;

use admin::{Client, TokenHash};
use clap::CommandFactory;
use daemon::{Daemon, Settings};
use model::{AcceptId, Secret, State, Version};
use rand::RngExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::cli::{AcceptArgs, Cli, Command, Remote};
use crate::error::Error;
use crate::{logging, output};

/// Longest wait until a version is in force everywhere.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at the fleet.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// Variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "SARDINESTALL_TOKEN";

/// Carries out `cli`'s command.
pub(crate) async fn run(cli: Cli) -> Result<(), Error> {
    match cli.command {
        Command::Daemon { settings } => run_daemon(&settings).await,
        Command::Check { file } => check(&file),
        Command::Accept(args) => accept(args).await,
        Command::Show { version, remote } => {
            let shown = client(&remote).show(version).await?;
            println!("{}", serde_json::to_string_pretty(&shown.config)?);
            Ok(())
        }
        Command::Diff { from, to, remote } => {
            let diff = client(&remote).diff(from, to).await?;
            output::print(&diff, remote.json, output::diff)
        }
        Command::Log { limit, remote } => {
            let entries = client(&remote).log(limit).await?;
            output::print(&entries, remote.json, |entries| output::log(entries))
        }
        Command::Rollback {
            version,
            reason,
            accept_id,
            remote,
        } => {
            let id = accept_id.unwrap_or_else(new_accept_id);
            let reason = reason.unwrap_or_else(|| format!("rollback to version {version}"));
            let accepted = client(&remote).rollback(version, &id, &reason).await?;
            output::print(&accepted, remote.json, output::accepted)
        }
        Command::Status { remote } => {
            let status = client(&remote).status().await?;
            output::print(&status, remote.json, output::status)
        }
        Command::Drain { upstream, remote } => {
            client(&remote).drain(&upstream).await?;
            output::print(&upstream, remote.json, |vm| {
                format!("upstream on VM {vm} drains")
            })
        }
        Command::Token => token(),
        #[cfg(feature = "demo")]
        Command::Demo => crate::demo::run().await,
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Cli::command(),
                "sardinestall",
                &mut io::stdout(),
            );
            Ok(())
        }
        Command::Man => Ok(clap_mangen::Man::new(Cli::command()).render(&mut io::stdout())?),
    }
}

async fn run_daemon(path: &Path) -> Result<(), Error> {
    let settings = Settings::read(path)?;
    let log = logging::open(&settings.log);
    let daemon = Daemon::spawn(settings, log).await?;
    let addresses = daemon.addresses();
    let mut stdout = io::stdout();
    writeln!(
        stdout,
        "ready {{\"caller\":\"{}\",\"gate\":\"{}\",\"fleet\":\"{}\",\"admin\":\"{}\",\"announce\":\"{}\"}}",
        addresses.caller, addresses.gate, addresses.fleet, addresses.admin, addresses.announce
    )?;
    stdout.flush()?;
    interrupted().await?;
    daemon.stop().await;
    Ok(())
}

/// Waits for an interrupt or a request to terminate.
pub(crate) async fn interrupted() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        interrupt = tokio::signal::ctrl_c() => interrupt,
        _ = terminate.recv() => Ok(()),
    }
}

fn check(file: &Path) -> Result<(), Error> {
    let config = model::parse(&read(file)?).map_err(Error::Problems)?;
    let problems = model::validate(&State::from_items(config.items()));
    if !problems.is_empty() {
        return Err(Error::Problems(model::Problems(problems)));
    }
    println!("no problems");
    Ok(())
}

async fn accept(args: AcceptArgs) -> Result<(), Error> {
    let config = read(&args.file)?;
    let id = args.accept_id.unwrap_or_else(new_accept_id);
    let client = client(&args.remote);
    let accepted = client.accept(config, &id, &args.reason).await?;
    output::print(&accepted, args.remote.json, output::accepted)?;
    if args.wait {
        wait(&client, accepted.version).await?;
    }
    Ok(())
}

/// Waits until every daemon serves `version` or a later one.
pub(crate) async fn wait(client: &Client, version: Version) -> Result<(), Error> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !client.status().await?.is_converged(version) {
        if Instant::now() >= deadline {
            return Err(Error::NotEverywhere(version));
        }
        sleep(WAIT_PAUSE).await;
    }
    Ok(())
}

fn token() -> Result<(), Error> {
    let mut token = String::new();
    io::stdin().read_line(&mut token)?;
    println!("{}", TokenHash::of(token.trim_end()));
    Ok(())
}

fn read(file: &Path) -> Result<Vec<u8>, Error> {
    if file == Path::new("-") {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes)?;
        return Ok(bytes);
    }
    std::fs::read(file).map_err(|error| Error::Read(file.into(), error))
}

fn client(remote: &Remote) -> Client {
    let token = std::env::var(TOKEN_VARIABLE).ok().map(Secret::new);
    Client::open(remote.admin, token)
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
