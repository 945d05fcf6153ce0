//! Bodies of requests that are kept in memory, within a budget for all of them.

use bytes::Bytes;
use hyper::{Method, Request, Response};
use ibiscove_http::body::{BodyBudget, ReadBytes, ReadError, read_within_budget};
use ibiscove_http::{Body, Exchange, Pool, PoolSettings, Server, ServerSettings};
use smol::channel::{Receiver, Sender};
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const LIMIT: usize = 100_000;

/// Starts a server that reads bodies within a budget and keeps each until it may
/// respond. It responds 200, 413 if a body is too long, and 503 if there is no
/// memory for it.
async fn start_server(
    budget: BodyBudget,
    may_respond: Receiver<()>,
    read: Sender<()>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let handle = move |req: Request<hyper::body::Incoming>| {
        let (budget, may_respond, read) = (budget.clone(), may_respond.clone(), read.clone());
        async move {
            let result = read_within_budget(req.into_body(), LIMIT, &budget).await;
            let status = match &result {
                Ok(_) => 200,
                Err(ReadError::TooLong { .. }) => 413,
                Err(ReadError::NoMemory) => 503,
                Err(ReadError::Broken(_)) => 400,
            };
            if result.is_ok() {
                read.send(()).await.expect("the test waits");
                may_respond.recv().await.expect("the test goes on");
            }
            drop(result);
            let mut response = Response::new(Body::<()>::whole(""));
            *response.status_mut() = status.try_into().expect("a valid status");
            response
        }
    };
    smol::spawn(Server::default().run(listener, ServerSettings::default(), handle)).detach();
    addr
}

async fn upload(addr: SocketAddr, len: usize) -> u16 {
    let pool = Pool::new(PoolSettings::default());
    let mut req = Request::new(Body::whole(vec![b'a'; len]));
    *req.method_mut() = Method::POST;
    let sent = pool.send(addr, req, Duration::from_secs(1)).await;
    let Exchange { response, .. } = sent.expect("the server responds");
    response.status().as_u16()
}

#[test]
fn uploads_beyond_the_budget_are_refused_at_once_and_the_others_are_kept() {
    smol::block_on(async {
        let budget = BodyBudget::new(150_000);
        let (respond, may_respond) = smol::channel::unbounded();
        let (tx, read) = smol::channel::unbounded();
        let addr = start_server(budget.clone(), may_respond, tx).await;
        let first = smol::spawn(upload(addr, 90_000));
        read.recv().await.expect("the first body is read");
        assert_eq!(budget.available(), 60_000);
        assert_eq!(upload(addr, 90_000).await, 503, "it does not fit");
        assert_eq!(upload(addr, LIMIT + 1).await, 413);
        let third = smol::spawn(upload(addr, 50_000));
        read.recv().await.expect("a smaller body is read");
        assert_eq!(budget.available(), 10_000);
        for _ in 0..2 {
            respond.send(()).await.expect("the server waits");
        }
        assert_eq!((first.await, third.await), (200, 200));
        assert_eq!(budget.available(), 150_000, "all is returned");
    });
}

/// A buffer that a connection has received into.
struct ReceiveBuffer {
    bytes: Vec<u8>,
    _alive: Arc<()>,
}

impl AsRef<[u8]> for ReceiveBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Guards against a body of a few bytes that keeps megabytes: each short frame refers to
/// the whole buffer that it was received in.
#[test]
fn short_frames_do_not_keep_the_buffers_that_they_were_received_in() {
    let alive = Arc::new(());
    let mut read = ReadBytes::default();
    for number in 0..100_u8 {
        let buffer = Bytes::from_owner(ReceiveBuffer {
            bytes: vec![number; 64 << 10],
            _alive: Arc::clone(&alive),
        });
        read.push(buffer.slice(..2));
    }
    let kept = Arc::strong_count(&alive) - 1;
    assert!(kept <= 1, "{kept} buffers are kept");
    assert_eq!(read.len(), 200);
    let expected: Vec<u8> = (0..100).flat_map(|number| [number, number]).collect();
    assert_eq!(read.into_bytes(), expected);
}
