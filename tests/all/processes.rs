//! Requests through entry, gate and upstream, each node in its own process.

use crate::support::{NodeProcess, announce, client, eventually, get, serve_platform};
use ibiscove_standin::UpstreamSettings;
use ibiscove_store::MemoryPlatform;
use std::collections::HashMap;

/// Number of keys requested.
const KEYS: usize = 24;

fn upstream_settings(name: &str) -> UpstreamSettings {
    UpstreamSettings {
        name: name.to_owned(),
        service: "deposits".into(),
        ..Default::default()
    }
}

/// Returns the name of the upstream that ran a request.
fn executing_upstream(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).expect("the upstream's JSON");
    body["upstream"].as_str().expect("a name").to_owned()
}

#[test]
fn every_entry_reaches_the_same_owner_and_keys_of_a_drained_node_move() {
    smol::block_on(async {
        let platform = serve_platform(MemoryPlatform::default());
        let client = client();
        let mut nodes = Vec::new();
        let mut upstreams = Vec::new();
        for (name, data_centre) in [("a", "plateau"), ("b", "medina"), ("c", "almadies")] {
            let node = NodeProcess::start(name, data_centre, platform);
            upstreams.push(announce(node.upstream, upstream_settings(name)).await);
            nodes.push(node);
        }

        let mut owners: HashMap<usize, String> = HashMap::new();
        for node in &nodes {
            for key in 0..KEYS {
                let path = format!("/deposits/family-{key}");
                let response = eventually("an owner", async || {
                    let response = get(&client, node.caller, &path).await;
                    (response.status == 200).then_some(response)
                })
                .await;
                assert_eq!(response.outcome.as_deref(), Some("ran"));
                let owner = executing_upstream(&response.body);
                assert_eq!(owners.entry(key).or_insert_with(|| owner.clone()), &owner);
            }
        }

        assert!(
            nodes.remove(0).terminate(),
            "a drained node exits with success"
        );
        for key in 0..KEYS {
            let path = format!("/deposits/family-{key}");
            let response = eventually("a new owner", async || {
                let response = get(&client, nodes[0].caller, &path).await;
                (response.status == 200).then_some(response)
            })
            .await;
            assert_ne!(
                executing_upstream(&response.body),
                "a",
                "a drained node served a key"
            );
        }
    });
}

#[test]
fn request_without_a_route_is_refused_with_its_reason() {
    smol::block_on(async {
        let platform = serve_platform(MemoryPlatform::default());
        let node = NodeProcess::start("a", "plateau", platform);
        let response = get(&client(), node.caller, "/nowhere/key").await;
        assert_eq!(response.status, 404);
        assert_eq!(response.outcome.as_deref(), Some("not-run"));
        assert_eq!(response.reason.as_deref(), Some("no-route"));
    });
}
