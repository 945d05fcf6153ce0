//! What callers are told that they did wrong.

mod support;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use ibiscove_http::{Body, Pool, PoolSettings, Server, ServerSettings};
use ibiscove_proxy::HeaderNames;
use ibiscove_proxy::forward::RequestMetadata;
use ibiscove_proxy::routes::{Route, RouteTable, Share};
use ibiscove_ranges::HoldReport;
use ibiscove_router::Router;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use ibiscove_wire::messages::UpstreamPresence;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, UdpSocket};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};
use support::raw::{answer, exchange_raw, read_head, serve_raw};
use support::{
    CountingUpstream, TestRouter, addr, announcement, node_settings, parse_config, presence,
    send_heartbeat, send_request, start_node, start_node_with, wait_until_served,
};

use yare::parameterized;

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
        send_heartbeat(&socket, node, &presence("gone", gone)).await;
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

/// Starts a node without an upstream, at which callers arrive.
async fn start_entry(number: u8, table: &MemoryPlatform) -> (TestRouter, SocketAddr, SocketAddr) {
    let settings = node_settings(number, "signs", addr(number, 7_402));
    let (upstream, born_ms) = (CountingUpstream::default(), Arc::new(AtomicI64::new(0)));
    let node = settings.addrs.heartbeats;
    let (router, callers) = start_node_with(number, settings, table, upstream, born_ms).await;
    assert!(router.apply_config("8".into()));
    (router, callers, node)
}

/// Serves requests of nodes at `gate` with a fixed response, beside an upstream of the
/// service `gallery` that `node` hears of.
async fn start_peer(
    node: SocketAddr,
    gate: SocketAddr,
    status: u16,
    headers: &[(&'static str, &str)],
) {
    let listener = TcpListener::bind(gate).await.expect("it is free");
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| {
            let value = HeaderValue::from_str(value).expect("it is valid");
            (HeaderName::from_static(name), value)
        })
        .collect();
    let handle = move |_req: Request<_>| {
        let mut response = Response::new(Body::<()>::whole("of the peer"));
        *response.status_mut() = StatusCode::from_u16(status).expect("it is valid");
        *response.headers_mut() = headers.clone();
        async { response }
    };
    smol::spawn(Server::default().run(listener, ServerSettings::default(), handle)).detach();
    let mut presence = presence("peer", gate);
    presence.service_name = Some("gallery".to_owned());
    presence.upstream = Some(UpstreamPresence {
        id: "upstream".to_owned(),
        born_ms: 1,
        draining: false,
        slots: 4,
        load: 0,
        service_time_us: 1_000,
        cold_left_ms: 0,
    });
    let socket = UdpSocket::bind(gate).await.expect("it is free");
    smol::spawn(async move {
        loop {
            send_heartbeat(&socket, node, &presence).await;
            presence.sequence += 1;
            smol::Timer::after(Duration::from_millis(100)).await;
        }
    })
    .detach();
}

/// Sends requests until one reaches the peer. Returns its status and body.
async fn send_to_peer(callers: SocketAddr) -> (u16, String) {
    let pool = Pool::new(PoolSettings::default());
    for _ in 0..100 {
        let answer = send_request(&pool, callers, "/signs/1").await;
        if !answer.1.contains("no-upstream") {
            return answer;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    panic!("the node does not know the peer's upstream");
}

/// Guards against a 4xx for a request that its entry found proper: another node that reads
/// it by another configuration, or cannot read it, must not blame the caller.
#[parameterized(
    route = { 101, "no-route", 404 },
    key = { 103, "no-key", 400 },
    header = { 105, "bad-header", 400 },
    length = { 107, "body-too-large", 413 },
)]
fn verdict_of_another_node_is_not_the_callers_fault(number: u8, reason: &str, status: u16) {
    smol::block_on(async {
        let (_router, callers, node) = start_entry(number, &MemoryPlatform::default()).await;
        let headers = [("ibiscove-outcome", "not-run"), ("ibiscove-reason", reason)];
        start_peer(node, addr(number + 1, 7_401), status, &headers).await;
        let (status, body) = send_to_peer(callers).await;
        assert_eq!(status, 503, "{body}");
        assert!(
            body.contains("nodes-disagree") && body.contains("not-run"),
            "{body}"
        );
    });
}

/// Reads a configuration as the other nodes do, but for the service `gallery`, of which
/// each key has one owner here.
fn parse_config_with_keys(text: &[u8]) -> Result<RouteTable, String> {
    let mut table = parse_config(text)?;
    let gallery = table.services.get_mut("gallery").expect("it is configured");
    gallery.is_divided = true;
    Ok(table)
}

/// Guards against a 400 of a gate that asks for a key of which the entry knows nothing. Where
/// another node serves the service, it gets the request.
#[test]
fn gate_that_needs_a_key_does_not_blame_the_caller() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (_router, callers, _) = start_entry(109, &table).await;
        let upstream = CountingUpstream::default();
        let started = Router::start(
            node_settings(110, "gallery", upstream.serve().await),
            HeaderNames::default(),
            table.clone(),
            upstream.clone(),
            SystemClock,
            parse_config_with_keys,
        );
        let strict = started.await.expect("the addresses are free");
        assert!(strict.apply_config("8".into()));
        let announced = announcement(110, &"gallery".into(), 1, 1);
        strict.apply_announcement(announced, &HoldReport::default());
        let (status, body) = send_to_peer(callers).await;
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("nodes-disagree"), "{body}");

        let (other, _, _) = start_node(111, "gallery", &table).await;
        assert!(other.apply_config("8".into()));
        let pool = Pool::new(PoolSettings::default());
        wait_until_served(&pool, callers, "/signs/1").await;
        for _ in 0..20 {
            assert_eq!(send_request(&pool, callers, "/signs/1").await.0, 200);
        }
        assert_eq!(upstream.runs.load(Ordering::SeqCst), 0);
    });
}

