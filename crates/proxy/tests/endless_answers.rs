//! Answers of faulty upstreams that never end, many at once.

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Body as _;
use ibiscove_http::body::BodyBudget;
use ibiscove_http::{Body, Pool, PoolSettings};
use ibiscove_proxy::relay::{RelayedResponse, read_response};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Answers at once.
const ANSWERS: usize = 8;
/// Memory for the beginnings of all answers.
const RESPONSE_MEMORY: usize = 2 << 20;
/// The same and 512 KiB for the buffers of each connection: with a hundred answers at
/// once, less than half of the 160 MB of the smallest machines.
const MAX_MEMORY: usize = RESPONSE_MEMORY + ANSWERS * (512 << 10);
/// Time for which all answers go on.
const DURATION: Duration = Duration::from_secs(3);

/// Held by the test that runs, since the memory of the process is measured.
static MEASURED: Mutex<()> = Mutex::new(());

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a server that answers each request with `head` and then `unit` without end.
async fn serve_endless(head: &'static str, unit: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let units = unit.repeat((64 << 10) / unit.len() + 1);
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(answer(stream, head, units.clone())).detach();
        }
    })
    .detach();
    addr
}

async fn answer(mut stream: TcpStream, head: &str, units: Vec<u8>) {
    let _ = stream.read(&mut [0; 1_024]).await;
    if stream.write_all(head.as_bytes()).await.is_ok() {
        while stream.write_all(&units).await.is_ok() {}
    }
}

/// Returns the memory of this process in bytes.
fn memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux has it");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<usize>().ok())
        .expect("a number")
        << 10
}

/// Guards against a node that runs out of memory because it keeps what a faulty upstream
/// sends without end, though few of these bytes belong to the body.
#[parameterized(
    body_without_length = { "HTTP/1.1 200 OK\r\n\r\n", vec![b'a'; 1_024] },
    long_chunks = { HEAD, format!("8000\r\n{}\r\n", "a".repeat(0x8000)).into_bytes() },
    short_chunks = { HEAD, b"1\r\na\r\n".to_vec() },
    padded_chunks = { HEAD, format!("{}1\r\na\r\n", "0".repeat(4_000)).into_bytes() },
    endless_chunk_size = { HEAD, vec![b'0'; 1_024] },
    trailers = {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Part: more\r\n".to_vec(),
    },
    interim_answers = { "", b"HTTP/1.1 100 Continue\r\n\r\n".to_vec() },
)]
fn endless_answers_are_kept_within_bounds(head: &'static str, unit: Vec<u8>) {
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let addr = serve_endless(head, unit).await;
        let before = memory();
        let budget = BodyBudget::new(RESPONSE_MEMORY);
        let answers = request_all(addr, ANSWERS, &budget);
        let started = Instant::now();
        let mut peak = 0;
        while started.elapsed() < DURATION {
            smol::Timer::after(Duration::from_millis(50)).await;
            peak = peak.max(memory());
        }
        drop(answers);
        let grown = peak.saturating_sub(before);
        assert!(grown < MAX_MEMORY, "grown by {} KiB", grown >> 10);
    });
}

/// Guards against a node that runs out of memory because it reads the beginnings of many
/// long answers at once, each of them within bounds.
#[test]
fn beginnings_of_many_long_answers_share_one_budget() {
    const MANY: usize = 40;
    /// A frame that was read when the budget had no room for it.
    const MAX_FRAME: u64 = 64 << 10;
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let addr = serve_endless("HTTP/1.1 200 OK\r\n\r\n", vec![b'a'; 1_024]).await;
        let budget = BodyBudget::new(RESPONSE_MEMORY);
        let mut kept = 0;
        let mut bodies = Vec::new();
        for answer in request_all(addr, MANY, &budget) {
            let response = answer.await.expect("the head is whole");
            kept += response.body().size_hint().lower();
            bodies.push(response.into_body());
        }
        let bound = RESPONSE_MEMORY as u64 + MANY as u64 * MAX_FRAME;
        assert!(kept <= bound, "{kept} bytes are kept");
        // What was read is passed on, and its memory is free again.
        for mut body in bodies {
            let mut passed_on = 0;
            while passed_on < 1 << 20 {
                let frame = body.frame().await.expect("the body has no end");
                let data = frame.expect("the server goes on").into_data();
                passed_on += data.expect("there are no trailers").len();
            }
        }
        assert_eq!(budget.available(), RESPONSE_MEMORY);
    });
}

