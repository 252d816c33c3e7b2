//! Encoded sizes of membership records and of the whole configuration, plain and compressed.

use std::time::Instant;

use clap::Args as ClapArgs;
use harness::Error;
use prost::Message;
use serde::Serialize;
use wire::fleet::{Record, Records, UpstreamState};

use super::workload::{Workload, service, to_error};
use crate::report;

/// Compression level that the daemons use.
const ZSTD_LEVEL: i32 = 3;

/// Failure domains at the design size.
const DOMAINS: usize = 14;

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Number of membership records.
    #[arg(long, default_value_t = 17_000)]
    records: usize,
    /// Seed of the configuration.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct CompressedSize {
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
    sixteen_records: CompressedSize,
    all_records: CompressedSize,
    whole_state: CompressedSize,
}

/// Runs the benchmark.
pub(crate) fn run(args: Args) -> Result<(), Error> {
    let records: Vec<Record> = (0..args.records).map(record).collect();
    let encode = |count: usize| {
        let message = Records {
            plain: records.iter().take(count).cloned().collect(),
            packed: Vec::new(),
        };
        message.encode_to_vec()
    };
    let config = Workload::new(args.seed)?.json()?;
    report::print(&Report {
        bench: "sizes",
        seed: args.seed,
        records: args.records,
        one_record: encode(1).len(),
        sixteen_records: measure_size(&encode(16))?,
        all_records: measure_size(&encode(args.records))?,
        whole_state: measure_size(config.as_bytes())?,
    });
    Ok(())
}

/// Returns the record of a VM, with identifiers and addresses of realistic length.
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
        crashes: Vec::new(),
        departures: Default::default(),
    }
}

/// Compresses and decompresses `plain`; returns the sizes and the times.
fn measure_size(plain: &[u8]) -> Result<CompressedSize, Error> {
    let started = Instant::now();
    let packed = zstd::stream::encode_all(plain, ZSTD_LEVEL).map_err(to_error)?;
    let pack_us = started.elapsed().as_micros();
    let started = Instant::now();
    zstd::stream::decode_all(packed.as_slice()).map_err(to_error)?;
    Ok(CompressedSize {
        plain: plain.len(),
        packed: packed.len(),
        pack_us,
        unpack_us: started.elapsed().as_micros(),
    })
}
