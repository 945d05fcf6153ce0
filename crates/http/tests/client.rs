//! The connection pool against servers whose responses are early, duplicated,
//! truncated, without length, followed by stray bytes, or missing.

use hyper::{Method, Request};
use ibiscove_http::body::{ReadBytes, read_up_to, read_whole};
use ibiscove_http::{Body, DirectConnection, Exchange, Pool, PoolSettings, SendError};
use ibiscove_types::{BootClock, SinceBoot, SystemClock};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use yare::parameterized;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Starts a server that sends the next of `responses` for each request of a
/// connection, then closes the connection.
async fn server(responses: &'static [&'static str]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            smol::spawn(serve(stream, responses)).detach();
        }
    })
    .detach();
    (addr, connections)
}

async fn serve(mut stream: TcpStream, responses: &[&str]) {
    for response in responses {
        if !read_request(&mut stream).await || stream.write_all(response.as_bytes()).await.is_err()
        {
            return;
        }
    }
}

/// Reads a request head and a body of the stated length.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte).await {
            Ok(1) => read.push(byte[0]),
            _ => return false,
        }
    }
    let head = String::from_utf8_lossy(&read).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.is_ok()
}

fn request(body: &str) -> Request<Body> {
    let mut req = Request::new(Body::whole(body.to_owned()));
    *req.method_mut() = Method::POST;
    req
}

async fn exchange(pool: &Pool, addr: SocketAddr) -> Result<(u16, String), String> {
    let sent = pool.send(addr, request("body"), MAX_IDLE).await;
    let Exchange {
        response,
        connection,
        ..
    } = sent.map_err(|err| err.to_string())?;
    let status = response.status().as_u16();
    let body = read_whole(response.into_body(), 1 << 20)
        .await
        .map_err(|err| err.to_string())?;
    connection.return_to_pool();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

#[test]
fn a_connection_with_a_complete_response_is_reused() {
    smol::block_on(async {
        let (addr, connections) = server(&[OK, OK, OK]).await;
        let pool = Pool::new(PoolSettings::default());
        for _ in 0..3 {
            assert_eq!(exchange(&pool, addr).await, Ok((200, "ok".to_owned())));
        }
        assert_eq!(connections.load(Ordering::SeqCst), 1);
    });
}

#[parameterized(
    close_requested = { &["HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"] },
    keep_alive_of_zero = { &["HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"] },
    stray_bytes = { &["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokSTRAY"] },
    second_response = { &["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"] },
    delimited_by_close = { &["HTTP/1.1 200 OK\r\n\r\nok"] },
)]
fn a_connection_in_doubtful_state_is_never_reused(responses: &'static [&'static str]) {
    smol::block_on(async {
        let (addr, connections) = server(responses).await;
        let pool = Pool::new(PoolSettings::default());
        for _ in 0..2 {
            assert_eq!(exchange(&pool, addr).await, Ok((200, "ok".to_owned())));
            // Let excess bytes arrive before the next request.
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(connections.load(Ordering::SeqCst), 2);
    });
}

#[parameterized(
    truncated_in_body = { &["HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"] },
    truncated_in_chunk = { &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nok"] },
    truncated_in_head = { &["HTTP/1.1 200 O"] },
    no_response = { &[""] },
    not_http = { &["garbage in place of an answer\r\n\r\n"] },
)]
fn a_truncated_response_is_an_error(responses: &'static [&'static str]) {
    smol::block_on(async {
        let (addr, _) = server(responses).await;
        assert!(
            exchange(&Pool::new(PoolSettings::default()), addr)
                .await
                .is_err()
        );
    });
}

#[test]
fn an_error_shows_whether_the_request_was_sent() {
    smol::block_on(async {
        let (addr, _) = server(&[""]).await;
        let pool = Pool::new(PoolSettings::default());
        let lost = pool.send(addr, request("order"), MAX_IDLE).await;
        assert!(matches!(&lost, Err(err @ SendError::Lost { .. }) if !err.is_unsent()));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let unused_addr = listener.local_addr().expect("a bound address");
        drop(listener);
        let refused = pool.send(unused_addr, request("order"), MAX_IDLE).await;
        assert!(matches!(&refused, Err(err @ SendError::Connect { .. }) if err.is_unsent()));
    });
}

