//! Concurrency limits, faulty upstreams, announcements and drains, through real
//! nodes.

use crate::cluster::{
    PATH, TestCluster, entry_and_owner, outcome, send, shared_service_settings, start_cluster,
    upstream_settings,
};
use crate::support::{client, eventually, get};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Fault, UpstreamSettings};
use std::time::Duration;
use yare::parameterized;

/// All concurrency is in use and the queue exceeds the deadline: excess
/// requests are refused as `not-run`, and admitted ones run once.
#[test]
fn saturated_upstream_causes_early_not_run_refusals() {
    smol::block_on(async {
        let upstream = UpstreamSettings {
            concurrency: 2,
            service_time: Duration::from_millis(100),
            ..upstream_settings()
        };
        let cluster = TestCluster::start(2, NodeSettings::default(), upstream).await;
        let (entry, owner) = entry_and_owner(&cluster);
        // These give the gate its latency estimate.
        for _ in 0..3 {
            send(cluster.post(entry, PATH, "one deposit")).await;
        }
        let path = |number: usize| format!("{PATH}/order-{number}");
        let requests: Vec<_> = (0..40)
            .map(|number| {
                let request = cluster.post(entry, &path(number), "one deposit");
                let request = request.with_request_header("Ibiscove-Timeout-Ms", "1500");
                smol::spawn(send(request))
            })
            .collect();
        let mut results = Vec::new();
        for (number, request) in requests.into_iter().enumerate() {
            results.push((path(number), request.await));
        }
        let count = |word| {
            results
                .iter()
                .filter(|(_, result)| outcome(result).0 == word)
                .count()
        };
        assert!(count("ran") > 0 && count("not-run") > 0, "{results:?}");
        let executions = cluster.executions();
        for (path, result) in &results {
            let runs = executions.iter().filter(|run| run.target.ends_with(path));
            let runs: Vec<_> = runs.collect();
            match outcome(result) {
                ("ran", _) => assert_eq!(runs.len(), 1, "reported {result:?}, ran as {runs:?}"),
                ("not-run", reason) => {
                    assert!(runs.is_empty(), "reported {result:?}, ran as {runs:?}");
                    if reason == "overloaded" {
                        assert_eq!(result.response.status, 429);
                        assert!(result.retry_after.is_some());
                    }
                }
                _ => assert!(runs.len() <= 1, "reported {result:?}, ran as {runs:?}"),
            }
        }
        // A request cancelled at its deadline may still run until the upstream
        // sees the cancellation, together with the one that took its place.
        let cancelled = count("unknown");
        let max_concurrent = cluster.upstreams[owner].peak_in_flight();
        assert!(
            max_concurrent <= 2 + cancelled,
            "{max_concurrent} ran at once, {cancelled} were cancelled"
        );
    });
}

/// Reads of a shared service are retried at other upstreams when one fails.
#[parameterized(
    lost_before_run = { Fault::ConnectionLostBeforeRun },
    lost_after_run = { Fault::ConnectionLostAfterRun },
)]
fn shared_service_reads_succeed_despite_a_faulty_upstream(fault: Fault) {
    smol::block_on(async {
        let cluster = TestCluster::start(3, shared_service_settings(), upstream_settings()).await;
        cluster.upstreams[0].update_settings(|upstream| upstream.fault = fault);
        for _ in 0..20 {
            for node in 0..3 {
                let response = get(&cluster.client, cluster.caller(node), "/deposits").await;
                assert_eq!(response.status, 200, "{response:?}");
            }
        }
    });
}

/// Through any entry, an upstream that announces its drain gets no new
/// requests, and those that it runs get their responses.
#[test]
fn draining_upstream_finishes_its_work_and_gets_no_new_requests() {
    smol::block_on(async {
        let cluster = TestCluster::start(3, shared_service_settings(), upstream_settings()).await;
        let draining = cluster.upstreams[0].clone();
        draining.update_settings(|upstream| upstream.service_time = Duration::from_millis(300));
        let running: Vec<_> = (0..30)
            .map(|number| smol::spawn(send(cluster.post(number % 3, "/deposits", "one deposit"))))
            .collect();
        eventually("a request at the draining upstream", async || {
            (!draining.executions().is_empty()).then_some(())
        })
        .await;
        let url = format!(
            "http://{}/_ibiscove/drain",
            cluster.nodes[0].addrs().upstream
        );
        let drained = cluster.client.post(url.as_str()).await.expect("a response");
        assert_eq!(drained.status(), Some(trillium::Status::NoContent));
        for number in 0..30 {
            let result = send(cluster.post(number % 3, "/deposits", "one deposit")).await;
            assert_eq!(outcome(&result).0, "ran", "{result:?}");
            let body: serde_json::Value =
                serde_json::from_str(&result.response.body).expect("JSON");
            assert_ne!(
                body["upstream"], "upstream-0",
                "the draining upstream got a new request"
            );
        }
        for request in running {
            assert_eq!(outcome(&request.await).0, "ran");
        }
    });
}

