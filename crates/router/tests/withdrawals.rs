//! Withdrawals of upstreams, whose nodes restart around them and hear of them late.

mod support;

use ibiscove_http::{Pool, PoolSettings};
use ibiscove_store::MemoryPlatform;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;
use support::{CountingUpstream, send_request, start_node_beside};

/// Guards against requests to an upstream that withdrew right after its node had
/// restarted, before the new process heard of it: an announcement that it had sent
/// earlier arrives late.
#[test]
fn upstream_that_withdraws_before_its_node_hears_of_it_gets_no_requests() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let upstream = CountingUpstream::default();
        let upstream_addr = upstream.serve().await;
        let born_ms = Arc::new(AtomicI64::new(0));
        let (router, callers) = start_node_beside(
            21,
            "gallery",
            &table,
            upstream.clone(),
            upstream_addr,
            Arc::clone(&born_ms),
        )
        .await;
        assert!(router.apply_config("7".into()));
        router.withdraw_upstream("upstream-21");

        born_ms.store(1, Ordering::SeqCst);
        let pool = Pool::new(PoolSettings::default());
        // Its announcements come every 400 ms.
        for _ in 0..10 {
            let (status, body) = send_request(&pool, callers, "/signs/1").await;
            assert_eq!(status, 503, "{body}");
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(upstream.runs.load(Ordering::SeqCst), 0);
    });
}
