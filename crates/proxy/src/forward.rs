//! The header in which an entry sends a request's metadata to a gate.

use crate::headers::{self, FORWARD};
use crate::transit::SentTime;
use crate::upstream_notice::NoticeReport;
use hyper::HeaderMap;
use ibiscove_routing::admission::Priority;
use ibiscove_routing::quarantine::CrashRecord;
use ibiscove_types::{
    Fingerprint, Key, NodeName, ServiceName, format_fingerprint, parse_fingerprint,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the entry determined about a request, for the gate's admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestMetadata {
    /// The service that the request is for.
    pub service: ServiceName,
    /// Name of the route, by which its latency is estimated.
    pub route: Arc<str>,
    /// The caller's id of this attempt.
    pub request_id: Arc<str>,
    /// The key, for a divided service.
    pub key: Option<Key>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its priority; 0 is the most urgent.
    pub priority: Priority,
    /// Target latency of its route.
    pub target_latency: Duration,
    /// When its target latency has passed.
    pub target_deadline: Instant,
    /// When its caller stops waiting for a response.
    pub deadline: Instant,
    /// Whether it may be queued although it will probably miss its target.
    pub may_miss_target: bool,
    /// The service whose instance sent the request.
    pub caller_service: Option<ServiceName>,
    /// The node whose entry accepted the request.
    pub entry_node: NodeName,
    /// What the entry knows that the upstream has said about itself.
    pub upstream_notice: Option<NoticeReport>,
    /// Identifies copies of the request; none from a node that does not tell.
    pub fingerprint: Option<Fingerprint>,
    /// What the entry knows of crashes beside copies of the request.
    pub crash_record: Option<CrashRecord>,
    /// When it was sent to the gate; none from a node that does not tell.
    pub sent: Option<SentTime>,
}

/// The header's content as JSON. Times are relative because clocks differ.
#[derive(Serialize, Deserialize)]
struct Fields {
    service: ServiceName,
    route: Arc<str>,
    id: Arc<str>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    key: Option<Key>,
    idempotent: bool,
    priority: Priority,
    latency_ms: u64,
    target_ms: u64,
    left_ms: u64,
    may_be_late: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    origin: Option<ServiceName>,
    entry: NodeName,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    notice: Option<NoticeReport>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fingerprint: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    crashes: Option<CrashRecord>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    sent: Option<SentTime>,
}

impl RequestMetadata {
    /// Adds the header to `to`.
    pub fn write(&self, to: &mut HeaderMap, now: Instant) -> Result<(), serde_json::Error> {
        let remaining_ms = |until: Instant| {
            let remaining = until.saturating_duration_since(now);
            u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
        };
        let fields = Fields {
            service: Arc::clone(&self.service),
            route: Arc::clone(&self.route),
            id: Arc::clone(&self.request_id),
            key: self.key,
            idempotent: self.idempotent,
            priority: self.priority,
            latency_ms: u64::try_from(self.target_latency.as_millis()).unwrap_or(u64::MAX),
            target_ms: remaining_ms(self.target_deadline),
            left_ms: remaining_ms(self.deadline),
            may_be_late: self.may_miss_target,
            origin: self.caller_service.clone(),
            entry: Arc::clone(&self.entry_node),
            notice: self.upstream_notice.clone(),
            fingerprint: self.fingerprint.map(format_fingerprint),
            crashes: self.crash_record,
            sent: self.sent,
        };
        to.insert(
            FORWARD,
            headers::json_value(&serde_json::to_string(&fields)?),
        );
        Ok(())
    }

    /// Reads the header; returns none when it is absent or malformed.
    pub fn read(from: &HeaderMap, now: Instant) -> Option<Self> {
        let fields: Fields = serde_json::from_slice(from.get(FORWARD)?.as_bytes()).ok()?;
        Some(Self {
            service: fields.service,
            route: fields.route,
            request_id: fields.id,
            key: fields.key,
            idempotent: fields.idempotent,
            priority: fields.priority,
            target_latency: Duration::from_millis(fields.latency_ms),
            target_deadline: now + Duration::from_millis(fields.target_ms),
            deadline: now + Duration::from_millis(fields.left_ms),
            may_miss_target: fields.may_be_late,
            caller_service: fields.origin,
            entry_node: fields.entry,
            upstream_notice: fields.notice.filter(NoticeReport::is_valid),
            fingerprint: fields.fingerprint.as_deref().and_then(parse_fingerprint),
            crash_record: fields.crashes,
            sent: fields.sent,
        })
    }

    /// Takes the time off that the request has waited on its way to the gate.
    pub fn deduct(&mut self, wait: Duration) {
        let earlier = |at: Instant| at.checked_sub(wait).unwrap_or(at);
        self.target_deadline = earlier(self.target_deadline);
        self.deadline = earlier(self.deadline);
    }
}
