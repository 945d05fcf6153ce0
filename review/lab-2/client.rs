//! Clients on a machine.

use crate::http;
use crate::node::Node;
use crate::record::{Answer, Record};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Deadline that clients name.
const DEADLINE_MS: u64 = 1_000;

/// A request of a client, with the path that selects its route.
pub struct ClientRequest<'a> {
    pub id: String,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<u16>,
}

/// Sends a request on a connection of its own; the record takes the answer.
pub fn send(node: &Node, request: &ClientRequest<'_>, record: &Record) -> JoinHandle<u16> {
    let ClientRequest {
        id,
        method,
        host,
        path,
        key,
    } = request;
    let deadline = DEADLINE_MS.to_string();
    let key = key.map(|key| key.to_string());
    let mut headers = vec![
        ("Host", *host),
        ("Ibiscove-Request-Id", id),
        ("Ibiscove-Deadline-Ms", &deadline),
    ];
    if let Some(key) = &key {
        headers.push(("Ibiscove-Shard-Key", key));
    }
    let body: &[u8] = match *method {
        "GET" => b"",
        _ => b"an order",
    };
    let bytes = http::format(&format!("{method} {path}{id} HTTP/1.1"), &headers, body);
    let (addr, machine) = (node.machine.outbound(), node.name.clone());
    let (record, id) = (record.clone(), id.clone());
    thread::spawn(move || {
        let sent_at = Instant::now();
        record.line(&format!("sent     {id} at {machine}"));
        let answer = http::call(addr, &bytes, Duration::from_millis(DEADLINE_MS + 500));
        let status = answer.map_or(0, |answer| answer.status());
        record.answered(Answer {
            request: id,
            machine,
            sent_at,
            status,
        });
        status
    })
}
