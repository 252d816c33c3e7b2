//! Latency that the call path adds, relative to direct calls to the same upstream.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet, Process};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use standin::{Behaviour, ControlClient};

use crate::call::load::{self, CallSpec};
use crate::call::testbed::{self, cpu_time_us, machine_load};
use crate::report::{self, DurationSummary};

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Calls per second.
    #[arg(long, default_value_t = 1000)]
    rate: u64,
    /// Number of rounds; each measures direct calls, then calls through the call path.
    #[arg(long, default_value_t = 5)]
    rounds: u64,
    /// Duration of each part of a round, in seconds.
    #[arg(long, default_value_t = 2)]
    seconds: u64,
    /// Calls per second of the chain benchmark; 0 skips it.
    #[arg(long, default_value_t = 5)]
    chain_rate: u64,
    /// Number of upstreams that a call of the chain passes through.
    #[arg(long, default_value_t = 23)]
    depth: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    what: &'static str,
    rate: u64,
    rounds: u64,
    direct_us: DurationSummary,
    /// Latency through two plain HTTP proxies, as many processes as the call path has: the share
    /// that the machine adds.
    #[serde(skip_serializing_if = "Option::is_none")]
    plain_us: Option<DurationSummary>,
    path_us: DurationSummary,
    /// Difference between the quantiles through the call path and of direct calls, over all rounds.
    added_p50_us: i64,
    added_p99_us: i64,
    added_p999_us: i64,
    /// Added p99 of each round.
    added_p99_by_round_us: Vec<i64>,
    /// Delay of the load generator behind its schedule.
    late_p99_us: u64,
    failed: u64,
    ingress_us_per_call: f64,
    gate_us_per_call: f64,
    machine_load: f64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let fleet = testbed::open(2, 1).await?;
    let proxies = ProxyChain::open(&fleet).await?;
    let ingress = fleet.daemons[0].caller;
    let upstream = fleet.upstreams[0].address;
    let mut measurement = Measurement::new();
    for _ in 0..args.rounds {
        measurement
            .run_part(Setup::Proxied, proxies.address, PROXIED_PATH, &args)
            .await?;
        measurement
            .run_round(upstream, ingress, "/proofs/1", &args, &fleet)
            .await?;
    }
    measurement.print_report("single", args.rate, args.rounds);
    drop(fleet);
    if args.chain_rate > 0 {
        run_chain(args).await?;
    }
    Ok(())
}

/// Measures calls that each upstream forwards to the next, directly or through the daemons.
async fn run_chain(args: Args) -> Result<(), Error> {
    let fleet = testbed::open(5, 1).await?;
    let path = format!("/proofs/chain/{}", args.depth - 1);
    let chain_args = Args {
        rate: args.chain_rate,
        ..args
    };
    let mut measurement = Measurement::new();
    for _ in 0..chain_args.rounds {
        for direct in [true, false] {
            for (i, upstream) in fleet.upstreams.iter().enumerate() {
                let next = (i + 1) % fleet.upstreams.len();
                let next_hop = match direct {
                    true => fleet.upstreams[next].address,
                    false => fleet.daemons[i + 1].caller,
                };
                let behaviour = Behaviour {
                    forward: Some(next_hop),
                    ..Behaviour::default()
                };
                upstream.control.set_behaviour(&behaviour).await?;
            }
            let address = match direct {
                true => fleet.upstreams[0].address,
                false => fleet.daemons[0].caller,
            };
            let setup = match direct {
                true => Setup::Direct,
                false => Setup::CallPath,
            };
            measurement
                .run_part(setup, address, &path, &chain_args)
                .await?;
        }
        measurement.end_round();
    }
    measurement.print_report("chain", chain_args.rate, chain_args.rounds);
    Ok(())
}

/// Request path that makes the two plain HTTP proxies forward the call.
const PROXIED_PATH: &str = "/proofs/chain/2";

/// Line that a stand-in prints when it is ready.
#[derive(Debug, Deserialize)]
struct Ready {
    address: SocketAddr,
    control: SocketAddr,
}

/// Two plain HTTP proxies in front of an upstream, each a separate process.
struct ProxyChain {
    address: SocketAddr,
    _processes: Vec<Process>,
}

