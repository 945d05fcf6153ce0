//! A cluster of nodes in this process, each with an upstream stand-in.

use crate::support::{AWAIT_TIMEOUT, HttpResponse, announce, client, eventually};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Execution, Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use smol::future::FutureExt;
use std::net::SocketAddr;
use trillium_client::{Client, Conn};

pub const SERVICE: &str = "deposits";
pub const PATH: &str = "/deposits/family-7";
pub const KEY: &str = "family-7";

/// Nodes of one service, their upstreams, and a client.
pub struct TestCluster {
    pub nodes: Vec<Node<MemoryPlatform, SystemClock>>,
    pub upstreams: Vec<Upstream>,
    pub client: Client,
}

impl TestCluster {
    /// Starts `count` nodes and waits until every slot has an owner.
    pub async fn start(count: usize, settings: NodeSettings, upstream: UpstreamSettings) -> Self {
        let platform = MemoryPlatform::default();
        let mut cluster = Self {
            nodes: Vec::new(),
            upstreams: Vec::new(),
            client: client(),
        };
        for number in 0..count {
            let settings = NodeSettings {
                name: format!("node-{number}"),
                data_centre: ["plateau", "medina", "almadies"][number % 3].into(),
                ..settings.clone()
            };
            let node = Node::start(settings, platform.clone(), SystemClock).await;
            let node = node.expect("a node starts");
            let upstream = UpstreamSettings {
                name: format!("upstream-{number}"),
                ..upstream.clone()
            };
            cluster
                .upstreams
                .push(announce(node.addrs().upstream, upstream).await);
            cluster.nodes.push(node);
        }
        cluster.await_owners(&upstream.service).await;
        cluster
    }

    /// Waits until every node knows an owner of every slot, or every member if
    /// the service is shared.
    async fn await_owners(&self, service: &str) {
        eventually("an owner for every slot", async || {
            self.nodes
                .iter()
                .all(|node| {
                    let map = node.map();
                    let Some(row) = map.service(service) else {
                        return false;
                    };
                    if row.row.kind == ibiscove_types::ServiceKind::Shared {
                        return map.members(service).len() == self.nodes.len();
                    }
                    (0..row.row.slot_count).all(|slot| map.owner(service, slot).is_some())
                })
                .then_some(())
        })
        .await;
    }

    /// Returns the address on which a node accepts callers' requests.
    pub fn caller(&self, node: usize) -> SocketAddr {
        self.nodes[node].addrs().caller
    }

    /// Returns the index of the node that owns a key.
    pub fn owner(&self, service: &str, key: &str) -> usize {
        let owner = self.nodes[0].map().locate(service, key);
        let owner = owner.and_then(|(_, owner)| owner).expect("an owner");
        let is_owner =
            |node: &Node<MemoryPlatform, SystemClock>| node.incarnation() == owner.incarnation;
        self.nodes.iter().position(is_owner).expect("a live owner")
    }

    /// Builds a POST request to a node; awaiting it sends it.
    pub fn post(&self, node: usize, path: &str, body: &str) -> Conn {
        let url = format!("http://{}{path}", self.caller(node));
        self.client.post(url.as_str()).with_body(body.to_owned())
    }

    /// Returns every execution at any upstream.
    pub fn executions(&self) -> Vec<Execution> {
        self.upstreams
            .iter()
            .flat_map(Upstream::executions)
            .collect()
    }
}

/// A response with the further headers that tests check.
#[derive(Debug)]
pub struct RequestResult {
    pub response: HttpResponse,
    pub request_id: Option<String>,
    pub is_duplicate: bool,
    pub retry_after: Option<String>,
    /// Whether the body was read to its end.
    pub is_complete: bool,
}

/// Sends a request and reads its response.
///
/// # Panics
///
/// If no response head arrives within [`AWAIT_TIMEOUT`].
pub async fn send(conn: Conn) -> RequestResult {
    let timeout = async {
        smol::Timer::after(AWAIT_TIMEOUT).await;
        panic!("no response within {AWAIT_TIMEOUT:?}")
    };
    let mut response = conn.into_future().or(timeout).await.expect("a response");
    let header = |name: &str| response.response_headers().get_str(name).map(str::to_owned);
    let (outcome, reason) = (header("Ibiscove-Outcome"), header("Ibiscove-Reason"));
    let (request_id, is_duplicate) = (header("Ibiscove-Request-Id"), header("Ibiscove-Repeated"));
    let retry_after = header("Retry-After");
    let status = response.status().map_or(0, |status| status as u16);
    let body = response.response_body().read_string().await;
    RequestResult {
        is_complete: body.is_ok(),
        response: HttpResponse {
            status,
            outcome,
            reason,
            body: body.unwrap_or_default(),
        },
        request_id,
        is_duplicate: is_duplicate.is_some(),
        retry_after,
    }
}

pub fn upstream_settings() -> UpstreamSettings {
    UpstreamSettings {
        service: SERVICE.into(),
        ..Default::default()
    }
}

pub async fn start_cluster(count: usize) -> TestCluster {
    TestCluster::start(count, NodeSettings::default(), upstream_settings()).await
}

/// Returns the indexes of an entry that does not own [`KEY`], and of its owner.
pub fn entry_and_owner(cluster: &TestCluster) -> (usize, usize) {
    let owner = cluster.owner(SERVICE, KEY);
    ((owner + 1) % cluster.nodes.len(), owner)
}

/// Returns the outcome and the reason of a response, empty where missing.
pub fn outcome(result: &RequestResult) -> (&str, &str) {
    let word = |header: &Option<String>| header.clone().unwrap_or_default().leak() as &str;
    (
        word(&result.response.outcome),
        word(&result.response.reason),
    )
}

/// Returns settings of nodes whose services are shared: any upstream may run
/// any request.
pub fn shared_service_settings() -> NodeSettings {
    NodeSettings {
        service_defaults: ibiscove_node::ServiceDefaults {
            kind: ibiscove_types::ServiceKind::Shared,
            ..Default::default()
        },
        ..Default::default()
    }
}
