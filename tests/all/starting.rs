//! Nodes that start concurrently must not miss each other.

use crate::support::NodeAndUpstream;
use ibiscove_node::{Node, NodeSettings};
use ibiscove_store::{Commit, MemoryPlatform, Objects, RawRow, Table, TableError, Transaction};
use ibiscove_types::SystemClock;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of nodes that start concurrently.
const NODES: usize = 3;

/// A platform that delays every commit until each node has scanned the node
/// rows once, so that no first scan can see a registered node.
#[derive(Clone)]
struct ScansBeforeCommits {
    platform: MemoryPlatform,
    scans: Arc<AtomicUsize>,
    all_scanned: Arc<event_listener::Event>,
}

impl ScansBeforeCommits {
    async fn wait_for_scans(&self) {
        loop {
            let all_scanned = self.all_scanned.listen();
            if self.scans.load(Ordering::SeqCst) >= NODES {
                return;
            }
            all_scanned.await;
        }
    }
}

impl Table for ScansBeforeCommits {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.platform.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        let rows = self.platform.scan(prefix).await;
        if prefix.starts_with("node/") {
            self.scans.fetch_add(1, Ordering::SeqCst);
            self.all_scanned.notify(usize::MAX);
        }
        rows
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        self.wait_for_scans().await;
        self.platform.commit(txn).await
    }
}

impl Objects for ScansBeforeCommits {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), TableError> {
        self.platform.put(name, body).await
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.platform.fetch(name).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, TableError> {
        self.platform.list(prefix).await
    }
}

#[test]
fn of_two_concurrently_starting_nodes_at_least_one_knows_the_other() {
    smol::block_on(async {
        let platform = ScansBeforeCommits {
            platform: MemoryPlatform::default(),
            scans: Arc::default(),
            all_scanned: Arc::default(),
        };
        let start = || Node::start(NodeSettings::default(), platform.clone(), SystemClock);
        let (a, (b, c)) = smol::future::zip(start(), smol::future::zip(start(), start())).await;
        let nodes = [a, b, c].map(|node| node.expect("a node starts"));
        let knows = |from: usize, to: usize| {
            let map = nodes[from].map();
            map.node(nodes[to].incarnation()).is_some()
        };
        for (a, b) in [(0, 1), (1, 2), (0, 2)] {
            assert!(
                knows(a, b) || knows(b, a),
                "{a} and {b} do not know each other"
            );
        }
    });
}

#[test]
fn second_node_to_start_knows_the_first() {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        let first =
            NodeAndUpstream::start_without_upstream(NodeSettings::default(), &platform).await;
        let second =
            NodeAndUpstream::start_without_upstream(NodeSettings::default(), &platform).await;
        assert!(second.map().node(first.incarnation()).is_some());
    });
}
