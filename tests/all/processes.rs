//! The whole path, with each node in a process of its own.

use crate::support::{NodeProcess, announce, client, eventually, get, serve_platform};
use ibiscove_standin::UpstreamSettings;
use ibiscove_store::MemoryPlatform;
use std::collections::HashMap;

/// Keys asked for.
const KEYS: usize = 24;

fn upstream(name: &str) -> UpstreamSettings {
    UpstreamSettings {
        name: name.to_owned(),
        service: "deposits".into(),
        ..Default::default()
    }
}

/// Name of the upstream that ran a request.
fn ran_by(body: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(body).expect("the upstream's JSON");
    body["upstream"].as_str().expect("a name").to_owned()
}

#[test]
fn every_entry_reaches_the_same_owner_and_a_drained_node_hands_over() {
    smol::block_on(async {
        let platform = serve_platform(MemoryPlatform::default());
        let client = client();
        let mut nodes = Vec::new();
        let mut upstreams = Vec::new();
        for (name, data_centre) in [("a", "plateau"), ("b", "medina"), ("c", "almadies")] {
            let node = NodeProcess::start(name, data_centre, platform);
            upstreams.push(announce(node.upstream, upstream(name)).await);
            nodes.push(node);
        }

        let mut owners: HashMap<usize, String> = HashMap::new();
        for node in &nodes {
            for key in 0..KEYS {
                let path = format!("/deposits/family-{key}");
                let answer = eventually("an owner", async || {
                    let answer = get(&client, node.caller, &path).await;
                    (answer.status == 200).then_some(answer)
                })
                .await;
                assert_eq!(answer.outcome.as_deref(), Some("ran"));
                let owner = ran_by(&answer.body);
                assert_eq!(owners.entry(key).or_insert_with(|| owner.clone()), &owner);
            }
        }

        assert!(
            nodes.remove(0).terminate(),
            "a drained node exits with success"
        );
        for key in 0..KEYS {
            let path = format!("/deposits/family-{key}");
            let answer = eventually("a new owner", async || {
                let answer = get(&client, nodes[0].caller, &path).await;
                (answer.status == 200).then_some(answer)
            })
            .await;
            assert_ne!(ran_by(&answer.body), "a", "a drained node serves nothing");
        }
    });
}

#[test]
fn a_service_nobody_announced_is_refused_with_a_reason() {
    smol::block_on(async {
        let platform = serve_platform(MemoryPlatform::default());
        let node = NodeProcess::start("a", "plateau", platform);
        let answer = get(&client(), node.caller, "/nowhere/key").await;
        assert_eq!(answer.status, 404);
        assert_eq!(answer.outcome.as_deref(), Some("not-run"));
        assert_eq!(answer.reason.as_deref(), Some("no-route"));
    });
}
