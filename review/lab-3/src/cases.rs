//! The cases. Each returns whether the rule was broken.

use crate::http::{Message, Reader, call, request};
use crate::sys;
use crate::world::{self, Endpoint, HOST, World, answer_with, body_of};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
        "pausing-reader" => {
            pausing_reader(start(12.0, answer_by_path)?)
        }
        "stalled-answer" => stalled_answer(start(5.0, |endpoint, req, out| {
            if !endpoint.is_troubled || req.target().1 == "/read/100" {
                return answer_by_path(endpoint, req, out);
            }
            let mut whole = Vec::new();
            answer_with(req, &mut whole, LONG_ANSWER)?;
            // The answer is truncated; the connection stays open.
            out.write_all(&whole[..whole.len() - 50_000])
        })?),
        "late-heartbeat" => late_heartbeat(start_with(
            ["front", "desk", "desk"],
            5.0,
            |endpoint, req, out| {
                thread::sleep(Duration::from_millis(10));
                answer_by_path(endpoint, req, out)
            },
        )?),
        "hold" => {
            let world = start(12.0, |endpoint, req, out| {
                endpoint.record.line(&format!("{req:?}"));
                if req.target().1.starts_with("/read/c400") { return out.write_all(b"HTTP/1.1 200 OK\r\n"); }
                answer_by_path(endpoint, req, out)
            })?;
            println!("{}", world.nodes[0].outbound);
            thread::sleep(Duration::from_secs(90));
            Ok(false)
        }
        _ => Err(io::Error::other("no such case")),
    }
}

/// Bytes of an answer: the largest of the deployments.
const ANSWER: usize = 30_000;
/// Bytes of a long answer.
const LONG_ANSWER: usize = 400_000;
/// Requests that a client sends before the first one is answered.
const PIPELINED: usize = 16;
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_secs(12);

/// Bytes of the head of an answer, as nodes send it.
const HEAD: usize = 200;
/// Time for which clients read nothing while the node stops.
const PAUSE: Duration = Duration::from_millis(2_200);
/// Time for which clients read nothing in between.
const LONG_PAUSE: Duration = Duration::from_secs(4);

/// Answers with as many bytes as the end of the path says.
fn answer_by_path(_: &Endpoint, req: &Message, out: &mut TcpStream) -> io::Result<()> {
    let len = req.target().1.rsplit('/').next().unwrap_or("");
    answer_with(req, out, len.parse().unwrap_or(0))
}

struct Client {
    name: String,
    ids: Vec<String>,
    reader: Reader<TcpStream>,
    sent: Instant,
}

