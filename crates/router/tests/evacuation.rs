//! Evacuation of a data centre, with a few nodes on loopback.

mod support;

use bytes::Bytes;
use ibiscove_http::{Pool, PoolSettings};
use ibiscove_router::{EvacuationReading, RouterSettings};
use ibiscove_store::MemoryPlatform;
use smol::io::AsyncWriteExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, AtomicU32, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};
use support::raw::{answer, get_on_new_connection, read_head, serve_raw};
use support::{
    CountingUpstream, TestRouter, node_settings, send_request, start_node_with, wait_until_served,
};

/// Starts a node in a data centre.
async fn start_in(
    data_centre: &str,
    number: u8,
    service: &str,
    table: &MemoryPlatform,
) -> (TestRouter, CountingUpstream, SocketAddr) {
    let upstream = CountingUpstream::default();
    let addr = upstream.serve().await;
    let settings = RouterSettings {
        data_centre: data_centre.into(),
        awaits_evacuations: true,
        ..node_settings(number, service, addr)
    };
    let born_ms = Arc::new(AtomicI64::new(1));
    let (router, callers) =
        start_node_with(number, settings, table, upstream.clone(), born_ms).await;
    (router, upstream, callers)
}

fn all(names: &[&str]) -> EvacuationReading {
    EvacuationReading::All(names.iter().map(|name| (*name).into()).collect())
}

fn evacuated(data_centre: &str) -> EvacuationReading {
    EvacuationReading::Changes {
        changes: vec![(data_centre.into(), true)],
        latest_handover_end: Instant::now() + Duration::from_millis(4_500),
    }
}

