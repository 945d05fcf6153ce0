//! Metrics of refused requests. They are in a process of their own, since all nodes of one
//! share the recorder.

mod support;

use ibiscove_http::{Pool, PoolSettings};
use ibiscove_store::MemoryPlatform;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::time::Duration;
use support::raw::exchange_raw;
use support::{CountingUpstream, addr, node_settings, send_request, start_node_with};

/// Guards against a refusal that no metric tells apart from another, among them those
/// of the HTTP library, which no handler sees.
#[test]
fn metrics_tell_where_a_request_was_refused() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let metrics = addr(97, 7_403);
        let mut settings = node_settings(97, "gallery", addr(97, 7_402));
        settings.addrs.metrics = Some(metrics);
        let born_ms = Arc::new(AtomicI64::new(0));
        let upstream = CountingUpstream::default();
        let (router, callers) = start_node_with(97, settings, &table, upstream, born_ms).await;
        assert!(router.apply_config("7".into()));
        let pool = Pool::new(PoolSettings::default());
        assert_eq!(send_request(&pool, callers, "/nowhere/1").await.0, 404);
        let answer = exchange_raw(callers, b"GET /signs/1 HTTP/1.1\r\n: x\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        let fields = "X-A: b\r\n".repeat(101);
        let many = format!("GET /signs/1 HTTP/1.1\r\n{fields}\r\n");
        let answer = exchange_raw(callers, many.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");

        smol::Timer::after(Duration::from_millis(50)).await;
        let page = send_request(&pool, metrics, "/metrics").await.1;
        for line in [
            r#"ibiscove_refusals_total{role="entry",place="entry-plan",reason="no-route",outcome="not-run"} 1"#,
            r#"ibiscove_unreadable_requests_total{clients="callers",kind="malformed"} 1"#,
            r#"ibiscove_unreadable_requests_total{clients="callers",kind="too-large"} 1"#,
            "ibiscove_config_version 7",
            "ibiscove_config_newest_known 7",
            "ibiscove_config_behind_seconds 0",
        ] {
            assert!(
                page.lines().any(|of_page| of_page == line),
                "{line}\n{page}"
            );
        }
    });
}
