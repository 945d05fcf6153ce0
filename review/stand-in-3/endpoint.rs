//! An endpoint: announces itself to the node beside it, takes and gives back keys, and
//! runs requests.

use crate::http::{Connection, Message, request, response};
use crate::json::Json;
use crate::record::Record;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{io, thread};

/// Time between two announcements.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time within which an acknowledgement counts.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two looks of a thread that waits.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What an endpoint is.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub is_sharded: bool,
    pub addr: SocketAddr,
    /// Where its node takes announcements.
    pub control: SocketAddr,
    pub slots: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// Which start it is under this id.
    pub life: u32,
    /// How late its calls to the node arrive from its start on.
    pub call_delay: Duration,
    /// How far the time of day of its machine is ahead when it starts.
    pub clock_ahead: Duration,
}

/// One fault of an endpoint: it sends a second copy of the answer to a grant where the
/// answer to the next one is expected, and carries that one out late, without an answer.
#[derive(Clone, Copy, Debug)]
pub struct LateGrant {
    /// Whether the second copy is sent.
    pub repeats_answer: bool,
    /// How much later the grant is carried out. Its time counts from its arrival.
    pub delay: Duration,
}

#[derive(Default)]
struct State {
    running: usize,
    /// First and last key, fence, end of the hold.
    holds: Vec<(u16, u16, u64, Instant)>,
    /// The fault that is to come, once.
    late_grant: Option<LateGrant>,
    /// Number of the last announcement.
    seq: u64,
    is_draining: bool,
    /// When an announcement that it drains was acknowledged in time.
    acknowledged_at: Option<Duration>,
    /// How late its calls to the node arrive.
    call_delay: Duration,
    /// It takes no connections, and closes those that it has once they are idle.
    is_closing: bool,
    /// Its process has ended.
    has_ended: bool,
    open_connections: usize,
    connections: Vec<TcpStream>,
}

