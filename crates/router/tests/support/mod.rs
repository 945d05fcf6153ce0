//! Nodes on loopback with an upstream each, an in-memory table and callers.

#![allow(dead_code, reason = "each test binary uses its part")]

pub mod narrow_links;
pub mod raw;

use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use ibiscove_http::body::read_whole;
use ibiscove_http::{Body, Exchange, Pool, Server, ServerSettings};
use ibiscove_proxy::routes::{
    CallerLimits, ColdStart, RequestKind, Route, RouteTable, Service, Share,
};
use ibiscove_proxy::{Announcement, HeaderNames};
use ibiscove_ranges::{GrantCall, GrantReply, Grantee, HoldReport, ReleaseCall, ReleaseReply};
use ibiscove_router::{Router, RouterAddrs, RouterSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{ServiceName, SystemClock, UpstreamIncarnation};
use ibiscove_wire::messages::Presence;
use smol::net::{TcpListener, UdpSocket};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An upstream that accepts all grants and counts grants and requests.
#[derive(Clone, Default)]
pub struct CountingUpstream {
    pub runs: Arc<AtomicU32>,
    pub grants: Arc<AtomicU32>,
    /// Headers of its answers, by which it gives notice of its state.
    pub notice: Arc<Mutex<HeaderMap>>,
    /// Milliseconds after which it answers.
    pub delay_ms: Arc<AtomicU32>,
    /// Whether it answers that requests are not meant for it.
    pub is_misdirected: Arc<AtomicBool>,
    /// Whether it answers nothing but health checks.
    pub is_hung: Arc<AtomicBool>,
    pub health_checks: Arc<AtomicU32>,
}

impl Grantee for CountingUpstream {
    async fn grant(&self, _call: GrantCall) -> GrantReply {
        self.grants.fetch_add(1, Ordering::SeqCst);
        GrantReply::Granted
    }

    async fn release(&self, _call: ReleaseCall) -> ReleaseReply {
        ReleaseReply::Released { handover: None }
    }
}

impl CountingUpstream {
    pub async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has free ports");
        let addr = listener.local_addr().expect("the listener is bound");
        let runs = Arc::clone(&self.runs);
        let notice = Arc::clone(&self.notice);
        let delay_ms = Arc::clone(&self.delay_ms);
        let is_misdirected = Arc::clone(&self.is_misdirected);
        let is_hung = Arc::clone(&self.is_hung);
        let health_checks = Arc::clone(&self.health_checks);
        let handle = move |req: Request<Incoming>| {
            runs.fetch_add(1, Ordering::SeqCst);
            let notice = notice.lock().expect("no holder panics").clone();
            let delay = Duration::from_millis(delay_ms.load(Ordering::SeqCst).into());
            let is_misdirected = is_misdirected.load(Ordering::SeqCst);
            let is_health_check = req.uri().path() == HEALTH_PATH;
            health_checks.fetch_add(is_health_check.into(), Ordering::SeqCst);
            let is_hung = is_hung.load(Ordering::SeqCst) && !is_health_check;
            async move {
                smol::Timer::after(delay).await;
                if is_hung {
                    std::future::pending::<()>().await;
                }
                let names = HeaderNames::default();
                let mut response = Response::new(Body::<()>::whole("done"));
                response.headers_mut().extend(notice);
                if is_misdirected {
                    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
                }
                if let Some(id) = req.headers().get(&names.request_id) {
                    response.headers_mut().insert(names.request_id, id.clone());
                }
                response
            }
        };
        smol::spawn(Server::default().run(listener, ServerSettings::default(), handle)).detach();
        addr
    }
}

/// Requests a second that a cold upstream of the service `archive` takes.
pub const FRAIL_RATE: f64 = 14.0;
const HEALTH_PATH: &str = "/healthz";

pub fn parse_config(text: &[u8]) -> Result<RouteTable, String> {
    let version = String::from_utf8_lossy(text)
        .parse()
        .map_err(|_| "not a number".to_owned())?;
    let route = |name: &str, service: &str, kind: RequestKind| Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/"),
        kind,
        timeout: Duration::from_millis(500),
        target_latency: Duration::from_secs(1),
        max_attempts: 2,
        priority: 1,
        shares: vec![Share {
            service: service.into(),
            weight: 1,
        }],
    };
    let divided = Service {
        is_divided: true,
        ..Service::default()
    };
    let frail = Service {
        cold_start: Some(ColdStart {
            max_duration: None,
            max_rate: FRAIL_RATE,
            health_path: Some(PathAndQuery::from_static(HEALTH_PATH)),
        }),
        ..Service::default()
    };
    let services: HashMap<_, _> = [
        ("archive".into(), frail),
        ("gallery".into(), Service::default()),
        ("deposits".into(), divided),
    ]
    .into();
    let routes = vec![
        route("signs", "gallery", RequestKind::Idempotent),
        route("orders", "gallery", RequestKind::NonIdempotent),
        route("files", "archive", RequestKind::Idempotent),
        route("pay", "deposits", RequestKind::Idempotent),
    ];
    RouteTable::new(version, routes, services, CallerLimits::default()).map_err(|e| e.to_string())
}

pub type TestRouter = Router<MemoryPlatform, CountingUpstream, SystemClock>;

