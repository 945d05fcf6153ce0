//! The platform's store: rows, transactions and feeds, in memory.

use crate::http::{self, Buffer, Message};
use crate::json::{Json, base64, quote};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Place = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Version and value of each row; the value of a removed row is none.
    rows: BTreeMap<Place, (u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Whether all calls of nodes are refused with 503.
    is_busy: Arc<AtomicBool>,
    started: Instant,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            is_busy: Arc::default(),
            started: Instant::now(),
        };
        let listener = TcpListener::bind(addr)?;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let place = (table.to_owned(), String::new(), key.to_owned());
        state
            .rows
            .insert(place, (version, Some(base64(value.as_bytes()))));
        self.state.1.notify_all();
    }

    /// Makes the store refuse all calls of nodes with 503, or serve them again.
    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::Release);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::default();
        while let Ok(Some(call)) = buffer.read(&mut stream) {
            let (status, body) = self.answer(&call);
            let line = format!("HTTP/1.1 {status} -");
            let headers = [("Content-Type", "application/json")];
            if http::write(&mut stream, &line, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        if self.is_busy.load(Ordering::Acquire) {
            return (503, "{}".to_owned());
        }
        let path = call.target().split('?').next().unwrap_or_default();
        match path {
            "/rows-get" => self.get(call),
            "/rows-feed" => self.feed(call),
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&call.body)),
            "/rows-parts" => self.parts(call),
            _ => (404, "{}".to_owned()),
        }
    }

    fn body(&self, state: &State, rows: Vec<String>, truncated: bool) -> String {
        let now = self.started.elapsed().as_secs_f64();
        let rows = rows.join(",");
        let version = state.version;
        format!(
            "{{\"rows\":[{rows}],\"ver\":{version},\"now-s\":{now:.3},\"truncated\":{truncated}}}"
        )
    }

    fn get(&self, call: &Message) -> (u16, String) {
        let parameter = |name| call.query(name).unwrap_or_default();
        let (table, part, from) = (parameter("table"), parameter("part"), parameter("from"));
        let target = call.query("target").filter(|target| !target.is_empty());
        let limit = parameter("limit").parse().unwrap_or(500);
        let state = self.state.0.lock().unwrap();
        let mut rows = Vec::new();
        let mut truncated = false;
        for (place, (version, value)) in &state.rows {
            let in_range = place.0 == table
                && place.1 == part
                && place.2 >= from
                && target.as_ref().is_none_or(|target| place.2 < *target);
            if let (true, Some(value)) = (in_range, value) {
                if rows.len() == limit {
                    truncated = true;
                    break;
                }
                rows.push(row(place, *version, Some(value)));
            }
        }
        (200, self.body(&state, rows, truncated))
    }

    fn feed(&self, call: &Message) -> (u16, String) {
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
        let table = call.query("table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let mut changed: Vec<_> = state
                .rows
                .iter()
                .filter(|(place, (version, _))| place.0 == table && *version > after)
                .map(|(place, (version, value))| (*version, row(place, *version, value.as_ref())))
                .collect();
            changed.sort();
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                let rows = changed.into_iter().map(|(_, row)| row).collect();
                return (200, self.body(&state, rows, false));
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn parts(&self, call: &Message) -> (u16, String) {
        let table = call.query("table").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let mut parts: Vec<_> = state
            .rows
            .iter()
            .filter(|(place, (_, value))| place.0 == table && value.is_some())
            .map(|(place, _)| quote(&place.1))
            .collect();
        parts.dedup();
        (
            200,
            format!("{{\"parts\":[{}],\"truncated\":false}}", parts.join(",")),
        )
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let place = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        // A transaction takes some milliseconds.
        std::thread::sleep(Duration::from_millis(6));
        let mut state = self.state.0.lock().unwrap();
        let mut current = Vec::new();
        let mut holds = true;
        for entry in txn.list("expected-rev") {
            let place = place(entry);
            let found = state.rows.get(&place).filter(|(_, value)| value.is_some());
            holds &= found.map_or(0, |(version, _)| *version) == entry.number("ver") as u64;
            if let Some((version, value)) = found {
                current.push(row(&place, *version, value.as_ref()));
            }
        }
        if !holds {
            return (412, self.body(&state, current, false));
        }
        state.version += 1;
        let version = state.version;
        for entry in txn.list("writes") {
            state
                .rows
                .insert(place(entry), (version, Some(entry.text("value"))));
        }
        for entry in txn.list("remove") {
            state.rows.insert(place(entry), (version, None));
        }
        self.state.1.notify_all();
        (200, self.body(&state, Vec::new(), false))
    }
}

fn row(place: &Place, version: u64, value: Option<&String>) -> String {
    let (table, part, key) = (quote(&place.0), quote(&place.1), quote(&place.2));
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},{rest}}}")
}