/// A running endpoint. Clones share it.
#[derive(Clone)]
pub struct Endpoint {
    settings: EndpointSettings,
    record: Record,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Endpoint {
    pub fn start(settings: EndpointSettings, record: Record) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.addr)?;
        listener.set_nonblocking(true)?;
        let call_delay = settings.call_delay;
        let endpoint = Self {
            settings,
            record,
            state: Arc::default(),
        };
        endpoint.set_call_delay(call_delay);
        let own = endpoint.clone();
        thread::spawn(move || own.accept(listener));
        let own = endpoint.clone();
        thread::spawn(move || own.announce());
        Ok(endpoint)
    }

    pub fn id(&self) -> &str {
        &self.settings.id
    }

    /// Returns when an announcement that it drains was acknowledged.
    pub fn acknowledged_at(&self) -> Option<Duration> {
        self.state().acknowledged_at
    }

    /// Makes its calls arrive late from now on.
    pub fn set_call_delay(&self, call_delay: Duration) {
        self.state().call_delay = call_delay;
    }

    /// Returns the name of this life in the record.
    fn name(&self) -> String {
        format!("{} (life {})", self.settings.id, self.settings.life)
    }

    /// Ends the process at once; its listener and connections close with it.
    pub fn crash(&self) {
        let mut state = self.state();
        state.is_closing = true;
        state.has_ended = true;
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record.ended_process(&self.name());
        // The listener closes.
        thread::sleep(2 * POLL_INTERVAL);
    }

    /// Starts the endpoint again under its id; the time of day is right by then.
    pub fn start_again(&self) -> io::Result<Self> {
        let settings = EndpointSettings {
            life: self.settings.life + 1,
            call_delay: self.state().call_delay,
            clock_ahead: Duration::ZERO,
            ..self.settings.clone()
        };
        let started = Self::start(settings, self.record.clone())?;
        self.record
            .event(&format!("{} has started", started.name()));
        Ok(started)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    fn accept(&self, listener: TcpListener) -> io::Result<()> {
        while !self.state().is_closing {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false)?;
            let mut state = self.state();
            state.connections.push(stream.try_clone()?);
            state.open_connections += 1;
            drop(state);
            let own = self.clone();
            thread::spawn(move || {
                let served = Connection::new(stream).and_then(|connection| own.serve(connection));
                own.state().open_connections -= 1;
                served
            });
        }
        Ok(())
    }

    fn announce(&self) {
        let EndpointSettings { service, zone, .. } = &self.settings;
        let (addr, slots) = (self.settings.addr, self.settings.slots);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let born = (born + self.settings.clock_ahead).as_millis();
        loop {
            let (seq, is_draining) = {
                let mut state = self.state();
                if state.is_closing {
                    return;
                }
                state.seq += 1;
                (state.seq, state.is_draining)
            };
            let word = if is_draining { "draining" } else { "ready" };
            let body = format!(
                r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{word}","seq":{seq},"cold-left-s":0}}}}"#
            );
            let is_acknowledged = self.call_node("PUT", body);
            if is_draining && is_acknowledged && self.state().acknowledged_at.is_none() {
                let text = format!("{} has the acknowledgement that it drains", self.name());
                let now = self.record.event(&text);
                self.state().acknowledged_at = Some(now);
            }
            // Without a node the endpoint tries again soon.
            thread::sleep(
                match is_acknowledged || is_draining || !self.state().call_delay.is_zero() {
                    true => HEARTBEAT,
                    false => Duration::from_millis(100),
                },
            );
        }
    }

    /// Calls the node. Returns whether it acknowledges the call in time; one that arrives
    /// late is not.
    fn call_node(&self, method: &'static str, body: String) -> bool {
        let path = format!("/instances/{}", self.settings.id);
        let fields = [("host", "control"), ("content-type", "application/json")];
        let call = request(method, &path, &fields, body.as_bytes());
        let control = self.settings.control;
        let send = move || -> io::Result<bool> {
            let mut connection = Connection::connect(control, ACK_TIMEOUT)?;
            connection.stream.set_read_timeout(Some(ACK_TIMEOUT))?;
            connection.write(&call)?;
            Ok(connection.read()?.status() == 200)
        };
        let delay = self.state().call_delay;
        if delay.is_zero() {
            return send().unwrap_or(false);
        }
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            let answer = send();
            let name = own.name();
            let text = format!("{method} of {name} has arrived {delay:?} late: {answer:?}");
            own.record.event(&text);
        });
        false
    }

    /// Leaves as planned: reports that it drains, serves on for `drain_time` after the
    /// acknowledgement, or until `patience` is over if there is none, sends DELETE, closes
    /// its listener and, once its requests have ended, its connections, and ends `linger`
    /// later. Until then it holds its keys. Without a `linger` it ends right after the
    /// DELETE.
    pub fn leave(
        &self,
        call_delay: Duration,
        drain_time: Duration,
        patience: Duration,
        linger: Option<Duration>,
    ) {
        let id = &self.settings.id;
        let began = Instant::now();
        self.record.event(&format!("{id} begins to drain"));
        let mut state = self.state();
        state.call_delay = call_delay;
        state.is_draining = true;
        drop(state);
        while self.state().acknowledged_at.is_none() && began.elapsed() < patience {
            thread::sleep(POLL_INTERVAL);
        }
        if self.state().acknowledged_at.is_some() {
            thread::sleep(drain_time);
        }
        let own = self.clone();
        let leaving = thread::spawn(move || own.call_node("DELETE", String::new()));
        if call_delay.is_zero() {
            let _ = leaving.join();
        }
        let Some(linger) = linger else {
            return self.crash();
        };
        let mut state = self.state();
        state.is_closing = true;
        for stream in &state.connections {
            // What has arrived is still read, and answers are still written.
            let _ = stream.shutdown(Shutdown::Read);
        }
        drop(state);
        while self.state().open_connections > 0 {
            thread::sleep(POLL_INTERVAL);
        }
        self.state().connections.clear();
        self.record
            .event(&format!("{id} has closed its listener and connections"));
        thread::sleep(linger);
        self.state().has_ended = true;
        self.record.ended_process(&self.name());
    }

    /// Makes the next first grant of keys on a connection that was used before suffer
    /// from a fault.
    pub fn set_late_grant(&self, late_grant: LateGrant) {
        self.state.0.lock().unwrap().late_grant = Some(late_grant);
    }

    /// Returns the fault if a call is the one that suffers from it.
    fn take_late_grant(&self, req: &Message) -> Option<LateGrant> {
        let body = Json::parse(&req.body_text())?;
        let (first, last) = (body.number("from")? as u16, body.number("target")? as u16);
        let fence = body.number("fence")? as u64;
        let mut state = self.state.0.lock().unwrap();
        let mut holds = state.holds.iter();
        let is_new = !holds.any(|hold| hold.0 <= last && first <= hold.1 && hold.2 >= fence);
        match is_new {
            true => state.late_grant.take(),
            false => None,
        }
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        let mut earlier_answer: Option<Message> = None;
        loop {
            let req = connection.read()?;
            if req.target() == "/grant"
                && let Some(earlier) = &earlier_answer
                && let Some(late) = self.take_late_grant(&req)
            {
                self.grant_late(req, late, Instant::now());
                if late.repeats_answer {
                    connection.write(earlier)?;
                }
                continue;
            }
            let answer = match req.target() {
                "/grant" => self.grant(&req, Instant::now()),
                "/release" => self.release(&req),
                "/healthz" => response(200, &[("ibiscove-instance-id", &self.settings.id)], b""),
                _ => self.run(&req),
            };
            connection.write(&answer)?;
            earlier_answer = (req.target() == "/grant").then_some(answer);
        }
    }

    fn grant_late(&self, req: Message, late: LateGrant, arrived: Instant) {
        let own = self.clone();
        let id = &self.settings.id;
        self.record.event(&format!(
            "{id} does not answer a grant, a copy of the answer before it: {}; {}",
            late.repeats_answer,
            req.body_text()
        ));
        thread::spawn(move || {
            thread::sleep(late.delay);
            if own.state().has_ended {
                return;
            }
            own.record
                .event(&format!("{} carries the grant out", own.settings.id));
            own.grant(&req, arrived);
        });
    }

    fn grant(&self, req: &Message, arrived: Instant) -> Message {
        let body = Json::parse(&req.body_text()).unwrap_or(Json::Null);
        let number = |name| body.number(name).unwrap_or(0.0);
        let (first, last) = (number("from") as u16, number("target") as u16);
        let fence = number("fence") as u64;
        let hold = Duration::from_secs_f64(number("hold-s"));
        let end = arrived + hold;
        let mut state = self.state.0.lock().unwrap();
        let overlaps = |hold: &(u16, u16, u64, Instant)| hold.0 <= last && first <= hold.1;
        if state
            .holds
            .iter()
            .any(|hold| overlaps(hold) && hold.2 > fence)
        {
            return response(409, &[], b"");
        }
        state.cut(first, last);
        state.holds.push((first, last, fence, end));
        self.record.took(&self.name(), (first, last), fence, end);
        response(200, &[], b"")
    }

    fn release(&self, req: &Message) -> Message {
        let body = Json::parse(&req.body_text()).unwrap_or(Json::Null);
        let number = |name| body.number(name).unwrap_or(0.0);
        let (first, last) = (number("from") as u16, number("target") as u16);
        let (state, ended) = &*self.state;
        let mut state = state.lock().unwrap();
        state.cut(first, last);
        state
            .holds
            .push((first, last, number("fence") as u64, Instant::now()));
        while state.running > 0 {
            state = ended.wait(state).unwrap();
        }
        self.record.let_go(&self.name(), (first, last));
        response(200, &[("ibiscove-handover", "5c0e7a21d94b36f8")], b"")
    }

    fn run(&self, req: &Message) -> Message {
        let own = &self.settings;
        if req
            .field("ibiscove-expect-instance")
            .is_some_and(|id| id != own.id)
        {
            return response(421, &[("ibiscove-instance-id", &own.id)], b"");
        }
        let Some(id) = req.field("ibiscove-request-id") else {
            return response(400, &[("ibiscove-not-executed", "1")], b"");
        };
        let key: Option<u16> = req
            .field("ibiscove-shard-key")
            .and_then(|key| key.parse().ok());
        {
            let mut state = self.state.0.lock().unwrap();
            let now = Instant::now();
            let holds = |key: u16| {
                let holds = state.holds.iter();
                holds
                    .into_iter()
                    .any(|h| h.0 <= key && key <= h.1 && now < h.3)
            };
            if own.is_sharded && !key.is_some_and(holds) {
                let fields = [("ibiscove-not-executed", "1"), ("ibiscove-request-id", id)];
                return response(421, &fields, b"");
            }
            if state.running >= own.slots {
                let fields = [("ibiscove-not-executed", "1"), ("ibiscove-request-id", id)];
                return response(503, &fields, b"");
            }
            state.running += 1;
        }
        self.record.ran(id, &own.id);
        thread::sleep(own.work);
        let mut state = self.state.0.lock().unwrap();
        state.running -= 1;
        drop(state);
        self.state.1.notify_all();
        self.record.ended(id);
        let seal = format!("seal.{id}");
        let fields = [
            ("ibiscove-request-id", id),
            ("ibiscove-response-seal", &seal),
        ];
        response(200, &fields, format!("answer to {id}").as_bytes())
    }
}

impl State {
    /// Takes keys out of all holds.
    fn cut(&mut self, first: u16, last: u16) {
        for (f, l, fence, end) in std::mem::take(&mut self.holds) {
            if l < first || last < f {
                self.holds.push((f, l, fence, end));
                continue;
            }
            if f < first {
                self.holds.push((f, first - 1, fence, end));
            }
            if last < l {
                self.holds.push((last + 1, l, fence, end));
            }
        }
    }
}
