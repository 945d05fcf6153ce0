//! Connections between peers: authentication, malformed input, limits, and
//! detection and replacement of dead connections.

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

/// Counts the calls that it executes.
#[derive(Clone, Default)]
struct CountingService(Arc<AtomicUsize>);

impl CountingService {
    fn calls(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl PeerService for CountingService {
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
        // Long, so that no call times out on a loaded machine.
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

/// Starts a server, which ends when the returned task is dropped.
async fn server(settings: PeerSettings) -> (SocketAddr, CountingService, smol::Task<()>) {
    let (listener, addr) = listen().await;
    let service = CountingService::default();
    let task = smol::spawn(serve(listener, settings, service.clone()));
    (addr, service, task)
}

#[test]
fn concurrent_calls_share_one_connection() {
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
                let to_server = smol::io::copy(from.clone(), to.clone());
                let to_client = smol::io::copy(to, from);
                relays.push(smol::spawn(smol::future::or(to_server, to_client)));
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
            call.await.expect("a response");
        }
        assert_eq!(connections.load(Ordering::SeqCst), 1);
    });
}

#[test]
fn a_peer_with_the_wrong_key_is_rejected_and_none_of_its_calls_executed() {
    smol::block_on(async {
        let (addr, service, _server) = server(settings("right")).await;
        let unauthenticated = PeerClient::new(settings("wrong"));
        let refused = unauthenticated.call(addr, query()).await;
        assert!(matches!(refused, Err(PeerError::Unreachable { .. })));
        assert_eq!(service.calls(), 0);
        let peer = PeerClient::new(settings("right"));
        peer.call(addr, query()).await.expect("a response");
    });
}

#[parameterized(
    not_thrift = { b"\x00\x00\x00\x05hello" },
    oversize = { b"\x7f\xff\xff\xff" },
    empty = { b"\x00\x00\x00\x00" },
    http = { b"GET / HTTP/1.1\r\n\r\n" },
    // A hello whose nonce claims a length of two gigabytes.
    long_nonce = { b"\x00\x00\x00\x09\x16\x02\x18\xff\xff\xff\xff\x07\x00" },
)]
fn a_malformed_first_message_closes_only_its_own_connection(bytes: &[u8]) {
    smol::block_on(async {
        let (addr, service, _server) = server(settings("right")).await;
        let mut stream = TcpStream::connect(addr).await.expect("the server");
        stream
            .write_all(bytes)
            .await
            .expect("the server accepts bytes");
        let mut rest = Vec::new();
        // The server may reset the connection instead of closing it.
        let _ = stream.read_to_end(&mut rest).await;
        assert_eq!(rest, b"", "an unauthenticated peer receives nothing");
        assert_eq!(service.calls(), 0);
        let peer = PeerClient::new(settings("right"));
        peer.call(addr, query()).await.expect("a response");
    });
}

#[test]
fn a_recorded_handshake_cannot_be_replayed() {
    smol::block_on(async {
        let (server_addr, service, _server) = server(settings("right")).await;
        // A relay that records everything a valid client sends.
        let (listener, addr) = listen().await;
        let recording = smol::spawn(async move {
            let (mut from, _) = listener.accept().await.expect("the client");
            let mut to = TcpStream::connect(server_addr).await.expect("the server");
            let mut to_client = from.clone();
            let mut from_server = to.clone();
            let _forwarding = smol::spawn(async move {
                let _ = smol::io::copy(&mut from_server, &mut to_client).await;
            });
            let mut recorded = Vec::new();
            let mut buf = [0; 1024];
            while let Ok(len @ 1..) = from.read(&mut buf).await {
                recorded.extend_from_slice(&buf[..len]);
                to.write_all(&buf[..len])
                    .await
                    .expect("the server accepts bytes");
            }
            recorded
        });
        let client = PeerClient::new(settings("right"));
        client.call(addr, query()).await.expect("a response");
        client.close();
        let recorded = recording.await;
        assert_eq!(service.calls(), 1);

        let mut replay = TcpStream::connect(server_addr).await.expect("the server");
        // The server may close before everything is written.
        let _ = replay.write_all(&recorded).await;
        let _ = replay.read_to_end(&mut Vec::new()).await;
        assert_eq!(service.calls(), 1, "the replayed call is not executed");
    });
}

