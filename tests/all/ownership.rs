//! Losses of real nodes.

use crate::support::{NodeProcess, announce, client, eventually, get, serve_platform};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{FaultyPlatform, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use std::net::SocketAddr;

/// Keys asked for.
const KEYS: usize = 24;
/// Data centre of each node.
const DATA_CENTRES: [&str; 5] = ["plateau", "medina", "almadies", "plateau", "medina"];

fn upstream(name: &str) -> UpstreamSettings {
    UpstreamSettings {
        name: name.to_owned(),
        service: "deposits".into(),
        ..Default::default()
    }
}

/// Asks one node for every key until each is served.
async fn all_served(caller: SocketAddr) {
    let client = client();
    for key in 0..KEYS {
        let path = format!("/deposits/family-{key}");
        eventually("an owner", async || {
            let answer = get(&client, caller, &path).await;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

#[test]
fn keys_of_a_killed_process_are_served_again() {
    smol::block_on(async {
        let platform = serve_platform(MemoryPlatform::default());
        let mut nodes = Vec::new();
        let mut upstreams = Vec::new();
        for (index, data_centre) in DATA_CENTRES.into_iter().enumerate() {
            let name = format!("{data_centre}-{index}");
            let node = NodeProcess::start(&name, data_centre, platform);
            upstreams.push(announce(node.upstream, upstream(&name)).await);
            nodes.push(node);
        }
        for node in &nodes {
            all_served(node.caller).await;
        }
        drop(nodes.remove(0));
        for node in &nodes {
            all_served(node.caller).await;
        }
    });
}

#[yare::parameterized(
    table_up = { false },
    table_down = { true },
)]
fn keys_of_a_killed_node_are_served_again(table_down: bool) {
    smol::block_on(async {
        let platform = FaultyPlatform::new(MemoryPlatform::default());
        let mut nodes = Vec::new();
        let mut upstreams = Vec::new();
        for (index, data_centre) in DATA_CENTRES.into_iter().enumerate() {
            let settings = NodeSettings {
                name: format!("{data_centre}-{index}"),
                data_centre: data_centre.into(),
                ..Default::default()
            };
            let name = settings.name.clone();
            let node = Node::start(settings, platform.clone(), SystemClock).await;
            let node = node.expect("a node starts");
            upstreams.push(announce(node.addrs().upstream, upstream(&name)).await);
            nodes.push(node);
        }
        for node in &nodes {
            all_served(node.addrs().caller).await;
        }
        eventually("heirs of every slot", async || {
            let covered = nodes
                .iter()
                .all(|node| node.ownership().is_takeover_ready());
            covered.then_some(())
        })
        .await;
        platform.update_faults(|faults| faults.unavailable = table_down);
        nodes.remove(0).kill().await;
        for node in &nodes {
            all_served(node.addrs().caller).await;
        }
    });
}
