//! What an entry tells a gate of a request, in one header beside the request's
//! own.

use crate::headers::{self, FORWARD};
use hyper::HeaderMap;
use ibiscove_routing::admission::Priority;
use ibiscove_types::{Key, NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the entry decided and the gate acts on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The service that the request is for.
    pub service: ServiceName,
    /// Name of the route, by which its usual time is known.
    pub route: Arc<str>,
    /// The caller's id of this attempt.
    pub request_id: Arc<str>,
    /// The key, for a divided service.
    pub key: Option<Key>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its rank.
    pub priority: Priority,
    /// Time within which its route wants answers.
    pub target_latency: Duration,
    /// When it is answered in full worth.
    pub target: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether it may wait there although it will probably miss its target.
    pub may_be_late: bool,
    /// The service beside which it began.
    pub origin: Option<ServiceName>,
    /// The node that forwards it.
    pub entry: NodeName,
}

/// The header's form; times are relative since clocks differ.
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
}

impl Work {
    /// Writes the header.
    pub fn write(&self, to: &mut HeaderMap, now: Instant) -> Result<(), serde_json::Error> {
        let left = |until: Instant| {
            let left = until.saturating_duration_since(now);
            u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
        };
        let fields = Fields {
            service: Arc::clone(&self.service),
            route: Arc::clone(&self.route),
            id: Arc::clone(&self.request_id),
            key: self.key,
            idempotent: self.idempotent,
            priority: self.priority,
            latency_ms: u64::try_from(self.target_latency.as_millis()).unwrap_or(u64::MAX),
            target_ms: left(self.target),
            left_ms: left(self.deadline),
            may_be_late: self.may_be_late,
            origin: self.origin.clone(),
            entry: Arc::clone(&self.entry),
        };
        to.insert(FORWARD, headers::value(&serde_json::to_string(&fields)?));
        Ok(())
    }

    /// Reads the header; none when it is absent or malformed.
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
            target: now + Duration::from_millis(fields.target_ms),
            deadline: now + Duration::from_millis(fields.left_ms),
            may_be_late: fields.may_be_late,
            origin: fields.origin,
            entry: fields.entry,
        })
    }
}
