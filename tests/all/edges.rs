//! Malformed requests, slow callers and forged peer requests: the exact status
//! and reason, and that no request reaches the upstream.

use crate::support::{AWAIT_TIMEOUT, NodeAndUpstream, eventually};
use ibiscove_node::{ConnectionLimits, NodeSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::Reason;
use ibiscove_wire::SharedKey;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Settings with short timeouts, for tests that wait for them to expire.
fn short_timeouts() -> NodeSettings {
    NodeSettings {
        connection_limits: ConnectionLimits {
            max_connections: 4,
            idle_timeout: Duration::from_millis(300),
            head_timeout: Duration::from_millis(300),
            write_timeout: Duration::from_millis(300),
        },
        ..Default::default()
    }
}

fn start(settings: NodeSettings) -> NodeAndUpstream {
    smol::block_on(NodeAndUpstream::start(settings, &MemoryPlatform::default()))
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the node listens");
    stream
        .set_read_timeout(Some(AWAIT_TIMEOUT))
        .expect("a socket");
    stream
}

/// Reads until the node closes or resets the connection.
fn read_to_close(mut stream: &TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(len) = stream.read(&mut buf) {
        if len == 0 {
            break;
        }
        bytes.extend_from_slice(&buf[..len]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(addr);
    stream.write_all(bytes).expect("the node accepts bytes");
    read_to_close(&stream)
}

#[track_caller]
fn assert_refused(response: &str, status: u16, reason: &str) {
    let (head, _) = response.split_once("\r\n\r\n").expect(response);
    let mut lines = head.lines();
    let first = lines.next().expect("a status line");
    assert!(
        first.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value).unwrap_or_default()
    };
    assert_eq!(header("Ibiscove-Reason"), reason);
    assert_eq!(header("Ibiscove-Outcome"), "not-run");
    assert_eq!(header("Content-Type"), "application/problem+json");
}

#[parameterized(
    not_http = { "hello\r\n\r\n", 400, "malformed-request" },
    unknown_method = { "BREW /service/k HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    no_host = { "GET /service/k HTTP/1.1\r\n\r\n", 400, "malformed-request" },
    two_hosts = { "GET /service/k HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, "malformed-request" },
    other_host = { "GET @10.0.0.1/service/k HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    absolute_form = { "GET http://10.0.0.1/service/k HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    tunnel = { "CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    asterisk = { "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    dot_segments = { "GET /service/a/../k HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    encoded_dots = { "GET /service/a/%2e%2e/k HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    backslash = { "GET /service\\k HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    fragment = { "GET /service/k#x HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed-request" },
    two_lengths = { "POST /service/k HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, "malformed-request" },
    bad_length = { "POST /service/k HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\na", 400, "malformed-request" },
    signed_length = { "POST /service/k HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na", 400, "malformed-request" },
    length_and_chunks = { "POST /service/k HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", 400, "malformed-request" },
    other_coding = { "POST /service/k HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400, "malformed-request" },
    unfinished_head = { "GET /service/k HTTP/1.1\r\nHost: a\r\n", 408, "caller-stalled" },
)]
fn malformed_request_is_refused_and_never_reaches_the_upstream(
    request: &str,
    status: u16,
    reason: &str,
) {
    let pair = start(short_timeouts());
    // Reading to the end also checks that the connection is closed.
    assert_refused(
        &send_raw(pair.node.addrs().caller, request.as_bytes()),
        status,
        reason,
    );
    assert_eq!(pair.upstream.executions(), [], "the request ran");
}

#[parameterized(
    long_head = { format!("X-Long: {}\r\n", "x".repeat(9_000)) },
    many_headers = { (0..200).map(|n| format!("X-{n}: y\r\n")).collect() },
)]
fn oversized_request_head_is_refused(headers: String) {
    let pair = start(short_timeouts());
    let request = format!("GET /service/k HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let response = send_raw(pair.node.addrs().caller, request.as_bytes());
    assert_refused(&response, 431, "head-too-large");
    assert_eq!(pair.upstream.executions(), [], "the request ran");
}

#[test]
fn connection_is_closed_when_the_head_arrives_too_slowly() {
    let pair = start(short_timeouts());
    let mut stream = connect(pair.node.addrs().caller);
    // Each byte arrives well within the timeout, the whole head does not.
    let mut sent = 0;
    while stream.write_all(b"G").is_ok() {
        sent += 1;
        assert!(sent < 10_000, "the node does not close the connection");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a caller that takes a processor of the node, and its memory, for the
/// head of a chunk that has no end.
#[test]
fn request_whose_chunk_has_no_end_of_its_head_is_given_up() {
    /// What the node reads before it gives up, and what fits into the two sockets.
    const MAX_SENT: usize = 32 << 20;
    let pair = start(NodeSettings::default());
    let addr = pair.node.addrs().caller;
    let senders: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                let mut stream = connect(addr);
                let head = "POST /service/k HTTP/1.1\r\nHost: a\r\n\
                            Transfer-Encoding: chunked\r\n\r\n1;a=";
                let filler = vec![b'b'; 64 << 10];
                let mut written = stream.write_all(head.as_bytes());
                let mut sent = 0;
                while written.is_ok() && sent < MAX_SENT {
                    written = stream.write_all(&filler);
                    sent += filler.len();
                }
                sent
            })
        })
        .collect();
    let started = Instant::now();
    for sender in senders {
        let sent = sender.join().expect("no sender panics");
        assert!(sent < MAX_SENT, "the node has read {sent} bytes");
    }
    let took = started.elapsed();
    assert!(took < Duration::from_secs(5), "given up after {took:?}");
}

/// Guards against memory without limit for what a caller sends behind a request that is
/// being handled.
#[test]
fn caller_is_not_read_from_without_limit_while_its_request_is_handled() {
    const MAX_SENT: usize = 64 << 20;
    let pair = start(NodeSettings::default());
    pair.upstream
        .update_settings(|settings| settings.service_time = Duration::from_secs(3));
    let mut stream = connect(pair.node.addrs().caller);
    let request = b"GET /service/k HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(request).expect("the node accepts bytes");
    stream
        .set_write_timeout(Some(Duration::from_secs(1)))
        .expect("a valid timeout");
    let filler = vec![b'b'; 64 << 10];
    let mut sent = 0;
    while sent < MAX_SENT && stream.write_all(&filler).is_ok() {
        sent += filler.len();
    }
    assert!(sent < MAX_SENT, "the node has read {sent} bytes");
}

#[test]
fn idle_connection_is_closed_without_a_response() {
    let pair = start(short_timeouts());
    let stream = connect(pair.node.addrs().caller);
    assert_eq!(read_to_close(&stream), "");
}

#[test]
fn connections_above_the_limit_are_refused_until_others_close() {
    let pair = start(NodeSettings {
        connection_limits: ConnectionLimits {
            max_connections: 2,
            ..Default::default()
        },
        ..Default::default()
    });
    let addr = pair.node.addrs().caller;
    let open = [connect(addr), connect(addr)];
    let response = eventually_sync("a refusal", || {
        let stream = connect(addr);
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a socket");
        let response = read_to_close(&stream);
        (!response.is_empty()).then_some(response)
    });
    assert_refused(&response, 503, "too-many-connections");
    drop(open);
    let request = b"GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    eventually_sync("a free connection", || {
        let mut stream = connect(addr);
        stream.write_all(request).ok()?;
        read_to_close(&stream)
            .starts_with("HTTP/1.1 200 ")
            .then_some(())
    });
}

