//! What callers may do to the server: hang up, stay idle, come during a drain.

use hyper::{Request, Response};
use ibiscove_http::{Body, Server, ServerSettings};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Counts how many of its owners are alive.
struct Alive(Arc<AtomicUsize>);

impl Drop for Alive {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Answers `/slow` after `delay` and everything else at once.
async fn serve(delay: Duration) -> (SocketAddr, Server, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has ports");
    let addr = listener.local_addr().expect("it is bound");
    let working = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&working);
    let server = Server::default();
    let handle = move |req: Request<hyper::body::Incoming>| {
        counted.fetch_add(1, Ordering::SeqCst);
        let alive = Alive(Arc::clone(&counted));
        async move {
            if req.uri().path() == "/slow" {
                smol::Timer::after(delay).await;
            }
            drop(alive);
            Response::new(Body::<()>::whole("done"))
        }
    };
    smol::spawn(
        server
            .clone()
            .run(listener, ServerSettings::default(), handle),
    )
    .detach();
    (addr, server, working)
}

async fn ask(stream: &mut TcpStream, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the server reads");
}

async fn answer(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    let mut buf = [0; 256];
    while !read.ends_with(b"done") {
        match stream.read(&mut buf).await {
            Ok(some @ 1..) => read.extend_from_slice(&buf[..some]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&read).to_ascii_lowercase()
}

async fn until(what: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if what() {
            return;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    panic!("it did not come to pass in ten seconds");
}

#[test]
fn a_callers_hang_up_ends_the_work_for_it() {
    smol::block_on(async {
        let (addr, _server, working) = serve(Duration::from_secs(60)).await;
        let mut stream = TcpStream::connect(addr).await.expect("the server listens");
        ask(&mut stream, "/slow").await;
        until(|| working.load(Ordering::SeqCst) == 1).await;
        drop(stream);
        until(|| working.load(Ordering::SeqCst) == 0).await;
    });
}

#[test]
fn a_drain_ends_no_answer_and_closes_idle_connections() {
    smol::block_on(async {
        let (addr, server, working) = serve(Duration::from_millis(200)).await;
        let mut busy = TcpStream::connect(addr).await.expect("the server listens");
        let mut idle = TcpStream::connect(addr).await.expect("the server listens");
        ask(&mut idle, "/").await;
        assert!(answer(&mut idle).await.contains("200 ok"));
        ask(&mut busy, "/slow").await;
        until(|| working.load(Ordering::SeqCst) == 1).await;
        assert_eq!(server.in_flight(), 1);
        server.drain();
        let last = answer(&mut busy).await;
        assert!(
            last.contains("200 ok") && last.contains("connection: close"),
            "{last}"
        );
        assert_eq!(
            idle.read(&mut [0]).await.ok(),
            Some(0),
            "the idle connection is closed"
        );
        until(|| server.in_flight() == 0).await;
    });
}
