//! Daemons that run in the test process, on an embedded store, and write to a captured log.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use admin::{Client, TokenHash};
use daemon::{
    Daemon, FleetSettings, ListenSettings, LogSettings, OperatorSettings, Settings, StoreSettings,
    UpstreamSettings, VmSettings,
};
use model::{Secret, lock};
use slog::{Drain, Logger, o};
use standin::Kv;

/// Fleet key.
pub(crate) const KEY: &str = "s3cret-fleet-key";

/// Token of the operator of team `red`.
pub(crate) const RED: &str = "s3cret-token-red";

/// Token of the operator of team `blue`.
pub(crate) const BLUE: &str = "s3cret-token-blue";

/// Captured output of a log.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    /// Returns the output so far.
    pub(crate) fn text(&self) -> String {
        let bytes = lock(&self.0);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut output = lock(&self.0);
        output.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns a logger of every level, and its captured output.
pub(crate) fn log() -> (Logger, LogBuffer) {
    let output = LogBuffer::default();
    let json = Mutex::new(slog_json::Json::default(output.clone()));
    (Logger::root(json.fuse(), o!()), output)
}

/// Returns the settings of the daemon on `vm`.
pub(crate) fn settings(vm: &str) -> Settings {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let operator = |name: &str, team: &str, token: &str| OperatorSettings {
        name: name.parse().expect("a name"),
        teams: vec![team.parse().expect("a name")],
        token_hash: TokenHash::of(token),
    };
    Settings {
        vm: VmSettings {
            id: vm.parse().expect("an id"),
            failure_domain: "morava-a".parse().expect("a name"),
            region: "cz-morava".parse().expect("a name"),
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
        fleet: FleetSettings::with_key(Secret::new(KEY)),
        store: StoreSettings::at(free),
        upstream: UpstreamSettings::default(),
        log: LogSettings::default(),
        operators: vec![
            operator("ruby", "red", RED),
            operator("bella", "blue", BLUE),
        ],
    }
}

/// Starts a daemon on `kv`.
pub(crate) async fn spawn(vm: &str, kv: &Kv, log: &Logger) -> Daemon {
    let store = Arc::new(kv.clone());
    let daemon = Daemon::spawn_on(settings(vm), store, log.clone()).await;
    daemon.expect("the daemon starts")
}

/// Returns a client of the daemon's administration API with `token`.
pub(crate) fn client(daemon: &Daemon, token: &str) -> Client {
    Client::open(daemon.addresses().admin, Some(Secret::new(token)))
}

/// Returns the JSON configuration of `team`: a service, a pool and a route, all of that name.
pub(crate) fn config(team: &str, timeout: &str) -> String {
    format!(
        r#"{{"format": 1, "teams": ["{team}"],
        "services": [{{"name": "{team}", "team": "{team}"}}],
        "pools": [{{"name": "{team}", "team": "{team}", "service": "{team}"}}],
        "routes": [{{"name": "{team}", "team": "{team}", "hosts": ["{team}.example"],
                     "path": {{"prefix": "/"}}, "to": [{{"pool": "{team}"}}],
                     "rules": {{"timeout": "{timeout}"}}}}]}}"#
    )
}
