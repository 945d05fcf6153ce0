//! Announcements and drains of the local upstream.
//!
//! An upstream announces itself and repeats that as its heartbeat: one whose
//! heartbeats stop gets no more requests. Announced capacities are capped by
//! those of the inventory. The load that an upstream reports is advisory; the
//! node relies on its own measurements.

use crate::process::Process;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, UpstreamSpec};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use trillium::{Conn, Handler, Method, Status};

/// Largest accepted announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 16 << 10;

/// An upstream's announcement.
#[derive(Debug)]
struct Announcement {
    spec: UpstreamSpec,
    /// Whether its caches are still cold.
    cold: bool,
    /// Its own count of requests.
    load: Option<ReportedLoad>,
}

/// An upstream's own count of requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReportedLoad {
    in_flight: u32,
    queued: u32,
}

/// Serves the address of the local upstream.
pub(crate) fn handler<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) -> impl Handler {
    move |conn: Conn| {
        let process = Arc::clone(&process);
        async move { handle(&process, conn).await }
    }
}

async fn handle<P: Table + Objects, C: Clock>(process: &Process<P, C>, conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Post, "/_ibiscove/announce") => announce(process, conn).await,
        (Method::Post, "/_ibiscove/drain") => {
            begin_drain(process);
            conn.with_status(Status::NoContent).halt()
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

async fn announce<P: Table + Objects, C: Clock>(process: &Process<P, C>, mut conn: Conn) -> Conn {
    let body = conn
        .request_body()
        .await
        .with_max_len(MAX_ANNOUNCEMENT_BYTES)
        .read_bytes()
        .await;
    let announcement = body
        .map_err(|e| e.to_string())
        .and_then(|b| parse_announcement(&b));
    let Announcement { spec, cold, load } = match announcement {
        Ok(announcement) => announcement,
        Err(text) => return conn.with_status(Status::BadRequest).with_body(text).halt(),
    };
    let spec = cap_to_inventory(process, spec);
    process.recorder.record_announcement(&spec, &process.clock);
    let service_spec = process.service_spec(&spec.service);
    if let Some(load) = load {
        metrics::gauge!("ibiscove_reported_in_flight").set(load.in_flight);
        metrics::gauge!("ibiscove_reported_queued").set(load.queued);
    }
    let now = process.clock.now();
    process
        .local_upstream
        .apply_announcement(spec.clone(), cold, now);
    match process.ownership.announce(spec, service_spec).await {
        Ok(()) => conn.with_status(Status::NoContent).halt(),
        Err(err) => conn
            .with_status(Status::ServiceUnavailable)
            .with_body(err.to_string())
            .halt(),
    }
}

/// Refuses new requests from here on, and hands the slots over once the running
/// ones have ended.
fn begin_drain<P: Table + Objects, C: Clock>(process: &Process<P, C>) {
    log::info!(
        "the local upstream asked to drain: new requests are refused and its slots handed over"
    );
    process.local_upstream.begin_draining();
    let ownership = process.ownership.clone();
    smol::spawn(async move {
        if let Err(err) = ownership.drain().await {
            log::warn!("drain of the local upstream: its slots could not be handed over: {err}");
        }
    })
    .detach();
}

/// Caps the announced capacities at those of the inventory.
fn cap_to_inventory<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    mut spec: UpstreamSpec,
) -> UpstreamSpec {
    let inventory = process.inventory();
    if let Some(entry) = inventory.service(&spec.service) {
        spec.concurrency = cap(spec.concurrency, entry.concurrency);
        spec.connections = cap(spec.connections, entry.connections);
    }
    spec
}

/// Returns the lower of both; 0 in the inventory means no cap.
fn cap(announced: u32, inventory: u32) -> u32 {
    match inventory {
        0 => announced,
        max => announced.min(max),
    }
}

/// Parses an announcement. An error names the field and states what to send.
fn parse_announcement(body: &[u8]) -> Result<Announcement, String> {
    let mut fields: Fields = serde_json::from_slice(body)
        .map_err(|err| format!("announcement: {err}. Send a JSON object.\n"))?;
    let spec = UpstreamSpec {
        service: take_required(&mut fields, "service", "the name of a service")?,
        addr: take_required(
            &mut fields,
            "addr",
            "the IP:PORT at which it accepts requests",
        )?,
        concurrency: take_required(&mut fields, "concurrency", "requests worked on at a time")?,
        connections: take_required(&mut fields, "connections", "connections accepted at a time")?,
        checks_fences: take_required(
            &mut fields,
            "checks_fences",
            "whether it refuses requests with an outdated fence",
        )?,
    };
    let cold = take_optional(&mut fields, "cold", "whether its caches are cold")?;
    let load = take_optional(&mut fields, "load", "{in_flight, queued}")?;
    let problem = if spec.service.is_empty() || spec.service.contains('/') {
        Some(("service", "the name of a service, without a slash"))
    } else if spec.concurrency == 0 {
        Some((
            "concurrency",
            "the number of requests worked on at a time, at least 1",
        ))
    } else if spec.connections == 0 {
        Some((
            "connections",
            "the number of connections accepted, at least 1",
        ))
    } else if spec.addr.port() == 0 || spec.addr.ip().is_unspecified() {
        Some((
            "addr",
            "the IP and port at which this upstream can be reached",
        ))
    } else {
        None
    };
    match problem {
        Some((name, remedy)) => Err(field_error(name, "invalid value", remedy)),
        None => Ok(Announcement {
            spec,
            cold: cold.unwrap_or(false),
            load,
        }),
    }
}

type Fields = serde_json::Map<String, serde_json::Value>;

fn take_required<T: DeserializeOwned>(
    fields: &mut Fields,
    name: &str,
    remedy: &str,
) -> Result<T, String> {
    take_optional(fields, name, remedy)?.ok_or_else(|| field_error(name, "missing", remedy))
}

fn take_optional<T: DeserializeOwned>(
    fields: &mut Fields,
    name: &str,
    remedy: &str,
) -> Result<Option<T>, String> {
    let value = fields.remove(name).map(serde_json::from_value);
    value
        .transpose()
        .map_err(|err| field_error(name, &err.to_string(), remedy))
}

fn field_error(name: &str, problem: &str, remedy: &str) -> String {
    format!("announcement: field {name}: {problem}. Send {remedy}.\n")
}