impl Client {
    /// Connects and has one read answered, so that the connection is a kept one.
    fn connect(world: &World, name: &str) -> io::Result<Self> {
        let SocketAddr::V4(addr) = world.nodes[0].outbound else {
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
        world.record.line(&format!("client {} sends {count} reads", self.name));
        Ok(())
    }

    /// Reads the answers; returns the ids of the requests without a complete one.
    fn read(mut self, world: &World, len: usize) -> Vec<String> {
        let mut unanswered = Vec::new();
        let mut failure = None;
        for id in &self.ids {
            if let Some(failure) = &failure {
                let name = &self.name;
                world.record.line(&format!("client {name}: no answer to {id}: {failure}"));
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
        endpoints.any(|endpoint| endpoint.runs.lock().unwrap().iter().any(|(run, _)| run == *id))
    };
    ids.iter().filter(has_run).count()
}

/// Clients read slowly; the node that took their requests gets SIGTERM.
fn slow_reader(world: World) -> io::Result<bool> {
    let world = Arc::new(world);
    let is_troubled = world.endpoints[0].is_troubled;
    // How much the operating system holds for a client that does not read.
    let mut probe = Client::connect(&world, "probe")?;
    probe.send_reads(&world, 60, ANSWER)?;
    thread::sleep(Duration::from_millis(700));
    let held = sys::queued_bytes(&probe.reader.stream)?;
    drop(probe);
    // Answers of which all but the end of the last one fits there.
    let total = held + 18_000;
    let count = total.div_ceil(ANSWER);
    let len = total / count - HEAD;
    world.record.line(&format!(
        "sockets hold {held} bytes; each client will send {count} reads with answers of {len} bytes"
    ));
    let mut clients = Vec::new();
    for i in 0..4 {
        clients.push(Client::connect(&world, &format!("c{i}"))?);
    }
    let at = Instant::now();
    if is_troubled {
        world.nodes[0].signal(sys::SIGTERM);
        world.record.line("SIGTERM to the node that takes the requests");
    }
    let mut readers = Vec::new();
    thread::sleep(Duration::from_millis(900));
    for mut client in clients {
        client.send_reads(&world, count, len)?;
        let world = Arc::clone(&world);
        readers.push(thread::spawn(move || {
            thread::sleep(PAUSE);
            world.record.line(&format!("client {} begins to read", client.name));
            client.read(&world, len)
        }));
    }
    while is_troubled && !world.nodes[0].has_ended() {
        thread::sleep(Duration::from_millis(5));
    }
    if is_troubled {
        let after = at.elapsed().as_secs_f64();
        world.record.line(&format!("the node has ended, {after:.3} s after SIGTERM"));
    }
    let lost: Vec<String> = readers.into_iter().flat_map(|r| r.join().unwrap()).collect();
    let ran = count_run(&world, &lost);
    world.record.line(&format!(
        "{} requests have no complete answer, {ran} of them have run",
        lost.len()
    ));
    Ok(ran > 0)
}

/// Clients make a pause while they read.
fn pausing_reader(world: World) -> io::Result<bool> {
    let world = Arc::new(world);
    let pause = match world.endpoints[0].is_troubled {
        true => LONG_PAUSE,
        false => Duration::ZERO,
    };
    let mut readers = Vec::new();
    for i in 0..4 {
        let mut client = Client::connect(&world, &format!("c{i}"))?;
        client.send_reads(&world, PIPELINED, ANSWER)?;
        let world = Arc::clone(&world);
        readers.push(thread::spawn(move || {
            thread::sleep(pause);
            world.record.line(&format!("client {} begins to read", client.name));
            client.read(&world, ANSWER)
        }));
    }
    let lost: Vec<String> = readers.into_iter().flat_map(|r| r.join().unwrap()).collect();
    let ran = count_run(&world, &lost);
    world.record.line(&format!(
        "{} requests have no complete answer, {ran} of them have run",
        lost.len()
    ));
    Ok(ran > 3)
}

/// Endpoints truncate long answers.
fn stalled_answer(world: World) -> io::Result<bool> {
    let world = Arc::new(world);
    let mut readers = Vec::new();
    for i in 0..16 {
        let name = format!("c{i:02}");
        let mut client = Client::connect(&world, &name)?;
        client.send_reads(&world, 1, LONG_ANSWER)?;
        // The bound of the rule: half a second after the route's timeout.
        client.reader.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        let world = Arc::clone(&world);
        readers.push(thread::spawn(move || client.wait_for_end(&world)));
    }
    let open = readers.into_iter().map(|r| r.join().unwrap()).filter(|is_open| *is_open).count();
    world.record.line(&format!(
        "{open} of 16 requests have no final answer 0.5 s after the route's timeout of 5 s"
    ));
    Ok(open >= 8)
}

impl Client {
    /// Returns whether the request is still without an answer and its connection open
    /// half a second after the route's timeout.
    fn wait_for_end(self, world: &World) -> bool {
        use std::io::Read;
        let mut stream = self.reader.stream;
        let mut len = 0;
        let mut buf = [0; 4096];
        loop {
            let after = self.sent.elapsed();
            if after > Duration::from_millis(5_500) {
                world.record.line(&format!(
                    "client {}: {len} bytes and no end {:.3} s after the request was sent",
                    self.name,
                    after.as_secs_f64()
                ));
                return true;
            }
            match stream.read(&mut buf) {
                Ok(0) => break,
                Ok(more) => len += more,
                Err(err) if matches!(err.kind(), io::ErrorKind::WouldBlock) => {}
                Err(_) => break,
            }
            if len >= LONG_ANSWER {
                break;
            }
        }
        world.record.line(&format!(
            "client {}: {len} bytes, then an end after {:.3} s",
            self.name,
            self.sent.elapsed().as_secs_f64()
        ));
        false
    }
}

/// An endpoint leaves, its node is killed and started again while the store is down, and
/// an announcement from before arrives late.
fn late_heartbeat(world: World) -> io::Result<bool> {
    let world = Arc::new(world);
    let (node, endpoint) = (&world.nodes[1], Arc::clone(&world.endpoints[1]));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_quiet = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for i in 0..6 {
        let world = Arc::clone(&world);
        let (is_over, is_quiet) = (Arc::clone(&is_over), Arc::clone(&is_quiet));
        clients.push(thread::spawn(move || {
            let mut sent = HashMap::new();
            for n in 0.. {
                if is_over.load(Ordering::Acquire) {
                    break;
                }
                if is_quiet.load(Ordering::Acquire) {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                }
                let id = format!("c{i}-{n:04}");
                sent.insert(id.clone(), Instant::now());
                let status = read_once(world.nodes[0].outbound, &id);
                world.record.line(&format!("client c{i}: {id} is answered {status:?}"));
                thread::sleep(Duration::from_millis(30));
            }
            sent
        }));
    }
    thread::sleep(Duration::from_secs(1));
    // The announcement that is under way for long.
    endpoint.is_silent.store(true, Ordering::Release);
    let seq = endpoint.seq.fetch_add(1, Ordering::AcqRel) + 1;
    // No request is at work when the endpoint leaves.
    is_quiet.store(true, Ordering::Release);
    thread::sleep(Duration::from_millis(300));
    let status = endpoint.call_node("DELETE", b"")?;
    let left = Instant::now();
    world.record.line(&format!("endpoint {} leaves; the node answers {status}", endpoint.id));
    if status != 200 {
        return Err(io::Error::other("the withdrawal is not acknowledged"));
    }
    thread::sleep(Duration::from_millis(100));
    is_quiet.store(false, Ordering::Release);
    thread::sleep(Duration::from_millis(100));
    if endpoint.is_troubled {
        world.store.set_busy(node.store, true);
        world.record.line("the store turns the node of the endpoint away with 503");
        node.kill();
        world.record.line("the node of the endpoint is killed");
        thread::sleep(Duration::from_millis(300));
        node.start()?;
        world.record.line("it is started again");
    }
    let started = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let status = endpoint.beat(seq);
    world.record.line(&format!("its announcement from before arrives late, answered {status:?}"));
    thread::sleep((left + Duration::from_secs(9)).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Release);
    let sent: HashMap<String, Instant> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    // Requests that a client sent later than drain-s after the acknowledgement, when the
    // node had run for stable-window-s.
    let from = (left + DRAIN).max(started + STABLE_WINDOW);
    let runs = endpoint.runs.lock().unwrap();
    let late = runs.iter().filter(|(id, _)| sent.get(id).is_some_and(|sent| *sent > from));
    let late = late.count();
    world.record.line(&format!(
        "endpoint {} ran {late} requests that were sent later than drain-s after it had left and \
         later than stable-window-s after the start of its node",
        endpoint.id
    ));
    Ok(late > 0)
}

/// `drain-s` and `stable-window-s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);

fn read_once(addr: SocketAddr, id: &str) -> io::Result<u16> {
    let headers = [
        ("Host", HOST),
        ("Ibiscove-Request-Id", id),
        ("Ibiscove-Deadline-Ms", "1000"),
    ];
    let second = Duration::from_secs(1);
    Ok(call(addr, "GET", "/read/100", &headers, b"", second)?.status())
}