fn eventually_sync<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    smol::block_on(eventually(what, async || poll()))
}

#[test]
fn half_closed_connection_gets_caller_gone_response() {
    let pair = start(NodeSettings::default());
    pair.upstream
        .update_settings(|settings| settings.service_time = AWAIT_TIMEOUT);
    let addr = pair.node.addrs().caller;
    let mut stream = connect(addr);
    let request = "GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .expect("the node accepts bytes");
    stream.shutdown(Shutdown::Write).expect("a socket");
    let response = read_to_close(&stream);
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
    assert!(response.contains("caller-gone"), "{response}");
}

#[test]
fn internal_headers_sent_by_callers_are_ignored() {
    let pair = start(NodeSettings::default());
    let request = "GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
                   Ibiscove-Slot: 4000000\r\nIbiscove-Fence: 999\r\n\
                   Ibiscove-Request-Id: forged\r\nIbiscove-Service: other\r\n\r\n";
    let response = send_raw(pair.node.addrs().caller, request.as_bytes());
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    let executions = pair.upstream.executions();
    assert_ne!(executions[0].request_id, "forged");
    assert_ne!(executions[0].slot, Some(4_000_000));
    assert_ne!(executions[0].fence, Some(999));
}

#[parameterized(
    no_headers = { "" },
    no_proof = { "Ibiscove-Request-Id: r\r\nIbiscove-Service: service\r\nIbiscove-Slot: 1\r\nIbiscove-Idempotent: true\r\nIbiscove-Timeout-Ms: 1000\r\n" },
    wrong_proof = { "Ibiscove-Request-Id: r\r\nIbiscove-Service: service\r\nIbiscove-Slot: 1\r\nIbiscove-Idempotent: true\r\nIbiscove-Timeout-Ms: 1000\r\nIbiscove-Peer: 7.00ff\r\n" },
)]
fn forwarded_request_without_valid_peer_proof_is_refused(headers: &str) {
    let pair = start(NodeSettings::default());
    let request =
        format!("GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\r\n");
    let response = send_raw(pair.node.addrs().forward, request.as_bytes());
    assert_refused(&response, 401, "unauthenticated");
    assert_eq!(pair.upstream.executions(), [], "the request ran");
}

