//! A child process of a fleet.

use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::Error;

/// Longest wait for a process's ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the path of one of the workspace's programs, built with the profile in use.
///
/// # Errors
///
/// Fails if the program has not been built.
pub fn binary(name: &str) -> Result<PathBuf, Error> {
    let current = std::env::current_exe()?;
    let directories = current.ancestors().skip(1).take(3);
    let mut found = directories
        .map(|dir| dir.join(name))
        .filter(|path| path.is_file());
    found.next().ok_or_else(|| Error::NotBuilt(name.into()))
}

/// A running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `program` and waits for its output line `ready {...}`; returns the process and
    /// the parsed object.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built or does not become ready.
    pub async fn spawn<T: DeserializeOwned>(
        program: &str,
        args: &[String],
        log: Option<std::fs::File>,
    ) -> Result<(Self, T), Error> {
        let name = format!("{program} {}", args.join(" "));
        let stderr = log.map_or_else(Stdio::null, Stdio::from);
        let mut child = Command::new(binary(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let mut reader = BufReader::new(stdout);
            let read = reader.read_line(&mut line);
            let _ = timeout(READY_TIMEOUT, read).await;
        }
        let json = line.strip_prefix("ready ").unwrap_or_default();
        let ready =
            serde_json::from_str(json).map_err(|_| Error::NotReady(name.clone(), line.clone()))?;
        Ok((Self { name, child }, ready))
    }

    /// Returns the process's id.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends `signal` to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let id = self.child.id().ok_or(nix::errno::Errno::ESRCH)?;
        Ok(kill(Pid::from_raw(id as i32), signal)?)
    }

    /// Suspends the process with SIGSTOP, which it cannot handle.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn freeze(&self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a frozen process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn thaw(&self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed.
    pub async fn kill(mut self) -> Result<(), Error> {
        self.end().await
    }

    /// Kills the process in place and waits for its exit; does nothing if it has exited.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed.
    pub async fn end(&mut self) -> Result<(), Error> {
        Ok(self.child.kill().await?)
    }

    /// Requests a planned stop with SIGINT and waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited already or does not exit within `limit`.
    pub async fn stop(mut self, limit: Duration) -> Result<ExitStatus, Error> {
        self.interrupt()?;
        self.wait(limit).await
    }

    /// Requests a planned stop with SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited already.
    pub fn interrupt(&self) -> Result<(), Error> {
        self.signal(Signal::SIGINT)
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails if it does not exit within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Error> {
        match timeout(limit, self.child.wait()).await {
            Ok(status) => Ok(status?),
            Err(_) => Err(Error::Timeout(format!("the exit of `{}`", self.name))),
        }
    }
}
