//! Latency that the path adds to calls, against direct calls to the same upstream.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet, Process};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use standin::{Behaviour, ControlClient};

use crate::call::bed::{self, machine_load, processor_us};
use crate::call::load::{self, Ask};
use crate::report::{self, Micros};

/// Size of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Calls a second.
    #[arg(long, default_value_t = 1000)]
    rate: u64,
    /// Rounds, each of a direct part and one through the path.
    #[arg(long, default_value_t = 5)]
    rounds: u64,
    /// Length of each part, in seconds.
    #[arg(long, default_value_t = 2)]
    seconds: u64,
    /// Calls a second of the chain; none for 0.
    #[arg(long, default_value_t = 5)]
    chain_rate: u64,
    /// Depth of the chain.
    #[arg(long, default_value_t = 23)]
    depth: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    what: &'static str,
    rate: u64,
    rounds: u64,
    direct_us: Micros,
    /// Through two plain HTTP processes, as many as the path has: what the machine itself adds.
    #[serde(skip_serializing_if = "Option::is_none")]
    plain_us: Option<Micros>,
    path_us: Micros,
    /// Difference of the quantiles of all rounds.
    added_p50_us: i64,
    added_p99_us: i64,
    added_p999_us: i64,
    /// Added p99 of each round.
    added_p99_by_round_us: Vec<i64>,
    /// How late the load itself sent its calls.
    late_p99_us: u64,
    failed: u64,
    ingress_us_per_call: f64,
    gate_us_per_call: f64,
    machine_load: f64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let fleet = bed::open(2, 1).await?;
    let relay = Relay::open(&fleet).await?;
    let ingress = fleet.daemons[0].caller;
    let upstream = fleet.upstreams[0].address;
    let mut both = Both::new();
    for _ in 0..args.rounds {
        both.part(Part::Plain, relay.address, RELAY_PATH, &args)
            .await?;
        both.round(upstream, ingress, "/proofs/1", &args, &fleet)
            .await?;
    }
    both.print("single", args.rate, args.rounds);
    drop(fleet);
    if args.chain_rate > 0 {
        chain(args).await?;
    }
    Ok(())
}

/// Calls that each upstream passes on to the next, through the daemons or straight.
async fn chain(args: Args) -> Result<(), Error> {
    let fleet = bed::open(5, 1).await?;
    let path = format!("/proofs/chain/{}", args.depth - 1);
    let chained = Args {
        rate: args.chain_rate,
        ..args
    };
    let mut both = Both::new();
    for _ in 0..chained.rounds {
        for straight in [true, false] {
            for (i, upstream) in fleet.upstreams.iter().enumerate() {
                let next = (i + 1) % fleet.upstreams.len();
                let to = match straight {
                    true => fleet.upstreams[next].address,
                    false => fleet.daemons[i + 1].caller,
                };
                let behaviour = Behaviour {
                    forward: Some(to),
                    ..Behaviour::default()
                };
                upstream.control.set_behaviour(&behaviour).await?;
            }
            let address = match straight {
                true => fleet.upstreams[0].address,
                false => fleet.daemons[0].caller,
            };
            let part = match straight {
                true => Part::Direct,
                false => Part::Path,
            };
            both.part(part, address, &path, &chained).await?;
        }
        both.end_round();
    }
    both.print("chain", chained.rate, chained.rounds);
    Ok(())
}

/// Path of a call that passes two plain processes on its way.
const RELAY_PATH: &str = "/proofs/chain/2";

/// Ready line of a stand-in.
#[derive(Debug, Deserialize)]
struct Ready {
    address: SocketAddr,
    control: SocketAddr,
}

/// Two plain HTTP processes before an upstream.
struct Relay {
    address: SocketAddr,
    _processes: Vec<Process>,
}

