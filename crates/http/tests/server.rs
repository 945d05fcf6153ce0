//! The server's handling of closed connections, idle connections and draining.

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use hyper::{Request, Response};
use ibiscove_http::body::read_whole;
use ibiscove_http::{Body, Server, ServerSettings};
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// Decrements the count of running requests when dropped.
struct RunningGuard(Arc<AtomicUsize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a server that responds to `/slow` after `delay` and to other paths at
/// once. Also returns the count of running requests.
async fn serve(delay: Duration) -> (SocketAddr, Server, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let running = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&running);
    let server = Server::default();
    let handle = move |req: Request<hyper::body::Incoming>| {
        counted.fetch_add(1, Ordering::SeqCst);
        let guard = RunningGuard(Arc::clone(&counted));
        async move {
            if req.uri().path() == "/slow" {
                smol::Timer::after(delay).await;
            }
            drop(guard);
            Response::new(Body::<()>::whole("done"))
        }
    };
    smol::spawn(
        server
            .clone()
            .run(listener, ServerSettings::default(), handle),
    )
    .detach();
    (addr, server, running)
}

async fn send_request(stream: &mut TcpStream, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the server accepts bytes");
}

async fn read_response(stream: &mut TcpStream) -> String {
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

async fn wait_for(condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    panic!("the condition did not hold within ten seconds");
}

#[test]
fn work_is_cancelled_when_the_caller_closes_the_connection() {
    smol::block_on(async {
        let (addr, _server, running) = serve(Duration::from_secs(60)).await;
        let mut stream = TcpStream::connect(addr).await.expect("the server listens");
        send_request(&mut stream, "/slow").await;
        wait_for(|| running.load(Ordering::SeqCst) == 1).await;
        drop(stream);
        wait_for(|| running.load(Ordering::SeqCst) == 0).await;
    });
}

#[test]
fn a_drain_completes_responses_and_closes_idle_connections() {
    smol::block_on(async {
        let (addr, server, running) = serve(Duration::from_millis(200)).await;
        let mut active = TcpStream::connect(addr).await.expect("the server listens");
        let mut idle = TcpStream::connect(addr).await.expect("the server listens");
        send_request(&mut idle, "/").await;
        assert!(read_response(&mut idle).await.contains("200 ok"));
        send_request(&mut active, "/slow").await;
        wait_for(|| running.load(Ordering::SeqCst) == 1).await;
        assert_eq!(server.in_flight(), 1);
        server.drain();
        let last_response = read_response(&mut active).await;
        assert!(
            last_response.contains("200 ok") && last_response.contains("connection: close"),
            "{last_response}"
        );
        assert_eq!(
            idle.read(&mut [0]).await.ok(),
            Some(0),
            "the idle connection is closed"
        );
        wait_for(|| server.in_flight() == 0).await;
    });
}

/// Sends a request, of which `filler` goes on without end, from a thread of its own until
/// the connection is closed.
fn send_without_end(addr: SocketAddr, filler: &'static [u8]) -> std::thread::JoinHandle<()> {
    const HEAD: &[u8] =
        b"POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0";
    std::thread::spawn(move || {
        let mut stream = std::net::TcpStream::connect(addr).expect("the server listens");
        let filler = filler.repeat((1 << 20) / filler.len());
        let mut written = stream.write_all(HEAD);
        while written.is_ok() {
            written = stream.write_all(&filler);
        }
    })
}

/// Guards against a caller whose connection keeps all others waiting: a chunk size of
/// zeros without end was read without a pause.
#[test]
fn request_without_end_lets_other_callers_be_served() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let handle = |req: Request<hyper::body::Incoming>| async {
            let read = read_whole(req.into_body(), 1 << 10).or(async {
                smol::Timer::after(Duration::from_secs(2)).await;
                Ok(Bytes::new())
            });
            drop(read.await);
            Response::new(Body::<()>::whole("done"))
        };
        let serving = Server::default().run(listener, ServerSettings::default(), handle);
        smol::spawn(serving).detach();
        let endless = send_without_end(addr, b"0");
        smol::Timer::after(Duration::from_millis(300)).await;
        for _ in 0..20 {
            let exchange = async {
                let mut stream = TcpStream::connect(addr).await.expect("the server listens");
                send_request(&mut stream, "/").await;
                read_response(&mut stream).await
            };
            let timeout = async {
                smol::Timer::after(Duration::from_secs(10)).await;
                "no answer".to_owned()
            };
            let response = exchange.or(timeout).await;
            assert!(response.contains("200 ok"), "{response}");
        }
        // The request's own limit ends it.
        smol::unblock(|| endless.join()).await.expect("no panic");
    });
}

