//! Connections between peers: who is let in, what a bad peer costs, and how
//! a broken connection is found and replaced.

use ibiscove_types::Incarnation;
use ibiscove_wire::messages::{DigestAnswer, DigestQuery, Request, Response};
use ibiscove_wire::{PeerClient, PeerError, PeerService, PeerSettings, Peers, SharedKey, serve};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use yare::parameterized;

/// Counts the calls that it answers.
#[derive(Clone, Default)]
struct Counting(Arc<AtomicUsize>);

impl Counting {
    fn calls(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl PeerService for Counting {
    async fn handle(&self, _from: Incarnation, _req: Request) -> Response {
        self.0.fetch_add(1, Ordering::SeqCst);
        Response::DigestAnswer(DigestAnswer {
            same: true,
            versions: Vec::new(),
            bucket_digests: None,
        })
    }
}

fn settings(key: &str) -> PeerSettings {
    PeerSettings {
        key: SharedKey::new(key),
        // Long, so that a busy machine does not end a sound call.
        connect_timeout: Duration::from_secs(10),
        call_timeout: Duration::from_secs(10),
        ..Default::default()
    }
}

fn query() -> Request {
    Request::DigestQuery(DigestQuery::new(0, None))
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    (listener, addr)
}

/// A server with the key "right"; it ends when the task is dropped.
async fn server(settings: PeerSettings) -> (SocketAddr, Counting, smol::Task<()>) {
    let (listener, addr) = listen().await;
    let handler = Counting::default();
    let task = smol::spawn(serve(listener, settings, handler.clone()));
    (addr, handler, task)
}

#[test]
fn calls_that_come_at_once_share_one_connection() {
    smol::block_on(async {
        let (server_addr, _, _server) = server(settings("right")).await;
        let (listener, addr) = listen().await;
        let connections = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&connections);
        let _relay = smol::spawn(async move {
            let mut relays = Vec::new();
            while let Ok((from, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::SeqCst);
                let to = TcpStream::connect(server_addr).await.expect("the server");
                let there = smol::io::copy(from.clone(), to.clone());
                let back = smol::io::copy(to, from);
                relays.push(smol::spawn(smol::future::or(there, back)));
            }
        });
        let client = PeerClient::new(settings("right"));
        let calls: Vec<_> = (0..16)
            .map(|_| {
                let client = client.clone();
                smol::spawn(async move { client.call(addr, query()).await })
            })
            .collect();
        for call in calls {
            call.await.expect("an answer");
        }
        assert_eq!(connections.load(Ordering::SeqCst), 1);
    });
}

#[test]
fn a_peer_with_another_key_is_refused_and_nothing_is_answered() {
    smol::block_on(async {
        let (addr, handler, _server) = server(settings("right")).await;
        let stranger = PeerClient::new(settings("wrong"));
        let refused = stranger.call(addr, query()).await;
        assert!(matches!(refused, Err(PeerError::Unreachable { .. })));
        assert_eq!(handler.calls(), 0);
        let peer = PeerClient::new(settings("right"));
        peer.call(addr, query()).await.expect("an answer");
    });
}

#[parameterized(
    not_thrift = { b"\x00\x00\x00\x05hello" },
    oversize = { b"\x7f\xff\xff\xff" },
    empty = { b"\x00\x00\x00\x00" },
    http = { b"GET / HTTP/1.1\r\n\r\n" },
    // A hello whose nonce claims two gigabytes.
    long_nonce = { b"\x00\x00\x00\x09\x16\x02\x18\xff\xff\xff\xff\x07\x00" },
)]
fn a_bad_first_message_ends_the_connection_and_harms_nobody(bytes: &[u8]) {
    smol::block_on(async {
        let (addr, handler, _server) = server(settings("right")).await;
        let mut stream = TcpStream::connect(addr).await.expect("the server");
        stream.write_all(bytes).await.expect("bytes are taken");
        let mut rest = Vec::new();
        // A reset is as good an end as a close.
        let _ = stream.read_to_end(&mut rest).await;
        assert_eq!(rest, b"", "a stranger is told nothing");
        assert_eq!(handler.calls(), 0);
        let peer = PeerClient::new(settings("right"));
        peer.call(addr, query()).await.expect("an answer");
    });
}

