//! What the upstream states in its responses, as the gate applies it and reports it to ingresses.

use std::sync::atomic::Ordering;

use http::{HeaderMap, HeaderValue};
use model::CallRate;
use slog::{info, warn};

use super::Gate;
use crate::backend::Announcement;
use crate::header::{LOAD, NOTICE};
use crate::statements::Notice;

/// Value of the call limit's metric while the upstream states none.
const NO_CALL_LIMIT: f64 = -1.0;

impl Gate {
    /// Applies what the upstream states in a response.
    pub(super) fn read_statement(&self, announced: &Announcement, headers: &HeaderMap) {
        if self.dialect.states_leaving(headers) {
            self.admission.record_leaving(announced);
            self.drain(announced);
        }
        let stated = self.dialect.stated_limit(headers);
        let was_unreadable = self
            .limit_unreadable
            .swap(stated.is_err(), Ordering::Relaxed);
        let limit = match stated {
            Ok(limit) => limit,
            Err(error) => {
                if !was_unreadable {
                    warn!(self.log, "call limit of the upstream ignored, the last one stays"; "error" => %error);
                }
                return;
            }
        };
        if !self.admission.record_limit(announced, limit) {
            return;
        }
        let per_second = limit.map(|limit| limit.to_string());
        info!(self.log, "call limit of the upstream changed";
            "instance" => announced.instance.as_ref().map(ToString::to_string),
            "per_second" => per_second);
    }

    /// Applies the notice in a request of an ingress.
    pub(super) fn read_notice(&self, headers: &HeaderMap) {
        if let Some(upstream) = self.backend.current() {
            let notice = Notice::of(headers);
            self.admission.track_upstream(&upstream, notice.as_ref());
            if self.admission.is_leaving(&upstream) {
                self.drain(&upstream);
            }
        }
    }

    /// Drains the upstream, which states that it leaves.
    fn drain(&self, announced: &Announcement) {
        if self.backend.drain_incarnation(announced) {
            info!(self.log, "upstream states that it leaves";
                "instance" => announced.instance.as_ref().map(ToString::to_string),
                "start" => %announced.start);
        }
    }

    /// Writes the load and what the upstream states, for the ingress. An ingress without a notice gets one
    /// only for restrictions.
    pub(super) fn write_status(&self, headers: &mut HeaderMap, has_notice: bool) {
        let status = self.admission.status();
        self.metrics.waiting.set(i64::from(status.waiting));
        let limit = status.call_limit.map(CallRate::per_second);
        self.metrics.call_limit.set(limit.unwrap_or(NO_CALL_LIMIT));
        headers.insert(LOAD, HeaderValue::from(status.load));
        let notice = status.notice;
        let notice = notice.filter(|notice| has_notice || !notice.is_plain());
        let notice = notice.and_then(|notice| HeaderValue::from_str(&notice.to_string()).ok());
        if let Some(notice) = notice {
            headers.insert(NOTICE, notice);
        }
    }
}
