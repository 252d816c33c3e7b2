//! Bytes of records and whole states on the wire, plain and compressed.

use std::time::Instant;

use clap::Args as ClapArgs;
use harness::Error;
use prost::Message;
use serde::Serialize;
use wire::fleet::{Record, Records, UpstreamState};

use super::workload::{Workload, fail, service};
use crate::report;

/// Level of compression that the daemons use.
const LEVEL: i32 = 3;

/// Failure domains at the design size.
const DOMAINS: usize = 14;

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Records.
    #[arg(long, default_value_t = 17_000)]
    records: usize,
    /// Seed of the configuration.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Size {
    plain: usize,
    packed: usize,
    pack_us: u128,
    unpack_us: u128,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    records: usize,
    one_record: usize,
    sixteen_records: Size,
    all_records: Size,
    whole_state: Size,
}

/// Runs the benchmark.
pub(crate) fn run(args: Args) -> Result<(), Error> {
    let records: Vec<Record> = (0..args.records).map(record).collect();
    let encode = |count: usize| {
        let some = Records {
            plain: records.iter().take(count).cloned().collect(),
            packed: Vec::new(),
        };
        some.encode_to_vec()
    };
    let config = Workload::new(args.seed)?.json()?;
    report::print(&Report {
        bench: "sizes",
        seed: args.seed,
        records: args.records,
        one_record: encode(1).len(),
        sixteen_records: size(&encode(16))?,
        all_records: size(&encode(args.records))?,
        whole_state: size(config.as_bytes())?,
    });
    Ok(())
}

/// Returns the record of a VM as production would name it.
fn record(index: usize) -> Record {
    let region = index % DOMAINS / 4;
    Record {
        vm: format!("vm-{:08x}", index * 2_654_435_761 % (1 << 32)),
        incarnation: 1_790_000_000_000 + index as u64 * 37,
        counter: 3,
        state: UpstreamState::Ready.into(),
        service: service(index % 870),
        gate: format!("10.{}.{}.{}:7401", region, index / 256 % 256, index % 256),
        fleet: format!("10.{}.{}.{}:7402", region, index / 256 % 256, index % 256),
        domain: format!("domain-{}", index % DOMAINS),
        region: format!("region-{region}"),
        slots: 12,
        link_bits: 0,
        expired: false,
        ended_ms: 0,
    }
}

fn size(plain: &[u8]) -> Result<Size, Error> {
    let started = Instant::now();
    let packed = zstd::stream::encode_all(plain, LEVEL).map_err(fail)?;
    let pack_us = started.elapsed().as_micros();
    let started = Instant::now();
    zstd::stream::decode_all(packed.as_slice()).map_err(fail)?;
    Ok(Size {
        plain: plain.len(),
        packed: packed.len(),
        pack_us,
        unpack_us: started.elapsed().as_micros(),
    })
}
