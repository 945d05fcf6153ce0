//! The whole path on loopback: two nodes with an upstream each, a table in
//! memory, and callers.

use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Method, Request, Response};
use ibiscove_http::body::read_whole;
use ibiscove_http::{Body, Exchange, Pool, PoolSettings, Server, ServerSettings};
use ibiscove_proxy::routes::{CallerLimits, Route, RouteTable, Service, Share};
use ibiscove_proxy::{Announcement, HeaderNames};
use ibiscove_ranges::{GrantCall, GrantReply, Grantee, ReleaseCall, ReleaseReply};
use ibiscove_router::{Router, RouterAddrs, RouterSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{ServiceName, SystemClock, UpstreamIncarnation};
use smol::net::TcpListener;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// An upstream that grants everything and counts what it runs.
#[derive(Clone, Default)]
struct Upstream {
    runs: Arc<AtomicU32>,
    grants: Arc<AtomicU32>,
}

impl Grantee for Upstream {
    async fn grant(&self, _call: GrantCall) -> GrantReply {
        self.grants.fetch_add(1, Ordering::SeqCst);
        GrantReply::Granted
    }

    async fn release(&self, _call: ReleaseCall) -> ReleaseReply {
        ReleaseReply::Released { handover: None }
    }
}

impl Upstream {
    async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has ports");
        let addr = listener.local_addr().expect("it is bound");
        let runs = Arc::clone(&self.runs);
        let handle = move |req: Request<Incoming>| {
            runs.fetch_add(1, Ordering::SeqCst);
            async move {
                let names = HeaderNames::default();
                let mut answer = Response::new(Body::<()>::whole("done"));
                if let Some(id) = req.headers().get(&names.request_id) {
                    answer.headers_mut().insert(names.request_id, id.clone());
                }
                answer
            }
        };
        smol::spawn(Server::default().run(listener, ServerSettings::default(), handle)).detach();
        addr
    }
}

fn parse(text: &[u8]) -> Result<RouteTable, String> {
    let version = String::from_utf8_lossy(text)
        .parse()
        .map_err(|_| "no number".to_owned())?;
    let route = |name: &str, service: &str| Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/"),
        idempotent: true,
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
    let services: HashMap<_, _> = [
        ("gallery".into(), Service::default()),
        ("deposits".into(), divided),
    ]
    .into();
    let routes = vec![route("signs", "gallery"), route("pay", "deposits")];
    RouteTable::new(version, routes, services, CallerLimits::default()).map_err(|e| e.to_string())
}

type TestRouter = Router<MemoryPlatform, Upstream, SystemClock>;

/// A free port of an address of its own, for TCP and UDP alike.
fn addr(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 77, last], port))
}

async fn node(
    last: u8,
    service: &str,
    table: &MemoryPlatform,
) -> (TestRouter, Upstream, SocketAddr) {
    let upstream = Upstream::default();
    let at = upstream.serve().await;
    let settings = RouterSettings {
        node: format!("node-{last}").into(),
        service: Some(service.into()),
        addrs: RouterAddrs {
            callers: addr(last, 7_400),
            peers: addr(last, 7_401),
            heartbeats: addr(last, 7_401),
            upstream: at,
            metrics: None,
        },
        ..RouterSettings::default()
    };
    let callers = settings.addrs.callers;
    let names = HeaderNames::default();
    let started = Router::start(
        settings,
        names,
        table.clone(),
        upstream.clone(),
        SystemClock,
        parse,
    )
    .await;
    let router = started.expect("the addresses are free");
    let announcing = router.clone();
    let service: ServiceName = service.into();
    smol::spawn(async move {
        for sequence in 1.. {
            announcing.apply_announcement(announcement(last, &service, sequence));
            smol::Timer::after(Duration::from_millis(400)).await;
        }
    })
    .detach();
    (router, upstream, callers)
}

fn announcement(last: u8, service: &ServiceName, sequence: u64) -> Announcement {
    Announcement {
        incarnation: UpstreamIncarnation {
            id: format!("upstream-{last}").into(),
            born_ms: 1,
        },
        service: Arc::clone(service),
        concurrency: 4,
        draining: false,
        warm_up_remaining: Duration::ZERO,
        sequence,
    }
}

