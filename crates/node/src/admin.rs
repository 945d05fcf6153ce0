//! Health, metrics and status.
//!
//! `/healthz` says that the process answers; `/readyz` whether requests should
//! be sent here, and if not, why; `/metrics` is Prometheus text; `/status` is
//! what this node knows of itself, as JSON. None of them needs a token, for
//! none changes anything; they belong on an address that callers cannot reach.

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
            if crate::operators::takes(conn.path()) {
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
        (true, Method::Get | Method::Head) => answer(process, conn),
        (true, _) => conn
            .with_status(Status::MethodNotAllowed)
            .with_response_header(KnownHeaderName::Allow, "GET, HEAD")
            .halt(),
    }
}

fn answer<P: Table + Objects, C: Clock>(process: &Process<P, C>, conn: Conn) -> Conn {
    match conn.path() {
        "/readyz" => ready(process, conn),
        "/metrics" => metrics(conn),
        "/status" => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(status(process).to_string()),
        _ => conn.ok("ok\n"),
    }
}

fn ready<P: Table + Objects, C: Clock>(process: &Process<P, C>, conn: Conn) -> Conn {
    match unready(process) {
        None => conn.ok("ready\n"),
        Some(why) => conn
            .with_status(Status::ServiceUnavailable)
            .with_body(format!("{why}\n"))
            .halt(),
    }
}

/// Why requests for this node's upstream would be refused; none when they
/// would not.
fn unready<P: Table + Objects, C: Clock>(process: &Process<P, C>) -> Option<&'static str> {
    let now = process.clock.now();
    let row = process.ownership.row();
    if row.state != NodeState::Live {
        return Some("leaving");
    }
    let Some(announced) = process.beside.heard(now, process.settings.announce_timeout) else {
        return Some("no upstream has been heard");
    };
    if announced.draining {
        return Some("the upstream is draining");
    }
    let Some(service) = row.service() else {
        return Some("the upstream is not registered yet");
    };
    let needs_lease = process.shape(service).kind == ServiceKind::Divided;
    if needs_lease && process.ownership.lease_end(now).is_none() {
        return Some("no fresh lease");
    }
    None
}

fn metrics(conn: Conn) -> Conn {
    match telemetry::recorder() {
        Some(recorder) => conn
            .with_response_header(KnownHeaderName::ContentType, METRICS_TYPE)
            .ok(recorder.render()),
        None => conn.with_status(Status::ServiceUnavailable).halt(),
    }
}

fn status<P: Table + Objects, C: Clock>(process: &Process<P, C>) -> serde_json::Value {
    let now = process.clock.now();
    let row = process.ownership.row();
    let lease_end = process.ownership.lease_end(now);
    let heard = process.beside.heard(now, process.settings.announce_timeout);
    let unready = unready(process);
    let millis = |time: Duration| time.as_millis() as u64;
    serde_json::json!({
        "version": env!("CARGO_PKG_VERSION"),
        "uptime_ms": millis(now.saturating_duration_since(process.started)),
        "ready": unready.is_none(),
        "unready_reason": unready,
        "lease_left_ms": lease_end.map(|end| millis(end.saturating_duration_since(now))),
        "covered": process.ownership.is_takeover_ready(),
        "upstream_silence_ms": heard.map(|a| millis(now.saturating_duration_since(a.heard))),
        "known_nodes": process.replica.node_count(),
        "node": row,
    })
}