#[test]
fn every_reason_has_a_valid_error_status() {
    for reason in Reason::ALL {
        let status = trillium_client::Status::try_from(reason.status());
        let status = status.unwrap_or_else(|_| panic!("{reason} has no status"));
        assert!(status.is_client_error() || status.is_server_error());
    }
}

/// Returns the head of a forwarded request, with a proof that a peer made for
/// `GET /service/k?a=1` with a timeout of 1000 ms.
fn forwarded_head(method: &str, path: &str, timeout_ms: &str) -> String {
    let signed = [
        ("Ibiscove-Request-Id", "r"),
        ("Ibiscove-Service", "service"),
        ("Ibiscove-Key-Hash", "1"),
        ("Ibiscove-Idempotent", "true"),
        ("Ibiscove-Timeout-Ms", "1000"),
    ];
    let mut parts = vec![b"7".as_slice(), b"GET /service/k?a=1"];
    parts.extend(
        signed
            .iter()
            .flat_map(|(name, value)| [name.as_bytes(), value.as_bytes()]),
    );
    let proof = SharedKey::default().sign(&parts);
    let proof: String = proof.iter().map(|b| format!("{b:02x}")).collect();
    let headers: String = signed
        .iter()
        .map(|(name, value)| match *name {
            "Ibiscove-Timeout-Ms" => format!("{name}: {timeout_ms}\r\n"),
            _ => format!("{name}: {value}\r\n"),
        })
        .collect();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\
         Ibiscove-Peer: 7.{proof}\r\n\r\n"
    )
}

#[parameterized(
    // The proof is valid; the request is refused later: no gate issued its id.
    unchanged = { "GET", "/service/k?a=1", "1000", 503, "not-owner" },
    other_method = { "DELETE", "/service/k?a=1", "1000", 401, "unauthenticated" },
    other_path = { "GET", "/service/l?a=1", "1000", 401, "unauthenticated" },
    other_query = { "GET", "/service/k?a=2", "1000", 401, "unauthenticated" },
    other_timeout = { "GET", "/service/k?a=1", "9000", 401, "unauthenticated" },
)]
fn forwarded_request_with_an_altered_signed_part_is_refused(
    method: &str,
    path: &str,
    timeout_ms: &str,
    status: u16,
    reason: &str,
) {
    let pair = start(NodeSettings::default());
    let request = forwarded_head(method, path, timeout_ms);
    let response = send_raw(pair.node.addrs().forward, request.as_bytes());
    assert_refused(&response, status, reason);
    assert_eq!(pair.upstream.executions(), [], "the request ran");
}
