//! The cases. Each returns whether the rule was broken.

use crate::http::{Message, Reader, call, request};
use crate::sys;
use crate::world::{self, Endpoint, HOST, World, answer_with, body_of};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

pub fn run(
    case: &str,
    out: &Path,
    temp: &Path,
    binary: &Path,
    is_troubled: bool,
) -> io::Result<bool> {
    let start_with = |services, timeout_s, answer| {
        world::start(out, temp, binary, services, timeout_s, answer, is_troubled)
    };
    let start = |timeout_s, answer| start_with(["desk"; 3], timeout_s, answer);
    match case {
        "slow-reader" => slow_reader(start(12.0, answer_by_path)?),
        "endless-answer" => endless_answer(start(5.0, |endpoint, req, out| {
            let is_faulty = endpoint.is_troubled && endpoint.id == "i-1";
            if !is_faulty || req.target().1 == "/read/100" {
                return answer_by_path(endpoint, req, out);
            }
            answer_without_end(req, out)
        })?),
        "interim-answers" => interim_answers(start_with(
            ["front", "desk", "desk"],
            5.0,
            |endpoint, req, out| {
                let (_, path) = req.target();
                if path.contains("/work/") {
                    thread::sleep(Duration::from_secs(1));
                }
                let is_faulty = endpoint.is_troubled && endpoint.id == "i-1";
                if !is_faulty
                    || !path.contains("/spoilt/")
                    || endpoint.spoilt.fetch_add(1, Ordering::AcqRel) >= SPOILT
                {
                    return answer_by_path(endpoint, req, out);
                }
                endpoint
                    .record
                    .line("endpoint i-1 sends interim answers without end");
                let many = "HTTP/1.1 102 Processing\r\n\r\n".repeat(4096);
                loop {
                    out.write_all(many.as_bytes())?;
                }
            },
        )?),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Bytes of an answer: the largest of the deployments.
const ANSWER: usize = 30_000;
/// Bytes of an answer that ends, where the others do not.
const LONG_ANSWER: usize = 400_000;
/// Answers that the faulty endpoint spoils.
const SPOILT: usize = 4;
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_secs(12);

/// Bytes of the head of an answer, as nodes send it.
const HEAD: usize = 200;
/// Bytes of the last answer of each client that don't fit into the sockets.
const RESTS: [usize; 4] = [8_000, 13_000, 18_000, 23_000];
/// `grace-s` of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// Time for which clients read nothing while the node stops.
const PAUSE: Duration = Duration::from_millis(2_200);

/// Answers with as many bytes as the end of the path says.
fn answer_by_path(_: &Endpoint, req: &Message, out: &mut TcpStream) -> io::Result<()> {
    let len = req.target().1.rsplit('/').next().unwrap_or("");
    answer_with(req, out, len.parse().unwrap_or(0))
}

/// Answers with a body that goes on until the caller closes the connection.
fn answer_without_end(req: &Message, out: &mut TcpStream) -> io::Result<()> {
    let id = req.header("ibiscove-request-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nIbiscove-Request-Id: {id}\r\nIbiscove-Response-Seal: seal.{id}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    loop {
        out.write_all(chunk.as_bytes())?;
        thread::sleep(Duration::from_millis(20));
    }
}

struct Client {
    name: String,
    ids: Vec<String>,
    reader: Reader<TcpStream>,
    sent: Instant,
}

impl Client {
    /// Connects and has one read answered, so that the connection is a kept one.
    fn connect(world: &World, node: usize, name: &str) -> io::Result<Self> {
        let SocketAddr::V4(addr) = world.nodes[node].outbound else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let stream = sys::connect_with_window(addr, 8 << 10)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let mut client = Self {
            name: name.to_owned(),
            ids: Vec::new(),
            reader: Reader::new(stream),
            sent: Instant::now(),
        };
        client.send_reads(world, 1, 100)?;
        client.reader.message()?;
        client.ids.clear();
        Ok(client)
    }

    /// Sends reads, the next ones before the first one is answered.
    fn send_reads(&mut self, world: &World, count: usize, len: usize) -> io::Result<()> {
        let mut bytes = Vec::new();
        for i in 0..count {
            let id = format!("{}-{count}-{i:02}", self.name);
            let path = format!("/read/{len}");
            let deadline = DEADLINE.as_millis().to_string();
            let headers = [
                ("Host", HOST),
                ("Ibiscove-Request-Id", &*id),
                ("Ibiscove-Deadline-Ms", &*deadline),
            ];
            bytes.extend(request("GET", &path, &headers, b""));
            self.ids.push(id);
        }
        self.reader.stream.write_all(&bytes)?;
        self.sent = Instant::now();
        let name = &self.name;
        world.record.line(&format!(
            "client {name} sends {count} reads, {len} bytes each"
        ));
        Ok(())
    }

    /// Reads the answers; returns the ids of the requests without a complete one.
    fn read(mut self, world: &World, len: usize) -> Vec<String> {
        let mut unanswered = Vec::new();
        let mut failure = None;
        for id in &self.ids {
            if let Some(failure) = &failure {
                let name = &self.name;
                world
                    .record
                    .line(&format!("client {name}: no answer to {id}: {failure}"));
                unanswered.push(id.clone());
                continue;
            }
            match self.reader.message() {
                Ok(answer) => {
                    let is_own = answer.header("ibiscove-request-id") == Some(id);
                    let is_whole = answer.body == body_of(id, len);
                    let after = self.sent.elapsed().as_secs_f64();
                    world.record.line(&format!(
                        "client {}: {id} is answered {} after {after:.3} s, own {is_own}, whole \
                         {is_whole}",
                        self.name,
                        answer.status(),
                    ));
                }
                Err(err) => {
                    let after = self.sent.elapsed().as_secs_f64();
                    world.record.line(&format!(
                        "client {}: {id} breaks off after {after:.3} s: {err}",
                        self.name
                    ));
                    unanswered.push(id.clone());
                    failure = Some(err);
                }
            }
        }
        unanswered
    }
}

/// Returns how many of the requests an endpoint has run.
fn count_run(world: &World, ids: &[String]) -> usize {
    let has_run = |id: &&String| {
        let mut endpoints = world.endpoints.iter();
        endpoints.any(|endpoint| endpoint.runs.lock().unwrap().contains(id))
    };
    ids.iter().filter(has_run).count()
}

/// Clients read slowly; the node that took their requests gets SIGTERM.
fn slow_reader(world: World) -> io::Result<bool> {
    let world = Arc::new(world);
    let is_troubled = world.endpoints[0].is_troubled;
    // How much the operating system holds for a client that does not read.
    let mut probe = Client::connect(&world, 0, "probe")?;
    probe.send_reads(&world, 60, ANSWER)?;
    thread::sleep(Duration::from_millis(700));
    let held = sys::queued_bytes(&probe.reader.stream)?;
    drop(probe);
    if held == 0 {
        return Err(io::Error::other(
            "the connection is not in the table of sockets",
        ));
    }
    world
        .record
        .line(&format!("the sockets of a connection hold {held} bytes"));
    let mut clients = Vec::new();
    for i in 0..4 {
        clients.push(Client::connect(&world, 0, &format!("c{i}"))?);
    }
    let at = Instant::now();
    if is_troubled {
        world.nodes[0].signal(sys::SIGTERM);
        world
            .record
            .line("SIGTERM to the node that takes the requests");
    }
    thread::sleep(Duration::from_millis(900));
    let mut readers = Vec::new();
    for (mut client, rest) in clients.into_iter().zip(RESTS) {
        // Answers of which all but the rest of the last one fits into the sockets.
        let total = held + rest;
        let count = total.div_ceil(ANSWER);
        let len = total / count - HEAD;
        client.send_reads(&world, count, len)?;
        let world = Arc::clone(&world);
        readers.push(thread::spawn(move || {
            thread::sleep(PAUSE);
            world
                .record
                .line(&format!("client {} begins to read", client.name));
            client.read(&world, len)
        }));
    }
    while is_troubled && !world.nodes[0].has_ended() && at.elapsed() < GRACE {
        thread::sleep(Duration::from_millis(5));
    }
    if is_troubled && world.nodes[0].has_ended() {
        let after = at.elapsed().as_secs_f64();
        world
            .record
            .line(&format!("the node has ended, {after:.3} s after SIGTERM"));
    }
    let lost: Vec<String> = readers
        .into_iter()
        .flat_map(|r| r.join().unwrap())
        .collect();
    let ran = count_run(&world, &lost);
    world.record.line(&format!(
        "{} requests have no complete answer, {ran} of them have run",
        lost.len()
    ));
    Ok(ran > 0)
}

/// A faulty endpoint sends answers without end.
fn endless_answer(world: World) -> io::Result<bool> {
    let world = Arc::new(world);
    let mut readers = Vec::new();
    for i in 0..40 {
        let mut client = Client::connect(&world, 1, &format!("c{i:02}"))?;
        client.send_reads(&world, 1, LONG_ANSWER)?;
        client
            .reader
            .stream
            .set_read_timeout(Some(Duration::from_secs(1)))?;
        let world = Arc::clone(&world);
        readers.push(thread::spawn(move || client.wait_for_end(&world)));
    }
    let open = readers
        .into_iter()
        .map(|r| r.join().unwrap())
        .filter(|is_open| *is_open)
        .count();
    world.record.line(&format!(
        "{open} of 40 requests have no final answer 0.5 s after the route's timeout of 5 s"
    ));
    Ok(open >= 8)
}

impl Client {
    /// Returns whether the request has neither a whole answer nor a closed connection half
    /// a second after the route's timeout.
    fn wait_for_end(mut self, world: &World) -> bool {
        let limit = Duration::from_millis(5_500);
        self.reader.until = Some(self.sent + limit);
        let result = self.reader.message();
        let after = self.sent.elapsed();
        let result = result
            .map(|answer| answer.status())
            .map_err(|err| err.kind());
        world.record.line(&format!(
            "client {}: {result:?} after {:.3} s",
            self.name,
            after.as_secs_f64()
        ));
        after >= limit
    }
}

/// A faulty endpoint sends interim answers without end.
fn interim_answers(world: World) -> io::Result<bool> {
    let world = Arc::new(world);
    let addr = world.nodes[1].outbound;
    let read = move |world: &World, path: &'static str, id: &str| {
        is_unanswered(world, addr, "GET", path, id);
    };
    for i in 0..200 {
        read(&world, "/read/100", &format!("w{i:03}"));
    }
    let mut waiting = Vec::new();
    for i in 0..8 {
        for (method, path) in [("GET", "/read/work/100"), ("POST", "/order/work/100")] {
            let id = format!("c{i}-{}", method.to_lowercase());
            let world = Arc::clone(&world);
            waiting.push(thread::spawn(move || {
                is_unanswered(&world, addr, method, path, &id)
            }));
        }
    }
    thread::sleep(Duration::from_millis(300));
    // Until the faulty endpoint has got enough of them; others are run elsewhere.
    for i in 0..12 {
        if world.endpoints[1].spoilt.load(Ordering::Acquire) >= SPOILT {
            break;
        }
        let world = Arc::clone(&world);
        thread::spawn(move || read(&world, "/read/spoilt/100", &format!("s{i}")));
    }
    thread::sleep(Duration::from_millis(100));
    let answers = world.endpoints[1].runs.lock().unwrap().len();
    world.record.line(&format!(
        "endpoint i-1 has got {answers} requests until now"
    ));
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(5_500) {
        let is_ready = world.nodes[1].is_ready();
        world.record.line(&format!(
            "the node beside the endpoint is ready: {is_ready}"
        ));
        thread::sleep(Duration::from_millis(500));
    }
    let open = waiting
        .into_iter()
        .map(|w| w.join().unwrap())
        .filter(|is_open| *is_open)
        .count();
    world.record.line(&format!(
        "{open} of 16 requests have no final answer 0.5 s after the route's timeout of 5 s"
    ));
    Ok(open >= 8)
}

/// Sends a request. Returns whether it has neither an answer nor a closed connection half
/// a second after the route's timeout.
fn is_unanswered(world: &World, addr: SocketAddr, method: &str, path: &str, id: &str) -> bool {
    let headers = [
        ("Host", HOST),
        ("Ibiscove-Request-Id", id),
        ("Ibiscove-Deadline-Ms", "12000"),
    ];
    world.record.line(&format!("client sends {id}"));
    let limit = Duration::from_millis(5_500);
    let sent = Instant::now();
    let result = call(addr, method, path, &headers, b"", limit);
    let after = sent.elapsed();
    let result = result
        .map(|answer| answer.status())
        .map_err(|err| err.kind());
    world.record.line(&format!(
        "client: {id} has {result:?} after {:.3} s",
        after.as_secs_f64()
    ));
    after >= limit
}
