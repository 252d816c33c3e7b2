//! A fleet of separate processes.

use std::fmt::Write;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use admin::{AcceptReply, Client, TokenHash};
use model::{AcceptId, Secret, Version};
use serde::Deserialize;
use standin::ControlClient;
use tempfile::TempDir;
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep};

use crate::{Error, Process};

/// Token of the fleet's only operator.
pub const TOKEN: &str = "harness-token";

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Describes a VM to start a daemon on.
#[derive(Debug, Clone)]
pub struct VmSpec {
    /// Id.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
    /// Lines appended to the daemon's settings.
    pub settings: String,
    /// Lines added to section `fleet` of the daemon's settings.
    pub fleet: String,
    /// Lines added to section `listen` of the daemon's settings.
    pub listen: String,
    /// Whether the daemon's ports stay reserved, so that a restarted daemon can bind them again.
    pub fixed_ports: bool,
    /// Address of the key-value service if it is not the fleet's, such as that of a fault proxy.
    pub store: Option<SocketAddr>,
}

impl VmSpec {
    /// Describes a VM with default settings.
    pub fn new(vm: &str, domain: &str, region: &str) -> Self {
        Self {
            vm: vm.into(),
            domain: domain.into(),
            region: region.into(),
            settings: String::new(),
            fleet: String::new(),
            listen: String::new(),
            fixed_ports: false,
            store: None,
        }
    }
}

/// Addresses of a daemon, as its ready line states them.
#[derive(Debug, Clone, Copy, Deserialize)]
struct DaemonReady {
    caller: SocketAddr,
    gate: SocketAddr,
    fleet: SocketAddr,
    admin: SocketAddr,
    announce: SocketAddr,
}

impl DaemonReady {
    /// Returns addresses with port 0, for which the daemon takes free ports.
    fn ephemeral() -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            caller: free,
            gate: free,
            fleet: free,
            admin: free,
            announce: free,
        }
    }

    /// Reserves free ports: a socket bound to each is added to `reserved`, so that the operating
    /// system gives the port to no bind of port 0.
    fn reserve(reserved: &mut Vec<TcpSocket>) -> io::Result<Self> {
        let mut next = || -> io::Result<SocketAddr> {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let address = socket.local_addr()?;
            reserved.push(socket);
            Ok(address)
        };
        Ok(Self {
            caller: next()?,
            gate: next()?,
            fleet: next()?,
            admin: next()?,
            announce: next()?,
        })
    }
}

/// Addresses of a stand-in, as its ready line states them.
#[derive(Debug, Clone, Copy, Deserialize)]
struct StandinReady {
    address: SocketAddr,
    control: SocketAddr,
}

/// A running key-value service.
#[derive(Debug)]
pub struct KvProcess {
    /// Process.
    pub process: Process,
    /// Address.
    pub address: SocketAddr,
    /// Client of its control API.
    pub control: ControlClient,
}

/// A running daemon.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Description that it was started from.
    pub spec: VmSpec,
    /// Process.
    pub process: Process,
    /// Address for calls of local callers.
    pub caller: SocketAddr,
    /// Address of the gate.
    pub gate: SocketAddr,
    /// Address of the fleet port.
    pub fleet: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for announcements of the upstream.
    pub announce: SocketAddr,
}

impl DaemonProcess {
    /// Returns a client of the daemon's administration API, with the operator's token.
    pub fn client(&self) -> Client {
        Client::open(self.admin, Some(Secret::new(TOKEN)))
    }
}

/// A running upstream.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// VM that it runs on.
    pub vm: String,
    /// Process.
    pub process: Process,
    /// Address.
    pub address: SocketAddr,
    /// Client of its control API.
    pub control: ControlClient,
}

/// A fleet of separate processes, killed when dropped.
#[derive(Debug)]
pub struct Fleet {
    dir: TempDir,
    /// Sockets that reserve the ports of daemons with `fixed_ports` while these are down.
    reserved: Vec<TcpSocket>,
    /// Teams that the fleet's operator may change.
    teams: Vec<String>,
    /// Key-value service.
    pub kv: KvProcess,
    /// Daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamProcess>,
}

impl Fleet {
    /// Starts a key-value service; the operator may change the parts of `teams`.
    ///
    /// # Errors
    ///
    /// Fails if the service does not become ready.
    pub async fn open(teams: &[&str]) -> Result<Self, Error> {
        let (process, ready) =
            Process::spawn::<StandinReady>("standin", &["kv".into()], None).await?;
        Ok(Self {
            dir: TempDir::new()?,
            reserved: Vec::new(),
            teams: teams.iter().map(|team| (*team).into()).collect(),
            kv: KvProcess {
                process,
                address: ready.address,
                control: ControlClient::open(ready.control),
            },
            daemons: Vec::new(),
            upstreams: Vec::new(),
        })
    }

    /// Starts a daemon on a VM and adds it to the fleet; returns its index.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not become ready.
    pub async fn start_daemon(&mut self, spec: VmSpec) -> Result<usize, Error> {
        let addresses = match spec.fixed_ports {
            true => DaemonReady::reserve(&mut self.reserved)?,
            false => DaemonReady::ephemeral(),
        };
        let (process, ready) = self.spawn_daemon(&spec, addresses).await?;
        self.daemons.push(DaemonProcess {
            spec,
            process,
            caller: ready.caller,
            gate: ready.gate,
            fleet: ready.fleet,
            admin: ready.admin,
            announce: ready.announce,
        });
        Ok(self.daemons.len() - 1)
    }

