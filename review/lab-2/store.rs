//! The platform's metadata store: rows, transactions and feeds. Each machine reaches it
//! at an address of its own, so that it can turn single machines away.

use crate::http::{self, Message};
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Table, part and key.
type Place = (String, String, String);

#[derive(Default)]
struct State {
    /// Version of the last transaction.
    ver: u64,
    rows: BTreeMap<Place, (u64, String)>,
    /// Version of the last change of each row, removed ones included.
    changed: BTreeMap<Place, u64>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    has_changed: Arc<Condvar>,
    started: Instant,
}

/// Way from one machine to the store.
#[derive(Clone, Default)]
pub struct Access {
    /// Whether the store answers 503 to the machine.
    pub rejects: Arc<AtomicBool>,
}

fn place(json: &Json) -> Place {
    (json.text("table"), json.text("part"), json.text("key"))
}

fn row_text(place: &Place, ver: u64, value: Option<&str>) -> String {
    let (table, part, key) = (quote(&place.0), quote(&place.1), quote(&place.2));
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{ver},{rest}}}")
}

fn query(target: &str) -> BTreeMap<String, String> {
    let text = target.split_once('?').map_or("", |(_, query)| query);
    let fields = text.split('&').filter_map(|field| field.split_once('='));
    fields
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            has_changed: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Serves one machine.
    pub fn serve(&self, addr: SocketAddr, access: Access) {
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, access) = (store.clone(), access.clone());
                thread::spawn(move || store.serve_connection(stream, &access));
            }
        });
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        let place = (table.to_owned(), String::new(), key.to_owned());
        state.changed.insert(place.clone(), ver);
        state.rows.insert(place, (ver, base64(value.as_bytes())));
        self.has_changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream, access: &Access) {
        stream.set_nodelay(true).ok();
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut from) {
            let (status, body) = match access.rejects.load(Ordering::SeqCst) {
                true => (503, "{}".to_owned()),
                false => self.answer(&request),
            };
            // The store takes some milliseconds to answer.
            thread::sleep(Duration::from_millis(4));
            let json = [("Content-Type", "application/json")];
            let response = http::format(&format!("HTTP/1.1 {status} -"), &json, body.as_bytes());
            if to.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.request();
        let path = target.split('?').next().unwrap_or("");
        match (method, path) {
            ("POST", "/rows-tx") => self.transact(&request.text()),
            ("GET", "/rows-get") => self.read(&query(target)),
            ("GET", "/rows-parts") => self.parts(&query(target)),
            ("GET", "/rows-feed") => self.feed(&query(target)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn trailer(&self, ver: u64) -> String {
        let now = self.started.elapsed().as_secs_f64();
        format!("\"ver\":{ver},\"now-s\":{now:.3}")
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let expected = txn.list("expected-rev");
        let holds = |row: &Json| {
            let known = state.rows.get(&place(row)).map_or(0, |(ver, _)| *ver);
            known == row.number("ver") as u64
        };
        if !expected.iter().all(holds) {
            let present = expected.iter().filter_map(|row| {
                let place = place(row);
                let (ver, value) = state.rows.get(&place)?;
                Some(row_text(&place, *ver, Some(value)))
            });
            let rows: Vec<String> = present.collect();
            let body = format!("{{\"rows\":[{}],{}}}", rows.join(","), self.trailer(state.ver));
            return (412, body);
        }
        let (writes, removals) = (txn.list("writes"), txn.list("remove"));
        let is_foreign = |row: &Json| matches!(&*row.text("table"), "op" | "servers");
        if writes.iter().chain(removals).any(is_foreign) {
            return (403, "{}".to_owned());
        }
        state.ver += 1;
        let ver = state.ver;
        for row in writes {
            let place = place(row);
            state.changed.insert(place.clone(), ver);
            state.rows.insert(place, (ver, row.text("value")));
        }
        for row in removals {
            let place = place(row);
            if state.rows.remove(&place).is_some() {
                state.changed.insert(place, ver);
            }
        }
        self.has_changed.notify_all();
        (200, format!("{{{}}}", self.trailer(ver)))
    }

    fn read(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, target) = (field("table"), field("part"), field("from"), field("target"));
        let limit: usize = field("limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let in_range = |(t, p, k): &Place| {
            *t == table && *p == part && *k >= from && (target.is_empty() || *k < target)
        };
        let found: Vec<String> = state
            .rows
            .iter()
            .filter(|(place, _)| in_range(place))
            .map(|(place, (ver, value))| row_text(place, *ver, Some(value)))
            .collect();
        let rows = &found[..found.len().min(limit)];
        let truncated = rows.len() < found.len();
        let body = format!(
            "{{\"rows\":[{}],\"truncated\":{truncated},{}}}",
            rows.join(","),
            self.trailer(state.ver)
        );
        (200, body)
    }

    fn parts(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let table = query.get("table").cloned().unwrap_or_default();
        let state = self.state.lock().unwrap();
        let mut parts: Vec<String> = state
            .rows
            .keys()
            .filter(|(t, _, _)| *t == table)
            .map(|(_, part, _)| quote(part))
            .collect();
        parts.dedup();
        let trailer = self.trailer(state.ver);
        (200, format!("{{\"parts\":[{}],\"truncated\":false,{trailer}}}", parts.join(",")))
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, after) = (field("table"), field("after").parse().unwrap_or(0));
        let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let mut rows: Vec<(u64, String)> = state
                .changed
                .iter()
                .filter(|((t, _, _), ver)| *t == table && **ver > after)
                .map(|(place, ver)| {
                    let value = state.rows.get(place).map(|(_, value)| value.as_str());
                    (*ver, row_text(place, *ver, value))
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|(_, text)| text).collect();
                let trailer = self.trailer(state.ver);
                return (200, format!("{{\"rows\":[{}],{trailer}}}", rows.join(",")));
            }
            state = self.has_changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for (index, byte) in chunk.iter().enumerate() {
            word |= u32::from(*byte) << (16 - 8 * index);
        }
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