impl Relay {
    async fn open(fleet: &Fleet) -> Result<Self, Error> {
        let mut address = fleet.upstreams[0].address;
        let mut processes = Vec::new();
        for vm in ["p-1", "p-2"] {
            // It announces itself to nobody.
            let args = ["upstream", "--vm", vm, "--service", "plain"];
            let args = args.iter().chain(&["--daemon", "127.0.0.1:9"]);
            let args: Vec<String> = args.map(ToString::to_string).collect();
            let (process, ready) = Process::spawn::<Ready>("standin", &args, None).await?;
            let behaviour = Behaviour {
                forward: Some(address),
                announce: None,
                ..Behaviour::default()
            };
            let control = ControlClient::open(ready.control);
            control.set_behaviour(&behaviour).await?;
            address = ready.address;
            processes.push(process);
        }
        Ok(Self {
            address,
            _processes: processes,
        })
    }
}

/// Which way a part's calls go.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Part {
    Direct,
    Plain,
    Path,
}

/// Calls of each part.
struct Both {
    plain: Histogram<u64>,
    direct: Histogram<u64>,
    path: Histogram<u64>,
    last: [u64; 2],
    added: Vec<i64>,
    late: Histogram<u64>,
    failed: u64,
    calls: u64,
    ingress_us: u64,
    gate_us: u64,
}

impl Both {
    fn new() -> Self {
        Self {
            plain: report::histogram(),
            direct: report::histogram(),
            path: report::histogram(),
            last: [0; 2],
            added: Vec::new(),
            late: report::histogram(),
            failed: 0,
            calls: 0,
            ingress_us: 0,
            gate_us: 0,
        }
    }

    /// Makes direct calls and then calls through the path, with the processor time of both daemons.
    async fn round(
        &mut self,
        upstream: SocketAddr,
        ingress: SocketAddr,
        path: &str,
        args: &Args,
        fleet: &Fleet,
    ) -> Result<(), Error> {
        self.part(Part::Direct, upstream, path, args).await?;
        let used = |i: usize| processor_us(&fleet.daemons[i].process);
        let before = (used(0), used(1));
        self.part(Part::Path, ingress, path, args).await?;
        self.ingress_us += used(0) - before.0;
        self.gate_us += used(1) - before.1;
        self.end_round();
        Ok(())
    }

    async fn part(
        &mut self,
        part: Part,
        address: SocketAddr,
        path: &str,
        args: &Args,
    ) -> Result<(), Error> {
        let ask = Ask::get(address, path);
        let time = Duration::from_secs(args.seconds);
        let ended = load::run(args.rate, time, move |_| ask.clone()).await?;
        let mut round = report::histogram();
        for call in &ended {
            self.late.saturating_record(call.late.as_micros() as u64);
            match call.is_good() {
                true => round.saturating_record(call.latency.as_micros() as u64),
                false => self.failed += 1,
            }
        }
        let p99 = round.value_at_quantile(0.99);
        let all = match part {
            Part::Plain => &mut self.plain,
            Part::Direct => {
                self.last[0] = p99;
                &mut self.direct
            }
            Part::Path => {
                self.last[1] = p99;
                self.calls += ended.len() as u64;
                &mut self.path
            }
        };
        // Both have the same bounds.
        let _ = all.add(&round);
        Ok(())
    }

    fn end_round(&mut self) {
        self.added.push(self.last[1] as i64 - self.last[0] as i64);
    }

    fn print(&self, what: &'static str, rate: u64, rounds: u64) {
        let added = |quantile| {
            self.path.value_at_quantile(quantile) as i64
                - self.direct.value_at_quantile(quantile) as i64
        };
        let calls = self.calls.max(1) as f64;
        report::print(&Report {
            bench: "calls",
            what,
            rate,
            rounds,
            direct_us: Micros::from(&self.direct),
            plain_us: (!self.plain.is_empty()).then(|| Micros::from(&self.plain)),
            path_us: Micros::from(&self.path),
            added_p50_us: added(0.5),
            added_p99_us: added(0.99),
            added_p999_us: added(0.999),
            added_p99_by_round_us: self.added.clone(),
            late_p99_us: self.late.value_at_quantile(0.99),
            failed: self.failed,
            ingress_us_per_call: self.ingress_us as f64 / calls,
            gate_us_per_call: self.gate_us as f64 / calls,
            machine_load: machine_load(),
        });
    }
}