/// The keys of a draining upstream move to the others, and no request is lost
/// or runs twice meanwhile.
#[test]
fn keys_of_a_draining_upstream_move() {
    smol::block_on(async {
        let cluster = start_cluster(3).await;
        let (entry, owner) = entry_and_owner(&cluster);
        let request = |cluster: &TestCluster| {
            cluster
                .post(entry, PATH, "one deposit")
                .with_request_header("Idempotency-Key", "order-1")
        };
        assert_eq!(outcome(&send(request(&cluster)).await).0, "ran");
        let url = format!(
            "http://{}/_ibiscove/drain",
            cluster.nodes[owner].addrs().upstream
        );
        let drained = cluster.client.post(url.as_str()).await.expect("a response");
        assert_eq!(drained.status(), Some(trillium::Status::NoContent));
        let executions_before = cluster.upstreams[owner].executions().len();
        eventually("a new owner", async || {
            let result = send(cluster.post(entry, PATH, "one deposit")).await;
            (outcome(&result).0 == "ran").then_some(())
        })
        .await;
        assert_eq!(
            cluster.upstreams[owner].executions().len(),
            executions_before
        );
        let duplicate = send(request(&cluster)).await;
        assert_ne!(outcome(&duplicate).0, "not-run");
        let ran = cluster.executions().into_iter();
        let ran = ran.filter(|e| e.idempotency_key == "order-1").count();
        assert_eq!(ran, 1, "reported {:?}", outcome(&duplicate));
    });
}

/// The error text names the field at fault.
#[parameterized(
    not_json = { "concurrency=3", "JSON" },
    empty_service = { r#"{"service": "", "addr": "127.0.0.1:9", "concurrency": 1, "connections": 1, "checks_fences": true}"#, "field service" },
    zero_concurrency = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": 0, "connections": 1, "checks_fences": true}"#, "field concurrency" },
    zero_connections = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": 1, "connections": 0, "checks_fences": true}"#, "field connections" },
    unspecified_address = { r#"{"service": "s", "addr": "0.0.0.0:9", "concurrency": 1, "connections": 1, "checks_fences": true}"#, "field addr" },
    missing_checks_fences = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": 1, "connections": 1}"#, "field checks_fences" },
    negative_concurrency = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": -1, "connections": 1, "checks_fences": true}"#, "field concurrency" },
)]
fn invalid_announcement_is_refused_naming_the_field(body: &str, field: &str) {
    smol::block_on(async {
        let settings = NodeSettings::default();
        let platform = ibiscove_store::MemoryPlatform::default();
        let node = Node::start(settings, platform, ibiscove_types::SystemClock).await;
        let node = node.expect("a node starts");
        let url = format!("http://{}/_ibiscove/announce", node.addrs().upstream);
        let response = client().post(url.as_str()).with_body(body.to_owned()).await;
        let mut response = response.expect("a response");
        assert_eq!(response.status(), Some(trillium::Status::BadRequest));
        let text = response
            .response_body()
            .read_string()
            .await
            .expect("a text");
        assert!(text.contains(field), "{text:?} does not name {field}");
        node.kill().await;
    });
}

/// After the announcement timeout its requests are refused as `no-upstream`.
#[test]
fn upstream_that_stops_announcing_gets_no_more_requests() {
    smol::block_on(async {
        let settings = NodeSettings {
            announce_timeout: Duration::from_millis(800),
            ..Default::default()
        };
        let cluster = TestCluster::start(1, settings, upstream_settings()).await;
        cluster.upstreams[0].stop_announcing();
        eventually("the announcement timeout", async || {
            let request = cluster.post(0, PATH, "one deposit");
            let result = send(request.with_request_header("Ibiscove-Timeout-Ms", "200")).await;
            (outcome(&result) == ("not-run", "no-upstream")).then_some(())
        })
        .await;
        let executions_before = cluster.executions().len();
        let result = send(cluster.post(0, PATH, "one deposit")).await;
        assert_eq!(outcome(&result).0, "not-run");
        assert_eq!(cluster.executions().len(), executions_before);
    });
}

/// Guards against retries that multiply the load on failing upstreams.
#[test]
fn retries_stay_within_the_budget_when_every_upstream_fails() {
    const REQUESTS: usize = 100;
    smol::block_on(async {
        let cluster = TestCluster::start(3, shared_service_settings(), upstream_settings()).await;
        for upstream in &cluster.upstreams {
            upstream.update_settings(|upstream| upstream.fault = Fault::ConnectionLostAfterRun);
        }
        for _ in 0..REQUESTS {
            let response = get(&cluster.client, cluster.caller(0), "/deposits").await;
            assert_eq!(response.outcome.as_deref(), Some("unknown"));
        }
        let ran = cluster.executions().len();
        // The budget starts at ten retries, and each request adds a tenth of one.
        let max_runs = REQUESTS + REQUESTS / 10 + 10;
        assert!(ran <= max_runs, "{ran} runs for {REQUESTS} reads");
        assert!(ran > REQUESTS, "no read was retried");
    });
}