/// The server sends its response before it reads the rest of a long body.
#[test]
fn a_long_request_body_is_still_sent_after_an_early_response() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let length = 4 << 20;
        let bytes_read = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut head = vec![0; 64];
            stream
                .read_exact(&mut head)
                .await
                .expect("the head arrives");
            stream
                .write_all(OK.as_bytes())
                .await
                .expect("the client accepts bytes");
            let mut read = head.len();
            let mut buf = vec![0; 64 << 10];
            while let Ok(some @ 1..) = stream.read(&mut buf).await {
                if read > 1 << 10 {
                    assert!(
                        buf[..some].iter().all(|byte| *byte == b'x'),
                        "the body continues"
                    );
                }
                read += some;
                if read > length {
                    break;
                }
            }
            read
        });
        let pool = Pool::new(PoolSettings::default());
        let sent = pool
            .send(addr, request(&"x".repeat(length)), MAX_IDLE)
            .await;
        let Exchange {
            response,
            connection,
            ..
        } = sent.expect("the early response arrives");
        assert_eq!(response.status(), 200);
        assert!(bytes_read.await > length, "the rest of the body follows");
        drop(connection);
    });
}

#[test]
fn cancelling_a_request_closes_its_connection() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let pool = Pool::new(PoolSettings::default());
        let sending = smol::spawn(async move {
            let _ = pool.send(addr, request("order"), MAX_IDLE).await;
        });
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        assert!(read_request(&mut stream).await);
        sending.cancel().await;
        let mut buf = [0];
        let closed = smol::future::or(
            async { !matches!(stream.read(&mut buf).await, Ok(1..)) },
            async {
                smol::Timer::after(Duration::from_secs(5)).await;
                false
            },
        );
        assert!(closed.await, "the server sees the close");
    });
}

/// Starts a server that sends `prefix` and then `filler` without end, until the
/// connection is closed. Returns its address and the number of filler bytes that
/// it got rid of once the connection was closed.
async fn endless_server(
    prefix: &'static str,
    filler: &'static [u8],
) -> (SocketAddr, smol::channel::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (tx, rx) = smol::channel::bounded(1);
    smol::spawn(async move {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        if !read_request(&mut stream).await || stream.write_all(prefix.as_bytes()).await.is_err() {
            return;
        }
        let mut sent = 0;
        while stream.write_all(filler).await.is_ok() {
            sent += filler.len();
        }
        tx.send(sent).await.ok();
    })
    .detach();
    (addr, rx)
}

async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        smol::Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(future.await) }, timeout).await
}

/// A server in trouble may send bytes that are no response without end. The head
/// that is kept of them is limited, and the connection is closed.
#[parameterized(
    header_value = { "HTTP/1.1 200 OK\r\nX-Filler: ", b"aaaaaaaaaaaaaaaa" },
    headers = { "HTTP/1.1 200 OK\r\n", b"X-Filler: aaaa\r\n" },
    no_http = { "", b"................" },
    chunk_extension = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff;", b"aaaaaaaaaaaaaaaa" },
)]
fn an_endless_head_fails_and_closes_the_connection(prefix: &'static str, filler: &'static [u8]) {
    smol::block_on(async {
        let (addr, closed) = endless_server(prefix, filler).await;
        let pool = Pool::new(PoolSettings::default());
        let result = within(Duration::from_secs(20), exchange(&pool, addr)).await;
        assert!(matches!(result, Some(Err(_))), "{result:?}");
        let sent = within(Duration::from_secs(20), closed.recv()).await;
        let sent = sent.expect("the connection is closed");
        // What the client kept, and the buffers of the two sockets.
        assert!(sent.is_ok_and(|sent| sent < 16 << 20), "{sent:?}");
    });
}

/// A body without end is read no further than its reader goes, and its connection
/// is closed with the reader.
#[parameterized(
    of_a_chunk = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n" },
    until_the_close = { "HTTP/1.1 200 OK\r\n\r\n" },
)]
fn an_endless_body_ends_with_its_reader(prefix: &'static str) {
    smol::block_on(async {
        let (addr, closed) = endless_server(prefix, &[b'a'; 1024]).await;
        let pool = Pool::new(PoolSettings::default());
        let sent = pool.send(addr, request("body"), MAX_IDLE).await;
        let Exchange {
            response,
            connection,
            ..
        } = sent.expect("the head is complete");
        let mut body = response.into_body();
        let mut read = ReadBytes::default();
        let is_whole = read_up_to(&mut body, 64 << 10, &mut read).await;
        assert!(matches!(is_whole, Ok(false)), "{is_whole:?}");
        let kept = read.len();
        assert!(kept < 1 << 20, "{kept} bytes were read");
        drop((body, connection));
        let sent = within(Duration::from_secs(20), closed.recv()).await;
        assert!(sent.is_some(), "the connection is closed");
    });
}