/// Guards against a 400 between nodes for metadata that can't be read: the caller has not
/// sent it.
#[test]
fn request_of_a_node_without_readable_metadata_is_not_a_bad_request() {
    smol::block_on(async {
        let _node = start_entry(112, &MemoryPlatform::default()).await;
        let pool = Pool::new(PoolSettings::default());
        let (status, body) = send_request(&pool, addr(112, 7_401), "/signs/1").await;
        assert_eq!(status, 503, "{body}");
        assert!(
            body.contains("nodes-disagree") && body.contains("not-run"),
            "{body}"
        );
    });
}

/// Guards against a verdict of a node that is none: an upstream's own headers of these names
/// made `not-run` of a request that had run.
#[test]
fn headers_of_an_upstream_are_no_verdict_of_its_node() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (_router, callers, _) = start_entry(113, &table).await;
        let (gallery, upstream, beside) = start_node(114, "gallery", &table).await;
        assert!(gallery.apply_config("8".into()));
        for (name, value) in [
            ("ibiscove-outcome", "not-run"),
            ("ibiscove-reason", "no-owner"),
            ("ibiscove-refusal-place", "gate-queue"),
        ] {
            let name = HeaderName::from_static(name);
            let mut notice = upstream.notice.lock().expect("no holder panics");
            notice.insert(name, HeaderValue::from_static(value));
        }
        let pool = Pool::new(PoolSettings::default());
        wait_until_served(&pool, beside, "/orders/1").await;
        let (status, body) = send_to_peer(callers).await;
        assert_eq!((status, &*body), (200, "done"));
        let request = b"GET /signs/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
        for entry in [callers, beside] {
            let answer = exchange_raw(entry, request).await.to_ascii_lowercase();
            assert!(answer.starts_with("http/1.1 200 "), "{answer}");
            assert!(!answer.contains("ibiscove-reason"), "{answer}");
            assert!(!answer.contains("ibiscove-refusal-place"), "{answer}");
        }
    });
}

/// Splits the route `signs` between a service without keys and one whose keys have an owner
/// each.
fn parse_split_config(text: &[u8]) -> Result<RouteTable, String> {
    let table = parse_config(text)?;
    let signs = table.find("a.example", "/signs/1").expect("it has a route");
    let mut signs = Route::clone(signs);
    signs.shares.push(Share {
        service: "deposits".into(),
        weight: 1,
    });
    RouteTable::new(table.version, vec![signs], table.services, table.limits)
        .map_err(|err| err.to_string())
}