/// Returns a loopback address that only one node uses, for TCP and UDP.
pub fn addr(node: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 77, node], port))
}

pub async fn start_node(
    number: u8,
    service: &str,
    table: &MemoryPlatform,
) -> (TestRouter, CountingUpstream, SocketAddr) {
    let upstream = CountingUpstream::default();
    let upstream_addr = upstream.serve().await;
    let born_ms = Arc::new(AtomicI64::new(1));
    let (router, callers) = start_node_beside(
        number,
        service,
        table,
        upstream.clone(),
        upstream_addr,
        born_ms,
    )
    .await;
    (router, upstream, callers)
}

/// Starts a node beside an upstream at `upstream_addr` that was born at `born_ms`, and
/// announces nothing while that is 0.
pub async fn start_node_beside(
    number: u8,
    service: &str,
    table: &MemoryPlatform,
    grantee: CountingUpstream,
    upstream_addr: SocketAddr,
    born_ms: Arc<AtomicI64>,
) -> (TestRouter, SocketAddr) {
    let settings = node_settings(number, service, upstream_addr);
    start_node_with(number, settings, table, grantee, born_ms).await
}

/// Returns the settings of a node beside an upstream at `upstream`.
pub fn node_settings(number: u8, service: &str, upstream: SocketAddr) -> RouterSettings {
    RouterSettings {
        node: format!("node-{number}").into(),
        service: Some(service.into()),
        addrs: RouterAddrs {
            callers: addr(number, 7_400),
            peers: addr(number, 7_401),
            heartbeats: addr(number, 7_401),
            upstream,
            metrics: None,
        },
        ..RouterSettings::default()
    }
}

/// Starts a node with settings that name its service.
pub async fn start_node_with(
    number: u8,
    settings: RouterSettings,
    table: &MemoryPlatform,
    grantee: CountingUpstream,
    born_ms: Arc<AtomicI64>,
) -> (TestRouter, SocketAddr) {
    let callers = settings.addrs.callers;
    let service = settings.service.clone().expect("the settings name it");
    let names = HeaderNames::default();
    let result = Router::start(
        settings,
        names,
        table.clone(),
        grantee,
        SystemClock,
        parse_config,
    )
    .await;
    let router = result.expect("the addresses are free");
    let announcing = router.clone();
    smol::spawn(async move {
        for sequence in 1.. {
            let born_ms = born_ms.load(Ordering::SeqCst);
            if born_ms > 0 {
                announcing.apply_announcement(
                    announcement(number, &service, born_ms, sequence),
                    &HoldReport::default(),
                );
            }
            smol::Timer::after(Duration::from_millis(400)).await;
        }
    })
    .detach();
    (router, callers)
}

fn announcement(number: u8, service: &ServiceName, born_ms: i64, sequence: u64) -> Announcement {
    Announcement {
        incarnation: UpstreamIncarnation {
            id: format!("upstream-{number}").into(),
            born_ms,
        },
        service: Arc::clone(service),
        concurrency: 4,
        draining: false,
        warm_up_remaining: Duration::ZERO,
        sequence,
    }
}

pub async fn send_request(pool: &Pool, addr: SocketAddr, path: &str) -> (u16, String) {
    let mut headers = HeaderMap::new();
    for (name, value) in [("host", "a.example"), ("ibiscove-key", "17")] {
        headers.insert(
            HeaderName::from_static(name),
            value.parse().expect("the header value is valid"),
        );
    }
    let mut req = Request::new(Body::whole(""));
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.parse().expect("the path is valid");
    *req.headers_mut() = headers;
    let sent = pool.send(addr, req, Duration::from_secs(1)).await;
    let Exchange { response, .. } = sent.expect("the node responds");
    let status = response.status().as_u16();
    let body = read_whole(response.into_body(), 1 << 20)
        .await
        .expect("the response is complete");
    (status, String::from_utf8_lossy(&body).into_owned())
}

pub async fn wait_until_served(pool: &Pool, addr: SocketAddr, path: &str) {
    // Fifty times the duration on an idle machine.
    for _ in 0..200 {
        if send_request(pool, addr, path).await.0 == 200 {
            return;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    panic!("{path} was not served");
}

/// Tells a node by a heartbeat that a peer at `gate` has version 8 of the configuration.
pub async fn send_heartbeat(socket: &UdpSocket, node: SocketAddr, name: &str, gate: SocketAddr) {
    send_presence(socket, node, &presence(name, gate)).await;
}

/// Returns the presence of a peer at `gate` that has version 8 of the configuration.
pub fn presence(name: &str, gate: SocketAddr) -> Presence {
    Presence {
        node: name.to_owned(),
        incarnation: 1,
        sequence: 1,
        data_centre: "plateau".to_owned(),
        gate_port: gate.port().into(),
        service_name: None,
        upstream: None,
        config_version: 8,
        maps: Vec::new(),
        leaving: false,
        map_changes: None,
        crashes_digest: None,
        crashes: None,
        lease_version: 0,
        evacuations_version: None,
        evacuations: None,
    }
}

pub async fn send_presence(socket: &UdpSocket, node: SocketAddr, presence: &Presence) {
    let datagram = ibiscove_wire::encode(presence).expect("the fields are valid");
    let sent = socket.send_to(&datagram, node).await;
    sent.expect("the node's address can be reached");
}
