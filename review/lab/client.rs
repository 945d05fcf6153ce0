//! Clients on a machine, and the platform's readiness checks, which tell them whether
//! they may send new work.

use crate::http::{self, Buffer, Message};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answer(u16),
    /// No connection could be made; nothing was sent.
    NoConnection,
    /// The connection was closed or reset without a whole answer.
    Closed,
    /// The client stopped waiting.
    TimedOut,
}

/// A kept connection of a client.
#[derive(Default)]
pub struct Connection {
    stream: Option<(TcpStream, Buffer)>,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub target: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
    pub key: Option<u32>,
}

impl Connection {
    /// Sends a request on the kept connection, or on a new one if there is none or the
    /// node has closed it.
    pub fn send(
        &mut self,
        addr: SocketAddr,
        call: &Call,
        record: &Record,
    ) -> (Outcome, Option<Message>) {
        if self
            .stream
            .as_ref()
            .is_some_and(|(stream, _)| is_closed(stream))
        {
            self.stream = None;
        }
        let (mut stream, mut buffer) = match self.stream.take() {
            Some(kept) => kept,
            None => match TcpStream::connect_timeout(&addr, Duration::from_secs(1)) {
                Ok(stream) => (stream, Buffer::default()),
                Err(_) => return (Outcome::NoConnection, None),
            },
        };
        let _ = stream.set_nodelay(true);
        // A client waits a little past its deadline, in which an answer may be on its way.
        let _ = stream.set_read_timeout(Some(call.deadline + Duration::from_millis(300)));
        let line = format!("{} {} HTTP/1.1", call.method, call.target);
        let deadline = call.deadline.as_millis().to_string();
        let key = call.key.map(|key| key.to_string());
        let mut headers = vec![
            ("Host", call.host),
            ("Ibiscove-Request-Id", call.id.as_str()),
            ("Ibiscove-Deadline-Ms", deadline.as_str()),
        ];
        headers.extend(key.as_deref().map(|key| ("Ibiscove-Shard-Key", key)));
        record.line(format!("client sends {} {}", call.id, call.target));
        if http::write(&mut stream, &line, &headers, &call.body).is_err() {
            return (Outcome::Closed, None);
        }
        match buffer.read(&mut stream) {
            Ok(Some(answer)) => {
                if !answer.wants_close() {
                    self.stream = Some((stream, buffer));
                }
                (Outcome::Answer(answer.status()), Some(answer))
            }
            Ok(None) => (Outcome::Closed, None),
            Err(err) => match err.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut => (Outcome::TimedOut, None),
                _ => (Outcome::Closed, None),
            },
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(_) => true,
        Err(err) => err.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Which nodes get new work of their clients: a node is out after two misses in a row,
/// unless fewer than half of its zone's nodes are in.
#[derive(Clone, Default)]
pub struct Readiness {
    nodes: Arc<Mutex<BTreeMap<String, (String, u32)>>>,
}

impl Readiness {
    /// Checks a node once a second.
    pub fn watch(&self, name: &str, zone: &str, addr: SocketAddr, record: &Record) {
        let (name, zone) = (name.to_owned(), zone.to_owned());
        self.nodes
            .lock()
            .unwrap()
            .insert(name.clone(), (zone.clone(), 2));
        let (nodes, record) = (Arc::clone(&self.nodes), record.clone());
        std::thread::spawn(move || {
            loop {
                let is_ready = probe(addr) == 200;
                let mut nodes = nodes.lock().unwrap();
                let misses = nodes.get(&name).map_or(2, |(_, misses)| *misses);
                let next = if is_ready { 0 } else { misses + 1 };
                if (misses < 2) != (next < 2) {
                    record.line(format!(
                        "readiness: {name} is {}",
                        if next < 2 { "in" } else { "out" }
                    ));
                }
                nodes.insert(name.clone(), (zone.clone(), next));
                drop(nodes);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }

    /// Returns whether the clients beside a node send it new work.
    pub fn may_send(&self, name: &str) -> bool {
        let nodes = self.nodes.lock().unwrap();
        let Some((zone, misses)) = nodes.get(name) else {
            return false;
        };
        let of_zone = nodes.values().filter(|(other, _)| other == zone);
        let (mut all, mut ready) = (0, 0);
        for (_, misses) in of_zone {
            all += 1;
            ready += usize::from(*misses < 2);
        }
        *misses < 2 || 2 * ready < all
    }
}

/// Returns the status of a readiness check; 0 without an answer.
pub fn probe(addr: SocketAddr) -> u16 {
    let call = || -> std::io::Result<u16> {
        let timeout = Duration::from_millis(900);
        let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        let host = addr.to_string();
        http::write(
            &mut stream,
            "GET /readyz HTTP/1.1",
            &[("Host", host.as_str())],
            b"",
        )?;
        let answer = Buffer::default().read(&mut stream)?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    call().unwrap_or(0)
}
