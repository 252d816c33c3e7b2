//! Refusal of quarantined requests, and what daemons tell each other about the request of a call.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use model::{CrashReport, Fingerprint, UnixMillis};

use crate::crashes::{Crashes, Verdict};
use crate::header::{CRASHES, REQUEST};
use crate::{Refusal, RefusalKind};

/// Refuses a quarantined request.
pub(crate) fn check(crashes: &Crashes, request: Option<Fingerprint>) -> Result<(), Refusal> {
    let Some(request) = request else {
        return Ok(());
    };
    let Verdict::Quarantined { until } = crashes.verdict(request) else {
        return Ok(());
    };
    let left = until.get().saturating_sub(UnixMillis::now().get());
    let message = format!(
        "upstreams crashed each time that they ran this request ({request}); mend them or the request"
    );
    let refusal = Refusal::not_run(RefusalKind::Quarantined, message);
    Err(refusal.with_retry_delay(Duration::from_millis(left)))
}

/// Records the crash that a gate reports for `request`.
pub(crate) fn learn(crashes: &Crashes, request: Fingerprint, refusal: &Refusal) {
    let report = refusal.crash.iter();
    crashes.merge(report.filter(|report| report.request == request));
}

/// Writes the fingerprint of a call's request, and the crashes that count against it.
pub(crate) fn write(crashes: &Crashes, request: Option<Fingerprint>, headers: &mut HeaderMap) {
    let Some(request) = request else {
        return;
    };
    insert(headers, REQUEST, &request.to_string());
    let reports = crashes.reports(request);
    if !reports.is_empty() {
        let reports: Vec<String> = reports.iter().map(ToString::to_string).collect();
        insert(headers, CRASHES, &reports.join(","));
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(mut value) = HeaderValue::from_str(text) {
        // Kept out of the table of the header compression, where it would displace values that come again.
        value.set_sensitive(true);
        headers.insert(name, value);
    }
}

/// Parses the fingerprint of a call's request, and records the crashes that its ingress knows of.
pub(crate) fn read(crashes: &Crashes, headers: &HeaderMap) -> Option<Fingerprint> {
    let request: Fingerprint = headers.get(REQUEST)?.to_str().ok()?.parse().ok()?;
    if let Some(reports) = headers.get(CRASHES).and_then(|value| value.to_str().ok()) {
        let reports = reports.split(',').filter_map(|report| report.parse().ok());
        let reports: Vec<CrashReport> = reports.collect();
        crashes.merge(reports.iter().filter(|report| report.request == request));
    }
    Some(request)
}