    /// Restarts the daemon at index `daemon`, whose process has exited, on the same VM and
    /// addresses.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not become ready.
    pub async fn restart_daemon(&mut self, daemon: usize) -> Result<(), Error> {
        let old = &self.daemons[daemon];
        let addresses = DaemonReady {
            caller: old.caller,
            gate: old.gate,
            fleet: old.fleet,
            admin: old.admin,
            announce: old.announce,
        };
        let (process, _) = self.spawn_daemon(&old.spec, addresses).await?;
        self.daemons[daemon].process = process;
        Ok(())
    }

    async fn spawn_daemon(
        &self,
        spec: &VmSpec,
        addresses: DaemonReady,
    ) -> Result<(Process, DaemonReady), Error> {
        let path = self.write_settings(spec, addresses)?;
        let log = self.dir.path().join(format!("{}.log", spec.vm));
        let log = File::options().create(true).append(true).open(log)?;
        let args = [
            "daemon".into(),
            "--settings".into(),
            path.display().to_string(),
        ];
        Process::spawn::<DaemonReady>("sardinestall", &args, Some(log)).await
    }

    /// Starts an upstream of `service` beside the daemon at index `daemon`; returns the upstream's
    /// index.
    ///
    /// # Errors
    ///
    /// Fails if the upstream does not become ready.
    pub async fn start_upstream(&mut self, daemon: usize, service: &str) -> Result<usize, Error> {
        let vm = self.daemons[daemon].spec.vm.clone();
        let mut args: Vec<String> = vec!["upstream".into()];
        for (name, value) in [
            ("--vm", vm.as_str()),
            ("--service", service),
            ("--daemon", &self.daemons[daemon].announce.to_string()),
        ] {
            args.push(name.into());
            args.push(value.into());
        }
        let (process, ready) = Process::spawn::<StandinReady>("standin", &args, None).await?;
        self.upstreams.push(UpstreamProcess {
            vm,
            process,
            address: ready.address,
            control: ControlClient::open(ready.control),
        });
        Ok(self.upstreams.len() - 1)
    }

    /// Accepts a configuration in JSON through the daemon at index `daemon`.
    ///
    /// # Errors
    ///
    /// Fails if the daemon refuses it.
    pub async fn accept(
        &self,
        daemon: usize,
        config: &str,
        accept_id: &AcceptId,
    ) -> Result<AcceptReply, Error> {
        let client = self.daemons[daemon].client();
        Ok(client.accept(config.into(), accept_id, "harness").await?)
    }

    /// Waits until every daemon reports that it serves `version` or a later one.
    ///
    /// # Errors
    ///
    /// Fails if that takes a daemon longer than `limit`.
    pub async fn wait_serving(&self, version: Version, limit: Duration) -> Result<(), Error> {
        for daemon in &self.daemons {
            let client = daemon.client();
            let what = format!("version {version} on {}", daemon.spec.vm);
            wait_until(&what, limit, async || {
                let status = client.status().await;
                status.is_ok_and(|status| status.serving >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the log of the daemon on `vm`.
    pub fn log(&self, vm: &str) -> String {
        let path = self.dir.path().join(format!("{vm}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    fn write_settings(&self, spec: &VmSpec, addresses: DaemonReady) -> Result<PathBuf, Error> {
        let teams: Vec<String> = self
            .teams
            .iter()
            .map(|team| format!("\"{team}\""))
            .collect();
        let mut toml = String::new();
        // Writing to a string cannot fail.
        let _ = write!(
            toml,
            "[vm]\nid = \"{}\"\nfailure_domain = \"{}\"\nregion = \"{}\"\n\n\
             [listen]\ncaller = \"{}\"\ngate = \"{}\"\nfleet = \"{}\"\n\
             admin = \"{}\"\nannounce = \"{}\"\n{}\n\n\
             [fleet]\nkey = \"harness-fleet\"\n{}\n\n[store]\naddress = \"{}\"\n\n\
             [[operators]]\nname = \"harness\"\nteams = [{}]\ntoken_hash = \"{}\"\n{}\n",
            spec.vm,
            spec.domain,
            spec.region,
            addresses.caller,
            addresses.gate,
            addresses.fleet,
            addresses.admin,
            addresses.announce,
            spec.listen,
            spec.fleet,
            spec.store.unwrap_or(self.kv.address),
            teams.join(", "),
            TokenHash::of(TOKEN),
            spec.settings,
        );
        let path = self.dir.path().join(format!("{}.toml", spec.vm));
        fs::write(&path, toml)?;
        Ok(path)
    }
}

/// Waits until `condition` holds.
///
/// # Errors
///
/// Fails if it does not hold within `limit`.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<(), Error> {
    let deadline = Instant::now() + limit;
    while !condition().await {
        if Instant::now() >= deadline {
            return Err(Error::Timeout(what.into()));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