/// Guards against a 400 for a request without a key that one part of a split route can
/// serve.
#[test]
fn request_without_a_key_goes_to_the_part_that_needs_none() {
    smol::block_on(async {
        let upstream = CountingUpstream::default();
        let settings = node_settings(115, "gallery", upstream.serve().await);
        let callers = settings.addrs.callers;
        let started = Router::start(
            settings,
            HeaderNames::default(),
            MemoryPlatform::default(),
            upstream.clone(),
            SystemClock,
            parse_split_config,
        );
        let router = started.await.expect("the addresses are free");
        assert!(router.apply_config("8".into()));
        let announced = announcement(115, &"gallery".into(), 1, 1);
        router.apply_announcement(announced, &HoldReport::default());
        for _ in 0..40 {
            let request = b"GET /signs/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
            let answer = exchange_raw(callers, request).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
    });
}

/// Guards against a 413 of the gate's node for a body that the configuration allows: it had
/// a limit of its own, of 64 MiB.
#[test]
fn gate_has_no_limit_on_bodies_besides_that_of_the_entry() {
    smol::block_on(async {
        let mut settings = node_settings(116, "gallery", addr(116, 7_402));
        settings.max_body_memory = 160 << 20;
        let gate = settings.addrs.peers;
        let (upstream, born_ms) = (CountingUpstream::default(), Arc::new(AtomicI64::new(0)));
        let table = MemoryPlatform::default();
        let (router, _) = start_node_with(116, settings, &table, upstream, born_ms).await;
        assert!(router.apply_config("8".into()));
        let metadata = RequestMetadata {
            service: "gallery".into(),
            route: "signs".into(),
            request_id: "1".into(),
            key: None,
            idempotent: true,
            priority: 1,
            target_latency: Duration::from_secs(10),
            target_deadline: Instant::now() + Duration::from_secs(10),
            deadline: Instant::now() + Duration::from_secs(10),
            may_miss_target: true,
            caller_service: None,
            entry_node: "entry".into(),
            upstream_notice: None,
            fingerprint: None,
            crash_record: None,
            sent: None,
        };
        let mut req = Request::new(Body::whole(vec![0; 65 << 20]));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = "/signs/1".parse().expect("it is valid");
        let written = metadata.write(req.headers_mut(), Instant::now());
        written.expect("it is serialised");
        let pool = Pool::new(PoolSettings::default());
        let sent = pool.send(gate, req, Duration::from_secs(1)).await;
        let response = sent.expect("the node responds").response;
        let reason = response.headers().get("ibiscove-reason");
        assert_eq!(response.status(), 503);
        assert!(
            reason.is_some_and(|reason| reason == "no-upstream"),
            "{reason:?}"
        );
    });
}

/// Guards against a lost answer to a request whose head is within the limits of the entry: what
/// the entry adds to it made it longer than the gate's node reads.
#[parameterized(
    many_fields = { 117, 100, 1 },
    long_fields = { 119, 60, 1_115 },
)]
fn head_within_the_limits_of_the_entry_reaches_the_upstream(
    number: u8,
    fields: usize,
    length: usize,
) {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (_router, callers, _) = start_entry(number, &table).await;
        let upstream = serve_raw(|mut stream| async move {
            while let Some(head) = read_head(&mut stream).await {
                if stream
                    .write_all(answer(&head.request_id).as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
        })
        .await;
        let settings = node_settings(number + 1, "gallery", upstream);
        let (grantee, born_ms) = (CountingUpstream::default(), Arc::new(AtomicI64::new(1)));
        let started = start_node_with(number + 1, settings, &table, grantee, born_ms);
        assert!(started.await.0.apply_config("8".into()));
        wait_until_served(&Pool::new(PoolSettings::default()), callers, "/signs/1").await;
        // One more field names the host.
        let more: String = (2..fields)
            .map(|field| format!("x-{field}: {}\r\n", "v".repeat(length)))
            .collect();
        let head =
            format!("GET /signs/1 HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n{more}\r\n");
        let answer = exchange_raw(callers, head.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}

/// Guards against a 400 for requests behind one that was refused before its body was read:
/// bytes of that body must not be taken for the next request.
#[parameterized(
    short = { 121, "POST /nowhere/1", 10, false },
    long = { 122, "POST /nowhere/1", 300_000, false },
    chunked = { 123, "POST /nowhere/1", 10, true },
    long_chunked = { 124, "POST /nowhere/1", 300_000, true },
    without_key = { 125, "POST /pay/1", 300_000, false },
)]
fn requests_behind_one_that_is_refused_early_are_not_misread(
    number: u8,
    first: &str,
    length: usize,
    is_chunked: bool,
) {
    smol::block_on(async {
        let (gallery, _, callers) = start_node(number, "gallery", &MemoryPlatform::default()).await;
        assert!(gallery.apply_config("8".into()));
        let pool = Pool::new(PoolSettings::default());
        wait_until_served(&pool, callers, "/signs/1").await;
        let body = "b".repeat(length);
        let (field, body) = match is_chunked {
            true => {
                let chunks = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
                ("Transfer-Encoding: chunked".to_owned(), chunks)
            }
            false => (format!("Content-Length: {length}"), body),
        };
        let before = "GET /signs/1 HTTP/1.1\r\nHost: a.example\r\n\r\n";
        let after = "GET /signs/2 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
        let refused = format!("{first} HTTP/1.1\r\nHost: a.example\r\n{field}\r\n\r\n{body}");
        let bytes = format!("{before}{before}{refused}{before}{after}");
        let answers = exchange_raw(callers, bytes.as_bytes()).await;
        let statuses: Vec<&str> = answers
            .split("HTTP/1.1 ")
            .skip(1)
            .map(|answer| &answer[..3])
            .collect();
        let expected = if first.contains("/pay/") {
            "400"
        } else {
            "404"
        };
        assert_eq!(
            statuses.get(..3),
            Some(&["200", "200", expected][..]),
            "{answers}"
        );
        assert!(
            statuses[3..].iter().all(|status| *status == "200"),
            "{statuses:?}"
        );
    });
}
