//! A stand-in of the platform's store: rows, transactions and feeds.

use crate::http::{Message, Reader, respond};
use crate::json::{Json, number, object, text};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    ver: u64,
    /// Version and value; a removed row has no value.
    rows: BTreeMap<RowKey, (u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let store = Self {
            inner: Arc::default(),
            started: Instant::now(),
        };
        let listener = TcpListener::bind(addr)?;
        let own = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.inner.0.lock().unwrap();
        state.ver += 1;
        let ver = state.ver;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state
            .rows
            .insert(key, (ver, Some(base64(value.as_bytes()))));
        self.inner.1.notify_all();
    }

    fn serve(self, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(req) = reader.message() {
            let (status, body) = self.handle(&req);
            let json = [("Content-Type", "application/json")];
            if respond(&mut out, status, &json, body.print().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Message) -> (u16, Json) {
        let (_, target) = req.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/rows-tx" => self.transact(&req.body),
            "/rows-get" => self.read(query),
            "/rows-feed" => self.feed(query),
            "/rows-parts" => (200, object([("parts", Json::List(Vec::new()))])),
            _ => (404, object([])),
        }
    }

    fn stamp(&self, ver: u64) -> [(&'static str, Json); 2] {
        let now = self.started.elapsed().as_secs_f64();
        [("ver", number(ver as f64)), ("now-s", number(now))]
    }

    fn transact(&self, body: &[u8]) -> (u16, Json) {
        let Some(txn) = Json::parse(body) else {
            return (400, object([]));
        };
        let mut state = self.inner.0.lock().unwrap();
        let mut rows = Vec::new();
        let mut holds = true;
        for expected in txn.get("expected-rev").list() {
            let key = row_key(expected);
            let found = state.rows.get(&key).filter(|(_, value)| value.is_some());
            holds &= found.map_or(0, |(ver, _)| *ver) as f64 == expected.get("ver").number();
            if let Some(row) = found {
                rows.push(row_json(&key, row));
            }
        }
        if !holds {
            let [ver, now] = self.stamp(state.ver);
            return (412, object([("rows", Json::List(rows)), ver, now]));
        }
        state.ver += 1;
        let ver = state.ver;
        for write in txn.get("writes").list() {
            let value = write.get("value").text().to_owned();
            state.rows.insert(row_key(write), (ver, Some(value)));
        }
        for removed in txn.get("remove").list() {
            state.rows.insert(row_key(removed), (ver, None));
        }
        self.inner.1.notify_all();
        (200, object(self.stamp(ver)))
    }

    fn read(&self, query: &str) -> (u16, Json) {
        let (table, part) = (param(query, "table"), param(query, "part"));
        let (from, target) = (param(query, "from"), param(query, "target"));
        let limit: usize = param(query, "limit").parse().unwrap_or(500);
        let state = self.inner.0.lock().unwrap();
        let found = state.rows.iter().filter(|((t, p, k), (_, value))| {
            let is_before_end = target.is_empty() || *k < target;
            *t == table && *p == part && *k >= from && is_before_end && value.is_some()
        });
        let mut rows: Vec<Json> = found.map(|(key, row)| row_json(key, row)).collect();
        let is_truncated = rows.len() > limit;
        rows.truncate(limit);
        let [ver, now] = self.stamp(state.ver);
        let rows = ("rows", Json::List(rows));
        (
            200,
            object([rows, ("truncated", Json::Bool(is_truncated)), ver, now]),
        )
    }

    fn feed(&self, query: &str) -> (u16, Json) {
        let table = param(query, "table");
        let after: u64 = param(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(param(query, "wait-ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.inner.0.lock().unwrap();
        loop {
            let changed = state.rows.iter();
            let changed = changed.filter(|((t, ..), (ver, _))| *t == table && *ver > after);
            let mut rows: Vec<_> = changed
                .map(|(key, row)| (row.0, row_json(key, row)))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(ver, _)| *ver);
                let rows = rows.into_iter().map(|(_, row)| row).collect();
                let [ver, now] = self.stamp(state.ver);
                return (200, object([("rows", Json::List(rows)), ver, now]));
            }
            state = self.inner.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row_key(row: &Json) -> RowKey {
    let field = |name: &str| row.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

fn row_json((table, part, key): &RowKey, (ver, value): &(u64, Option<String>)) -> Json {
    let (table, part, key) = (text(table), text(part), text(key));
    let place = [("table", table), ("part", part), ("key", key)];
    let [table, part, key] = place;
    let ver = ("ver", number(*ver as f64));
    match value {
        Some(value) => object([table, part, key, ("value", text(value)), ver]),
        None => object([table, part, key, ("removed", Json::Bool(true)), ver]),
    }
}

fn param(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs
        .find(|(n, _)| *n == name)
        .map_or("", |(_, value)| value);
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for i in 0..3 {
            word = word << 8 | u32::from(*chunk.get(i).unwrap_or(&0));
        }
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
