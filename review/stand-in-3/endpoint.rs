//! An endpoint: announces itself to the node beside it, takes and gives back keys, and
//! runs requests.

use crate::http::{Connection, Message, request, response};
use crate::json::Json;
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{io, thread};

/// Time between two announcements.
const HEARTBEAT: Duration = Duration::from_millis(870);

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
        let endpoint = Self {
            settings,
            record,
            state: Arc::default(),
        };
        let own = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(Connection::new(stream)?));
            }
        });
        let own = endpoint.clone();
        thread::spawn(move || own.announce());
        Ok(endpoint)
    }

    fn announce(&self) {
        let EndpointSettings {
            id, service, zone, ..
        } = &self.settings;
        let (addr, slots) = (self.settings.addr, self.settings.slots);
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let born = born.as_millis();
        let path = format!("/instances/{id}");
        for seq in 1.. {
            let body = format!(
                r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready","seq":{seq},"cold-left-s":0}}}}"#
            );
            let call = request(
                "PUT",
                &path,
                &[("host", "control"), ("content-type", "application/json")],
                body.as_bytes(),
            );
            let announced =
                Connection::connect(self.settings.control, HEARTBEAT).and_then(|mut c| {
                    c.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                    c.write(&call)?;
                    c.read()
                });
            // Without a node the endpoint tries again soon.
            thread::sleep(match announced {
                Ok(_) => HEARTBEAT,
                Err(_) => Duration::from_millis(100),
            });
        }
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
        self.record
            .took(&self.settings.id, (first, last), fence, end);
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
        self.record.let_go(&self.settings.id, (first, last));
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