#[test]
fn a_proof_that_was_overheard_cannot_be_replayed() {
    smol::block_on(async {
        let (server_addr, handler, _server) = server(settings("right")).await;
        // Overhears all that a sound client sends.
        let (listener, addr) = listen().await;
        let overhearing = smol::spawn(async move {
            let (mut from, _) = listener.accept().await.expect("the client");
            let mut to = TcpStream::connect(server_addr).await.expect("the server");
            let mut answers = from.clone();
            let mut back_from = to.clone();
            let _back = smol::spawn(async move {
                let _ = smol::io::copy(&mut back_from, &mut answers).await;
            });
            let mut overheard = Vec::new();
            let mut buf = [0; 1024];
            while let Ok(len @ 1..) = from.read(&mut buf).await {
                overheard.extend_from_slice(&buf[..len]);
                to.write_all(&buf[..len]).await.expect("bytes are taken");
            }
            overheard
        });
        let client = PeerClient::new(settings("right"));
        client.call(addr, query()).await.expect("an answer");
        client.close();
        let overheard = overhearing.await;
        assert_eq!(handler.calls(), 1);

        let mut replay = TcpStream::connect(server_addr).await.expect("the server");
        // The server may close before all has been written.
        let _ = replay.write_all(&overheard).await;
        let _ = replay.read_to_end(&mut Vec::new()).await;
        assert_eq!(handler.calls(), 1, "the replayed call is not answered");
    });
}

/// Tries enough for a sound connection to answer once on any machine.
const TRIES: usize = 30;

#[test]
fn a_peer_that_stopped_answering_is_connected_to_anew() {
    smol::block_on(async {
        let (server_addr, _, _server) = server(settings("right")).await;
        let (listener, addr) = listen().await;
        let (stall, stalled) = smol::channel::bounded::<()>(1);
        // The first connection goes dead without a close; later ones work.
        let _relay = smol::spawn(async move {
            let mut relays = Vec::new();
            while let Ok((from, _)) = listener.accept().await {
                let to = TcpStream::connect(server_addr).await.expect("the server");
                let stalled = relays.is_empty().then(|| stalled.clone());
                relays.push(smol::spawn(async move {
                    let there = smol::io::copy(from.clone(), to.clone());
                    let back = smol::io::copy(to.clone(), from.clone());
                    let relaying = async { drop(smol::future::or(there, back).await) };
                    let Some(stalled) = stalled else {
                        return relaying.await;
                    };
                    let stalled = async { stalled.recv().await.unwrap_or_default() };
                    smol::future::or(relaying, stalled).await;
                    std::future::pending::<()>().await;
                    drop((from, to));
                }));
            }
        });
        let client = PeerClient::new(PeerSettings {
            call_timeout: Duration::from_secs(1),
            ..settings("right")
        });
        client.call(addr, query()).await.expect("an answer");
        stall.send(()).await.expect("the relay waits");
        for _ in 0..TRIES {
            if client.call(addr, query()).await.is_ok() {
                return;
            }
        }
        panic!("the dead connection is never replaced");
    });
}

/// Connections that close for being idle cost no call its answer, however the
/// calls fall between the closings.
#[test]
fn an_idle_connection_closes_and_no_call_is_lost() {
    smol::block_on(async {
        let (addr, counting, _server) = server(settings("right")).await;
        let client = PeerClient::new(PeerSettings {
            client_idle_timeout: Duration::from_micros(500),
            ..settings("right")
        });
        let mut rng = fastrand::Rng::with_seed(15);
        for _ in 0..200 {
            client.call(addr, query()).await.expect("an answer");
            smol::Timer::after(Duration::from_micros(rng.u64(0..1_000))).await;
        }
        assert_eq!(counting.calls(), 200);
        while client.connection_count() > 0 {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn a_client_finds_a_restarted_peer_and_a_closed_client_calls_nobody() {
    smol::block_on(async {
        let (listener, addr) = listen().await;
        let handler = Counting::default();
        let first = smol::spawn(serve(listener, settings("right"), handler.clone()));
        let client = PeerClient::new(settings("right"));
        client.call(addr, query()).await.expect("an answer");
        first.cancel().await;
        let lost = client.call(addr, query()).await;
        assert!(lost.is_err(), "nobody listens");

        let again = TcpListener::bind(addr).await.expect("the port is free");
        let _second = smol::spawn(serve(again, settings("right"), handler.clone()));
        client.call(addr, query()).await.expect("an answer");
        assert_eq!(handler.calls(), 2);

        client.close();
        assert!(client.call(addr, query()).await.is_err());
        assert_eq!(handler.calls(), 2);
    });
}

#[test]
fn connections_above_the_limit_are_refused() {
    smol::block_on(async {
        let limited = PeerSettings {
            max_connections: 1,
            ..settings("right")
        };
        let (addr, handler, _server) = server(limited).await;
        let first = PeerClient::new(settings("right"));
        first.call(addr, query()).await.expect("an answer");
        let second = PeerClient::new(settings("right"));
        assert!(second.call(addr, query()).await.is_err());
        first
            .call(addr, query())
            .await
            .expect("the first still works");
        assert_eq!(handler.calls(), 2);
    });
}
