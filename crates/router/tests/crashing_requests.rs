//! Requests that crash each upstream that begins to run them.

mod support;

use ibiscove_http::{Pool, PoolSettings};
use ibiscove_store::{MemoryPlatform, Table};
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::raw::CrashingUpstream;
use support::{CountingUpstream, TestRouter, send_request, start_node_beside, wait_until_served};

/// Crashes after which a request must not be run any more.
const MAX_CRASHES: usize = 3;
/// Time after the third crash in which all nodes must learn of it.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Runs that are tolerated after that time.
const MAX_LATE_RUNS: usize = 3;

/// Nodes beside upstreams of the service `gallery` that deadly requests crash, which
/// all report the runs of such requests to one list.
struct Gallery {
    table: MemoryPlatform,
    routers: Vec<TestRouter>,
    entries: Vec<SocketAddr>,
    deadly: Arc<Mutex<Vec<Instant>>>,
}

impl Gallery {
    async fn start(numbers: impl IntoIterator<Item = u8>) -> Self {
        let mut gallery = Self {
            table: MemoryPlatform::default(),
            routers: Vec::new(),
            entries: Vec::new(),
            deadly: Arc::default(),
        };
        for number in numbers {
            gallery.add(number).await;
        }
        assert!(gallery.routers[0].apply_config("7".into()));
        let pool = Pool::new(PoolSettings::default());
        for entry in &gallery.entries {
            wait_until_served(&pool, *entry, "/signs/1").await;
        }
        gallery
    }

    async fn add(&mut self, number: u8) -> SocketAddr {
        let upstream = CrashingUpstream::start(Arc::clone(&self.deadly)).await;
        let (router, entry) = start_node_beside(
            number,
            "gallery",
            &self.table,
            CountingUpstream::default(),
            upstream.addr,
            upstream.born_ms,
        )
        .await;
        self.routers.push(router);
        self.entries.push(entry);
        entry
    }

    fn runs(&self) -> usize {
        self.deadly.lock().expect("no holder panics").len()
    }

    /// Returns the runs later than [`STABLE_WINDOW`] after the third crash.
    fn late_runs(&self) -> usize {
        let runs = self.deadly.lock().expect("no holder panics");
        let Some(third) = runs.get(MAX_CRASHES - 1) else {
            return 0;
        };
        let late = runs.iter().filter(|at| **at > *third + STABLE_WINDOW);
        late.count()
    }
}