/// Sends requests until twenty in a row were answered, of which none has reached
/// `upstream`.
async fn wait_until_spared(
    pool: &Pool,
    entry: SocketAddr,
    path: &str,
    upstream: &CountingUpstream,
) {
    const COUNT: u32 = 20;
    for _ in 0..400 {
        let before = upstream.runs.load(Ordering::SeqCst);
        let mut answered = 0;
        for _ in 0..COUNT {
            answered += u32::from(send_request(pool, entry, path).await.0 == 200);
        }
        if upstream.runs.load(Ordering::SeqCst) == before && answered == COUNT {
            return;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    panic!("{path} still reaches the evacuated upstream");
}

async fn wait_until_reached(pool: &Pool, entry: SocketAddr, path: &str, up: &CountingUpstream) {
    let before = up.runs.load(Ordering::SeqCst);
    for _ in 0..1_000 {
        send_request(pool, entry, path).await;
        if up.runs.load(Ordering::SeqCst) > before {
            return;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    panic!("{path} does not reach the upstream that was taken back");
}

/// Only the node in the other data centre hears of it from the table. The evacuated
/// node's entry still serves callers, by upstreams elsewhere.
#[test]
fn a_shared_service_is_served_elsewhere_until_it_is_taken_back() {
    smol::block_on(async {
        let pool = Pool::new(PoolSettings::default());
        let table = MemoryPlatform::default();
        let (near, near_upstream, near_entry) = start_in("a", 151, "gallery", &table).await;
        let (far, far_upstream, far_entry) = start_in("b", 152, "gallery", &table).await;
        for router in [&near, &far] {
            router.apply_evacuations(1, all(&[]));
            router.apply_config(Bytes::from_static(b"1"));
        }
        wait_until_served(&pool, near_entry, "/signs/1").await;
        wait_until_reached(&pool, near_entry, "/signs/1", &near_upstream).await;
        let changes = evacuated("a");
        far.apply_evacuations(2, changes);
        wait_until_spared(&pool, near_entry, "/signs/1", &near_upstream).await;
        wait_until_spared(&pool, far_entry, "/signs/1", &near_upstream).await;
        assert!(near.is_ready(), "its entry serves on");
        assert!(far_upstream.runs.load(Ordering::SeqCst) > 0);
        // News of before that arrive late change nothing.
        near.apply_evacuations(1, all(&[]));
        wait_until_spared(&pool, near_entry, "/signs/1", &near_upstream).await;
        far.apply_evacuations(3, all(&[]));
        wait_until_reached(&pool, near_entry, "/signs/1", &near_upstream).await;
    });
}

#[test]
fn requests_are_refused_when_all_data_centres_are_evacuated() {
    smol::block_on(async {
        let pool = Pool::new(PoolSettings::default());
        let table = MemoryPlatform::default();
        let (near, near_upstream, near_entry) = start_in("a", 153, "gallery", &table).await;
        let (far, far_upstream, far_entry) = start_in("b", 154, "gallery", &table).await;
        for router in [&near, &far] {
            router.apply_evacuations(1, all(&[]));
            router.apply_config(Bytes::from_static(b"1"));
        }
        wait_until_served(&pool, near_entry, "/signs/1").await;
        wait_until_served(&pool, far_entry, "/signs/1").await;
        for router in [&near, &far] {
            router.apply_evacuations(2, all(&["a", "b"]));
        }
        let runs =
            || near_upstream.runs.load(Ordering::SeqCst) + far_upstream.runs.load(Ordering::SeqCst);
        let before = runs();
        for entry in [near_entry, far_entry] {
            let (status, body) = send_request(&pool, entry, "/signs/1").await;
            assert_eq!(status, 503);
            assert!(
                body.contains("evacuated") && body.contains("not-run"),
                "{body}"
            );
        }
        assert_eq!(runs(), before);
    });
}

/// The owner of a key is evacuated, and one in the other data centre takes it over.
#[test]
fn the_key_of_an_evacuated_owner_is_served_elsewhere() {
    smol::block_on(async {
        let pool = Pool::new(PoolSettings::default());
        let table = MemoryPlatform::default();
        let (near, near_upstream, near_entry) = start_in("a", 155, "deposits", &table).await;
        let (far, far_upstream, far_entry) = start_in("b", 156, "deposits", &table).await;
        for router in [&near, &far] {
            router.apply_evacuations(1, all(&[]));
            router.apply_config(Bytes::from_static(b"1"));
        }
        wait_until_served(&pool, near_entry, "/pay/1").await;
        let owner_is_near = near_upstream.runs.load(Ordering::SeqCst) > 0;
        let (data_centre, upstream) = match owner_is_near {
            true => ("a", &near_upstream),
            false => ("b", &far_upstream),
        };
        let changes = evacuated(data_centre);
        far.apply_evacuations(2, changes);
        wait_until_spared(&pool, near_entry, "/pay/1", upstream).await;
        wait_until_spared(&pool, far_entry, "/pay/1", upstream).await;
    });
}

/// A node that restarts knows nothing; its gate must not serve an upstream that may be
/// evacuated.
#[test]
fn a_gate_serves_nothing_before_it_has_heard_of_evacuations() {
    smol::block_on(async {
        let pool = Pool::new(PoolSettings::default());
        let table = MemoryPlatform::default();
        let (router, upstream, entry) = start_in("a", 157, "gallery", &table).await;
        router.apply_config(Bytes::from_static(b"1"));
        // Its upstream announces itself at the start.
        smol::Timer::after(Duration::from_millis(200)).await;
        let (status, _) = send_request(&pool, entry, "/signs/1").await;
        assert_eq!(status, 503);
        assert_eq!(upstream.runs.load(Ordering::SeqCst), 0);
        router.apply_evacuations(1, all(&["a"]));
        let (status, body) = send_request(&pool, entry, "/signs/1").await;
        assert_eq!(status, 503);
        assert!(body.contains("evacuated"), "{body}");
        assert_eq!(upstream.runs.load(Ordering::SeqCst), 0);
        router.apply_evacuations(2, all(&[]));
        wait_until_served(&pool, entry, "/signs/1").await;
    });
}

/// Readings and news arrive in several tasks at once. What was known first must not be
/// what the gate acts on last.
#[test]
fn a_gate_acts_on_the_latest_of_several_changes_that_arrive_together() {
    const ROUNDS: u64 = 100;
    const TASKS: u64 = 8;
    smol::block_on(async {
        let pool = Pool::new(PoolSettings::default());
        let table = MemoryPlatform::default();
        let (router, _, entry) = start_in("a", 161, "gallery", &table).await;
        router.apply_evacuations(1, all(&[]));
        router.apply_config(Bytes::from_static(b"1"));
        wait_until_served(&pool, entry, "/signs/1").await;
        for round in 1..=ROUNDS {
            let start = Barrier::new(TASKS as usize);
            let apply = |task| {
                start.wait();
                // The last version of the round ends the evacuation.
                let names: &[&str] = if task % 2 == 0 { &["a"] } else { &[] };
                router.apply_evacuations(TASKS * round + task, all(names));
            };
            std::thread::scope(|scope| {
                for task in 0..TASKS {
                    let apply = &apply;
                    scope.spawn(move || apply(task));
                }
            });
            let (status, body) = send_request(&pool, entry, "/signs/1").await;
            assert_eq!(status, 200, "round {round}: {body}");
        }
    });
}

/// The table is down, and a restarted node hears of the evacuation from a peer.
#[test]
fn a_node_that_starts_hears_of_an_evacuation_from_its_peers() {
    smol::block_on(async {
        let pool = Pool::new(PoolSettings::default());
        let table = MemoryPlatform::default();
        let (far, _, far_entry) = start_in("b", 158, "gallery", &table).await;
        far.apply_evacuations(1, all(&["a"]));
        far.apply_config(Bytes::from_static(b"1"));
        wait_until_served(&pool, far_entry, "/signs/1").await;
        let (_near, near_upstream, near_entry) = start_in("a", 159, "gallery", &table).await;
        wait_until_served(&pool, near_entry, "/signs/1").await;
        wait_until_spared(&pool, near_entry, "/signs/1", &near_upstream).await;
        assert_eq!(near_upstream.runs.load(Ordering::SeqCst), 0, "at no time");
    });
}

/// Requests that wait at the gate when their data centre is evacuated are refused, and
/// those at work are answered.
#[test]
fn queued_requests_are_refused_and_running_ones_end() {
    /// What the upstream of the support module announces.
    const CONCURRENCY: u32 = 4;
    /// Time in which the other requests reach the queue.
    const QUEUEING: Duration = Duration::from_millis(50);
    smol::block_on(async {
        let runs = Arc::new(AtomicU32::new(0));
        let (is_released, release) = smol::channel::bounded::<()>(1);
        let counted = Arc::clone(&runs);
        let addr = serve_raw(move |mut stream| {
            let (runs, release) = (Arc::clone(&counted), release.clone());
            async move {
                while let Some(head) = read_head(&mut stream).await {
                    if head.path.ends_with("held") {
                        runs.fetch_add(1, Ordering::SeqCst);
                        // Ends with an error when the sender is dropped.
                        let _ = release.recv().await;
                    }
                    let answer = answer(&head.request_id);
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        })
        .await;
        let settings = RouterSettings {
            data_centre: "a".into(),
            ..node_settings(160, "gallery", addr)
        };
        let born_ms = Arc::new(AtomicI64::new(1));
        let table = MemoryPlatform::default();
        let grantee = CountingUpstream::default();
        let (router, entry) = start_node_with(160, settings, &table, grantee, born_ms).await;
        router.apply_config(Bytes::from_static(b"1"));
        wait_until_served(&Pool::new(PoolSettings::default()), entry, "/signs/1").await;
        let callers: Vec<_> = (0..2 * CONCURRENCY)
            .map(|_| smol::spawn(get_on_new_connection(entry, "/signs/held")))
            .collect();
        while runs.load(Ordering::SeqCst) < CONCURRENCY {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        smol::Timer::after(QUEUEING).await;
        router.apply_evacuations(1, all(&["a"]));
        drop(is_released);
        let mut answered = 0;
        for caller in callers {
            let status = caller.await;
            answered += u32::from(status == Some(200));
            assert!(matches!(status, Some(200 | 503)), "{status:?}");
        }
        assert_eq!(answered, CONCURRENCY, "those at work are answered");
        assert_eq!(runs.load(Ordering::SeqCst), CONCURRENCY, "and no other ran");
    });
}
