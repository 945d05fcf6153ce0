//! Long bodies through entry and gate: complete, in bounded memory, and not cut
//! by a shutdown.

use crate::support::{AWAIT_TIMEOUT, NodeProcess, eventually, serve_platform, store_rules};
use ibiscove_store::MemoryPlatform;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Length of a long body, in bytes.
const LONG_BODY_BYTES: usize = 100 << 20;
/// Limit of a node's peak resident memory, in KiB.
const MAX_RSS_KIB: u64 = 64 << 10;
/// Rules with a timeout long enough for a slow transfer on a loaded machine.
const RULES: &str = "[[route]]\nservice = 'service'\nprefix = '/service'\ntimeout_ms = 60000\n";
/// Bytes of each write and read.
const CHUNK_BYTES: usize = 64 << 10;

/// An upstream that reads a body, responds with one of `LONG_BODY_BYTES` and
/// pauses halfway until `resume` is signalled.
struct StreamUpstream {
    addr: SocketAddr,
    /// The length of each received body.
    body_lens: Receiver<usize>,
    resume: Sender<()>,
}

impl StreamUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let (body_lens_tx, body_lens) = channel();
        let (resume, resume_rx) = channel();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                // The test itself detects a connection that ends early.
                let _ = serve(stream, &body_lens_tx, &resume_rx);
            }
        });
        Self {
            addr,
            body_lens,
            resume,
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
    body_lens: &Sender<usize>,
    resume: &Receiver<()>,
) -> std::io::Result<()> {
    let head = read_head(&mut stream)?;
    if !head.starts_with("POST ") {
        let empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        return stream.write_all(empty.as_bytes());
    }
    // The node's HTTP library waits for this before it sends the body.
    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    let len = read_len(&mut stream, content_length(&head))?;
    // Fails if the test has dropped the receiver.
    let _ = body_lens.send(len);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for half in 0..2 {
        for _ in 0..LONG_BODY_BYTES / CHUNK_BYTES / 2 {
            stream.write_all(&[b'x'; CHUNK_BYTES])?;
        }
        if half == 0 {
            let _ = resume.recv_timeout(AWAIT_TIMEOUT);
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

/// Reads up to `len` bytes and returns the number read.
fn read_len(stream: &mut impl Read, len: usize) -> std::io::Result<usize> {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut remaining = len;
    while remaining > 0 {
        let max = remaining.min(CHUNK_BYTES);
        match stream.read(&mut buf[..max])? {
            0 => break,
            read => remaining -= read,
        }
    }
    Ok(len - remaining)
}

/// Opens a caller's connection and writes a request with a long body to it.
fn post_long(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(AWAIT_TIMEOUT))?;
    let head =
        format!("POST /service/k HTTP/1.1\r\nHost: a\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for _ in 0..LONG_BODY_BYTES / CHUNK_BYTES {
        stream.write_all(&[b'y'; CHUNK_BYTES])?;
    }
    Ok(stream)
}

/// Announces an upstream; returns the status, or `None` if the node has exited.
async fn announce_spec(to: SocketAddr, spec: &serde_json::Value) -> Option<u16> {
    let url = format!("http://{to}/_ibiscove/announce");
    let body = spec.to_string();
    let response = crate::support::client().post(url.as_str()).with_body(body);
    response.await.ok()?.status().map(|status| status as u16)
}

/// Announces an upstream periodically until the task is dropped.
fn announce_periodically(to: SocketAddr, spec: serde_json::Value) -> smol::Task<()> {
    smol::spawn(async move {
        loop {
            announce_spec(to, &spec).await;
            smol::Timer::after(std::time::Duration::from_millis(500)).await;
        }
    })
}

#[test]
fn long_bodies_stream_in_bounded_memory_and_are_not_cut_by_a_drain() {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        store_rules(&platform, RULES).await;
        let platform = serve_platform(platform);
        let owner = NodeProcess::start("owner", "plateau", platform);
        let entry = NodeProcess::start("entry", "medina", platform);
        let upstream = StreamUpstream::start();
        let announcing = announce_periodically(owner.upstream, upstream.spec());
        let client = crate::support::client();
        eventually("an owner", async || {
            let response = crate::support::get(&client, entry.caller, "/service/k").await;
            (response.status == 200).then_some(())
        })
        .await;

        // On a loaded machine a lease may lapse, and the request is refused even
        // while its body is being sent; it is then sent again.
        let addr = entry.caller;
        let (mut caller, head) = eventually("a response", async || {
            let posted = smol::unblock(move || post_long(addr)).await;
            let mut caller = posted.ok()?;
            let head = read_head(&mut caller).expect("a response's head");
            let is_refused = head
                .to_ascii_lowercase()
                .contains("ibiscove-outcome: not-run");
            (!is_refused).then_some((caller, head))
        })
        .await;
        assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
        assert_eq!(content_length(&head), LONG_BODY_BYTES);
        assert_eq!(
            upstream.body_lens.recv_timeout(AWAIT_TIMEOUT),
            Ok(LONG_BODY_BYTES)
        );

        // Both nodes get SIGTERM while half of the response is outstanding.
        entry.signal_term();
        owner.signal_term();
        let peak_rss_kib =
            [&entry, &owner].map(|node| node.peak_rss_kib().expect("a live process"));
        upstream.resume.send(()).expect("the upstream is paused");
        let read = smol::unblock(move || read_len(&mut caller, LONG_BODY_BYTES)).await;
        assert_eq!(read.expect("the complete response"), LONG_BODY_BYTES);
        println!("peak RSS in KiB, entry and owner: {peak_rss_kib:?}");
        assert!(
            peak_rss_kib.iter().all(|rss| *rss < MAX_RSS_KIB),
            "{peak_rss_kib:?} KiB"
        );
        // The state that they leave in the table is covered by another test.
        entry.wait();
        owner.wait();
        announcing.cancel().await;
    });
}
