//! Limits, faulty upstreams, announcements and drains, through real nodes.

use crate::mesh::{Mesh, PATH, entry_and_owner, mesh, outcome, send, shared, upstream};
use crate::support::{client, eventually, get};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Fault, UpstreamSettings};
use std::time::Duration;
use yare::parameterized;

/// With every slot taken and the queue short of time, refusals come at once
/// and say that nothing ran; what was admitted is served.
#[test]
fn full_slots_refuse_early_and_truthfully() {
    smol::block_on(async {
        let upstream = UpstreamSettings {
            concurrency: 2,
            service_time: Duration::from_millis(100),
            ..upstream()
        };
        let mesh = Mesh::start(2, NodeSettings::default(), upstream).await;
        let (entry, owner) = entry_and_owner(&mesh);
        // The first answers teach the gate how long a request takes.
        for _ in 0..3 {
            send(mesh.post(entry, PATH, "one deposit")).await;
        }
        let path = |number: usize| format!("{PATH}/order-{number}");
        let orders: Vec<_> = (0..40)
            .map(|number| {
                let order = mesh.post(entry, &path(number), "one deposit");
                let order = order.with_request_header("Ibiscove-Timeout-Ms", "1500");
                smol::spawn(send(order))
            })
            .collect();
        let mut all_told = Vec::new();
        for (number, order) in orders.into_iter().enumerate() {
            all_told.push((path(number), order.await));
        }
        let count = |word| {
            all_told
                .iter()
                .filter(|(_, told)| outcome(told).0 == word)
                .count()
        };
        assert!(count("ran") > 0 && count("not-run") > 0, "{all_told:?}");
        let executions = mesh.executions();
        for (path, told) in &all_told {
            let runs = executions.iter().filter(|run| run.target.ends_with(path));
            let runs: Vec<_> = runs.collect();
            match outcome(told) {
                ("ran", _) => assert_eq!(runs.len(), 1, "told {told:?}, ran as {runs:?}"),
                ("not-run", reason) => {
                    assert!(runs.is_empty(), "told {told:?}, ran as {runs:?}");
                    if reason == "overloaded" {
                        assert_eq!(told.answer.status, 429);
                        assert!(told.retry_after.is_some());
                    }
                }
                _ => assert!(runs.len() <= 1, "told {told:?}, ran as {runs:?}"),
            }
        }
        // What was cancelled at its deadline may still run for the moment that
        // the upstream takes to see it, beside what took its slot.
        let cancelled = count("unknown");
        let most = mesh.upstreams[owner].peak_in_flight();
        assert!(
            most <= 2 + cancelled,
            "{most} ran at once, {cancelled} were cancelled"
        );
    });
}

/// A fault of one upstream of a shared service is not the callers' fault.
#[parameterized(
    lost = { Fault::ConnectionLostBeforeRun },
    hanging_up = { Fault::ConnectionLostAfterRun },
)]
fn reads_of_a_shared_service_go_round_a_faulty_upstream(fault: Fault) {
    smol::block_on(async {
        let mesh = Mesh::start(3, shared(), upstream()).await;
        mesh.upstreams[0].update_settings(|upstream| upstream.fault = fault);
        for _ in 0..20 {
            for node in 0..3 {
                let answer = get(&mesh.client, mesh.caller(node), "/deposits").await;
                assert_eq!(answer.status, 200, "{answer:?}");
            }
        }
    });
}

/// An upstream that says that it leaves gets nothing new, whoever still asks,
/// and what runs there is answered.
#[test]
fn a_leaving_upstream_finishes_its_work_and_gets_nothing_new() {
    smol::block_on(async {
        let mesh = Mesh::start(3, shared(), upstream()).await;
        let leaving = mesh.upstreams[0].clone();
        leaving.update_settings(|upstream| upstream.service_time = Duration::from_millis(300));
        let running: Vec<_> = (0..30)
            .map(|number| smol::spawn(send(mesh.post(number % 3, "/deposits", "one deposit"))))
            .collect();
        eventually("work at the leaving upstream", async || {
            (!leaving.executions().is_empty()).then_some(())
        })
        .await;
        let url = format!("http://{}/_ibiscove/drain", mesh.nodes[0].addrs().upstream);
        let drained = mesh.client.post(url.as_str()).await.expect("an answer");
        assert_eq!(drained.status(), Some(trillium::Status::NoContent));
        for number in 0..30 {
            let told = send(mesh.post(number % 3, "/deposits", "one deposit")).await;
            assert_eq!(outcome(&told).0, "ran", "{told:?}");
            let body: serde_json::Value = serde_json::from_str(&told.answer.body).expect("JSON");
            assert_ne!(body["upstream"], "upstream-0", "it got new work");
        }
        for request in running {
            assert_eq!(outcome(&request.await).0, "ran");
        }
    });
}

