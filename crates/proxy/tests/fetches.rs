//! Range maps and crash records that nodes fetch from peers over slow and failing links.

mod support;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use ibiscove_http::body::read_whole;
use ibiscove_http::{Body, Exchange, Pool, PoolSettings};
use ibiscove_proxy::ConfigCell;
use ibiscove_proxy::headers::MORE_PAGES;
use ibiscove_proxy::peer_api::{FetchError, fetch_map, fetch_suspects};
use ibiscove_proxy::suspects::Suspects;
use ibiscove_ranges::map::{SECTION_COUNT, Transfer};
use ibiscove_ranges::{KeyRange, Owner, RangeMap, RangeMaps};
use ibiscove_routing::quarantine::{CrashRecord, MAX_RECORDS, Suspicion};
use ibiscove_types::{Key, ServiceName, SystemClock, UpstreamIncarnation};
use smol::io::AsyncWriteExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::{Link, listen, peer, serve_with, suspects};
use yare::parameterized;

const OWNERS: usize = 80;
const RANGES_PER_OWNER: usize = 40;
/// What is left of a link of 10 Mbit/s beside bodies and other transfers.
const SLOW_LINK: usize = 200_000;

fn service() -> ServiceName {
    "deposits".into()
}

/// Starts a peer that serves these maps and crash records.
async fn serve(maps: RangeMaps, suspects: Suspects) -> SocketAddr {
    let server = Arc::new(peer(maps, suspects, ConfigCell::default()));
    let handle = move |req: Request<Incoming>| {
        let server = Arc::clone(&server);
        async move { server.handle(req).await }
    };
    serve_with(handle).await
}

fn pool() -> Pool {
    Pool::new(PoolSettings::default())
}

fn transfer(range: usize, owner: usize) -> Transfer {
    let width = (usize::from(Key::MAX) + 1) / (OWNERS * RANGES_PER_OWNER);
    let first = (range * width) as Key;
    Transfer {
        range: KeyRange {
            first,
            last: first + (width - 1) as Key,
        },
        to: Some(Owner {
            node: format!("sidecar-north-east-{owner}").into(),
            life: UpstreamIncarnation {
                id: format!("deposits-north-east-{owner}").into(),
                born_ms: 1_800_000_000_000 + owner as i64,
            },
        }),
        handover: None,
    }
}

fn store(maps: &RangeMaps, map: &RangeMap, version: u64) {
    for section in 0..SECTION_COUNT {
        let section = Arc::clone(map.section(section));
        maps.accept(&service(), version, section);
    }
}

fn large_map() -> RangeMap {
    let transfers: Vec<_> = (0..OWNERS * RANGES_PER_OWNER)
        .map(|range| transfer(range, range % OWNERS))
        .collect();
    RangeMap::unowned().with_transfers(&transfers)
}

fn large_maps() -> RangeMaps {
    let maps = RangeMaps::default();
    store(&maps, &large_map(), 1);
    maps
}

async fn fetch(peer: SocketAddr, maps: &RangeMaps) -> bool {
    fetch_map(&pool(), &SystemClock, peer, &service(), maps)
        .await
        .is_ok()
}

/// Returns what a node without pages responds to one without the map.
fn whole_response(maps: &RangeMaps) -> Vec<u8> {
    let updates: Vec<_> = maps.updates_since("deposits", &[]).collect();
    serde_json::to_vec(&updates).expect("updates can be serialised")
}

fn known_sections(maps: &RangeMaps) -> usize {
    maps.epochs("deposits").iter().flatten().count()
}

/// Guards against a map that never arrives over a slow link, since the whole of it had
/// to arrive within 0.8 s.
#[test]
fn a_large_map_arrives_over_a_slow_link() {
    smol::block_on(async {
        let sent = large_maps();
        let peer = serve(sent.clone(), suspects()).await;
        let link = Link::start(peer, SLOW_LINK, usize::MAX).await;
        let maps = RangeMaps::default();
        let start = Instant::now();
        assert!(fetch(link.addr, &maps).await, "after {:?}", start.elapsed());
        assert!(maps.get("deposits") == sent.get("deposits"));
        let (elapsed, bytes) = (start.elapsed(), link.passed.load(Ordering::SeqCst));
        println!("{bytes} bytes of a whole map in {elapsed:?}");
        assert!(elapsed > Duration::from_millis(800), "the link is not slow");
    });
}