/// Bytes of a frame of the bodies below.
const FRAME_BYTES: usize = 4 << 10;

/// A body of some frames, which counts those that were taken.
struct CountedBody {
    left: usize,
    taken: Arc<AtomicUsize>,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        self.left -= 1;
        self.taken.fetch_add(1, Ordering::SeqCst);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(
            &[b'a'; FRAME_BYTES],
        )))))
    }
}

/// Starts a server that answers a request for `/N` with N frames. Its connections, and
/// those of `connect_slow_reader`, have short buffers.
async fn serve_frames() -> (SocketAddr, Server, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let buffers = SockRef::from(&listener).set_send_buffer_size(16 << 10);
    buffers.expect("a valid size");
    let addr = listener.local_addr().expect("a bound address");
    let server = Server::default();
    let taken = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&taken);
    let handle = move |req: Request<hyper::body::Incoming>| {
        let left = req.uri().path()[1..].parse().expect("a number of frames");
        let taken = Arc::clone(&counted);
        async move { Response::new(CountedBody { left, taken }) }
    };
    let serving = server
        .clone()
        .run(listener, ServerSettings::default(), handle);
    smol::spawn(serving).detach();
    (addr, server, taken)
}

async fn connect_slow_reader(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("a valid size");
    socket.connect(&addr.into()).expect("the server listens");
    let stream = smol::Async::new(std::net::TcpStream::from(socket)).expect("a socket");
    TcpStream::from(stream)
}

/// Returns how many frames the server takes from a body while its client does not read.
async fn frames_taken_unread(addr: SocketAddr, taken: &AtomicUsize) -> usize {
    let mut stream = connect_slow_reader(addr).await;
    send_request(&mut stream, "/100000").await;
    let mut before = 0;
    loop {
        smol::Timer::after(Duration::from_millis(200)).await;
        match taken.load(Ordering::SeqCst) {
            now if now == before && now > 0 => return taken.swap(0, Ordering::SeqCst),
            now => before = now,
        }
    }
}

/// Reads a body of `frames` frames; returns whether it is complete.
async fn is_whole(stream: &mut TcpStream, frames: usize) -> bool {
    let mut read = 0;
    let mut buf = vec![0; 64 << 10];
    while read < frames * FRAME_BYTES {
        match stream.read(&mut buf).await {
            Ok(len @ 1..) => read += buf[..len].iter().filter(|byte| **byte == b'a').count(),
            _ => return false,
        }
    }
    true
}

/// Guards against a process that ends before its last answers are written: bytes that
/// wait in its memory for a slow reader counted as sent.
#[test]
fn request_is_in_flight_until_its_answer_is_written_to_the_socket() {
    smol::block_on(async {
        let (addr, server, taken) = serve_frames().await;
        // All of it fits into the buffers of the process and of the sockets.
        let frames = frames_taken_unread(addr, &taken).await - 4;
        wait_for(|| server.in_flight() == 0).await;
        taken.store(0, Ordering::SeqCst);
        let mut stream = connect_slow_reader(addr).await;
        send_request(&mut stream, &format!("/{frames}")).await;
        wait_for(|| taken.load(Ordering::SeqCst) == frames).await;
        smol::Timer::after(Duration::from_millis(300)).await;
        assert_eq!(server.in_flight(), 1);
        assert!(is_whole(&mut stream, frames).await);
        wait_for(|| server.in_flight() == 0).await;
    });
}

/// Guards against answers that are lost because their client reads late: it was taken for
/// dead once its window had been closed for a while, although it acknowledges all probes.
#[test]
fn client_that_reads_late_gets_its_whole_answer() {
    smol::block_on(async {
        let (addr, server, taken) = serve_frames().await;
        let frames = frames_taken_unread(addr, &taken).await;
        let mut stream = connect_slow_reader(addr).await;
        send_request(&mut stream, &format!("/{frames}")).await;
        smol::Timer::after(Duration::from_secs(5)).await;
        assert!(is_whole(&mut stream, frames).await);
        drop(server);
    });
}
