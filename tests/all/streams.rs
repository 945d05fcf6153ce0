//! Long bodies through two hops: whole, in bounded memory, and through a
//! shutdown.

use crate::support::{NodeProcess, PATIENCE, eventually, put_rules, serve_platform};
use ibiscove_store::MemoryPlatform;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Length of a long body, in bytes.
const LONG: usize = 100 << 20;
/// The memory that a node may use, in KiB.
const MAX_RSS_KIB: u64 = 64 << 10;
/// The deadline must not end a slow transfer on a busy machine.
const RULES: &str = "[[route]]\nservice = 'service'\nprefix = '/service'\ntimeout_ms = 60000\n";
/// Bytes written and read at a time.
const CHUNK: usize = 64 << 10;

/// An upstream that takes a body, answers with one of `LONG` bytes and stops
/// in the middle of it until it is told to go on.
struct StreamUpstream {
    addr: SocketAddr,
    /// Length of each body that came.
    bodies: Receiver<usize>,
    go_on: Sender<()>,
}

impl StreamUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let (bodies_tx, bodies) = channel();
        let (go_on, go_on_rx) = channel();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                // A connection that ends early is the test's to notice.
                let _ = serve(stream, &bodies_tx, &go_on_rx);
            }
        });
        Self {
            addr,
            bodies,
            go_on,
        }
    }

    fn spec(&self) -> serde_json::Value {
        serde_json::json!({
            "service": "service",
            "addr": self.addr,
            "concurrency": 4,
            "connections": 8,
            "checks_fences": true,
        })
    }
}

fn serve(
    mut stream: TcpStream,
    bodies: &Sender<usize>,
    go_on: &Receiver<()>,
) -> std::io::Result<()> {
    let head = read_head(&mut stream)?;
    if !head.starts_with("POST ") {
        let empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        return stream.write_all(empty.as_bytes());
    }
    // The node's HTTP library waits for this before it sends a body.
    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    let len = read_len(&mut stream, content_length(&head))?;
    // The test may have stopped listening.
    let _ = bodies.send(len);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for half in 0..2 {
        for _ in 0..LONG / CHUNK / 2 {
            stream.write_all(&[b'x'; CHUNK])?;
        }
        if half == 0 {
            let _ = go_on.recv_timeout(PATIENCE);
        }
    }
    Ok(())
}

fn read_head(stream: &mut impl Read) -> std::io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn content_length(head: &str) -> usize {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.map_or(0, |(_, len)| len.parse().expect("a length"))
}

/// Reads up to `len` bytes; gives how many came.
fn read_len(stream: &mut impl Read, len: usize) -> std::io::Result<usize> {
    let mut buf = vec![0; CHUNK];
    let mut left = len;
    while left > 0 {
        let max = left.min(CHUNK);
        match stream.read(&mut buf[..max])? {
            0 => break,
            read => left -= read,
        }
    }
    Ok(len - left)
}

/// A caller's connection to which a long request has been written.
fn post_long(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let head = format!("POST /service/k HTTP/1.1\r\nHost: a\r\nContent-Length: {LONG}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for _ in 0..LONG / CHUNK {
        stream.write_all(&[b'y'; CHUNK])?;
    }
    Ok(stream)
}

/// Announces an upstream; none when the node has ended.
async fn announce_spec(to: SocketAddr, spec: &serde_json::Value) -> Option<u16> {
    let url = format!("http://{to}/_ibiscove/announce");
    let body = spec.to_string();
    let answer = crate::support::client().post(url.as_str()).with_body(body);
    answer.await.ok()?.status().map(|status| status as u16)
}

/// Announces again and again, as an upstream must, until the task is dropped.
fn keep_announcing(to: SocketAddr, spec: serde_json::Value) -> smol::Task<()> {
    smol::spawn(async move {
        loop {
            announce_spec(to, &spec).await;
            smol::Timer::after(std::time::Duration::from_millis(500)).await;
        }
    })
}

#[test]
fn bodies_of_100_mb_pass_two_nodes_of_64_mb_and_a_shutdown_cuts_no_answer() {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        put_rules(&platform, RULES).await;
        let platform = serve_platform(platform);
        let owner = NodeProcess::start("owner", "plateau", platform);
        let entry = NodeProcess::start("entry", "medina", platform);
        let upstream = StreamUpstream::start();
        let announcing = keep_announcing(owner.upstream, upstream.spec());
        let client = crate::support::client();
        eventually("an owner", async || {
            let answer = crate::support::get(&client, entry.caller, "/service/k").await;
            (answer.status == 200).then_some(())
        })
        .await;

        // A lease that lapses on a busy machine refuses, be it in the middle of
        // the body; then it is sent again.
        let addr = entry.caller;
        let (mut caller, head) = eventually("an answer", async || {
            let posted = smol::unblock(move || post_long(addr)).await;
            let mut caller = posted.ok()?;
            let head = read_head(&mut caller).expect("an answer's head");
            let is_refused = head
                .to_ascii_lowercase()
                .contains("ibiscove-outcome: not-run");
            (!is_refused).then_some((caller, head))
        })
        .await;
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        assert_eq!(content_length(&head), LONG);
        assert_eq!(upstream.bodies.recv_timeout(PATIENCE), Ok(LONG));

        // Both nodes are told to stop while half of the answer is to come.
        entry.signal_term();
        owner.signal_term();
        let used = [&entry, &owner].map(|node| node.peak_rss_kib().expect("a live process"));
        upstream.go_on.send(()).expect("the upstream waits");
        let read = smol::unblock(move || read_len(&mut caller, LONG)).await;
        assert_eq!(read.expect("the whole answer"), LONG);
        println!("KiB used at most, entry and owner: {used:?}");
        assert!(used.iter().all(|rss| *rss < MAX_RSS_KIB), "{used:?} KiB");
        // Whether they also leave the table in order is another test's.
        entry.wait();
        owner.wait();
        announcing.cancel().await;
    });
}