/// Guards against sections that travel again after the peer that sent them was lost.
#[test]
fn sections_that_have_arrived_are_kept_when_the_peer_is_lost() {
    smol::block_on(async {
        let sent = large_maps();
        let peer = serve(sent.clone(), suspects()).await;
        let whole = whole_response(&sent).len();
        let lost = Link::start(peer, 10 * SLOW_LINK, whole / 2).await;
        let maps = RangeMaps::default();
        assert!(!fetch(lost.addr, &maps).await, "the link breaks");
        let kept = known_sections(&maps);
        assert!((4..12).contains(&kept), "{kept} sections are kept");

        let other = Link::start(peer, 10 * SLOW_LINK, usize::MAX).await;
        assert!(fetch(other.addr, &maps).await);
        assert!(maps.get("deposits") == sent.get("deposits"));
        let bytes = other.passed.load(Ordering::SeqCst);
        assert!(bytes < whole * 3 / 4, "{bytes} of {whole} bytes again");
    });
}

/// Starts a peer that announces a body and sends a byte of it in each interval.
async fn serve_trickle(interval: Duration) -> SocketAddr {
    let (listener, addr) = listen().await;
    smol::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
            let mut sent = stream.write_all(head).await;
            while sent.is_ok() {
                smol::Timer::after(interval).await;
                sent = stream.write_all(b" ").await;
            }
        }
    })
    .detach();
    addr
}

/// Guards against a peer that holds a node's fetch for as long as it likes.
#[parameterized(
    silent = { Duration::from_secs(3_600) },
    trickling = { Duration::from_millis(20) },
)]
fn a_peer_that_hardly_sends_is_given_up(interval: Duration) {
    smol::block_on(async {
        let peer = serve_trickle(interval).await;
        let start = Instant::now();
        assert!(!fetch(peer, &RangeMaps::default()).await);
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_millis(2_500), "after {elapsed:?}");
    });
}

/// Guards against changes of one range for which a whole section or map travels.
#[test]
fn one_change_of_a_large_map_takes_few_bytes() {
    smol::block_on(async {
        let sent = large_maps();
        let maps = large_maps();
        let next = large_map().with_transfers(&[transfer(1_000, 7)]);
        let unchanged = large_map();
        let changed = (0..SECTION_COUNT).find(|i| next.section(*i) != unchanged.section(*i));
        let section = Arc::clone(next.section(changed.expect("one has changed")));
        sent.accept(&service(), 2, section);
        let peer = serve(sent.clone(), suspects()).await;
        let link = Link::start(peer, 10 * SLOW_LINK, usize::MAX).await;
        assert!(fetch(link.addr, &maps).await);
        assert!(maps.get("deposits") == sent.get("deposits"));
        let bytes = link.passed.load(Ordering::SeqCst);
        println!("{bytes} bytes for one change of {OWNERS} x {RANGES_PER_OWNER} ranges");
        assert!(bytes < 2_000, "{bytes} bytes");
    });
}

/// Guards against a section that a node can't use and that keeps the later ones from it,
/// since each page begins with it.
#[test]
fn a_section_that_is_refused_keeps_no_other_back() {
    smol::block_on(async {
        let whole = large_maps();
        let handle = move |req: Request<_>| {
            let query = req.uri().query().expect("the epochs are in it").to_owned();
            let epochs: Vec<_> = query.split(',').map(|text| text.parse().ok()).collect();
            let mut updates = whole.updates_since("deposits", &epochs);
            let mut next = updates.next();
            if let Some((section @ 0, update)) = &mut next {
                // Another era than that of its epoch.
                update.version = u64::MAX >> 1;
                assert_eq!(*section, 0);
            }
            let has_more = next.is_some();
            let body = serde_json::to_vec(next.as_slice()).expect("it can be serialised");
            async move {
                let mut response = Response::new(Body::<()>::whole(body));
                if has_more {
                    let value = HeaderValue::from_static("1");
                    response.headers_mut().insert(MORE_PAGES, value);
                }
                response
            }
        };
        let peer = serve_with(handle).await;
        let maps = RangeMaps::default();
        assert!(fetch(peer, &maps).await);
        assert_eq!(known_sections(&maps), SECTION_COUNT - 1);
    });
}

fn many_suspects() -> Suspects {
    let suspects = suspects();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let crashed_ms = since_epoch.expect("it is past 1970").as_millis() as u64;
    let records = (0..MAX_RECORDS as u128).map(|i| CrashRecord {
        fingerprint: (i + 1) << 100,
        suspicion: Suspicion {
            clearings: 0,
            crashes: 1,
        },
        crashed_ms,
    });
    suspects.merge(records, "test", Instant::now());
    suspects
}

async fn fetch_crashes(peer: SocketAddr, suspects: &Suspects) -> Result<(), FetchError> {
    fetch_suspects(&pool(), &SystemClock, peer, suspects, "peer").await
}