async fn call(pool: &Pool, at: SocketAddr, path: &str) -> (u16, String) {
    let mut headers = HeaderMap::new();
    for (name, value) in [("host", "a.example"), ("ibiscove-key", "17")] {
        headers.insert(
            HeaderName::from_static(name),
            value.parse().expect("it is a value"),
        );
    }
    let mut req = Request::new(Body::whole(""));
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.parse().expect("it is a path");
    *req.headers_mut() = headers;
    let sent = pool.send(at, req, Duration::from_secs(1)).await;
    let Exchange { response, .. } = sent.expect("the node answers");
    let status = response.status().as_u16();
    let body = read_whole(response.into_body(), 1 << 20)
        .await
        .expect("the answer is whole");
    (status, String::from_utf8_lossy(&body).into_owned())
}

async fn until_served(pool: &Pool, at: SocketAddr, path: &str) {
    // Fifty times what it takes on a quiet machine.
    for _ in 0..200 {
        if call(pool, at, path).await.0 == 200 {
            return;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    panic!("{path} was not served");
}

#[test]
fn a_request_reaches_its_upstream_from_any_node() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (gallery, signs, at_gallery) = node(1, "gallery", &table).await;
        let (_deposits, deposits, at_deposits) = node(2, "deposits", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(!gallery.is_ready());
        let (status, body) = call(&pool, at_gallery, "/signs/1").await;
        assert_eq!(status, 503, "a node without configuration refuses: {body}");
        assert!(body.contains("not-run"));

        // The other node learns the configuration from this one.
        assert!(gallery.apply_config("7".into()));
        assert!(!gallery.apply_config("6".into()), "it never goes back");
        assert!(
            !gallery.apply_config("seven".into()),
            "what cannot be read is left aside"
        );
        until_served(&pool, at_gallery, "/signs/1").await;
        until_served(&pool, at_deposits, "/signs/1").await;
        assert!(signs.runs.load(Ordering::SeqCst) >= 2);

        // Keys are granted before anything on them is served.
        until_served(&pool, at_gallery, "/pay/1").await;
        assert!(deposits.grants.load(Ordering::SeqCst) > 0);
        assert!(deposits.runs.load(Ordering::SeqCst) >= 1);
        assert_eq!(call(&pool, at_gallery, "/nowhere/1").await.0, 404);

        // A draining upstream gets nothing new, and nobody else is there.
        gallery.begin_upstream_draining("upstream-1");
        let (status, body) = call(&pool, at_gallery, "/signs/1").await;
        assert_eq!(status, 503);
        assert!(body.contains("not-run"), "{body}");
    });
}

/// A rolling restart: the upstream beside a stopping node lives on, and its
/// service is shared, so its slots are used until shortly before the node ends.
#[test]
fn the_upstream_of_a_stopping_node_is_used_almost_to_its_end() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (gallery, _signs, _) = node(3, "gallery", &table).await;
        let (_other, _deposits, at_other) = node(4, "deposits", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(gallery.apply_config("7".into()));
        until_served(&pool, at_other, "/signs/1").await;
        let stopping = gallery.clone();
        let stopped = smol::spawn(async move { stopping.shut_down().await });
        smol::Timer::after(Duration::from_millis(500)).await;
        assert!(!gallery.is_ready(), "its own callers go elsewhere");
        assert_eq!(call(&pool, at_other, "/signs/2").await.0, 200);
        stopped.await;
        assert_eq!(call(&pool, at_other, "/signs/3").await.0, 503);
    });
}

/// A node that keeps its keys to its end, since nobody can take them: what it
/// begins late would be cut when it ends.
#[test]
fn a_stopping_node_begins_nothing_that_it_cannot_finish() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (deposits, upstream, _) = node(5, "deposits", &table).await;
        let (_other, _signs, at_other) = node(6, "gallery", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(deposits.apply_config("7".into()));
        until_served(&pool, at_other, "/pay/1").await;
        let stopping = deposits.clone();
        let stopped = smol::spawn(async move { stopping.shut_down().await });
        smol::Timer::after(Duration::from_millis(3_200)).await;
        let runs = upstream.runs.load(Ordering::SeqCst);
        let late = smol::spawn(async move { call(&pool, at_other, "/pay/2").await });
        stopped.await;
        assert_eq!(upstream.runs.load(Ordering::SeqCst), runs);
        drop(late);
    });
}
