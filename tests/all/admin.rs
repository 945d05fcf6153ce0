//! What monitoring sees on the admin address.

use crate::support::{Pair, client, eventually, get};
use ibiscove_node::NodeSettings;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::Reason;
use std::collections::BTreeSet;
use std::path::Path;
use yare::parameterized;

/// The reference of every metric.
const METRICS_PAGE: &str = include_str!("../../docs/metrics.md");

#[test]
fn a_node_is_ready_only_once_its_upstream_has_been_heard() {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        let node = Pair::start_without_upstream(NodeSettings::default(), &platform).await;
        let (client, admin) = (client(), node.addrs().admin);
        assert_eq!(get(&client, admin, "/healthz").await.status, 200);
        let answer = get(&client, admin, "/readyz").await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.body, "no upstream has announced itself recently\n");
        let upstream = crate::support::announce(node.addrs().upstream, Default::default()).await;
        eventually("readiness", async || {
            (get(&client, admin, "/readyz").await.status == 200).then_some(())
        })
        .await;
        upstream.stop();
        eventually("the upstream's silence", async || {
            let answer = get(&client, admin, "/readyz").await;
            (answer.status == 503).then_some(())
        })
        .await;
    });
}

#[test]
fn status_tells_what_the_node_knows_of_itself() {
    smol::block_on(async {
        let settings = NodeSettings {
            name: "calendar-1".to_owned(),
            ..Default::default()
        };
        let pair = Pair::start(settings, &MemoryPlatform::default()).await;
        let answer = get(&client(), pair.node.addrs().admin, "/status").await;
        let status: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        assert_eq!(status["node"]["name"], "calendar-1");
        assert_eq!(status["node"]["incarnation"], pair.node.incarnation());
        assert_eq!(status["known_nodes"], 1);
        assert!(status["uptime_ms"].is_u64());
    });
}

#[parameterized(
    unknown = { "GET", "/metric", 404 },
    not_a_read = { "POST", "/metrics", 405 },
    shutdown = { "DELETE", "/status", 405 },
)]
fn other_admin_requests_are_refused(method: &str, path: &str, status: u16) {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        let node = Pair::start_without_upstream(NodeSettings::default(), &platform).await;
        let url = format!("http://{}{path}", node.addrs().admin);
        let method: trillium_client::Method = method.parse().expect("a method");
        let answer = client().build_conn(method, url.as_str()).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status().map(|s| s as u16), Some(status));
    });
}

#[test]
fn every_reason_is_counted_from_zero() {
    smol::block_on(async {
        let pair = Pair::start(NodeSettings::default(), &MemoryPlatform::default()).await;
        let (client, addrs) = (client(), pair.node.addrs());
        assert_eq!(get(&client, addrs.caller, "/service/k").await.status, 200);
        assert_eq!(get(&client, addrs.caller, "/").await.status, 404);
        let text = get(&client, addrs.admin, "/metrics").await.body;
        for reason in Reason::ALL {
            for role in ["entry", "gate"] {
                let found = text.lines().any(|line| {
                    line.starts_with("ibiscove_refusals_total{")
                        && line.contains(&format!("role=\"{role}\""))
                        && line.contains(&format!("reason=\"{reason}\""))
                });
                assert!(found, "{role} refusals for {reason} are not counted");
            }
            let retries = format!("ibiscove_retries_total{{reason=\"{reason}\"}}");
            assert!(text.contains(&retries), "{retries} is not counted");
            assert!(METRICS_PAGE.contains(&format!("`{reason}`")), "{reason}");
        }
        for time in [
            "ibiscove_request_seconds_bucket",
            "ibiscove_upstream_seconds_bucket",
        ] {
            assert!(text.contains(time), "{time}");
        }
    });
}

/// Every metric's name in the product's sources.
fn metric_names(dir: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(dir).expect("a directory of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            metric_names(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let quoted = text.split('"').skip(1).step_by(2);
        let is_name = |text: &&str| {
            text.starts_with("ibiscove_")
                && text.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
        };
        names.extend(quoted.filter(is_name).map(str::to_owned));
    }
}

#[test]
fn every_metric_is_in_the_reference() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut names = BTreeSet::new();
    for area in [
        "config",
        "http",
        "mesh",
        "node",
        "ownership",
        "proxy",
        "ranges",
        "router",
        "routing",
        "spread",
        "store",
        "wire",
    ] {
        metric_names(&root.join("crates").join(area).join("src"), &mut names);
    }
    metric_names(&root.join("platform").join("src"), &mut names);
    assert!(names.contains("ibiscove_refusals_total"), "{names:?}");
    let is_missing = |name: &&String| !METRICS_PAGE.contains(&format!("`{name}`"));
    let missing: Vec<_> = names.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "add to docs/metrics.md: {missing:?}");
}
