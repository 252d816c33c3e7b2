//! Demo fleet in one process: a store, daemons and upstreams in two failure domains, and the Brno
//! example configuration.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admin::{Client, TokenHash};
use daemon::{
    Daemon, FleetSettings, ListenSettings, LogSettings, OperatorSettings, Settings, StoreSettings,
    UpstreamSettings, VmSettings,
};
use model::Secret;
use slog::Logger;
use standin::{Kv, Upstream, UpstreamSettings as StandinSettings};
use table::Snapshot;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::command::{new_accept_id, wait_converged};
use crate::error::Error;
use crate::logging;
use crate::signals::Signals;

/// Token of the demo's only operator.
const TOKEN: &str = "demo";

/// Key of the demo's fleet.
const FLEET_KEY: &str = "demo-fleet";

/// VMs of the demo: id, failure domain and service of the upstream.
const VMS: &[(&str, &str, &str)] = &[
    ("morava-a-1", "morava-a", "proofdesk"),
    ("morava-a-2", "morava-a", "decisions"),
    ("morava-b-1", "morava-b", "proofdesk"),
    ("morava-b-2", "morava-b", "galleys"),
];

/// Time-out of each of the two waits at start-up: for the version to be in force on every daemon, and
/// for every pool to have an upstream.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks whether every pool has an upstream.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running demo.
struct Demo {
    daemons: Vec<Daemon>,
    _upstreams: Vec<Upstream>,
}

/// Runs the demo until a signal stops it.
pub(crate) async fn run() -> Result<(), Error> {
    let mut signals = Signals::open()?;
    let log = logging::open(&LogSettings::default());
    let demo = tokio::select! {
        demo = Demo::open(&log) => demo?,
        () = signals.wait_stop() => return Ok(()),
    };
    let addresses = demo.daemons[0].addresses();
    let mut stdout = io::stdout();
    writeln!(
        stdout,
        "ready {{\"caller\":\"http://{}\",\"admin\":\"http://{}\"}}",
        addresses.caller, addresses.admin
    )?;
    stdout.flush()?;
    signals.wait_stop().await;
    demo.stop().await;
    Ok(())
}

impl Demo {
    /// Starts the fleet, accepts the configuration, and returns once every route works.
    async fn open(log: &Logger) -> Result<Self, Error> {
        let demo = Self::spawn(log).await?;
        demo.accept().await?;
        Ok(demo)
    }

    async fn spawn(log: &Logger) -> Result<Self, Error> {
        let kv = Kv::open();
        let mut daemons = Vec::new();
        let mut upstreams = Vec::new();
        for (vm, domain, service) in VMS {
            let settings = settings(vm, domain)?;
            let daemon = Daemon::spawn_on(settings, Arc::new(kv.clone()), log.clone())
                .await
                .map_err(demo_error)?;
            upstreams.push(upstream(vm, service, daemon.addresses().announce).await?);
            daemons.push(daemon);
        }
        Ok(Self {
            daemons,
            _upstreams: upstreams,
        })
    }

    /// Stops the daemons in reverse order, as callers use the first one.
    async fn stop(mut self) {
        for daemon in self.daemons.drain(..).rev() {
            daemon.stop().await;
        }
    }

    /// Accepts the example configuration, and waits until every pool has an upstream on every
    /// daemon.
    async fn accept(&self) -> Result<(), Error> {
        let plan = plan::brno().map_err(demo_error)?;
        let config = plan.to_json().map_err(demo_error)?.into_bytes();
        let admin = self.daemons[0].addresses().admin;
        let client = Client::open(admin, Some(Secret::new(TOKEN)));
        let accepted = client
            .accept(config, &new_accept_id(), "the example of Brno")
            .await?;
        wait_converged(&client, accepted.version, READY_TIMEOUT).await?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self
            .daemons
            .iter()
            .all(|daemon| has_upstreams(&daemon.table().snapshot()))
        {
            if Instant::now() >= deadline {
                return Err(Error::Demo(
                    "the upstreams did not announce themselves".into(),
                ));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

fn has_upstreams(snapshot: &Snapshot) -> bool {
    snapshot
        .pools()
        .iter()
        .all(|pool| !pool.upstreams.is_empty())
}

async fn upstream(vm: &str, service: &str, daemon: SocketAddr) -> Result<Upstream, Error> {
    let settings = StandinSettings {
        vm: vm.parse().map_err(demo_error)?,
        service: service.parse().map_err(demo_error)?,
        daemon,
        slots: 12,
        connections: 130,
    };
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let control = TcpListener::bind(("127.0.0.1", 0)).await?;
    Ok(Upstream::spawn(settings, listener, control)?)
}

fn settings(vm: &str, domain: &str) -> Result<Settings, Error> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(Settings {
        vm: VmSettings {
            id: vm.parse().map_err(demo_error)?,
            failure_domain: domain.parse().map_err(demo_error)?,
            region: "cz-morava".parse().map_err(demo_error)?,
            link: None,
            service: None,
        },
        listen: ListenSettings {
            caller: free,
            gate: free,
            fleet: free,
            admin: free,
            announce: free,
            ..ListenSettings::default()
        },
        fleet: FleetSettings::with_key(Secret::new(FLEET_KEY)),
        store: StoreSettings::at(free),
        upstream: UpstreamSettings::default(),
        log: LogSettings::default(),
        operators: vec![OperatorSettings {
            name: "demo".parse().map_err(demo_error)?,
            teams: vec!["redakce".parse().map_err(demo_error)?],
            token_hash: TokenHash::of(TOKEN),
        }],
    })
}

fn demo_error(error: impl std::fmt::Display) -> Error {
    Error::Demo(error.to_string())
}
