//! Upstreams that write their answers byte by byte, break off and crash.

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The head of a request without a body, as an upstream reads it.
pub struct Head {
    pub path: String,
    pub request_id: String,
}

/// Reads a request's head; none at the end of the connection.
pub async fn read_head(stream: &mut TcpStream) -> Option<Head> {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        read.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&read).into_owned();
    let mut lines = text.lines();
    let path = lines.next()?.split(' ').nth(1)?.to_owned();
    let request_id = lines.find_map(|line| line.strip_prefix("ibiscove-request-id: "));
    Some(Head {
        path,
        request_id: request_id?.to_owned(),
    })
}

/// Sends a request on a connection of its own. Returns the status of the answer; none
/// if the connection ends without one.
pub async fn get_on_new_connection(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.ok()?;
    let text = std::str::from_utf8(&status).ok()?;
    text.strip_prefix("HTTP/1.1 ")?.parse().ok()
}

/// Sends `bytes` on a connection of their own. Returns what comes until it is closed.
pub async fn exchange_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("the node listens");
    stream.write_all(bytes).await.expect("the node reads");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns a whole answer to a request.
pub fn answer(request_id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nIbiscove-Request-Id: {request_id}\r\nContent-Length: 4\r\n\r\ndone")
}

/// Starts an upstream whose connections `serve` each.
pub async fn serve_raw<F>(serve: impl Fn(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has free ports");
    let addr = listener.local_addr().expect("the listener is bound");
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve(stream)).detach();
        }
    })
    .detach();
    addr
}

/// Time that an answer takes, and a crash.
const WORK: Duration = Duration::from_millis(30);
/// Time after a crash after which the upstream is back.
const DOWN: Duration = Duration::from_millis(400);

/// An upstream that requests with `deadly` in their path crash.
#[derive(Clone)]
pub struct CrashingUpstream {
    pub addr: SocketAddr,
    /// When it was born; 0 while it is down.
    pub born_ms: Arc<AtomicI64>,
    /// When it began to run each deadly request.
    pub deadly: Arc<Mutex<Vec<Instant>>>,
    /// Whether it runs a deadly request without crashing yet.
    pub is_crash_held: Arc<AtomicBool>,
}

impl CrashingUpstream {
    /// Starts one that adds to `deadly` when it begins to run such a request.
    pub async fn start(deadly: Arc<Mutex<Vec<Instant>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has free ports");
        let upstream = Self {
            addr: listener.local_addr().expect("the listener is bound"),
            born_ms: Arc::new(AtomicI64::new(1)),
            deadly,
            is_crash_held: Arc::default(),
        };
        smol::spawn(upstream.clone().live_and_crash(listener)).detach();
        upstream
    }

    async fn live_and_crash(self, mut listener: TcpListener) {
        for born_ms in 2.. {
            let (crash, crashed) = smol::channel::unbounded();
            let accepting = smol::spawn({
                let upstream = self.clone();
                async move {
                    let mut connections = Vec::new();
                    while let Ok((stream, _)) = listener.accept().await {
                        let serving = upstream.clone().serve(stream, crash.clone());
                        connections.push(smol::spawn(serving));
                    }
                }
            });
            let _ = crashed.recv().await;
            // Ends the listener and all connections.
            drop(accepting);
            self.born_ms.store(0, Ordering::SeqCst);
            smol::Timer::after(DOWN).await;
            listener = TcpListener::bind(self.addr)
                .await
                .expect("the port is still free");
            self.born_ms.store(born_ms, Ordering::SeqCst);
        }
    }

    async fn serve(self, mut stream: TcpStream, crash: smol::channel::Sender<()>) {
        while let Some(head) = read_head(&mut stream).await {
            let is_deadly = head.path.contains("deadly");
            if is_deadly {
                let mut deadly = self.deadly.lock().expect("no holder panics");
                deadly.push(Instant::now());
            }
            smol::Timer::after(WORK).await;
            if is_deadly {
                while self.is_crash_held.load(Ordering::SeqCst) {
                    smol::Timer::after(WORK / 10).await;
                }
                let _ = crash.try_send(());
                return smol::future::pending().await;
            }
            let answer = answer(&head.request_id);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