impl ProxyChain {
    async fn open(fleet: &Fleet) -> Result<Self, Error> {
        let mut address = fleet.upstreams[0].address;
        let mut processes = Vec::new();
        for vm in ["p-1", "p-2"] {
            // Nothing listens on this port, so its announcements reach no daemon.
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

/// What the calls of a part pass through on the way to the upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Setup {
    Direct,
    Proxied,
    CallPath,
}

/// Results of all rounds.
struct Measurement {
    proxied: Histogram<u64>,
    direct: Histogram<u64>,
    call_path: Histogram<u64>,
    /// p99 of the current round, of direct calls and through the call path, in microseconds.
    round_p99_us: [u64; 2],
    added_p99_us: Vec<i64>,
    send_delay: Histogram<u64>,
    failed: u64,
    /// Calls through the call path.
    path_calls: u64,
    ingress_us: u64,
    gate_us: u64,
}

impl Measurement {
    fn new() -> Self {
        Self {
            proxied: report::duration_histogram(),
            direct: report::duration_histogram(),
            call_path: report::duration_histogram(),
            round_p99_us: [0; 2],
            added_p99_us: Vec::new(),
            send_delay: report::duration_histogram(),
            failed: 0,
            path_calls: 0,
            ingress_us: 0,
            gate_us: 0,
        }
    }

    /// Measures direct calls, then calls through the call path with the processor time of both
    /// daemons.
    async fn run_round(
        &mut self,
        upstream: SocketAddr,
        ingress: SocketAddr,
        path: &str,
        args: &Args,
        fleet: &Fleet,
    ) -> Result<(), Error> {
        self.run_part(Setup::Direct, upstream, path, args).await?;
        let used = |i: usize| cpu_time_us(&fleet.daemons[i].process);
        let before = (used(0), used(1));
        self.run_part(Setup::CallPath, ingress, path, args).await?;
        self.ingress_us += used(0) - before.0;
        self.gate_us += used(1) - before.1;
        self.end_round();
        Ok(())
    }

    async fn run_part(
        &mut self,
        setup: Setup,
        address: SocketAddr,
        path: &str,
        args: &Args,
    ) -> Result<(), Error> {
        let spec = CallSpec::get(address, path);
        let time = Duration::from_secs(args.seconds);
        let results = load::run(args.rate, time, move |_| spec.clone()).await?;
        let mut round = report::duration_histogram();
        for call in &results {
            self.send_delay
                .saturating_record(call.send_delay.as_micros() as u64);
            match call.is_success() {
                true => round.saturating_record(call.latency.as_micros() as u64),
                false => self.failed += 1,
            }
        }
        let p99 = round.value_at_quantile(0.99);
        let total = match setup {
            Setup::Proxied => &mut self.proxied,
            Setup::Direct => {
                self.round_p99_us[0] = p99;
                &mut self.direct
            }
            Setup::CallPath => {
                self.round_p99_us[1] = p99;
                self.path_calls += results.len() as u64;
                &mut self.call_path
            }
        };
        // Cannot fail: both histograms have the same bounds.
        let _ = total.add(&round);
        Ok(())
    }

    fn end_round(&mut self) {
        self.added_p99_us
            .push(self.round_p99_us[1] as i64 - self.round_p99_us[0] as i64);
    }

    fn print_report(&self, what: &'static str, rate: u64, rounds: u64) {
        let added = |quantile| {
            self.call_path.value_at_quantile(quantile) as i64
                - self.direct.value_at_quantile(quantile) as i64
        };
        let calls = self.path_calls.max(1) as f64;
        report::print(&Report {
            bench: "calls",
            what,
            rate,
            rounds,
            direct_us: DurationSummary::from(&self.direct),
            plain_us: (!self.proxied.is_empty()).then(|| DurationSummary::from(&self.proxied)),
            path_us: DurationSummary::from(&self.call_path),
            added_p50_us: added(0.5),
            added_p99_us: added(0.99),
            added_p999_us: added(0.999),
            added_p99_by_round_us: self.added_p99_us.clone(),
            late_p99_us: self.send_delay.value_at_quantile(0.99),
            failed: self.failed,
            ingress_us_per_call: self.ingress_us as f64 / calls,
            gate_us_per_call: self.gate_us as f64 / calls,
            machine_load: machine_load(),
        });
    }
}
