//! Upstreams that start cold or turn cold under full load, at a node that serves many
//! callers at a time.

mod support;

use hyper::header::{HeaderName, HeaderValue};
use ibiscove_http::{Pool, PoolSettings};
use ibiscove_proxy::Announcement;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::UpstreamIncarnation;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};
use support::{
    CountingUpstream, FRAIL_RATE, send_request, start_node, start_node_beside, wait_until_served,
};

const CALLERS: usize = 8;
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Returns the requests that `upstream` runs while many callers repeat theirs.
async fn runs_under_load(pool: &Pool, entry: SocketAddr, upstream: &CountingUpstream) -> u32 {
    let (started, before) = (Instant::now(), upstream.runs.load(Ordering::SeqCst));
    let mut load = async { std::future::pending::<()>().await }.boxed();
    for _ in 0..CALLERS {
        let caller = async move {
            loop {
                if send_request(pool, entry, "/files/2").await.0 != 200 {
                    smol::Timer::after(Duration::from_millis(5)).await;
                }
            }
        };
        load = load.or(caller).boxed();
    }
    let end = async {
        smol::Timer::after(LOAD_TIME.saturating_sub(started.elapsed())).await;
    };
    load.or(end).await;
    upstream.runs.load(Ordering::SeqCst) - before
}

/// Most requests that a cold upstream may get under that load: in each second its rate,
/// and the seconds that the load touches.
fn most_runs() -> u32 {
    (FRAIL_RATE * (LOAD_TIME.as_secs_f64() + 1.0)) as u32
}

/// Guards against an upstream that says in its announcements that it is cold and gets
/// as many requests as its slots hold.
#[test]
fn upstream_that_announces_that_it_is_cold_gets_its_rate() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (node, upstream, callers) = start_node(21, "archive", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(node.apply_config("7".into()));
        wait_until_served(&pool, callers, "/files/1").await;
        let announcement = Announcement {
            incarnation: UpstreamIncarnation {
                id: "upstream-21".into(),
                born_ms: 1,
            },
            service: "archive".into(),
            concurrency: 4,
            draining: false,
            warm_up_remaining: Duration::from_secs(60),
            sequence: 1_000_000,
        };
        node.apply_announcement(announcement, &Default::default());
        let runs = runs_under_load(&pool, callers, &upstream).await;
        assert!((1..=most_runs()).contains(&runs), "{runs} ran");
    });
}

/// Guards against an upstream that turns cold between two announcements and is flooded
/// until the next one: its answers become slow, and its health answers tell.
#[test]
fn upstream_that_turns_cold_is_asked_and_gets_its_rate() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (node, upstream, callers) = start_node(22, "archive", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(node.apply_config("7".into()));
        wait_until_served(&pool, callers, "/files/1").await;
        for _ in 0..50 {
            send_request(&pool, callers, "/files/1").await;
        }
        let notices = [
            ("ibiscove-upstream-id", "upstream-22"),
            ("ibiscove-cold-for-ms", "60000"),
        ];
        for (name, value) in notices {
            let mut notice = upstream.notice.lock().expect("no holder panics");
            notice.insert(
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            );
        }
        upstream.delay_ms.store(60, Ordering::SeqCst);
        let runs = runs_under_load(&pool, callers, &upstream).await;
        assert!((1..=most_runs()).contains(&runs), "{runs} ran");
    });
}

/// Guards against an upstream that is held back because it refuses what is not meant for
/// it, which says nothing about its pace.
#[test]
fn misdirected_requests_do_not_slow_a_cold_upstream() {
    const RUNS: u32 = 30;
    // Four times as long as its rate needs; at the least rate it takes longer.
    const MAX_TIME: Duration = Duration::from_secs(12);
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (node, upstream, callers) = start_node(23, "archive", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(node.apply_config("7".into()));
        wait_until_served(&pool, callers, "/files/1").await;
        upstream.is_misdirected.store(true, Ordering::SeqCst);
        let begin = Instant::now();
        for sequence in 1_000_000.. {
            let announcement = Announcement {
                incarnation: UpstreamIncarnation {
                    id: "upstream-23".into(),
                    born_ms: 1,
                },
                service: "archive".into(),
                concurrency: 4,
                draining: false,
                warm_up_remaining: Duration::from_secs(60),
                sequence,
            };
            node.apply_announcement(announcement, &Default::default());
            let runs = upstream.runs.load(Ordering::SeqCst);
            if runs >= RUNS {
                break;
            }
            assert!(begin.elapsed() < MAX_TIME, "{runs} ran");
            send_request(&pool, callers, "/files/2").await;
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against an upstream that turns cold and answers nothing, so that no answer calls
/// for a health check.
#[test]
fn upstream_that_answers_nothing_is_asked_whether_it_is_cold() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let upstream = CountingUpstream::default();
        let addr = upstream.serve().await;
        let born_ms = Arc::new(AtomicI64::new(1));
        let announced = Arc::clone(&born_ms);
        let (node, callers) =
            start_node_beside(24, "archive", &table, upstream.clone(), addr, announced).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(node.apply_config("7".into()));
        wait_until_served(&pool, callers, "/files/1").await;
        // No announcement says that it is warm meanwhile.
        born_ms.store(0, Ordering::SeqCst);
        upstream.is_hung.store(true, Ordering::SeqCst);
        runs_under_load(&pool, callers, &upstream).await;
        assert!(upstream.health_checks.load(Ordering::SeqCst) > 0);
    });
}