async fn wait_until_quarantined(pool: &Pool, entry: SocketAddr, path: &str) {
    for _ in 0..200 {
        let (status, body) = send_request(pool, entry, path).await;
        assert_ne!(status, 200, "a deadly request has no answer");
        // The copy that crashed the third upstream is refused as one that may have run.
        if body.contains("quarantined") && !body.contains("unknown") {
            assert_eq!(status, 503, "{body}");
            assert!(body.contains("not-run"), "{body}");
            return;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    panic!("{path} is not refused");
}

/// Guards against a request that crashes one upstream after the other: each copy has
/// an id of its own and enters at another node.
#[test]
fn request_that_crashes_upstreams_is_not_run_after_the_third_crash() {
    smol::block_on(async {
        let gallery = Gallery::start(21..25).await;
        let pool = Pool::new(PoolSettings::default());
        wait_until_quarantined(&pool, gallery.entries[0], "/signs/deadly").await;
        let runs = gallery.runs();
        assert!(runs <= MAX_CRASHES, "{runs} upstreams have crashed");
        // The nodes that saw no crash refuse it as well.
        smol::Timer::after(Duration::from_secs(1)).await;
        for entry in &gallery.entries {
            let (status, body) = send_request(&pool, *entry, "/signs/deadly").await;
            assert!(status == 503 && body.contains("quarantined"), "{body}");
            wait_until_served(&pool, *entry, "/signs/1").await;
        }
        assert_eq!(gallery.runs(), runs);
    });
}

/// Guards against copies that arrive at all nodes at the same time, each of which
/// crashes an upstream before anyone knows of the others.
#[test]
fn copies_at_all_nodes_at_once_end_no_more_upstreams_once_crashes_are_known() {
    smol::block_on(async {
        let gallery = Gallery::start(26..30).await;
        let pool = Pool::new(PoolSettings::default());
        let started = Instant::now();
        while started.elapsed() < 2 * STABLE_WINDOW {
            let copies: Vec<_> = gallery
                .entries
                .iter()
                .map(|entry| {
                    let (pool, entry) = (pool.clone(), *entry);
                    smol::spawn(async move { send_request(&pool, entry, "/signs/deadly").await })
                })
                .collect();
            for copy in copies {
                copy.await;
            }
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        assert!(gallery.runs() >= MAX_CRASHES, "it crashes upstreams");
        let late = gallery.late_runs();
        assert!(late <= MAX_LATE_RUNS, "{late} of {}", gallery.runs());
        let (_, body) = send_request(&pool, gallery.entries[0], "/signs/deadly").await;
        assert!(body.contains("quarantined"), "{body}");
    });
}

/// Guards against refusing requests that were at work beside a deadly one.
#[test]
fn requests_beside_a_deadly_one_stay_served() {
    smol::block_on(async {
        let gallery = Gallery::start(31..35).await;
        let pool = Pool::new(PoolSettings::default());
        let (background, entry) = (pool.clone(), gallery.entries[1]);
        let refused = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&refused);
        // Popular requests, copies of which are at work at any time.
        let popular = smol::spawn(async move {
            loop {
                for path in ["/signs/1", "/signs/2"] {
                    let (_, body) = send_request(&background, entry, path).await;
                    if body.contains("quarantined") {
                        seen.lock().expect("no holder panics").push(path);
                    }
                }
            }
        });
        let deadly = async {
            for number in 0..3 {
                let path = format!("/signs/deadly-{number}");
                wait_until_quarantined(&pool, gallery.entries[0], &path).await;
            }
        };
        popular.or(deadly).await;
        assert!(refused.lock().expect("no holder panics").is_empty());
        for path in ["/signs/1", "/signs/2"] {
            wait_until_served(&pool, gallery.entries[0], path).await;
        }
    });
}

/// Guards against a node that starts after the crashes and runs the request once more.
#[test]
fn node_that_starts_later_knows_which_requests_crash_upstreams() {
    smol::block_on(async {
        let mut gallery = Gallery::start(36..39).await;
        let pool = Pool::new(PoolSettings::default());
        wait_until_quarantined(&pool, gallery.entries[0], "/signs/deadly").await;
        let runs = gallery.runs();
        let entry = gallery.add(39).await;
        wait_until_served(&pool, entry, "/signs/1").await;
        smol::Timer::after(Duration::from_secs(1)).await;
        let (status, body) = send_request(&pool, entry, "/signs/deadly").await;
        assert!(status == 503 && body.contains("quarantined"), "{body}");
        assert_eq!(gallery.runs(), runs);
    });
}

/// Guards against forgetting it when all nodes are lost at the same time.
#[test]
fn nodes_that_start_after_all_were_lost_read_it_from_the_table() {
    smol::block_on(async {
        let gallery = Gallery::start(41..44).await;
        let pool = Pool::new(PoolSettings::default());
        wait_until_quarantined(&pool, gallery.entries[0], "/signs/deadly").await;
        let mut rows = Vec::new();
        for _ in 0..100 {
            rows = gallery.table.scan("quarantine/").await.expect("it answers");
            if !rows.is_empty() {
                break;
            }
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(rows.len(), 1, "one request is in quarantine");

        // The same table without the rows by which nodes find each other.
        let mut later = Gallery::start(44..46).await;
        let (key, row) = rows.remove(0);
        later.table = MemoryPlatform::default();
        let mut txn = ibiscove_store::Transaction::default();
        txn.replace(&key, None, row.body.to_vec());
        later.table.commit(txn).await.expect("it answers");
        let (runs, entry) = (later.runs(), later.add(46).await);
        assert!(later.routers[2].apply_config("7".into()));
        wait_until_served(&pool, entry, "/signs/1").await;
        let (status, body) = send_request(&pool, entry, "/signs/deadly").await;
        assert!(status == 503 && body.contains("quarantined"), "{body}");
        assert_eq!(later.runs(), runs);
    });
}

/// Guards against blaming the requests at an upstream that ends as it was told to.
#[test]
fn planned_stop_of_an_upstream_blames_no_request() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let upstream = CrashingUpstream::start(Arc::default()).await;
        let born_ms: Arc<AtomicI64> = Arc::clone(&upstream.born_ms);
        let (router, entry) = start_node_beside(
            47,
            "gallery",
            &table,
            CountingUpstream::default(),
            upstream.addr,
            born_ms,
        )
        .await;
        assert!(router.apply_config("7".into()));
        let pool = Pool::new(PoolSettings::default());
        wait_until_served(&pool, entry, "/signs/1").await;
        let runs = || upstream.deadly.lock().expect("no holder panics").len();
        for crash in 0..MAX_CRASHES + 1 {
            // The notice comes while the request runs, before the upstream ends. One that
            // came after the restart would withdraw the next incarnation, since it names
            // only the id.
            upstream.is_crash_held.store(true, Ordering::SeqCst);
            let sending = smol::spawn({
                let pool = pool.clone();
                async move { send_request(&pool, entry, "/signs/deadly").await }
            });
            while runs() == crash && !sending.is_finished() {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            assert_eq!(runs(), crash + 1, "the request has reached the upstream");
            router.withdraw_upstream("upstream-47");
            upstream.is_crash_held.store(false, Ordering::SeqCst);
            let (_, body) = sending.await;
            assert!(!body.contains("quarantined"), "{body}");
            while upstream.born_ms.load(Ordering::SeqCst) < crash as i64 + 2 {
                smol::Timer::after(Duration::from_millis(20)).await;
            }
            wait_until_served(&pool, entry, "/signs/1").await;
        }
    });
}