type Answer = smol::Task<Option<RelayedResponse<()>>>;

/// Sends requests and reads the beginning of each answer.
fn request_all(addr: SocketAddr, count: usize, budget: &BodyBudget) -> Vec<Answer> {
    let pool = Pool::new(PoolSettings::default());
    let request = |_| {
        let (pool, budget) = (pool.clone(), budget.clone());
        smol::spawn(async move {
            let req = Request::new(Body::whole(""));
            let sent = pool.send(addr, req, Duration::from_secs(1)).await;
            let deadline = Instant::now() + Duration::from_secs(60);
            let read = read_response::<()>(sent.ok()?, None, &budget, deadline);
            read.await.ok()
        })
    };
    (0..count).map(request).collect()
}

/// Time that a request of the tests below has.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Answers a request with a body of `len` bytes, then `unit` after each `pause`, or
/// nothing more if there is no unit.
async fn serve_paced(len: usize, unit: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let _ = stream.read(&mut [0; 1_024]).await;
        let head = b"HTTP/1.1 200 OK\r\n\r\n";
        let mut written = stream.write_all(&[head, &*vec![b'a'; len]].concat()).await;
        while written.is_ok() {
            smol::Timer::after(pause).await;
            written = stream.write_all(&vec![b'a'; unit]).await;
        }
    })
    .detach();
    addr
}

/// Sends a request that has [`TIMEOUT`], and reads the beginning of its answer.
async fn request_with_timeout(addr: SocketAddr, started: Instant) -> RelayedResponse<()> {
    let pool = Pool::new(PoolSettings::default());
    let budget = BodyBudget::new(RESPONSE_MEMORY);
    let req = Request::new(Body::whole(""));
    let sent = pool.send(addr, req, Duration::from_secs(1)).await;
    let exchange = sent.expect("the server answers");
    let response = read_response(exchange, None, &budget, started + TIMEOUT).await;
    response.expect("the beginning comes at once")
}

/// Guards against an answer that is passed on long after its request's deadline, because
/// it has no end or its rest does not come.
#[parameterized(
    as_fast_as_it_is_read = { 300 << 10, 64 << 10, Duration::ZERO },
    steady = { 300 << 10, 8 << 10, Duration::from_millis(10) },
    slow = { 300 << 10, 1, Duration::from_millis(60) },
    stopped = { 300 << 10, 0, Duration::from_secs(30) },
)]
fn answer_that_is_incomplete_at_its_deadline_breaks_off(len: usize, unit: usize, pause: Duration) {
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let addr = serve_paced(len, unit, pause).await;
        let started = Instant::now();
        let mut body = request_with_timeout(addr, started).await.into_body();
        let mut is_broken = false;
        while let Some(frame) = body.frame().await {
            is_broken = frame.is_err();
            if is_broken || started.elapsed() > 4 * TIMEOUT {
                break;
            }
        }
        assert!(is_broken, "the answer goes on");
        let took = started.elapsed();
        let allowed = TIMEOUT..TIMEOUT + Duration::from_millis(500);
        assert!(allowed.contains(&took), "broken off after {took:?}");
    });
}

/// An answer that came in time is passed on whole, however late its receiver reads.
#[test]
fn answer_that_was_sent_before_its_deadline_is_passed_on_after_it() {
    const LEN: usize = 900 << 10;
    let _measured = MEASURED.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let server = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let _ = stream.read(&mut [0; 1_024]).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LEN}\r\n\r\n");
            let answer = [head.as_bytes(), &vec![b'a'; LEN]].concat();
            stream.write_all(&answer).await.expect("it is read");
            stream
        });
        let started = Instant::now();
        let mut body = request_with_timeout(addr, started).await.into_body();
        smol::Timer::after(2 * TIMEOUT).await;
        let mut read = 0;
        while let Some(frame) = body.frame().await {
            let data = frame.expect("the answer is whole").into_data();
            read += data.map_or(0, |data| data.len());
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(read, LEN);
        drop(server.await);
    });
}
