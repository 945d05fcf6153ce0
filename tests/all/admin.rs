//! The admin address: health, readiness, status and metrics.

use crate::support::{NodeAndUpstream, client, eventually, get};
use ibiscove_node::NodeSettings;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::Reason;
use std::collections::BTreeSet;
use std::path::Path;
use yare::parameterized;

/// The reference page of the metrics.
const METRICS_PAGE: &str = include_str!("../../docs/metrics.md");

#[test]
fn node_is_ready_only_while_its_upstream_announces_itself() {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        let node =
            NodeAndUpstream::start_without_upstream(NodeSettings::default(), &platform).await;
        let (client, admin) = (client(), node.addrs().admin);
        assert_eq!(get(&client, admin, "/healthz").await.status, 200);
        let response = get(&client, admin, "/readyz").await;
        assert_eq!(response.status, 503);
        assert_eq!(response.body, "no upstream has announced itself recently\n");
        let upstream = crate::support::announce(node.addrs().upstream, Default::default()).await;
        eventually("readiness", async || {
            (get(&client, admin, "/readyz").await.status == 200).then_some(())
        })
        .await;
        upstream.stop();
        eventually(
            "the announcement timeout of the stopped upstream",
            async || {
                let response = get(&client, admin, "/readyz").await;
                (response.status == 503).then_some(())
            },
        )
        .await;
    });
}

#[test]
fn status_reports_name_incarnation_known_nodes_and_uptime() {
    smol::block_on(async {
        let settings = NodeSettings {
            name: "calendar-1".to_owned(),
            ..Default::default()
        };
        let pair = NodeAndUpstream::start(settings, &MemoryPlatform::default()).await;
        let response = get(&client(), pair.node.addrs().admin, "/status").await;
        let status: serde_json::Value = serde_json::from_str(&response.body).expect("JSON");
        assert_eq!(status["node"]["name"], "calendar-1");
        assert_eq!(status["node"]["incarnation"], pair.node.incarnation());
        assert_eq!(status["known_nodes"], 1);
        assert!(status["uptime_ms"].is_u64());
    });
}

#[parameterized(
    unknown = { "GET", "/metric", 404 },
    unsupported_method = { "POST", "/metrics", 405 },
    delete = { "DELETE", "/status", 405 },
)]
fn unsupported_admin_requests_are_refused(method: &str, path: &str, status: u16) {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        let node =
            NodeAndUpstream::start_without_upstream(NodeSettings::default(), &platform).await;
        let url = format!("http://{}{path}", node.addrs().admin);
        let method: trillium_client::Method = method.parse().expect("a method");
        let response = client().build_conn(method, url.as_str()).await;
        let response = response.expect("a response");
        assert_eq!(response.status().map(|s| s as u16), Some(status));
    });
}

#[test]
fn every_reason_has_a_metric_before_its_first_refusal() {
    smol::block_on(async {
        let pair =
            NodeAndUpstream::start(NodeSettings::default(), &MemoryPlatform::default()).await;
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
        for histogram in [
            "ibiscove_request_seconds_bucket",
            "ibiscove_upstream_seconds_bucket",
        ] {
            assert!(text.contains(histogram), "{histogram}");
        }
    });
}

/// Collects the metric names that the sources under `dir` contain.
fn collect_metric_names(dir: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(dir).expect("a directory of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_metric_names(&path, names);
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
fn every_metric_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut names = BTreeSet::new();
    for crate_name in [
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
        collect_metric_names(
            &root.join("crates").join(crate_name).join("src"),
            &mut names,
        );
    }
    collect_metric_names(&root.join("platform").join("src"), &mut names);
    assert!(names.contains("ibiscove_refusals_total"), "{names:?}");
    let is_missing = |name: &&String| !METRICS_PAGE.contains(&format!("`{name}`"));
    let missing: Vec<_> = names.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "add to docs/metrics.md: {missing:?}");
}
