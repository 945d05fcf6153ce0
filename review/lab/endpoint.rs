//! An application endpoint.

use crate::http::{self, Buffer, Message};
use crate::json::Json;
use crate::keyed::{Grant, Keys, SharedLedger, Work};
use crate::record::Record;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests that an endpoint runs at a time, and those that it queues.
pub const SLOTS: usize = 12;
const QUEUE: usize = 48;
const HEARTBEAT: Duration = Duration::from_millis(870);

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub endpoint: String,
    pub began: f64,
}

/// What all endpoints have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    born_ms: u128,
    record: Record,
    runs: Runs,
    sequence: AtomicU64,
    is_up: AtomicBool,
    is_accepting: AtomicBool,
    /// Whether heartbeats are sent.
    is_announcing: AtomicBool,
    slots: (Mutex<usize>, Condvar),
    waiting: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    keys: Keys,
    ledger: SharedLedger,
    is_draining: AtomicBool,
    /// Second answers that are still to be sent, late.
    late_copies: AtomicUsize,
}

/// Returns the id of a request as a header of its answer, if it has one.
fn echo_of(req: &Message) -> Vec<(&str, &str)> {
    let id = req.header("ibiscove-request-id");
    id.map(|id| ("Ibiscove-Request-Id", id))
        .into_iter()
        .collect()
}

