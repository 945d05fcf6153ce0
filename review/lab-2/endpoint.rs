//! An application endpoint: announces itself to the node beside it, takes grants of keys
//! and runs requests.

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests that it runs at a time, and those that wait beside them.
const SLOTS: usize = 12;
const QUEUE: usize = 48;
/// Time between two announcements, as the settings name it.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time within which an announcement must be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone)]
pub struct EndpointSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Where the node beside it takes announcements.
    pub control: SocketAddr,
    pub sharded: bool,
    /// How long a request takes.
    pub work: Duration,
    /// Least length of an answer's body.
    pub answer_bytes: usize,
}

/// Keys that the endpoint holds or has held.
#[derive(Clone, Copy)]
struct Hold {
    from: u16,
    target: u16,
    fence: u64,
    until: Instant,
}

#[derive(Default)]
struct State {
    seq: u64,
    is_announcing: bool,
    is_draining: bool,
    /// Whether it has said that it leaves.
    is_leaving: bool,
    is_down: bool,
    running: usize,
    holds: Vec<Hold>,
    at_work: HashMap<u16, usize>,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Endpoint {
    pub settings: EndpointSettings,
    born_ms: u128,
    record: Record,
    state: Arc<Mutex<State>>,
    work_ended: Arc<Condvar>,
}

impl Endpoint {
    /// Starts to serve and to announce itself.
    pub fn start(settings: EndpointSettings, record: Record) -> Self {
        let listener = TcpListener::bind(settings.addr).expect("the endpoint's address is free");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let endpoint = Self {
            settings,
            born_ms: since_epoch.as_millis(),
            record,
            state: Arc::default(),
            work_ended: Arc::default(),
        };
        endpoint.state.lock().unwrap().is_announcing = true;
        let own = endpoint.clone();
        thread::spawn(move || own.accept(&listener));
        let own = endpoint.clone();
        thread::spawn(move || {
            loop {
                if own.state.lock().unwrap().is_announcing {
                    let beat = own.next_beat();
                    own.call_node(&beat);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        endpoint
    }

    /// Formats the next announcement.
    pub fn next_beat(&self) -> Vec<u8> {
        let settings = &self.settings;
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let name = match state.is_draining {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"{name}\",\"seq\":{},\
             \"cold-left-s\":0}}}}",
            settings.addr, self.born_ms, settings.service, settings.zone, state.seq
        );
        let start = format!("PUT /instances/{} HTTP/1.1", settings.id);
        let host = settings.control.to_string();
        let headers = [("Host", &*host), ("Content-Type", "application/json")];
        http::format(&start, &headers, body.as_bytes())
    }

    /// Sends an announcement or a withdrawal to the node; returns the status, 0 without
    /// an answer.
    pub fn call_node(&self, request: &[u8]) -> u16 {
        http::call(self.settings.control, request, ACK_TIMEOUT).map_or(0, |answer| answer.status())
    }

    /// Stops announcing itself and withdraws; returns the status of the answer.
    pub fn withdraw(&self) -> u16 {
        {
            let mut state = self.state.lock().unwrap();
            state.is_announcing = false;
            state.is_leaving = true;
        }
        let start = format!("DELETE /instances/{} HTTP/1.1", self.settings.id);
        let host = self.settings.control.to_string();
        self.call_node(&http::format(&start, &[("Host", &host)], b""))
    }

    /// Reports that it is leaving from its next announcement on.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
    }

    /// Stops announcing itself and accepting connections, and closes those that it has,
    /// on none of which a request is at work. Its process goes on, with its holds.
    pub fn stop_serving(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_announcing = false;
        state.is_down = true;
        for connection in state.connections.drain(..) {
            connection.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    /// Stops announcing itself without a word.
    pub fn fall_silent(&self) {
        self.state.lock().unwrap().is_announcing = false;
    }

    /// Ends with all that it holds.
    pub fn end(&self) {
        self.stop_serving();
        self.record.ended(&self.settings.id);
    }

    /// Accepts connections until it stops serving, which closes the listener.
    fn accept(&self, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("the listener can be polled");
        while !self.state.lock().unwrap().is_down {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    let own = self.clone();
                    thread::spawn(move || own.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        {
            let mut state = self.state.lock().unwrap();
            if state.is_down {
                return;
            }
            if let Ok(connection) = stream.try_clone() {
                state.connections.push(connection);
            }
        }
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut from) {
            let response = self.answer(&request);
            if to.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let expected = request.header("ibiscove-expect-instance");
        if expected.is_some_and(|id| id != self.settings.id) {
            return not_run(421);
        }
        let (_, target) = request.request();
        match target {
            "/healthz" => {
                let id = [("Ibiscove-Instance-Id", &*self.settings.id)];
                http::format("HTTP/1.1 200 OK", &id, b"")
            }
            "/grant" => self.grant(&request.text()),
            "/release" => self.release(&request.text()),
            _ => self.run(request),
        }
    }

    fn grant(&self, body: &str) -> Vec<u8> {
        let call = Json::parse(body).unwrap_or(Json::Null);
        let (from, target) = (call.number("from") as u16, call.number("target") as u16);
        let fence = call.number("fence") as u64;
        let mut state = self.state.lock().unwrap();
        let overlaps = |hold: &Hold| hold.from <= target && from <= hold.target;
        if state.holds.iter().any(|hold| overlaps(hold) && hold.fence > fence) {
            return http::format("HTTP/1.1 409 Conflict", &[], b"");
        }
        let hold = Duration::from_secs_f64(call.number("hold-s"));
        state.cut_out(from, target);
        state.holds.push(Hold {
            from,
            target,
            fence,
            until: Instant::now() + hold,
        });
        drop(state);
        self.record.granted(&self.settings.id, (from, target), fence, hold);
        http::format("HTTP/1.1 200 OK", &[], b"")
    }

    fn release(&self, body: &str) -> Vec<u8> {
        let call = Json::parse(body).unwrap_or(Json::Null);
        let (from, target) = (call.number("from") as u16, call.number("target") as u16);
        self.record.released(&self.settings.id, (from, target));
        let mut state = self.state.lock().unwrap();
        state.cut_out(from, target);
        // The fence is remembered.
        state.holds.push(Hold {
            from,
            target,
            fence: call.number("fence") as u64,
            until: Instant::now(),
        });
        while state.at_work.keys().any(|key| (from..=target).contains(key)) {
            state = self.work_ended.wait(state).unwrap();
        }
        drop(state);
        let handover = [("Ibiscove-Handover", "5c0e7a21d94b36f8")];
        http::format("HTTP/1.1 200 OK", &handover, b"")
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let Some(id) = request.header("ibiscove-request-id") else {
            return not_run(400);
        };
        let key = request.header("ibiscove-shard-key");
        let key = key.and_then(|key| key.parse().ok()).filter(|_| self.settings.sharded);
        let is_leaving = {
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            let holds = |key: u16| {
                let mut holds = state.holds.iter();
                holds.any(|hold| (hold.from..=hold.target).contains(&key) && now < hold.until)
            };
            if self.settings.sharded && !key.is_some_and(holds) {
                return not_run(421);
            }
            if state.running >= SLOTS + QUEUE {
                return not_run(503);
            }
            state.running += 1;
            if let Some(key) = key {
                *state.at_work.entry(key).or_default() += 1;
            }
            state.is_leaving || state.is_draining
        };
        self.record.ran(id, &self.settings.id, is_leaving);
        thread::sleep(self.settings.work);
        {
            let mut state = self.state.lock().unwrap();
            state.running -= 1;
            if let Some(key) = key {
                let count = state.at_work.entry(key).or_default();
                *count -= 1;
                if *count == 0 {
                    state.at_work.remove(&key);
                }
            }
            self.work_ended.notify_all();
        }
        let seal = format!("seal-{id}");
        let mut headers = vec![
            ("Ibiscove-Request-Id", id),
            ("Ibiscove-Response-Seal", &*seal),
        ];
        if is_leaving {
            headers.push(("Server-Leaving", "1"));
        }
        let body = format!("answer to {0:.<1$}", id, self.settings.answer_bytes);
        http::format("HTTP/1.1 200 OK", &headers, body.as_bytes())
    }
}

impl State {
    /// Ends the holds of some keys and keeps the rest of each.
    fn cut_out(&mut self, from: u16, target: u16) {
        let mut rest = Vec::new();
        for hold in self.holds.drain(..) {
            if hold.target < from || target < hold.from {
                rest.push(hold);
                continue;
            }
            if hold.from < from {
                let target = from - 1;
                rest.push(Hold { target, ..hold });
            }
            if target < hold.target {
                let from = target + 1;
                rest.push(Hold { from, ..hold });
            }
        }
        self.holds = rest;
    }
}

/// A response which states that the request was not run.
fn not_run(status: u16) -> Vec<u8> {
    let headers = [("Ibiscove-Not-Executed", "1")];
    http::format(&format!("HTTP/1.1 {status} -"), &headers, b"")
}
