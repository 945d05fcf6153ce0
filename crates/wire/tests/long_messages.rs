//! Messages that take longer than the timeout of a call, on a connection that carries
//! them slowly.

use ibiscove_types::Incarnation;
use ibiscove_wire::messages::{
    DigestAnswer, DigestQuery, Done, Entries, Entry, Fetch, Push, Request, Response,
};
use ibiscove_wire::{PeerClient, PeerError, PeerService, PeerSettings, Peers, serve};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use yare::parameterized;

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// A configuration of 2,800 routes.
const TEXT_LEN: usize = 672_000;
/// Bytes per second at which it takes several times the timeout.
const RATE: usize = 600_000;

fn entry() -> Entry {
    Entry::new("text/1".to_owned(), 0, vec![7; TEXT_LEN], 0)
}

/// Answers each fetch with a long text.
#[derive(Clone)]
struct Texts;

impl PeerService for Texts {
    async fn handle(&self, _from: Incarnation, req: Request) -> Response {
        match req {
            Request::Fetch(_) => Response::Entries(Entries::new(vec![entry()])),
            Request::Push(_) => Response::Done(Done {}),
            _ => Response::DigestAnswer(DigestAnswer::new(true, Vec::new(), None)),
        }
    }
}

fn settings() -> PeerSettings {
    PeerSettings {
        call_timeout: CALL_TIMEOUT,
        ..Default::default()
    }
}

/// Copies at `rate` bytes per second, and nothing after `stop_at` bytes.
async fn copy_paced(mut from: TcpStream, mut to: TcpStream, rate: usize, stop_at: usize) {
    let mut buf = vec![0; rate / 50];
    let mut copied = 0;
    while let Ok(read @ 1..) = from.read(&mut buf).await {
        copied += read;
        if copied > stop_at {
            return std::future::pending().await;
        }
        let seconds = read as f64 / rate as f64;
        smol::Timer::after(Duration::from_secs_f64(seconds)).await;
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}

/// Starts a server behind a relay that passes on at most `rate` bytes per second each
/// way, and nothing more after `stop_at` bytes.
async fn start(rate: usize, stop_at: usize) -> SocketAddr {
    let bind = || async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        (listener, addr)
    };
    let (listener, server_addr) = bind().await;
    smol::spawn(serve(listener, settings(), Texts)).detach();
    let (listener, addr) = bind().await;
    smol::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            let to = TcpStream::connect(server_addr).await.expect("the server");
            let (back_from, back_to) = (to.clone(), from.clone());
            smol::spawn(copy_paced(from, to, rate, stop_at)).detach();
            smol::spawn(copy_paced(back_from, back_to, rate, stop_at)).detach();
        }
    })
    .detach();
    addr
}

fn fetch() -> Request {
    Request::Fetch(Fetch::new(vec!["text/1".to_owned()]))
}

fn query() -> Request {
    Request::DigestQuery(DigestQuery::new(0, None))
}

/// Guards against a long text that is given up after the timeout of a call, fetched again
/// from the start, and never has time to arrive: here it takes 1.1 s. A call behind it
/// on the same connection waits, and does not close the connection.
#[parameterized(
    reply = { fetch() },
    request = { Request::Push(Push::new(vec![entry()])) },
)]
fn a_long_message_arrives_however_long_it_takes(long: Request) {
    smol::block_on(async {
        let addr = start(RATE, usize::MAX).await;
        let client = PeerClient::new(settings());
        let behind = async {
            smol::Timer::after(CALL_TIMEOUT / 2).await;
            client.call(addr, query()).await
        };
        let started = Instant::now();
        let (long, behind) = smol::future::zip(client.call(addr, long), behind).await;
        assert!(
            long.is_ok(),
            "{:?} after {:?}",
            long.err(),
            started.elapsed()
        );
        assert!(behind.is_ok(), "{behind:?}");
        assert!(started.elapsed() > 2 * CALL_TIMEOUT);
    });
}

/// A long reply that stops, or trickles, ends about as soon as a call without a reply.
#[parameterized(
    stops = { RATE, 100_000 },
    trickles = { 1_000, usize::MAX },
)]
fn a_long_reply_without_progress_fails_soon(rate: usize, stop_at: usize) {
    smol::block_on(async {
        let addr = start(rate, stop_at).await;
        let client = PeerClient::new(settings());
        let started = Instant::now();
        let result = client.call(addr, fetch()).await;
        assert!(
            matches!(result, Err(PeerError::Unanswered { .. })),
            "{result:?}"
        );
        let took = started.elapsed();
        assert!(took < 4 * CALL_TIMEOUT, "failed after {took:?}");
    });
}