impl Endpoint {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        addr: SocketAddr,
        control: SocketAddr,
        record: &Record,
        runs: &Runs,
        ledger: &SharedLedger,
    ) -> std::io::Result<Arc<Self>> {
        let endpoint = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            control,
            zone: zone.to_owned(),
            born_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
            record: record.clone(),
            runs: Arc::clone(runs),
            sequence: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            is_accepting: AtomicBool::new(true),
            is_announcing: AtomicBool::new(true),
            slots: (Mutex::new(SLOTS), Condvar::new()),
            waiting: AtomicUsize::new(0),
            connections: Mutex::default(),
            keys: Keys::default(),
            ledger: Arc::clone(ledger),
            is_draining: AtomicBool::new(false),
            late_copies: AtomicUsize::new(0),
        });
        let listener = TcpListener::bind(addr)?;
        let serving = Arc::clone(&endpoint);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.is_up() || !serving.is_accepting.load(Ordering::Acquire) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(kept);
                }
                let endpoint = Arc::clone(&serving);
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let announcing = Arc::clone(&endpoint);
        std::thread::spawn(move || {
            while announcing.is_up() {
                if announcing.is_announcing.load(Ordering::Acquire) {
                    let beat = announcing.heartbeat();
                    announcing.send_heartbeat(&beat);
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(endpoint)
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Acquire)
    }

    /// Stops the heartbeats; a heartbeat that was made before may still be sent.
    pub fn stop_announcing(&self) {
        self.is_announcing.store(false, Ordering::Release);
    }

    /// Returns the body of the next heartbeat.
    pub fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let state = if self.is_draining.load(Ordering::Acquire) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{SLOTS}}},\"status\":{{\"state\":\"{state}\",\"seq\":{sequence},\
             \"cold-left-s\":0}}}}",
            self.addr, self.born_ms, self.service, self.zone
        )
    }

    /// Sends a heartbeat; returns the status of its answer, 0 without one.
    pub fn send_heartbeat(&self, body: &str) -> u16 {
        self.control_call("PUT", body)
    }

    /// Reports that the endpoint drains; returns the status of the answer.
    pub fn drain(&self) -> u16 {
        self.is_draining.store(true, Ordering::Release);
        let beat = self.heartbeat();
        self.send_heartbeat(&beat)
    }

    /// The answer to the next grant is sent twice: the copy comes late, when an answer to
    /// the next call on that connection is expected and that call is a release.
    pub fn copy_answer_late(&self, count: usize) {
        self.late_copies.store(count, Ordering::Release);
    }

    /// Withdraws the endpoint from service.
    pub fn leave(&self) -> u16 {
        self.control_call("DELETE", "")
    }

    fn control_call(&self, method: &str, body: &str) -> u16 {
        let call = || -> std::io::Result<u16> {
            let timeout = Duration::from_secs(1);
            let mut stream = TcpStream::connect_timeout(&self.control, timeout)?;
            stream.set_read_timeout(Some(timeout))?;
            let line = format!("{method} /instances/{} HTTP/1.1", self.id);
            let host = self.control.to_string();
            let headers = [
                ("Host", host.as_str()),
                ("Content-Type", "application/json"),
            ];
            http::write(&mut stream, &line, &headers, body.as_bytes())?;
            let answer = Buffer::default().read(&mut stream)?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        call().unwrap_or(0)
    }

    /// Stops accepting connections, as a server does that is about to exit: its address
    /// refuses them. Running requests go on.
    pub fn stop_accepting(&self) {
        self.is_accepting.store(false, Ordering::Release);
        // Wakes the thread that accepts, which closes the listener.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        SLOTS - *self.slots.0.lock().unwrap()
    }

    /// Ends the endpoint's process: its address refuses connections, open ones end.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::Release);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.stop_accepting();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::default();
        // The grant that was answered last on this connection, if nothing else was since.
        let mut granted = None;
        while let Ok(Some(req)) = buffer.read(&mut stream) {
            if !self.is_up() {
                return;
            }
            let path = req
                .target()
                .split('?')
                .next()
                .unwrap_or_default()
                .to_owned();
            let responded = match path.as_str() {
                "/grant" => self.grant(&mut stream, &req),
                "/release" => self.release(&mut stream, &req, granted.as_ref()),
                _ => self.respond(&mut stream, &req),
            };
            if responded.is_err() {
                return;
            }
            granted = (path == "/grant").then_some(req);
        }
    }

    fn grant(&self, stream: &mut TcpStream, req: &Message) -> std::io::Result<()> {
        let echo = echo_of(req);
        if req
            .header("ibiscove-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &echo, b"");
        }
        let Some(call) = Json::parse(&String::from_utf8_lossy(&req.body)) else {
            return http::write(stream, "HTTP/1.1 400 Bad Request", &echo, b"");
        };
        let (first, last) = (call.number("from") as u32, call.number("target") as u32);
        let (fence, hold) = (call.number("fence") as u64, call.number("hold-s"));
        if !self
            .keys
            .grant(first, last, fence, Duration::from_secs_f64(hold))
        {
            return http::write(stream, "HTTP/1.1 409 Conflict", &echo, b"");
        }
        let taken = self.record.now();
        self.ledger.lock().unwrap().grants.push(Grant {
            endpoint: self.id.clone(),
            first,
            last,
            fence,
            taken,
            until: taken + hold,
        });
        self.record.line(format!(
            "endpoint {} is granted {first}-{last}, fence {fence}",
            self.id
        ));
        http::write(stream, "HTTP/1.1 200 OK", &echo, b"")
    }

    fn release(
        &self,
        stream: &mut TcpStream,
        req: &Message,
        granted: Option<&Message>,
    ) -> std::io::Result<()> {
        let mut headers = echo_of(req);
        let Some(call) = Json::parse(&String::from_utf8_lossy(&req.body)) else {
            return http::write(stream, "HTTP/1.1 400 Bad Request", &headers, b"");
        };
        let (first, last) = (call.number("from") as u32, call.number("target") as u32);
        self.record
            .line(format!("endpoint {} is to release {first}-{last}", self.id));
        let take_copy = || {
            self.late_copies
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
                    left.checked_sub(1)
                })
        };
        if let Some(grant) = granted
            && take_copy().is_ok()
        {
            self.record.say(format!(
                "endpoint {} sends a late copy of a grant's answer while {first}-{last} is being released",
                self.id
            ));
            http::write(stream, "HTTP/1.1 200 OK", &echo_of(grant), b"")?;
        }
        self.keys.release(first, last);
        self.record
            .line(format!("endpoint {} has released {first}-{last}", self.id));
        let handover = format!("h{first}");
        headers.push(("Ibiscove-Handover", &handover));
        http::write(stream, "HTTP/1.1 200 OK", &headers, b"")
    }

    /// Begins work on the key of a request; returns until when the key is held. An error
    /// is the answer to a request whose key is not held.
    fn begin_keyed(&self, req: &Message) -> Result<Option<(u32, Instant)>, ()> {
        let Some(key) = req
            .header("ibiscove-shard-key")
            .and_then(|text| text.parse().ok())
        else {
            return Ok(None);
        };
        let until = self.keys.begin(key).ok_or(())?;
        Ok(Some((key, until)))
    }

    fn respond(&self, stream: &mut TcpStream, req: &Message) -> std::io::Result<()> {
        if req.target() == "/healthz" {
            let headers = [("Ibiscove-Instance-Id", self.id.as_str())];
            return http::write(stream, "HTTP/1.1 200 OK", &headers, b"");
        }
        let request_id = req
            .header("ibiscove-request-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("Ibiscove-Request-Id", request_id.as_str());
        if request_id.is_empty() {
            let headers = [("Ibiscove-Not-Executed", "1")];
            return http::write(stream, "HTTP/1.1 400 Bad Request", &headers, b"");
        }
        let expected = req.header("ibiscove-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = [echo, ("Ibiscove-Instance-Id", self.id.as_str())];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let deadline_ms = req
            .header("ibiscove-deadline-ms")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(10_000));
        if !self.take_slot(deadline) {
            let headers = [echo, ("Ibiscove-Not-Executed", "1")];
            return http::write(stream, "HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        let Ok(keyed) = self.begin_keyed(req) else {
            self.free_slot();
            let headers = [echo, ("Ibiscove-Not-Executed", "1")];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        };
        let began = self.record.now();
        self.runs.lock().unwrap().push(Run {
            id: request_id.clone(),
            endpoint: self.id.clone(),
            began,
        });
        self.record
            .line(format!("endpoint {} runs {request_id}", self.id));
        let number = |name: &str| req.query(name).and_then(|text| text.parse::<u64>().ok());
        let work = Duration::from_millis(number("work").unwrap_or(20));
        let left = deadline.saturating_duration_since(Instant::now());
        let index = keyed.map(|(key, _)| {
            let mut ledger = self.ledger.lock().unwrap();
            ledger.works.push(Work {
                endpoint: self.id.clone(),
                id: request_id.clone(),
                key,
                began,
                ended: None,
            });
            ledger.works.len() - 1
        });
        std::thread::sleep(work.min(left));
        if let (Some((key, _)), Some(index)) = (keyed, index) {
            self.ledger.lock().unwrap().works[index].ended = Some(self.record.now());
            self.keys.end(key);
        }
        self.free_slot();
        if work > left {
            return http::write(stream, "HTTP/1.1 504 Gateway Timeout", &[echo], b"");
        }
        let body = vec![b'x'; number("size").unwrap_or(1_500) as usize];
        let seal = format!("{request_id}.{}", body.len());
        let headers = [echo, ("Ibiscove-Response-Seal", seal.as_str())];
        http::write(stream, "HTTP/1.1 200 OK", &headers, &body)
    }

    fn free_slot(&self) {
        *self.slots.0.lock().unwrap() += 1;
        self.slots.1.notify_one();
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let mut free = self.slots.0.lock().unwrap();
        if *free == 0 && self.waiting.load(Ordering::Acquire) >= QUEUE {
            return false;
        }
        self.waiting.fetch_add(1, Ordering::AcqRel);
        while *free == 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                self.waiting.fetch_sub(1, Ordering::AcqRel);
                return false;
            }
            free = self.slots.1.wait_timeout(free, left).unwrap().0;
        }
        self.waiting.fetch_sub(1, Ordering::AcqRel);
        *free -= 1;
        true
    }
}
