//! Bad input and slow callers at the HTTP edges: the exact status and reason,
//! and that nothing ran.

use crate::support::{PATIENCE, Pair, eventually};
use ibiscove_node::{Limits, NodeSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::Reason;
use ibiscove_wire::SharedKey;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use yare::parameterized;

/// Short limits, for tests that wait for them.
fn impatient() -> NodeSettings {
    NodeSettings {
        limits: Limits {
            max_connections: 4,
            idle_timeout: Duration::from_millis(300),
            head_timeout: Duration::from_millis(300),
            write_timeout: Duration::from_millis(300),
        },
        ..Default::default()
    }
}

fn start(settings: NodeSettings) -> Pair {
    smol::block_on(Pair::start(settings, &MemoryPlatform::default()))
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the node listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream
}

/// Reads until the node closes; a reset ends the answer as well.
fn read_all(mut stream: &TcpStream) -> String {
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

fn send(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(addr);
    stream.write_all(bytes).expect("the node takes bytes");
    read_all(&stream)
}

#[track_caller]
fn assert_refused(answer: &str, status: u16, reason: &str) {
    let (head, _) = answer.split_once("\r\n\r\n").expect(answer);
    let mut lines = head.lines();
    let first = lines.next().expect("a status line");
    assert!(
        first.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
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
    unended_head = { "GET /service/k HTTP/1.1\r\nHost: a\r\n", 408, "caller-stalled" },
)]
fn a_malformed_request_is_refused_and_runs_nothing(request: &str, status: u16, reason: &str) {
    let pair = start(impatient());
    // Reading to the end shows too that the connection is closed.
    assert_refused(
        &send(pair.node.addrs().caller, request.as_bytes()),
        status,
        reason,
    );
    assert_eq!(pair.upstream.executions(), [], "nothing ran");
}

#[parameterized(
    long_head = { format!("X-Long: {}\r\n", "x".repeat(9_000)) },
    many_headers = { (0..200).map(|n| format!("X-{n}: y\r\n")).collect() },
)]
fn an_oversized_head_is_refused(headers: String) {
    let pair = start(impatient());
    let request = format!("GET /service/k HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let answer = send(pair.node.addrs().caller, request.as_bytes());
    assert_refused(&answer, 431, "head-too-large");
    assert_eq!(pair.upstream.executions(), [], "nothing ran");
}

#[test]
fn a_head_sent_byte_by_byte_is_given_up() {
    let pair = start(impatient());
    let mut stream = connect(pair.node.addrs().caller);
    // Each byte comes well within the limit; all together do not.
    let mut sent = 0;
    while stream.write_all(b"G").is_ok() {
        sent += 1;
        assert!(sent < 10_000, "the node never gives up");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_silent_connection_is_closed_without_a_word() {
    let pair = start(impatient());
    let stream = connect(pair.node.addrs().caller);
    assert_eq!(read_all(&stream), "");
}

#[test]
fn connections_above_the_limit_are_refused_and_places_come_free() {
    let pair = start(NodeSettings {
        limits: Limits {
            max_connections: 2,
            ..Default::default()
        },
        ..Default::default()
    });
    let addr = pair.node.addrs().caller;
    let held = [connect(addr), connect(addr)];
    let answer = eventually_sync("a refusal", || {
        let stream = connect(addr);
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a socket");
        let answer = read_all(&stream);
        (!answer.is_empty()).then_some(answer)
    });
    assert_refused(&answer, 503, "too-many-connections");
    drop(held);
    let request = b"GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    eventually_sync("a free place", || {
        let mut stream = connect(addr);
        stream.write_all(request).ok()?;
        read_all(&stream).starts_with("HTTP/1.1 200 ").then_some(())
    });
}

fn eventually_sync<T>(what: &str, mut ready: impl FnMut() -> Option<T>) -> T {
    smol::block_on(eventually(what, async || ready()))
}

#[test]
fn a_half_closed_caller_is_told_that_it_counts_as_gone() {
    let pair = start(NodeSettings::default());
    pair.upstream
        .update_settings(|settings| settings.service_time = PATIENCE);
    let addr = pair.node.addrs().caller;
    let mut stream = connect(addr);
    let request = "GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .expect("the node takes bytes");
    stream.shutdown(Shutdown::Write).expect("a socket");
    let answer = read_all(&stream);
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("caller-gone"), "{answer}");
}

#[test]
fn inner_headers_from_outside_count_for_nothing() {
    let pair = start(NodeSettings::default());
    let request = "GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
                   Ibiscove-Slot: 4000000\r\nIbiscove-Fence: 999\r\n\
                   Ibiscove-Request-Id: forged\r\nIbiscove-Service: other\r\n\r\n";
    let answer = send(pair.node.addrs().caller, request.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let ran = pair.upstream.executions();
    assert_ne!(ran[0].request_id, "forged");
    assert_ne!(ran[0].slot, Some(4_000_000));
    assert_ne!(ran[0].fence, Some(999));
}

#[parameterized(
    no_headers = { "" },
    no_proof = { "Ibiscove-Request-Id: r\r\nIbiscove-Service: service\r\nIbiscove-Slot: 1\r\nIbiscove-Idempotent: true\r\nIbiscove-Timeout-Ms: 1000\r\n" },
    wrong_proof = { "Ibiscove-Request-Id: r\r\nIbiscove-Service: service\r\nIbiscove-Slot: 1\r\nIbiscove-Idempotent: true\r\nIbiscove-Timeout-Ms: 1000\r\nIbiscove-Peer: 7.00ff\r\n" },
)]
fn a_forwarded_request_without_proof_is_refused(headers: &str) {
    let pair = start(NodeSettings::default());
    let request =
        format!("GET /service/k HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\r\n");
    let answer = send(pair.node.addrs().forward, request.as_bytes());
    assert_refused(&answer, 401, "unauthenticated");
    assert_eq!(pair.upstream.executions(), [], "nothing ran");
}

#[test]
fn every_reason_has_a_status_that_can_be_sent() {
    for reason in Reason::ALL {
        let status = trillium_client::Status::try_from(reason.status());
        let status = status.unwrap_or_else(|_| panic!("{reason} has no status"));
        assert!(status.is_client_error() || status.is_server_error());
    }
}

/// A forwarded request's head, signed for `GET /service/k` as a peer does.
fn forwarded(method: &str, path: &str, timeout_ms: &str) -> String {
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
    // The proof holds, and no gate issued this id.
    unchanged = { "GET", "/service/k?a=1", "1000", 503, "not-owner" },
    other_method = { "DELETE", "/service/k?a=1", "1000", 401, "unauthenticated" },
    other_path = { "GET", "/service/l?a=1", "1000", 401, "unauthenticated" },
    other_query = { "GET", "/service/k?a=2", "1000", 401, "unauthenticated" },
    other_timeout = { "GET", "/service/k?a=1", "9000", 401, "unauthenticated" },
)]
fn nothing_inner_can_be_altered_on_the_way(
    method: &str,
    path: &str,
    timeout_ms: &str,
    status: u16,
    reason: &str,
) {
    let pair = start(NodeSettings::default());
    let request = forwarded(method, path, timeout_ms);
    let answer = send(pair.node.addrs().forward, request.as_bytes());
    assert_refused(&answer, status, reason);
    assert_eq!(pair.upstream.executions(), [], "nothing ran");
}
