//! Answers of faulty upstreams that the HTTP library of a node does not survive, or
//! cannot count: statuses and lengths.

use crate::support::{AWAIT_TIMEOUT, NodeProcess, eventually, serve_platform, store_rules};
use ibiscove_store::MemoryPlatform;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use yare::parameterized;

const RULES: &str = "[[route]]\nservice = 'service'\nprefix = '/service'\ntimeout_ms = 10000\n";

/// Answers requests for `/service/odd` with `odd` and others with 200, and counts the
/// requests that it reads on a connection after an odd answer.
fn start_upstream(odd: impl Into<Arc<str>>) -> (SocketAddr, Arc<AtomicU32>) {
    let odd = odd.into();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let reused = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&reused);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let (odd, counted) = (Arc::clone(&odd), Arc::clone(&counted));
            // The test itself detects a connection that ends early.
            std::thread::spawn(move || drop(serve(&stream, &odd, &counted)));
        }
    });
    (addr, reused)
}

fn serve(stream: &TcpStream, odd: &str, reused: &AtomicU32) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    let mut was_odd = false;
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        reused.fetch_add(u32::from(was_odd), Ordering::SeqCst);
        let is_odd = head.starts_with("GET /service/odd ");
        was_odd |= is_odd;
        let usual = "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone";
        writer.write_all(if is_odd { odd } else { usual }.as_bytes())?;
    }
}

/// Announces an upstream periodically until the task is dropped.
fn announce_periodically(to: SocketAddr, addr: SocketAddr) -> smol::Task<()> {
    let spec = serde_json::json!({
        "service": "service",
        "addr": addr,
        "concurrency": 4,
        "connections": 8,
        "checks_fences": true,
    });
    let url = format!("http://{to}/_ibiscove/announce");
    smol::spawn(async move {
        loop {
            let announcement = crate::support::client().post(url.as_str());
            drop(announcement.with_body(spec.to_string()).await);
            smol::Timer::after(std::time::Duration::from_millis(500)).await;
        }
    })
}

/// Returns the head of the answer to a read and the beginning of its body; empty if the
/// connection ends without one.
fn read_answer(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("the node listens");
    stream
        .set_read_timeout(Some(AWAIT_TIMEOUT))
        .expect("a valid timeout");
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .expect("the node accepts bytes");
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(len) => answer.extend_from_slice(&buf[..len]),
        }
    }
    String::from_utf8_lossy(&answer).to_ascii_lowercase()
}

struct Pair {
    owner: NodeProcess,
    entry: NodeProcess,
    reused: Arc<AtomicU32>,
    _announcing: smol::Task<()>,
}

/// Starts two nodes, of which one is beside the upstream, and waits until both serve.
async fn start_pair(odd: impl Into<Arc<str>>) -> Pair {
    let platform = MemoryPlatform::default();
    store_rules(&platform, RULES).await;
    let platform = serve_platform(platform);
    let owner = NodeProcess::start("owner", "plateau", platform);
    let entry = NodeProcess::start("entry", "medina", platform);
    let (addr, reused) = start_upstream(odd);
    let announcing = announce_periodically(owner.upstream, addr);
    let client = crate::support::client();
    for node in [&owner, &entry] {
        eventually("a served request", async || {
            let response = crate::support::get(&client, node.caller, "/service/k").await;
            (response.status == 200).then_some(())
        })
        .await;
    }
    Pair {
        owner,
        entry,
        reused,
        _announcing: announcing,
    }
}

/// Guards against a caller that gets nothing, because a status made the HTTP library
/// panic, its length could not be counted, or the answer was none.
#[parameterized(
    status_000 = { "HTTP/1.1 000 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    status_099 = { "HTTP/1.1 099 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    final_101 = { "HTTP/1.1 101 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    final_150 = { "HTTP/1.1 150 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    final_199 = { "HTTP/1.1 199 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    status_600 = { "HTTP/1.1 600 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    status_999 = { "HTTP/1.1 999 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    after_an_interim_one = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    // In the range, but the library has no name for it.
    status_520 = { "HTTP/1.1 520 Odd\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndone" },
    uncountable_length = { "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 18446744073709551616\r\n\r\ndone" },
)]
fn answer_that_cannot_be_passed_on_becomes_a_truthful_502(odd: &'static str) {
    smol::block_on(async {
        let pair = start_pair(odd).await;
        for node in [&pair.owner, &pair.entry] {
            let answer = read_answer(node.caller, "/service/odd");
            assert!(answer.starts_with("http/1.1 502 "), "{answer}");
            assert!(
                answer.contains("\r\nibiscove-outcome: unknown\r\n"),
                "{answer}"
            );
            assert!(
                answer.contains("\r\nibiscove-reason: upstream-lost\r\n"),
                "{answer}"
            );
        }
        assert_eq!(pair.reused.load(Ordering::SeqCst), 0);
        let usual = read_answer(pair.entry.caller, "/service/k");
        assert!(usual.starts_with("http/1.1 200 "), "{usual}");
    });
}

/// Long answers are streamed, however long they are.
#[parameterized(
    five_billion = { 5_000_000_000 },
    hundred_billion = { 99_999_999_999 },
)]
fn beginning_of_a_very_long_answer_is_passed_on(length: u64) {
    smol::block_on(async {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let pair = start_pair(format!("{head}{}", "x".repeat(1 << 20))).await;
        for node in [&pair.owner, &pair.entry] {
            let answer = read_answer(node.caller, "/service/odd");
            assert!(answer.starts_with("http/1.1 200 "), "{answer}");
            let expected = format!("\r\ncontent-length: {length}\r\n");
            assert!(answer.contains(&expected), "{answer}");
        }
    });
}
