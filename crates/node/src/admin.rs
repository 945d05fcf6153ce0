//! Health, metrics and status.
//!
//! `/healthz` responds while the process works; `/readyz` reports whether
//! requests should be sent here, and if not, why; `/metrics` is Prometheus
//! text; `/status` is the state of this node, as JSON. None of them needs a
//! token, because none changes anything; they belong on an address that callers
//! cannot reach.

use crate::process::Process;
use crate::telemetry;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, NodeState, ServiceKind};
use std::sync::Arc;
use std::time::Duration;
use trillium::{Conn, Handler, KnownHeaderName, Method, Status};

/// Media type of Prometheus text.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves the admin address.
pub(crate) fn handler<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) -> impl Handler {
    move |conn: Conn| {
        let process = Arc::clone(&process);
        async move {
            if crate::operators::is_operator_path(conn.path()) {
                return crate::operators::handle(&process, conn).await;
            }
            handle(&process, conn)
        }
    }
}

fn handle<P: Table + Objects, C: Clock>(process: &Process<P, C>, conn: Conn) -> Conn {
    let is_known = matches!(conn.path(), "/healthz" | "/readyz" | "/metrics" | "/status");
    match (is_known, conn.method()) {
        (false, _) => conn.with_status(Status::NotFound).halt(),
        (true, Method::Get | Method::Head) => respond(process, conn),
        (true, _) => conn
            .with_status(Status::MethodNotAllowed)
            .with_response_header(KnownHeaderName::Allow, "GET, HEAD")
            .halt(),
    }
}

fn respond<P: Table + Objects, C: Clock>(process: &Process<P, C>, conn: Conn) -> Conn {
    match conn.path() {
        "/readyz" => respond_ready(process, conn),
        "/metrics" => respond_metrics(conn),
        "/status" => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(node_status(process).to_string()),
        _ => conn.ok("ok\n"),
    }
}

fn respond_ready<P: Table + Objects, C: Clock>(process: &Process<P, C>, conn: Conn) -> Conn {
    match unready_reason(process) {
        None => conn.ok("ready\n"),
        Some(why) => conn
            .with_status(Status::ServiceUnavailable)
            .with_body(format!("{why}\n"))
            .halt(),
    }
}

/// Returns why requests for the local upstream would be refused; none if they
/// would not.
fn unready_reason<P: Table + Objects, C: Clock>(process: &Process<P, C>) -> Option<&'static str> {
    let now = process.clock.now();
    let row = process.ownership.row();
    if row.state != NodeState::Live {
        return Some("leaving");
    }
    let Some(upstream) = process
        .local_upstream
        .current(now, process.settings.announce_timeout)
    else {
        return Some("no upstream has announced itself recently");
    };
    if upstream.draining {
        return Some("the upstream is draining");
    }
    let Some(service) = row.service() else {
        return Some("the upstream is not registered yet");
    };
    let needs_lease = process.service_spec(service).kind == ServiceKind::Divided;
    if needs_lease && process.ownership.lease_end(now).is_none() {
        return Some("no fresh lease");
    }
    None
}

fn respond_metrics(conn: Conn) -> Conn {
    match telemetry::recorder() {
        Some(recorder) => conn
            .with_response_header(KnownHeaderName::ContentType, METRICS_TYPE)
            .ok(recorder.render()),
        None => conn.with_status(Status::ServiceUnavailable).halt(),
    }
}

fn node_status<P: Table + Objects, C: Clock>(process: &Process<P, C>) -> serde_json::Value {
    let now = process.clock.now();
    let row = process.ownership.row();
    let lease_end = process.ownership.lease_end(now);
    let upstream = process
        .local_upstream
        .current(now, process.settings.announce_timeout);
    let unready_reason = unready_reason(process);
    let millis = |time: Duration| time.as_millis() as u64;
    serde_json::json!({
        "version": env!("CARGO_PKG_VERSION"),
        "uptime_ms": millis(now.saturating_duration_since(process.started_at)),
        "ready": unready_reason.is_none(),
        "unready_reason": unready_reason,
        "lease_left_ms": lease_end.map(|end| millis(end.saturating_duration_since(now))),
        "covered": process.ownership.is_takeover_ready(),
        "upstream_silence_ms": upstream
            .map(|upstream| millis(now.saturating_duration_since(upstream.last_announced))),
        "known_nodes": process.replica.node_count(),
        "node": row,
    })
}
