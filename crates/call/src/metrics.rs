//! Metrics of the call path.

use prometheus::{
    Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

/// Buckets of the duration histogram, in seconds.
const DURATION_BUCKETS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.0,
    2.0, 4.0, 8.0,
];

/// Metrics of the call path.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Calls at the ingress, by status code.
    pub(crate) calls: IntCounterVec,
    /// Refusals by kind.
    pub(crate) refusals: IntCounterVec,
    /// Attempts after the first one, by service.
    pub(crate) retries: IntCounterVec,
    /// Retries left, by service.
    pub(crate) retry_budget: IntGaugeVec,
    /// Time to the head of the response, in seconds.
    pub(crate) duration: HistogramVec,
    /// Calls that the gate has in flight at its upstream.
    pub(crate) in_flight: IntGauge,
    /// Calls queued at the gate.
    pub(crate) waiting: IntGauge,
    /// Calls per second that the upstream states to take; -1 without a limit.
    pub(crate) call_limit: Gauge,
    /// Duration of each stage of a call at the gate, in seconds.
    pub(crate) stages: HistogramVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if they are already registered in `registry`.
    pub fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let calls = Opts::new("sardinestall_calls_total", "Calls answered at the ingress.");
        let refusals = Opts::new(
            "sardinestall_refusals_total",
            "Calls that the system itself answered.",
        );
        let duration = HistogramOpts::new(
            "sardinestall_call_duration_seconds",
            "Time from a call's arrival to the head of its answer.",
        )
        .buckets(DURATION_BUCKETS.to_vec());
        let stages = HistogramOpts::new(
            "sardinestall_stage_duration_seconds",
            "Time of one stage of a call at the gate: waiting for a slot, or at the upstream.",
        )
        .buckets(DURATION_BUCKETS.to_vec());
        let metrics = Self {
            calls: IntCounterVec::new(calls, &["code"])?,
            refusals: IntCounterVec::new(refusals, &["kind", "outcome"])?,
            retries: IntCounterVec::new(
                Opts::new("sardinestall_retries_total", "Tries after the first one."),
                &["service"],
            )?,
            retry_budget: IntGaugeVec::new(
                Opts::new(
                    "sardinestall_retry_budget_left",
                    "Retries that the calls of a service may take here at once.",
                ),
                &["service"],
            )?,
            duration: HistogramVec::new(duration, &["side"])?,
            in_flight: IntGauge::new(
                "sardinestall_gate_calls_in_flight",
                "Calls that the upstream beside this daemon runs.",
            )?,
            waiting: IntGauge::new(
                "sardinestall_gate_calls_waiting",
                "Calls that wait for a slot of the upstream beside this daemon.",
            )?,
            call_limit: Gauge::new(
                "sardinestall_gate_call_limit",
                "Calls per second that the upstream beside this daemon states to take; -1 if it states no limit.",
            )?,
            stages: HistogramVec::new(stages, &["stage"])?,
        };
        registry.register(Box::new(metrics.call_limit.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        registry.register(Box::new(metrics.stages.clone()))?;
        registry.register(Box::new(metrics.calls.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.retry_budget.clone()))?;
        registry.register(Box::new(metrics.duration.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        Ok(metrics)
    }

    /// Records the duration of one stage of a call.
    pub(crate) fn observe_stage(&self, stage: &str, elapsed: std::time::Duration) {
        let histogram = self.stages.with_label_values(&[stage]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, refusal: &crate::Refusal) {
        let labels = [refusal.kind.as_str(), refusal.outcome.as_str()];
        self.refusals.with_label_values(&labels).inc();
    }
}
