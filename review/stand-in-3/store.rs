//! The platform's store: rows, transactions and the feed of changes.

use crate::http::{Connection, Message, response};
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use std::{io, thread};

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    /// Version and base64 of the value.
    rows: BTreeMap<RowKey, (u64, String)>,
    removed: BTreeMap<RowKey, u64>,
}

/// The store. Clones share it.
#[derive(Clone, Default)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(addr)?;
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(Connection::new(stream)?));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, text: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (ver, base64(text.as_bytes())));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        loop {
            let req = connection.read()?;
            let target = req.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let answer = match path {
                "/rows-tx" => self.transact(&req),
                "/rows-get" => self.get(query),
                "/rows-feed" => self.feed(query),
                _ => response(404, &[], b"{}"),
            };
            connection.write(&answer)?;
        }
    }

    fn transact(&self, req: &Message) -> Message {
        let Some(body) = Json::parse(&req.body_text()) else {
            return response(400, &[], b"{}");
        };
        // A transaction takes 6 ms.
        thread::sleep(Duration::from_millis(6));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let key_of = |row: &Json| -> RowKey {
            let text = |name| row.text(name).unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let expected = body.list("expected-rev");
        let is_met = |row: &Json| {
            let found = rows.rows.get(&key_of(row)).map_or(0, |row| row.0);
            row.number("ver") == Some(found as f64)
        };
        if !expected.iter().all(is_met) {
            let current = expected.iter().map(key_of);
            let current = current.filter_map(|key| Some(row_text(&key, rows.rows.get(&key)?)));
            let current = current.collect::<Vec<_>>().join(",");
            let text = format!(r#"{{"rows":[{current}],"ver":{},"now-s":1.0}}"#, rows.ver);
            return json_response(412, &text);
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in body.list("writes") {
            let value = row.text("value").unwrap_or_default().to_owned();
            rows.removed.remove(&key_of(row));
            rows.rows.insert(key_of(row), (ver, value));
        }
        for row in body.list("remove") {
            rows.rows.remove(&key_of(row));
            rows.removed.insert(key_of(row), ver);
        }
        changed.notify_all();
        json_response(200, &format!(r#"{{"ver":{ver},"now-s":1.0}}"#))
    }

    fn get(&self, query: &str) -> Message {
        let rows = self.rows.0.lock().unwrap();
        let (table, part) = (param(query, "table"), param(query, "part"));
        let from = param(query, "from");
        let limit: usize = param(query, "limit").parse().unwrap_or(500);
        let within = |key: &&RowKey| key.0 == table && key.1 == part && key.2 >= from;
        let keys: Vec<&RowKey> = rows.rows.keys().filter(within).collect();
        let texts = keys
            .iter()
            .take(limit)
            .map(|key| row_text(key, &rows.rows[*key]));
        let texts = texts.collect::<Vec<_>>().join(",");
        let (is_truncated, ver) = (keys.len() > limit, rows.ver);
        let text =
            format!(r#"{{"rows":[{texts}],"truncated":{is_truncated},"ver":{ver},"now-s":1.0}}"#);
        json_response(200, &text)
    }

    fn feed(&self, query: &str) -> Message {
        let table = param(query, "table");
        let after: u64 = param(query, "after").parse().unwrap_or(0);
        let wait: u64 = param(query, "wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let written = rows.rows.iter();
            let written = written.filter(|(key, (ver, _))| key.0 == table && *ver > after);
            let mut texts: Vec<String> = written.map(|(key, row)| row_text(key, row)).collect();
            let removed = rows.removed.iter();
            let removed = removed.filter(|(key, ver)| key.0 == table && **ver > after);
            texts.extend(removed.map(|(key, ver)| {
                let (table, part, key) = (quote(&key.0), quote(&key.1), quote(&key.2));
                format!(
                    r#"{{"table":{table},"part":{part},"key":{key},"ver":{ver},"removed":true}}"#
                )
            }));
            let left = until.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let (texts, ver) = (texts.join(","), rows.ver);
                let text = format!(r#"{{"rows":[{texts}],"ver":{ver},"now-s":1.0}}"#);
                return json_response(200, &text);
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn json_response(status: u16, text: &str) -> Message {
    response(
        status,
        &[("content-type", "application/json")],
        text.as_bytes(),
    )
}

fn row_text(key: &RowKey, row: &(u64, String)) -> String {
    let (table, part, key) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let (ver, value) = row;
    format!(r#"{{"table":{table},"part":{part},"key":{key},"value":"{value}","ver":{ver}}}"#)
}

fn param(query: &str, name: &str) -> String {
    let prefix = format!("{name}=");
    let found = query.split('&').find_map(|pair| pair.strip_prefix(&prefix));
    let mut bytes = found.unwrap_or_default().bytes();
    let mut out = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let hex = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let hex = String::from_utf8_lossy(&hex).into_owned();
        out.push(u8::from_str_radix(&hex, 16).unwrap_or(0));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            match digit <= chunk.len() {
                true => out.push(DIGITS[index as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