/// The keys of an upstream that leaves are served by the others, and no order
/// is lost or runs twice on the way.
#[test]
fn keys_of_a_leaving_upstream_move_on() {
    smol::block_on(async {
        let mesh = mesh(3).await;
        let (entry, owner) = entry_and_owner(&mesh);
        let order = |mesh: &Mesh| {
            mesh.post(entry, PATH, "one deposit")
                .with_request_header("Idempotency-Key", "order-1")
        };
        assert_eq!(outcome(&send(order(&mesh)).await).0, "ran");
        let url = format!(
            "http://{}/_ibiscove/drain",
            mesh.nodes[owner].addrs().upstream
        );
        let drained = mesh.client.post(url.as_str()).await.expect("an answer");
        assert_eq!(drained.status(), Some(trillium::Status::NoContent));
        let before = mesh.upstreams[owner].executions().len();
        eventually("a new owner", async || {
            let told = send(mesh.post(entry, PATH, "one deposit")).await;
            (outcome(&told).0 == "ran").then_some(())
        })
        .await;
        assert_eq!(mesh.upstreams[owner].executions().len(), before);
        let repeat = send(order(&mesh)).await;
        assert_ne!(outcome(&repeat).0, "not-run");
        let ran = mesh.executions().into_iter();
        let ran = ran.filter(|e| e.idempotency_key == "order-1").count();
        assert_eq!(ran, 1, "told {:?}", outcome(&repeat));
    });
}

/// What is wrong with an announcement is told with the field and the remedy.
#[parameterized(
    no_json = { "concurrency=3", "JSON" },
    no_service = { r#"{"service": "", "addr": "127.0.0.1:9", "concurrency": 1, "connections": 1, "checks_fences": true}"#, "field service" },
    no_slots = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": 0, "connections": 1, "checks_fences": true}"#, "field concurrency" },
    no_connections = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": 1, "connections": 0, "checks_fences": true}"#, "field connections" },
    any_address = { r#"{"service": "s", "addr": "0.0.0.0:9", "concurrency": 1, "connections": 1, "checks_fences": true}"#, "field addr" },
    unsaid_fences = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": 1, "connections": 1}"#, "field checks_fences" },
    a_negative_number = { r#"{"service": "s", "addr": "127.0.0.1:9", "concurrency": -1, "connections": 1, "checks_fences": true}"#, "field concurrency" },
)]
fn a_bad_announcement_is_refused_with_its_remedy(body: &str, named: &str) {
    smol::block_on(async {
        let settings = NodeSettings::default();
        let platform = ibiscove_store::MemoryPlatform::default();
        let node = Node::start(settings, platform, ibiscove_types::SystemClock).await;
        let node = node.expect("a node starts");
        let url = format!("http://{}/_ibiscove/announce", node.addrs().upstream);
        let answer = client().post(url.as_str()).with_body(body.to_owned()).await;
        let mut answer = answer.expect("an answer");
        assert_eq!(answer.status(), Some(trillium::Status::BadRequest));
        let text = answer.response_body().read_string().await.expect("a text");
        assert!(text.contains(named), "{text:?} does not name {named}");
        node.kill().await;
    });
}

/// An upstream that falls silent gets nothing more, and is told of as missing.
#[test]
fn a_silent_upstream_gets_nothing_more() {
    smol::block_on(async {
        let settings = NodeSettings {
            announce_timeout: Duration::from_millis(800),
            ..Default::default()
        };
        let mesh = Mesh::start(1, settings, upstream()).await;
        mesh.upstreams[0].stop_announcing();
        eventually("the end of the silence allowed", async || {
            let order = mesh.post(0, PATH, "one deposit");
            let told = send(order.with_request_header("Ibiscove-Timeout-Ms", "200")).await;
            (outcome(&told) == ("not-run", "no-upstream")).then_some(())
        })
        .await;
        let ran = mesh.executions().len();
        let told = send(mesh.post(0, PATH, "one deposit")).await;
        assert_eq!(outcome(&told).0, "not-run");
        assert_eq!(mesh.executions().len(), ran);
    });
}

/// When every upstream fails, retries stay at the budget's share.
#[test]
fn a_retry_storm_stays_within_the_budget() {
    const REQUESTS: usize = 100;
    smol::block_on(async {
        let mesh = Mesh::start(3, shared(), upstream()).await;
        for upstream in &mesh.upstreams {
            upstream.update_settings(|upstream| upstream.fault = Fault::ConnectionLostAfterRun);
        }
        for _ in 0..REQUESTS {
            let answer = get(&mesh.client, mesh.caller(0), "/deposits").await;
            assert_eq!(answer.outcome.as_deref(), Some("unknown"));
        }
        let ran = mesh.executions().len();
        // Ten retries are saved up at the start, and each request earns a tenth.
        let most = REQUESTS + REQUESTS / 10 + 10;
        assert!(ran <= most, "{ran} runs for {REQUESTS} reads");
        assert!(ran > REQUESTS, "no read was tried again");
    });
}
