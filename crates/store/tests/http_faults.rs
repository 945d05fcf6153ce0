//! Faults of a platform over HTTP: the client returns `Unavailable` only if the
//! call had no effect, and `Unanswered` whenever it may have had one.

use ibiscove_standin::{FaultyPlatform, PlatformFaults};
use ibiscove_store::http::{HttpPlatform, HttpSettings};
use ibiscove_store::{MemoryPlatform, Objects, Table, TableError, Transaction};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use yare::parameterized;

/// The kind of a call's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResultKind {
    Done,
    Unavailable,
    Unanswered,
}

fn kind_of<A>(result: &Result<A, TableError>) -> ResultKind {
    match result {
        Ok(_) => ResultKind::Done,
        Err(TableError::Unavailable(_)) => ResultKind::Unavailable,
        Err(TableError::Unanswered(_)) => ResultKind::Unanswered,
    }
}

fn client(addr: SocketAddr, timeout_ms: u64) -> HttpPlatform {
    HttpPlatform::new(HttpSettings {
        addr,
        timeout: Duration::from_millis(timeout_ms),
    })
}

fn row() -> Transaction {
    let mut txn = Transaction::default();
    txn.replace("a", None, b"1".to_vec());
    txn
}

/// Two rows, which go over the transaction route.
fn rows() -> Transaction {
    let mut txn = row();
    txn.replace("b", None, b"1".to_vec());
    txn
}

#[parameterized(
    none = { |_| {}, 20_000, ResultKind::Done, Some(true) },
    down = { |f| f.unavailable = true, 20_000, ResultKind::Unavailable, Some(false) },
    response_lost = { |f| f.lost_responses = 1, 20_000, ResultKind::Unanswered, Some(true) },
    // A write that times out may or may not be applied.
    slow = { |f| f.delay = Duration::from_secs(3), 50, ResultKind::Unanswered, None },
)]
fn the_result_of_a_write_matches_its_effect_under_faults(
    fault: fn(&mut PlatformFaults),
    timeout_ms: u64,
    expected: ResultKind,
    is_applied: Option<bool>,
) {
    for txn in [row(), rows()] {
        smol::block_on(async {
            let memory = MemoryPlatform::default();
            let faulty = FaultyPlatform::new(memory.clone());
            faulty.update_faults(fault);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            let addr = listener.local_addr().expect("a bound address");
            ibiscove_standin::platform::serve(listener, faulty)
                .expect("the stand-in platform starts");
            let result = client(addr, timeout_ms).commit(txn).await;
            assert_eq!(kind_of(&result), expected, "{result:?}");
            let applied = memory
                .get("a")
                .await
                .expect("the platform responds")
                .is_some();
            assert!(is_applied.is_none_or(|expected| applied == expected));
        });
    }
}

#[test]
fn a_refused_connection_is_reported_as_without_effect() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    drop(listener);
    smol::block_on(async {
        let client = client(addr, 20_000);
        assert_eq!(
            kind_of(&client.commit(row()).await),
            ResultKind::Unavailable
        );
        assert_eq!(kind_of(&client.get("a").await), ResultKind::Unavailable);
        assert_eq!(kind_of(&client.fetch("a").await), ResultKind::Unavailable);
    });
}

/// Starts a server that sends the same bytes in response to every request.
fn serve_bytes(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buf = [0; 4096];
            // Any error here reaches the test as a lost response.
            let _ = stream.read(&mut buf);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    addr
}

#[parameterized(
    closed = { "" },
    not_http = { "hello\r\n\r\n" },
    no_etag = { "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n" },
    odd_etag = { "HTTP/1.1 204 No Content\r\nETag: \"x\"\r\nConnection: close\r\n\r\n" },
    not_json = { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{]" },
    other_json = { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}" },
    cut_off = { "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nConnection: close\r\n\r\n{" },
    server_error = { "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    redirect = { "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    unauthorised = { "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    status_000 = { "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    status_600 = { "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    final_101 = { "HTTP/1.1 101 Odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
)]
fn an_unusable_response_leaves_the_effect_unknown(response: &'static str) {
    smol::block_on(async {
        let client = client(serve_bytes(response), 20_000);
        assert_eq!(kind_of(&client.commit(row()).await), ResultKind::Unanswered);
        assert_eq!(
            kind_of(&client.commit(rows()).await),
            ResultKind::Unanswered
        );
        assert_eq!(kind_of(&client.get("a").await), ResultKind::Unanswered);
        assert_eq!(kind_of(&client.scan("a").await), ResultKind::Unanswered);
        assert_eq!(kind_of(&client.list("a").await), ResultKind::Unanswered);
    });
}

#[parameterized(
    redirect = { "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    unauthorised = { "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    server_error = { "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
)]
fn an_object_counts_as_stored_or_read_only_on_success(response: &'static str) {
    smol::block_on(async {
        let client = client(serve_bytes(response), 20_000);
        assert_eq!(
            kind_of(&client.put("a", b"1".to_vec()).await),
            ResultKind::Unanswered
        );
        assert_eq!(kind_of(&client.fetch("a").await), ResultKind::Unanswered);
    });
}

/// Starts a server that answers the first request with `prefix` and then `filler` without
/// end. Returns how many bytes it got rid of until the connection was closed.
fn endless_server(prefix: &'static str, filler: &'static [u8]) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(prefix.as_bytes());
        let filler = filler.repeat((16 << 10) / filler.len());
        let mut sent = 0;
        while sent < 1 << 30 && stream.write_all(&filler).is_ok() {
            sent += filler.len();
        }
        let _ = tx.send(sent);
    });
    (addr, rx)
}