/// Only the process that accepted a connection may get what is sent on it.
#[test]
fn a_direct_connection_is_not_replaced_when_it_fails() {
    smol::block_on(async {
        let (addr, connections) = server(&[OK]).await;
        let opened = DirectConnection::open(addr, &PoolSettings::default(), SystemClock).await;
        let mut connection = opened.expect("the server listens");
        let response = connection.send(request("order"), None).await;
        let body = response.expect("the server answers").into_body();
        read_whole(body, 1 << 20).await.expect("the body is whole");
        assert!(connection.send(request("order"), None).await.is_err());
        assert!(!connection.is_reusable());
        assert_eq!(connections.load(Ordering::SeqCst), 1);
    });
}

/// A clock that jumps ahead after some readings.
#[derive(Clone)]
struct JumpingClock {
    readings: Arc<AtomicUsize>,
    jumps_after: usize,
}

impl JumpingClock {
    const JUMP: Duration = Duration::from_secs(10);

    fn new(jumps_after: usize) -> Self {
        Self {
            readings: Arc::default(),
            jumps_after,
        }
    }
}

impl BootClock for JumpingClock {
    fn since_boot(&self) -> SinceBoot {
        let readings = self.readings.fetch_add(1, Ordering::SeqCst);
        match readings < self.jumps_after {
            true => SinceBoot::ZERO,
            false => Self::JUMP,
        }
    }
}

const WRITE_BY: Option<SinceBoot> = Some(Duration::from_millis(300));

/// Starts a server that never answers. Returns its address and, once the connection
/// has ended, the number of bytes that arrived.
async fn silent_server() -> (SocketAddr, smol::Task<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let reading = smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut buf = vec![0; 64 << 10];
        let mut bytes = 0;
        while let Ok(read @ 1..) = stream.read(&mut buf).await {
            bytes += read;
        }
        bytes
    });
    (addr, reading)
}

/// The clock may jump before the request, and between any two writes.
#[parameterized(
    before_the_request = { 0, true },
    before_the_first_write = { 1, true },
    before_the_second_write = { 2, false },
)]
fn nothing_is_written_after_the_latest_moment(jumps_after: usize, is_unsent: bool) {
    smol::block_on(async {
        let (addr, reading) = silent_server().await;
        let clock = JumpingClock::new(jumps_after);
        let opened = DirectConnection::open(addr, &PoolSettings::default(), clock).await;
        let mut connection = opened.expect("the server listens");
        // More than the buffers of the two sockets hold.
        let length = 32 << 20;
        let sending = connection.send(request(&"x".repeat(length)), WRITE_BY);
        let sent = within(Duration::from_secs(20), sending).await;
        let sent = sent.expect("the write is refused");
        let err = sent.expect_err("the request is late");
        assert_eq!(err.is_unsent(), is_unsent, "{err}");
        assert_eq!(matches!(err, SendError::TooLate { .. }), is_unsent);
        drop(connection);
        let bytes = reading.await;
        assert!(bytes < length, "{bytes} bytes arrived");
        assert!(!is_unsent || bytes == 0, "{bytes} bytes arrived");
    });
}

#[test]
fn a_request_that_is_late_at_once_leaves_its_connection_usable() {
    smol::block_on(async {
        let (addr, connections) = server(&[OK, OK]).await;
        let clock = JumpingClock::new(0);
        let opened = DirectConnection::open(addr, &PoolSettings::default(), clock).await;
        let mut connection = opened.expect("the server listens");
        let late = connection.send(request("order"), WRITE_BY).await;
        assert!(matches!(late, Err(SendError::TooLate { .. })));
        assert!(connection.is_reusable());
        let in_time = connection
            .send(request("order"), Some(JumpingClock::JUMP))
            .await;
        assert_eq!(in_time.expect("the server answers").status(), 200);
        assert_eq!(connections.load(Ordering::SeqCst), 1);
    });
}

/// Guards against a request that is cut off while an upstream reads it late: it was taken
/// for dead once its window had been closed for a while.
#[test]
fn upstream_that_reads_late_gets_the_whole_request() {
    const BODY_BYTES: usize = 8 << 20;
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let upstream = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            smol::Timer::after(Duration::from_secs(4)).await;
            let mut left = BODY_BYTES;
            let mut buf = vec![0; 64 << 10];
            while left > 0 {
                match stream.read(&mut buf).await {
                    Ok(len @ 1..) => left -= buf[..len].iter().filter(|b| **b == b'z').count(),
                    _ => return,
                }
            }
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
            stream.write_all(answer).await.expect("the client reads");
        });
        let mut req = Request::new(Body::whole(vec![b'z'; BODY_BYTES]));
        *req.method_mut() = Method::POST;
        let pool = Pool::new(PoolSettings::default());
        let sent = pool.send(addr, req, Duration::ZERO).await;
        assert_eq!(sent.expect("an answer").response.status(), 200);
        upstream.await;
    });
}
