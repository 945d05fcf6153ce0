//! Records events at a node as lines of a trace.
//!
//! Lines go to a bounded channel ([`crate::NodeSettings::trace_sink`]), because
//! an instance has no disk to store them on; if the channel is full, a line is
//! dropped and counted. Keys and idempotency keys are recorded as hashes, so
//! that a trace reveals nothing about callers. `docs/traces.md` describes the
//! lines; their times are milliseconds of the wall clock, so that the lines of
//! several nodes can be merged.

use crate::NodeSettings;
use crate::plan::RequestPlan;
use ibiscove_config::change::{ChangeRequest, ConfigKind};
use ibiscove_types::{Clock, UpstreamSpec, hash};
use serde_json::{Value, json};
use smol::channel::Sender;
use std::sync::{Mutex, PoisonError};
use std::time::UNIX_EPOCH;
use trillium::Conn;

/// Records events at a node; does nothing unless its settings name a sink.
pub(crate) struct TraceRecorder {
    trace: Option<TraceOutput>,
}

struct TraceOutput {
    lines: Sender<String>,
    node: String,
    /// The last announcement: announcements repeat as heartbeats, of which only
    /// changes are recorded.
    announced: Mutex<Option<UpstreamSpec>>,
}

impl TraceRecorder {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let trace = settings.trace_sink.clone().map(|lines| TraceOutput {
            lines,
            node: settings.name.clone(),
            announced: Mutex::default(),
        });
        Self { trace }
    }

    /// Records that the node started.
    pub(crate) fn record_start(&self, settings: &NodeSettings, clock: &impl Clock) {
        let Some(trace) = &self.trace else { return };
        let node = json!({
            "name": trace.node,
            "data_centre": &*settings.data_centre,
            "region": &*settings.region,
        });
        trace.write(clock, "start", node);
    }

    /// Records an announcement that differs from the one before.
    pub(crate) fn record_announcement(&self, spec: &UpstreamSpec, clock: &impl Clock) {
        let Some(trace) = &self.trace else { return };
        let mut announced = trace
            .announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if announced.replace(spec.clone()).as_ref() == Some(spec) {
            return;
        }
        let announce = json!({
            "node": trace.node,
            "service": &*spec.service,
            "concurrency": spec.concurrency,
            "checks_fences": spec.checks_fences,
        });
        trace.write(clock, "announce", announce);
    }

    /// Records a caller's request.
    pub(crate) fn record_request(&self, conn: &Conn, plan: &RequestPlan, clock: &impl Clock) {
        let Some(trace) = &self.trace else { return };
        let idempotency_key = conn.request_headers().get_str("Idempotency-Key");
        let key_hash = idempotency_key.map(|key| format!("{:016x}", hash::key_hash(key)));
        // Duplicates of an order carry the same key, and so the same name.
        let order = key_hash.clone();
        let order = order.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
        let mut req = json!({
            "order": order,
            "node": trace.node,
            "method": conn.method().as_ref(),
            "service": &*plan.service,
            "key": format!("{:016x}", plan.key_hash),
        });
        if let Some(key) = key_hash {
            req["idempotency_key"] = key.into();
        }
        trace.write(clock, "request", req);
    }

    /// Records an operator's change.
    pub(crate) fn record_change(&self, kind: ConfigKind, req: &ChangeRequest, clock: &impl Clock) {
        let Some(trace) = self.trace.as_ref().filter(|_| !req.dry_run) else {
            return;
        };
        let change = json!({
            "author": req.author,
            "node": trace.node,
            "kind": kind,
            "expect": req.expect,
            "body": req.body,
        });
        trace.write(clock, "change", change);
    }

    /// Records that the node was asked to leave.
    pub(crate) fn record_drain(&self, clock: &impl Clock) {
        let Some(trace) = &self.trace else { return };
        trace.write(clock, "drain", json!({ "node": trace.node }));
    }
}

impl TraceOutput {
    fn write(&self, clock: &impl Clock, event: &str, fields: Value) {
        let since_epoch = clock.wall().duration_since(UNIX_EPOCH);
        let at_ms = since_epoch.unwrap_or_default().as_millis() as u64;
        let line = json!({ "at_ms": at_ms, event: fields });
        if self.lines.try_send(line.to_string()).is_err() {
            metrics::counter!("ibiscove_recording_dropped_total").increment(1);
        }
    }
}