/// Guards against crash records that never arrive over a slow link, since all of them
/// had to arrive within 0.8 s.
#[test]
fn crash_records_arrive_in_pages_over_a_slow_link() {
    smol::block_on(async {
        let sent = many_suspects();
        let peer = serve(RangeMaps::default(), sent.clone()).await;
        let link = Link::start(peer, SLOW_LINK / 2, usize::MAX).await;
        let known = suspects();
        let start = Instant::now();
        let result = fetch_crashes(link.addr, &known).await;
        assert!(result.is_ok(), "{result:?} after {:?}", start.elapsed());
        assert_eq!(known.digest(), sent.digest());
        assert!(start.elapsed() > Duration::from_millis(800), "not slow");
    });
}

/// Guards against records that are lost because the peer was lost after them.
#[test]
fn crash_records_that_have_arrived_are_kept_when_the_peer_is_lost() {
    smol::block_on(async {
        let peer = serve(RangeMaps::default(), many_suspects()).await;
        let link = Link::start(peer, 10 * SLOW_LINK, 100 << 10).await;
        let known = suspects();
        assert!(fetch_crashes(link.addr, &known).await.is_err());
        let kept = known.records().len();
        assert!((400..1_000).contains(&kept), "{kept} records are kept");
    });
}

/// Guards against nodes of different versions that don't understand each other: those
/// without pages ignore the query, and send and expect everything at once.
#[test]
fn nodes_without_pages_are_understood() {
    smol::block_on(async {
        let (sent, crashes) = (large_maps(), many_suspects());
        let map_body = whole_response(&sent);
        let records_body = serde_json::to_vec(&crashes.records()).expect("it is valid");
        let handle = move |req: Request<_>| {
            let is_of_map = req.uri().path().contains("ranges");
            let body = if is_of_map { &map_body } else { &records_body };
            let response = Response::new(Body::<()>::whole(body.clone()));
            async move { response }
        };
        let peer = serve_with(handle).await;
        let link = Link::start(peer, 2 * SLOW_LINK, usize::MAX).await;
        let maps = RangeMaps::default();
        assert!(fetch(link.addr, &maps).await);
        assert!(maps.get("deposits") == sent.get("deposits"));
        let known = suspects();
        assert!(fetch_crashes(link.addr, &known).await.is_ok());
        assert_eq!(known.digest(), crashes.digest());
    });
}

#[test]
fn a_node_that_asks_for_no_page_gets_all_crash_records() {
    smol::block_on(async {
        let peer = serve(RangeMaps::default(), many_suspects()).await;
        let mut request = Request::new(Body::whole(""));
        *request.uri_mut() = "/_ibiscove/suspects".parse().expect("the path is valid");
        let sent = pool().send(peer, request, Duration::ZERO).await;
        let Exchange {
            response,
            connection: _connection,
            ..
        } = sent.expect("the peer responds");
        let body = read_whole(response.into_body(), 4 << 20).await;
        let body = body.expect("the response is complete");
        let records: Vec<CrashRecord> = serde_json::from_slice(&body).expect("it is valid");
        assert_eq!(records.len(), MAX_RECORDS);
    });
}

/// Guards against nodes that are behind and take the whole link of the peer that they
/// all ask at once.
#[test]
fn a_peer_that_many_ask_refuses_most_and_serves_the_others() {
    smol::block_on(async {
        let sent = large_maps();
        let peer = serve(sent.clone(), suspects()).await;
        let asking: Vec<_> = (0..40)
            .map(|_| {
                smol::spawn(async move {
                    let maps = RangeMaps::default();
                    let result = fetch_map(&pool(), &SystemClock, peer, &service(), &maps).await;
                    (result, known_sections(&maps))
                })
            })
            .collect();
        let (mut whole, mut busy, mut sections) = (0, 0, 0);
        let start = Instant::now();
        for asked in asking {
            let (result, known) = asked.await;
            sections += known;
            match result {
                Ok(()) => whole += 1,
                Err(FetchError::Busy { .. }) => busy += 1,
                Err(err) => panic!("{err}"),
            }
        }
        println!(
            "{whole} maps, {busy} busy, {sections} sections in {:?}",
            start.elapsed()
        );
        assert!(whole > 0 && busy > 20, "{whole} maps, {busy} busy");
        let bytes = whole_response(&sent).len() * sections / SECTION_COUNT;
        let allowed = 500_000.0 * start.elapsed().as_secs_f64() + 200_000.0;
        assert!((bytes as f64) < allowed, "{bytes} of {allowed} bytes");
    });
}
