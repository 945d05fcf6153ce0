//! The whole request path on loopback: callers, two nodes with an upstream each,
//! and an in-memory table.

mod support;

use ibiscove_http::{Pool, PoolSettings};
use ibiscove_store::MemoryPlatform;
use smol::io::AsyncWriteExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU32, Ordering};
use std::time::Duration;
use support::raw::{answer, get_on_new_connection, read_head, serve_raw};
use support::{CountingUpstream, send_request, start_node, start_node_beside, wait_until_served};

#[test]
fn request_reaches_its_upstream_from_any_node() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (gallery, signs, at_gallery) = start_node(1, "gallery", &table).await;
        let (_deposits, deposits, at_deposits) = start_node(2, "deposits", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(!gallery.is_ready());
        let (status, body) = send_request(&pool, at_gallery, "/signs/1").await;
        assert_eq!(status, 503, "a node without configuration refuses: {body}");
        assert!(body.contains("not-run"));

        // The other node fetches the configuration from this one.
        assert!(gallery.apply_config("7".into()));
        assert!(
            !gallery.apply_config("6".into()),
            "an older configuration is ignored"
        );
        assert!(
            !gallery.apply_config("seven".into()),
            "an invalid configuration is rejected"
        );
        wait_until_served(&pool, at_gallery, "/signs/1").await;
        wait_until_served(&pool, at_deposits, "/signs/1").await;
        assert!(signs.runs.load(Ordering::SeqCst) >= 2);

        // Keys are granted to the upstream before requests for them are served.
        wait_until_served(&pool, at_gallery, "/pay/1").await;
        assert!(deposits.grants.load(Ordering::SeqCst) > 0);
        assert!(deposits.runs.load(Ordering::SeqCst) >= 1);
        assert_eq!(send_request(&pool, at_gallery, "/nowhere/1").await.0, 404);

        // A draining upstream gets no new requests, and its service has no other.
        gallery.withdraw_upstream("upstream-1");
        let (status, body) = send_request(&pool, at_gallery, "/signs/1").await;
        assert_eq!(status, 503);
        assert!(body.contains("not-run"), "{body}");
    });
}

/// In a rolling restart the local upstream of a node outlives it. The capacity
/// of an upstream of a shared service stays in use until shortly before the node
/// exits.
#[test]
fn shared_upstream_of_a_stopping_node_serves_until_shortly_before_exit() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (gallery, _signs, _) = start_node(3, "gallery", &table).await;
        let (_other, _deposits, at_other) = start_node(4, "deposits", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(gallery.apply_config("7".into()));
        wait_until_served(&pool, at_other, "/signs/1").await;
        let stopping = gallery.clone();
        let stopped = smol::spawn(async move { stopping.shut_down().await });
        smol::Timer::after(Duration::from_millis(500)).await;
        assert!(!gallery.is_ready(), "callers are sent to other nodes");
        assert_eq!(send_request(&pool, at_other, "/signs/2").await.0, 200);
        stopped.await;
        assert_eq!(send_request(&pool, at_other, "/signs/3").await.0, 503);
    });
}

/// A node keeps its keys until it exits, because no other node can own them. A
/// request that it admits late would be interrupted by its exit.
#[test]
fn stopping_node_admits_no_request_that_it_cannot_finish() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (deposits, upstream, _) = start_node(5, "deposits", &table).await;
        let (_other, _signs, at_other) = start_node(6, "gallery", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(deposits.apply_config("7".into()));
        wait_until_served(&pool, at_other, "/pay/1").await;
        let stopping = deposits.clone();
        let stopped = smol::spawn(async move { stopping.shut_down().await });
        smol::Timer::after(Duration::from_millis(3_200)).await;
        let runs = upstream.runs.load(Ordering::SeqCst);
        let late_request =
            smol::spawn(async move { send_request(&pool, at_other, "/pay/2").await });
        stopped.await;
        assert_eq!(upstream.runs.load(Ordering::SeqCst), runs);
        drop(late_request);
    });
}

/// Guards against requests that a stopping node takes from callers late in its grace
/// period, passes on and cuts off at its exit. The callers open a new connection each
/// time, so that the node never has a moment without requests.
#[test]
fn stopping_node_cuts_off_no_request_that_it_took_late() {
    /// Longer than the interval between two checks for requests in flight.
    const WORK: Duration = Duration::from_millis(300);
    const CALLERS: usize = 4;
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let runs = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&runs);
        let addr = serve_raw(move |mut stream| {
            let runs = Arc::clone(&counted);
            async move {
                while let Some(head) = read_head(&mut stream).await {
                    runs.fetch_add(1, Ordering::SeqCst);
                    smol::Timer::after(WORK).await;
                    let answer = answer(&head.request_id);
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            }
        })
        .await;
        let born_ms = Arc::new(AtomicI64::new(1));
        let grantee = CountingUpstream::default();
        let (gallery, _) = start_node_beside(7, "gallery", &table, grantee, addr, born_ms).await;
        let (stopping, _deposits, entry) = start_node(8, "deposits", &table).await;
        assert!(gallery.apply_config("7".into()));
        wait_until_served(&Pool::new(PoolSettings::default()), entry, "/signs/1").await;

        let before = runs.load(Ordering::SeqCst);
        let answered = Arc::new(AtomicU32::new(0));
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let answered = Arc::clone(&answered);
                smol::spawn(async move {
                    loop {
                        match get_on_new_connection(entry, "/signs/1").await {
                            Some(200) => {
                                answered.fetch_add(1, Ordering::SeqCst);
                            }
                            _ => {
                                smol::Timer::after(Duration::from_millis(5)).await;
                            }
                        }
                    }
                })
            })
            .collect();
        stopping.shut_down().await;
        // An answer that the node has sent may not have been read yet.
        smol::Timer::after(WORK / 10).await;
        let runs = runs.load(Ordering::SeqCst) - before;
        assert!(runs > 0, "requests are served after the signal");
        assert_eq!(runs, answered.load(Ordering::SeqCst), "requests cut off");
        drop(callers);
    });
}
