//! What callers are told that they did wrong.

mod support;

use ibiscove_http::{Pool, PoolSettings};
use ibiscove_store::MemoryPlatform;
use smol::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::time::Duration;
use support::raw::exchange_raw;
use support::{
    CountingUpstream, addr, node_settings, send_heartbeat, send_request, start_node_with,
};

/// Guards against a 404 for a route that exists in a newer configuration, which the node
/// knows from a heartbeat to be there and does not have yet.
#[test]
fn no_route_is_certain_only_when_no_newer_configuration_is_known() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let settings = node_settings(98, "gallery", addr(98, 7_402));
        let node = settings.addrs.heartbeats;
        let upstream = CountingUpstream::default();
        let born_ms = Arc::new(AtomicI64::new(0));
        let (router, callers) = start_node_with(98, settings, &table, upstream, born_ms).await;
        assert!(router.apply_config("7".into()));
        let pool = Pool::new(PoolSettings::default());
        assert_eq!(send_request(&pool, callers, "/nowhere/1").await.0, 404);

        // The peer leaves without having passed the configuration on.
        let gone = addr(99, 7_401);
        let socket = UdpSocket::bind(gone).await.expect("it is free");
        send_heartbeat(&socket, node, "gone", gone).await;
        drop(socket);
        smol::Timer::after(Duration::from_millis(100)).await;
        let answer = exchange_raw(
            callers,
            b"GET /nowhere/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n",
        )
        .await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        let answer = answer.to_ascii_lowercase();
        for line in [
            "ibiscove-outcome: not-run",
            "ibiscove-reason: configuration-behind",
            "retry-after: 0.",
        ] {
            assert!(answer.contains(line), "{answer}");
        }
        // So is what depends on the configuration otherwise: whether a key is needed.
        let without_key = b"GET /pay/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
        let answer = exchange_raw(callers, without_key).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");

        assert!(router.apply_config("8".into()));
        assert_eq!(send_request(&pool, callers, "/nowhere/1").await.0, 404);
        let answer = exchange_raw(callers, without_key).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    });
}
