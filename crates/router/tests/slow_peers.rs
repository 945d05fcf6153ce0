//! Peers that have a newer configuration and are slow to pass it on.

mod support;

use hyper::{Request, Response};
use ibiscove_http::{Body, Server, ServerSettings};
use ibiscove_proxy::HeaderNames;
use ibiscove_router::Router;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use support::{CountingUpstream, addr, node_settings, parse_config, send_heartbeat};

/// Guards against a node that acts on an earlier configuration because the peer that it
/// asked for the newer one is slow: it asked no other until that fetch had timed out.
#[test]
fn newer_configuration_is_fetched_beside_a_slow_peer() {
    smol::block_on(async {
        let settings = node_settings(93, "gallery", addr(93, 7_402));
        let node = settings.addrs.heartbeats;
        let started = Router::start(
            settings,
            HeaderNames::default(),
            MemoryPlatform::default(),
            CountingUpstream::default(),
            SystemClock,
            parse_config,
        );
        let router = started.await.expect("the addresses are free");

        let (slow_addr, good_addr) = (addr(94, 7_401), addr(95, 7_401));
        let slow = TcpListener::bind(slow_addr).await.expect("it is free");
        let is_given_up = Arc::new(AtomicBool::new(false));
        let given_up = Arc::clone(&is_given_up);
        let asked = smol::spawn(async move {
            let (mut stream, _) = slow.accept().await.expect("the node connects");
            let mut buf = [0; 1_024];
            let read = stream.read(&mut buf).await;
            let rest = smol::spawn(async move {
                while let Ok(1..) = stream.read(&mut buf).await {}
                given_up.store(true, Ordering::SeqCst);
            });
            (read.is_ok(), rest)
        });
        let good = TcpListener::bind(good_addr).await.expect("it is free");
        let handle = |_req: Request<_>| async { Response::new(Body::<()>::whole("8")) };
        smol::spawn(Server::default().run(good, ServerSettings::default(), handle)).detach();

        let socket = UdpSocket::bind(slow_addr).await.expect("it is free");
        send_heartbeat(&socket, node, "slow", slow_addr).await;
        let (is_asked, _rest) = asked.await;
        assert!(is_asked && !router.is_ready());
        let socket = UdpSocket::bind(good_addr).await.expect("it is free");
        while !router.is_ready() {
            send_heartbeat(&socket, node, "good", good_addr).await;
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert!(!is_given_up.load(Ordering::SeqCst), "one after the other");
    });
}