/// Calls enough for a working connection to respond once on any machine.
const MAX_CALLS: usize = 30;

#[test]
fn a_connection_without_replies_is_replaced() {
    smol::block_on(async {
        let (server_addr, _, _server) = server(settings("right")).await;
        let (listener, addr) = listen().await;
        let (stall_tx, stall_rx) = smol::channel::bounded::<()>(1);
        // The first connection stalls without a close; later ones work.
        let _relay = smol::spawn(async move {
            let mut relays = Vec::new();
            while let Ok((from, _)) = listener.accept().await {
                let to = TcpStream::connect(server_addr).await.expect("the server");
                let stall_rx = relays.is_empty().then(|| stall_rx.clone());
                relays.push(smol::spawn(async move {
                    let to_server = smol::io::copy(from.clone(), to.clone());
                    let to_client = smol::io::copy(to.clone(), from.clone());
                    let relaying = async { drop(smol::future::or(to_server, to_client).await) };
                    let Some(stall_rx) = stall_rx else {
                        return relaying.await;
                    };
                    let stall_rx = async { stall_rx.recv().await.unwrap_or_default() };
                    smol::future::or(relaying, stall_rx).await;
                    std::future::pending::<()>().await;
                    drop((from, to));
                }));
            }
        });
        let client = PeerClient::new(PeerSettings {
            call_timeout: Duration::from_secs(1),
            ..settings("right")
        });
        client.call(addr, query()).await.expect("a response");
        stall_tx.send(()).await.expect("the relay waits");
        for _ in 0..MAX_CALLS {
            if client.call(addr, query()).await.is_ok() {
                return;
            }
        }
        panic!("the stalled connection is never replaced");
    });
}

/// Guards against losing a call that is made while its connection closes
/// for being idle.
#[test]
fn an_idle_connection_closes_without_losing_calls() {
    smol::block_on(async {
        let (addr, service, _server) = server(settings("right")).await;
        let client = PeerClient::new(PeerSettings {
            client_idle_timeout: Duration::from_micros(500),
            ..settings("right")
        });
        let mut rng = fastrand::Rng::with_seed(15);
        for _ in 0..200 {
            client.call(addr, query()).await.expect("a response");
            smol::Timer::after(Duration::from_micros(rng.u64(0..1_000))).await;
        }
        assert_eq!(service.calls(), 200);
        while client.connection_count() > 0 {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn a_client_reconnects_to_a_restarted_peer_until_it_is_closed() {
    smol::block_on(async {
        let (listener, addr) = listen().await;
        let service = CountingService::default();
        let first = smol::spawn(serve(listener, settings("right"), service.clone()));
        let client = PeerClient::new(settings("right"));
        client.call(addr, query()).await.expect("a response");
        first.cancel().await;
        let failed = client.call(addr, query()).await;
        assert!(failed.is_err(), "no server listens");

        let listener = TcpListener::bind(addr).await.expect("the port is free");
        let _second = smol::spawn(serve(listener, settings("right"), service.clone()));
        client.call(addr, query()).await.expect("a response");
        assert_eq!(service.calls(), 2);

        client.close();
        assert!(client.call(addr, query()).await.is_err());
        assert_eq!(service.calls(), 2);
    });
}

#[test]
fn connections_above_the_limit_are_rejected() {
    smol::block_on(async {
        let limited = PeerSettings {
            max_connections: 1,
            ..settings("right")
        };
        let (addr, service, _server) = server(limited).await;
        let first = PeerClient::new(settings("right"));
        first.call(addr, query()).await.expect("a response");
        let second = PeerClient::new(settings("right"));
        assert!(second.call(addr, query()).await.is_err());
        first
            .call(addr, query())
            .await
            .expect("the first still works");
        assert_eq!(service.calls(), 2);
    });
}
