//! Output of results, one line of JSON each.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Prints one result on standard output.
pub(crate) fn print(result: &impl Serialize) {
    match serde_json::to_string(result) {
        Ok(json) => println!("{json}"),
        Err(error) => eprintln!("cannot serialise a result as JSON: {error}"),
    }
}

/// Quantiles of a duration, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct DurationSummary {
    pub(crate) count: u64,
    pub(crate) p50: u64,
    pub(crate) p99: u64,
    pub(crate) p999: u64,
    pub(crate) max: u64,
}

impl From<&Histogram<u64>> for DurationSummary {
    fn from(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            max: histogram.max(),
        }
    }
}

/// Returns an empty histogram of durations in microseconds, up to ten minutes.
///
/// # Panics
///
/// Never: the bounds are valid.
pub(crate) fn duration_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid")
}