/// Returns how much a socket may hold at the most, by one of the system's settings of
/// three numbers.
fn max_socket_bytes(setting: &str) -> usize {
    let text = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{setting}"));
    let text = text.expect("Linux has the setting");
    let max = text.split_whitespace().nth(2);
    max.and_then(|max| max.parse().ok())
        .expect("a third number")
}

/// Guards against a call that never ends, or takes all memory, because its answer has no
/// end: it was read on after the call had failed.
#[parameterized(
    header_value = { "HTTP/1.1 200 OK\r\nX-Filler: ", b"aaaaaaaaaaaaaaaa" },
    headers = { "HTTP/1.1 200 OK\r\n", b"X-Filler: aaaa\r\n" },
    no_http = { "", b"................" },
    body = { "HTTP/1.1 200 OK\r\n\r\n", b"aaaaaaaaaaaaaaaa" },
    short_chunks = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n" },
    chunk_size = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0000000000000000" },
)]
fn answer_without_end_fails_and_closes_the_connection(prefix: &'static str, filler: &'static [u8]) {
    let (addr, closed) = endless_server(prefix, filler);
    let read = smol::block_on(client(addr, 20_000).get("a"));
    assert!(read.is_err(), "{read:?}");
    let sent = closed.recv_timeout(Duration::from_secs(20));
    // The largest body has 10 MiB, with six bytes sent for each of them in short chunks;
    // the rest are the buffers of the two sockets.
    let buffers = max_socket_bytes("tcp_rmem") + max_socket_bytes("tcp_wmem");
    let max_sent = (60 << 20) + buffers;
    assert!(sent.is_ok_and(|sent| sent < max_sent), "{sent:?}");
}

/// Starts a server behind a link of `rate` bytes per second, which reads a request's
/// body, answers with a row of `len` bytes, and falls silent `stop_at` bytes into it.
fn paced_server(len: usize, rate: usize, stop_at: usize) -> SocketAddr {
    const STEP: Duration = Duration::from_millis(20);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte)? > 0 {
            head.extend_from_slice(&byte);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        if head.contains("expect: 100-continue") {
            stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.trim().parse().ok());
        let mut unread: usize = length.unwrap_or(0);
        let mut part = vec![0; (rate / 50).max(1)];
        while unread > 0 {
            let wanted = unread.min(part.len());
            stream.read_exact(&mut part[..wanted])?;
            unread -= wanted;
            std::thread::sleep(STEP);
        }
        let answer = format!("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: {len}\r\n\r\n");
        stream.write_all(answer.as_bytes())?;
        let body = vec![b'a'; len.min(stop_at)];
        for part in body.chunks(part.len()) {
            stream.write_all(part)?;
            std::thread::sleep(STEP);
        }
        // The client closes the connection once it has read all, or given up.
        stream.read(&mut part)
    });
    addr
}

/// A text of 2,800 routes.
const TEXT_LEN: usize = 672_000;

/// Guards against a long text that is given up after the timeout of a call, read again
/// from the start, and never has time to arrive: here it takes 1.1 s.
#[test]
fn a_long_object_is_read_however_long_it_takes() {
    let addr = paced_server(TEXT_LEN, 600_000, usize::MAX);
    let read = smol::block_on(client(addr, 300).fetch("a"));
    let len = read.map(|body| body.map(|body| body.len()));
    assert_eq!(len, Ok(Some(TEXT_LEN)));
}

/// The same for a long text that is written.
#[test]
fn a_long_object_is_written_however_long_it_takes() {
    let addr = paced_server(0, 600_000, usize::MAX);
    let written = smol::block_on(client(addr, 300).put("a", vec![b'a'; TEXT_LEN]));
    assert_eq!(written, Ok(()));
}

/// A body that stops, or trickles, ends about as soon as a call without a response.
#[parameterized(
    stops = { 600_000, 100_000 },
    trickles = { 1_000, usize::MAX },
)]
fn a_body_without_progress_fails_soon(rate: usize, stop_at: usize) {
    let addr = paced_server(TEXT_LEN, rate, stop_at);
    let started = Instant::now();
    let read = smol::block_on(client(addr, 300).fetch("a"));
    assert_eq!(kind_of(&read), ResultKind::Unanswered);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(900), "failed after {took:?}");
}
