//! Records what happens at a node as lines of a trace.
//!
//! Lines go to a bounded channel ([`crate::NodeSettings::trace_sink`]), for an
//! instance has no disk to keep them on; a line that finds the channel full is
//! left out and counted. Keys and idempotency keys are recorded as hashes, so
//! that a trace tells nothing of callers. `docs/traces.md` describes the lines;
//! their times are milliseconds of the wall clock, so that the lines of several
//! nodes can be merged.

use crate::NodeSettings;
use crate::plan::Plan;
use ibiscove_config::change::{ChangeRequest, ConfigKind};
use ibiscove_types::{Clock, UpstreamSpec, hash};
use serde_json::{Value, json};
use smol::channel::Sender;
use std::sync::{Mutex, PoisonError};
use std::time::UNIX_EPOCH;
use trillium::Conn;

/// Records what happens at a node; does nothing unless its settings ask.
pub(crate) struct Recorder {
    on: Option<Recording>,
}

struct Recording {
    lines: Sender<String>,
    node: String,
    /// Announcements repeat as heartbeats; only changes are recorded.
    announced: Mutex<Option<UpstreamSpec>>,
}

impl Recorder {
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        let on = settings.trace_sink.clone().map(|lines| Recording {
            lines,
            node: settings.name.clone(),
            announced: Mutex::default(),
        });
        Self { on }
    }

    /// Records that the node started.
    pub(crate) fn start(&self, settings: &NodeSettings, clock: &impl Clock) {
        let Some(on) = &self.on else { return };
        let node = json!({
            "name": on.node,
            "data_centre": &*settings.data_centre,
            "region": &*settings.region,
        });
        on.write(clock, "start", node);
    }

    /// Records an announcement that differs from the one before.
    pub(crate) fn announce(&self, spec: &UpstreamSpec, clock: &impl Clock) {
        let Some(on) = &self.on else { return };
        let mut announced = on.announced.lock().unwrap_or_else(PoisonError::into_inner);
        if announced.replace(spec.clone()).as_ref() == Some(spec) {
            return;
        }
        let announce = json!({
            "node": on.node,
            "service": &*spec.service,
            "concurrency": spec.concurrency,
            "checks_fences": spec.checks_fences,
        });
        on.write(clock, "announce", announce);
    }

    /// Records a caller's request.
    pub(crate) fn request(&self, conn: &Conn, plan: &Plan, clock: &impl Clock) {
        let Some(on) = &self.on else { return };
        let idempotency_key = conn.request_headers().get_str("Idempotency-Key");
        let hashed = idempotency_key.map(|key| format!("{:016x}", hash::key_hash(key)));
        // Repeats of an order carry the same key, and so the same name.
        let order = hashed.clone();
        let order = order.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
        let mut req = json!({
            "order": order,
            "node": on.node,
            "method": conn.method().as_ref(),
            "service": &*plan.service,
            "key": format!("{:016x}", plan.key_hash),
        });
        if let Some(key) = hashed {
            req["idempotency_key"] = key.into();
        }
        on.write(clock, "request", req);
    }

    /// Records an operator's change.
    pub(crate) fn change(&self, kind: ConfigKind, req: &ChangeRequest, clock: &impl Clock) {
        let Some(on) = self.on.as_ref().filter(|_| !req.dry_run) else {
            return;
        };
        let change = json!({
            "author": req.author,
            "node": on.node,
            "kind": kind,
            "expect": req.expect,
            "body": req.body,
        });
        on.write(clock, "change", change);
    }

    /// Records that the node was told to leave.
    pub(crate) fn drain(&self, clock: &impl Clock) {
        let Some(on) = &self.on else { return };
        on.write(clock, "drain", json!({ "node": on.node }));
    }
}

impl Recording {
    fn write(&self, clock: &impl Clock, event: &str, fields: Value) {
        let since_epoch = clock.wall().duration_since(UNIX_EPOCH);
        let at_ms = since_epoch.unwrap_or_default().as_millis() as u64;
        let line = json!({ "at_ms": at_ms, event: fields });
        if self.lines.try_send(line.to_string()).is_err() {
            metrics::counter!("ibiscove_recording_dropped_total").increment(1);
        }
    }
}
