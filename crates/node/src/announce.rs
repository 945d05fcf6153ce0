//! Announcements and drains of the upstream beside this node.
//!
//! An upstream announces itself, and repeats that as its heartbeat: one that
//! falls silent gets nothing more. The inventory's capacities cap what is
//! announced, and the load that an upstream reports is advice that the node's
//! own observations outweigh.

use crate::process::Process;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, UpstreamSpec};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use trillium::{Conn, Handler, Method, Status};

/// Largest announcement taken, in bytes.
const MAX_BODY: u64 = 16 << 10;

/// What an upstream says of itself.
#[derive(Debug)]
struct Announcement {
    spec: UpstreamSpec,
    /// Whether its caches are still cold.
    cold: bool,
    /// Its own count of requests.
    load: Option<Load>,
}

/// An upstream's own count of requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Load {
    in_flight: u32,
    queued: u32,
}

/// Serves the address for the upstream beside this node.
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
            drain(process);
            conn.with_status(Status::NoContent).halt()
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

async fn announce<P: Table + Objects, C: Clock>(process: &Process<P, C>, mut conn: Conn) -> Conn {
    let body = conn
        .request_body()
        .await
        .with_max_len(MAX_BODY)
        .read_bytes()
        .await;
    let announcement = body.map_err(|e| e.to_string()).and_then(|b| parse(&b));
    let Announcement { spec, cold, load } = match announcement {
        Ok(announcement) => announcement,
        Err(text) => return conn.with_status(Status::BadRequest).with_body(text).halt(),
    };
    let spec = capped(process, spec);
    process.recorder.announce(&spec, &process.clock);
    let shape = process.shape(&spec.service);
    if let Some(load) = load {
        metrics::gauge!("ibiscove_reported_in_flight").set(load.in_flight);
        metrics::gauge!("ibiscove_reported_queued").set(load.queued);
    }
    let now = process.clock.now();
    process.beside.announce(spec.clone(), cold, now);
    match process.ownership.announce(spec, shape).await {
        Ok(()) => conn.with_status(Status::NoContent).halt(),
        Err(err) => conn
            .with_status(Status::ServiceUnavailable)
            .with_body(err.to_string())
            .halt(),
    }
}

/// Refuses new work from here on, and gives the slots away once what runs has
/// ended.
fn drain<P: Table + Objects, C: Clock>(process: &Process<P, C>) {
    log::info!("the upstream leaves: it gets nothing new");
    process.beside.drain();
    let ownership = process.ownership.clone();
    smol::spawn(async move {
        if let Err(err) = ownership.drain().await {
            log::warn!("giving slots away: {err}");
        }
    })
    .detach();
}

/// Caps an announcement at the capacities that the inventory gives.
fn capped<P: Table + Objects, C: Clock>(
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

/// The lower of both; 0 in the inventory caps nothing.
fn cap(announced: u32, inventory: u32) -> u32 {
    match inventory {
        0 => announced,
        most => announced.min(most),
    }
}

/// Reads an announcement; an error names the field and says what to send.
fn parse(body: &[u8]) -> Result<Announcement, String> {
    let mut fields: Fields = serde_json::from_slice(body)
        .map_err(|err| format!("announcement: {err}. Send a JSON object.\n"))?;
    let spec = UpstreamSpec {
        service: required(&mut fields, "service", "the name of a service")?,
        addr: required(
            &mut fields,
            "addr",
            "the IP:PORT at which it takes requests",
        )?,
        concurrency: required(&mut fields, "concurrency", "requests worked on at a time")?,
        connections: required(&mut fields, "connections", "connections accepted at a time")?,
        checks_fences: required(
            &mut fields,
            "checks_fences",
            "whether it refuses low fences",
        )?,
    };
    let cold = optional(&mut fields, "cold", "whether its caches are cold")?;
    let load = optional(&mut fields, "load", "{in_flight, queued}")?;
    let wrong = if spec.service.is_empty() || spec.service.contains('/') {
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
    match wrong {
        Some((name, remedy)) => Err(bad_field(name, "not possible", remedy)),
        None => Ok(Announcement {
            spec,
            cold: cold.unwrap_or(false),
            load,
        }),
    }
}

type Fields = serde_json::Map<String, serde_json::Value>;

fn required<T: DeserializeOwned>(
    fields: &mut Fields,
    name: &str,
    remedy: &str,
) -> Result<T, String> {
    optional(fields, name, remedy)?.ok_or_else(|| bad_field(name, "missing", remedy))
}

fn optional<T: DeserializeOwned>(
    fields: &mut Fields,
    name: &str,
    remedy: &str,
) -> Result<Option<T>, String> {
    let value = fields.remove(name).map(serde_json::from_value);
    value
        .transpose()
        .map_err(|err| bad_field(name, &err.to_string(), remedy))
}

fn bad_field(name: &str, wrong: &str, remedy: &str) -> String {
    format!("announcement: field {name}: {wrong}. Send {remedy}.\n")
}
