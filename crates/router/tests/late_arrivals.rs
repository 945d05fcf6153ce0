//! Load: a narrow link between two nodes, on which requests wait for longer than their
//! callers do.

mod support;

use hyper::Request;
use ibiscove_http::body::read_whole;
use ibiscove_http::{Body, Pool, PoolSettings};
use ibiscove_store::MemoryPlatform;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::{addr, start_node, wait_until_served};

/// Forwards a request to a gate as a node that sent it at `sent_us` by its clock and
/// whose caller has 400 ms left. Returns the status and the body.
async fn forward(pool: &Pool, gate: SocketAddr, id: &str, sent_us: u64) -> (u16, String) {
    let fields = format!(
        r#"{{"service":"gallery","route":"signs","id":"{id}","idempotent":true,"priority":2,
        "latency_ms":1000,"target_ms":1000,"left_ms":400,"may_be_late":true,
        "entry":"node-far","sent":{{"process":7,"us":{sent_us}}}}}"#
    );
    let req = Request::get("/signs/1")
        .header("host", "a.example")
        .header("ibiscove-request-id", id)
        .header("ibiscove-forward", fields.replace('\n', ""))
        .body(Body::whole(""))
        .expect("the request is valid");
    let sent = pool.send(gate, req, Duration::from_secs(1)).await;
    let response = sent.expect("the gate responds").response;
    let status = response.status().as_u16();
    let body = read_whole(response.into_body(), 1 << 16).await;
    let body = body.expect("the response is complete");
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Guards against work for callers that left while their request waited on a link.
#[test]
fn request_that_waited_longer_than_its_caller_does_is_not_run() {
    const SENT: u64 = 10_000_000;
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (router, upstream, callers) = start_node(171, "gallery", &table).await;
        assert!(router.apply_config("7".into()));
        let pool = Pool::new(PoolSettings::default());
        wait_until_served(&pool, callers, "/signs/1").await;
        let gate = addr(171, 7_401);
        let (status, body) = forward(&pool, gate, "first", SENT).await;
        assert_eq!(status, 200, "{body}");
        let runs = upstream.runs.load(Ordering::SeqCst);
        let (status, body) = forward(&pool, gate, "late", SENT - 900_000).await;
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("not-run"), "{body}");
        assert_eq!(upstream.runs.load(Ordering::SeqCst), runs);
        // It says nothing of the requests after it.
        let (status, body) = forward(&pool, gate, "next", SENT + 60_000_000).await;
        assert_eq!(status, 200, "{body}");
    });
}
