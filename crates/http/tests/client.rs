//! Connections to servers that answer early, late, twice, cut, without length,
//! with stray bytes, or not at all.

use hyper::{Method, Request};
use ibiscove_http::body::read_whole;
use ibiscove_http::{Body, Exchange, Pool, PoolSettings, SendError};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use yare::parameterized;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Answers each request of a connection with the next of `answers`, then closes
/// the connection.
async fn server(answers: &'static [&'static str]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has ports");
    let addr = listener.local_addr().expect("it is bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            smol::spawn(serve(stream, answers)).detach();
        }
    })
    .detach();
    (addr, connections)
}

async fn serve(mut stream: TcpStream, answers: &[&str]) {
    for answer in answers {
        if !read_request(&mut stream).await || stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a head and the body that its length announces.
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
    } = sent.map_err(|err| err.to_string())?;
    let status = response.status().as_u16();
    let body = read_whole(response.into_body(), 1 << 20)
        .await
        .map_err(|err| err.to_string())?;
    connection.return_to_pool();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

#[test]
fn a_connection_whose_answer_was_whole_is_used_again() {
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
    says_close = { &["HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"] },
    keeps_for_no_time = { &["HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"] },
    stray_bytes = { &["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokSTRAY"] },
    second_answer = { &["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"] },
    ends_with_its_connection = { &["HTTP/1.1 200 OK\r\n\r\nok"] },
)]
fn a_doubtful_connection_is_never_used_again(answers: &'static [&'static str]) {
    smol::block_on(async {
        let (addr, connections) = server(answers).await;
        let pool = Pool::new(PoolSettings::default());
        for _ in 0..2 {
            assert_eq!(exchange(&pool, addr).await, Ok((200, "ok".to_owned())));
            // What came too much arrives before the next request.
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(connections.load(Ordering::SeqCst), 2);
    });
}

#[parameterized(
    cut_in_its_body = { &["HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"] },
    cut_in_a_chunk = { &["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nok"] },
    cut_in_its_head = { &["HTTP/1.1 200 O"] },
    no_answer_at_all = { &[""] },
    no_http = { &["garbage in place of an answer\r\n\r\n"] },
)]
fn an_answer_that_breaks_off_is_an_error(answers: &'static [&'static str]) {
    smol::block_on(async {
        let (addr, _) = server(answers).await;
        assert!(
            exchange(&Pool::new(PoolSettings::default()), addr)
                .await
                .is_err()
        );
    });
}

#[test]
fn what_was_sent_and_not_answered_is_told_from_what_was_not_sent() {
    smol::block_on(async {
        let (addr, _) = server(&[""]).await;
        let pool = Pool::new(PoolSettings::default());
        let lost = pool.send(addr, request("order"), MAX_IDLE).await;
        assert!(matches!(&lost, Err(err @ SendError::Lost { .. }) if !err.is_unsent()));
        let nobody = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        let gone = nobody.local_addr().expect("it is bound");
        drop(nobody);
        let refused = pool.send(gone, request("order"), MAX_IDLE).await;
        assert!(matches!(&refused, Err(err @ SendError::Connect { .. }) if err.is_unsent()));
    });
}

/// The server answers early and reads the long body on later.
#[test]
fn a_long_body_goes_on_after_an_early_answer() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        let addr = listener.local_addr().expect("it is bound");
        let length = 4 << 20;
        let reading = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let mut head = vec![0; 64];
            stream.read_exact(&mut head).await.expect("the head comes");
            stream
                .write_all(OK.as_bytes())
                .await
                .expect("the client reads");
            let mut read = head.len();
            let mut buf = vec![0; 64 << 10];
            while let Ok(some @ 1..) = stream.read(&mut buf).await {
                if read > 1 << 10 {
                    assert!(
                        buf[..some].iter().all(|byte| *byte == b'x'),
                        "the body goes on"
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
        } = sent.expect("the early answer comes");
        assert_eq!(response.status(), 200);
        assert!(reading.await > length, "the rest of the body follows");
        drop(connection);
    });
}

#[test]
fn giving_a_request_up_closes_its_connection() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        let addr = listener.local_addr().expect("it is bound");
        let pool = Pool::new(PoolSettings::default());
        let waiting = smol::spawn(async move {
            let _ = pool.send(addr, request("order"), MAX_IDLE).await;
        });
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        assert!(read_request(&mut stream).await);
        waiting.cancel().await;
        let mut buf = [0];
        let closed = smol::future::or(
            async { !matches!(stream.read(&mut buf).await, Ok(1..)) },
            async {
                smol::Timer::after(Duration::from_secs(5)).await;
                false
            },
        );
        assert!(closed.await, "the server sees that nobody waits");
    });
}
