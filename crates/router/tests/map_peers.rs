//! Which peers a node asks for newer range maps.

mod support;

use hyper::{Request, Response};
use ibiscove_http::{Body, Server, ServerSettings};
use ibiscove_proxy::HeaderNames;
use ibiscove_ranges::map::Transfer;
use ibiscove_ranges::{KeyRange, RangeMap, RangeMaps};
use ibiscove_router::Router;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{ServiceName, SystemClock};
use ibiscove_wire::messages::RangeMapEpoch;
use smol::net::{TcpListener, UdpSocket};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use support::{CountingUpstream, addr, node_settings, parse_config, presence, send_heartbeat};

/// A peer that has a map of the service `deposits`.
struct Peer {
    addr: SocketAddr,
    socket: UdpSocket,
    data_centre: &'static str,
    epoch: u64,
    /// How often it was asked for the map.
    asked: Arc<AtomicU32>,
}

impl Peer {
    async fn start(number: u8, data_centre: &'static str) -> Self {
        let service: ServiceName = "deposits".into();
        let maps = RangeMaps::default();
        let change = Transfer {
            range: KeyRange { first: 0, last: 9 },
            to: None,
            handover: None,
        };
        let map = RangeMap::unowned().with_transfers(&[change]);
        maps.accept(&service, 1, Arc::clone(map.section(0)));
        let epoch = maps.epoch("deposits");
        let addr = addr(number, 7_401);
        let asked = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&asked);
        let handle = move |req: Request<_>| {
            let is_of_map = req.uri().path().contains("/ranges/");
            counter.fetch_add(is_of_map.into(), Ordering::SeqCst);
            let updates: Vec<_> = maps.updates_since("deposits", &[]).collect();
            let body = match is_of_map {
                true => serde_json::to_vec(&updates).expect("it can be serialised"),
                false => b"8".to_vec(),
            };
            async move { Response::new(Body::<()>::whole(body)) }
        };
        let listener = TcpListener::bind(addr).await.expect("it is free");
        smol::spawn(Server::default().run(listener, ServerSettings::default(), handle)).detach();
        let socket = UdpSocket::bind(addr).await.expect("it is free");
        Self {
            addr,
            socket,
            data_centre,
            epoch,
            asked,
        }
    }

    async fn announce(&self, node: SocketAddr) {
        let mut presence = presence(self.data_centre, self.addr);
        presence.data_centre = self.data_centre.to_owned();
        presence.maps = vec![RangeMapEpoch {
            service_name: "deposits".to_owned(),
            epoch: self.epoch as i64,
        }];
        send_heartbeat(&self.socket, node, &presence).await;
    }

    fn asked(&self) -> u32 {
        self.asked.load(Ordering::SeqCst)
    }
}

async fn start_node(number: u8) -> SocketAddr {
    let mut settings = node_settings(number, "gallery", addr(number, 7_402));
    settings.data_centre = "near".into();
    let node = settings.addrs.heartbeats;
    let started = Router::start(
        settings,
        HeaderNames::default(),
        MemoryPlatform::default(),
        CountingUpstream::default(),
        SystemClock,
        parse_config,
    );
    // Its tasks keep it running.
    started.await.expect("the addresses are free");
    node
}

/// Guards against a change that all nodes of a data centre fetch from the one that made
/// it, over the links between data centres, because its heartbeat is the first to tell.
#[test]
fn a_map_is_fetched_within_the_data_centre_if_a_peer_there_has_it() {
    smol::block_on(async {
        let node = start_node(201).await;
        let far = Peer::start(202, "far").await;
        let near = Peer::start(203, "near").await;
        far.announce(node).await;
        smol::Timer::after(Duration::from_millis(20)).await;
        near.announce(node).await;
        smol::Timer::after(Duration::from_millis(600)).await;
        assert_eq!((far.asked(), near.asked()), (0, 1));
    });
}

#[test]
fn a_map_is_fetched_from_another_data_centre_if_no_peer_here_has_it() {
    smol::block_on(async {
        let node = start_node(204).await;
        let far = Peer::start(205, "far").await;
        far.announce(node).await;
        smol::Timer::after(Duration::from_millis(600)).await;
        assert_eq!(far.asked(), 1);
    });
}
