//! Nodes in this process, each with an upstream stand-in.

use crate::support::{Answer, PATIENCE, announce, client, eventually};
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

/// Nodes of one service, with their upstreams.
pub struct Mesh {
    pub nodes: Vec<Node<MemoryPlatform, SystemClock>>,
    pub upstreams: Vec<Upstream>,
    pub client: Client,
}

impl Mesh {
    /// Starts `count` nodes and waits until every key has an owner.
    pub async fn start(count: usize, settings: NodeSettings, upstream: UpstreamSettings) -> Self {
        let platform = MemoryPlatform::default();
        let mut mesh = Self {
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
            mesh.upstreams
                .push(announce(node.addrs().upstream, upstream).await);
            mesh.nodes.push(node);
        }
        mesh.settle(&upstream.service).await;
        mesh
    }

    /// Waits until every node sees an owner for every slot.
    async fn settle(&self, service: &str) {
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

    /// Where callers reach a node.
    pub fn caller(&self, node: usize) -> SocketAddr {
        self.nodes[node].addrs().caller
    }

    /// The node that owns a key.
    pub fn owner(&self, service: &str, key: &str) -> usize {
        let owner = self.nodes[0].map().locate(service, key);
        let owner = owner.and_then(|(_, owner)| owner).expect("an owner");
        let is_owner =
            |node: &Node<MemoryPlatform, SystemClock>| node.incarnation() == owner.incarnation;
        self.nodes.iter().position(is_owner).expect("a live owner")
    }

    /// A POST to a node, still to be awaited.
    pub fn post(&self, node: usize, path: &str, body: &str) -> Conn {
        let url = format!("http://{}{path}", self.caller(node));
        self.client.post(url.as_str()).with_body(body.to_owned())
    }

    /// Everything that ran at any upstream.
    pub fn executions(&self) -> Vec<Execution> {
        self.upstreams
            .iter()
            .flat_map(Upstream::executions)
            .collect()
    }
}

/// An answer with the headers that tests look at.
#[derive(Debug)]
pub struct Told {
    pub answer: Answer,
    pub request_id: Option<String>,
    pub repeated: bool,
    pub retry_after: Option<String>,
    /// Whether the body came whole.
    pub whole: bool,
}

/// Sends a request and reads its answer, for which it waits with patience.
pub async fn send(conn: Conn) -> Told {
    let timeout = async {
        smol::Timer::after(PATIENCE).await;
        panic!("no answer within {PATIENCE:?}")
    };
    let mut answer = conn.into_future().or(timeout).await.expect("an answer");
    let header = |name: &str| answer.response_headers().get_str(name).map(str::to_owned);
    let (outcome, reason) = (header("Ibiscove-Outcome"), header("Ibiscove-Reason"));
    let (request_id, repeated) = (header("Ibiscove-Request-Id"), header("Ibiscove-Repeated"));
    let retry_after = header("Retry-After");
    let status = answer.status().map_or(0, |status| status as u16);
    let body = answer.response_body().read_string().await;
    Told {
        whole: body.is_ok(),
        answer: Answer {
            status,
            outcome,
            reason,
            body: body.unwrap_or_default(),
        },
        request_id,
        repeated: repeated.is_some(),
        retry_after,
    }
}

pub fn upstream() -> UpstreamSettings {
    UpstreamSettings {
        service: SERVICE.into(),
        ..Default::default()
    }
}

pub async fn mesh(count: usize) -> Mesh {
    Mesh::start(count, NodeSettings::default(), upstream()).await
}

/// An entry that is not the owner of [`KEY`], and the owner.
pub fn entry_and_owner(mesh: &Mesh) -> (usize, usize) {
    let owner = mesh.owner(SERVICE, KEY);
    ((owner + 1) % mesh.nodes.len(), owner)
}

pub fn outcome(told: &Told) -> (&str, &str) {
    let word = |text: &Option<String>| text.clone().unwrap_or_default().leak() as &str;
    (word(&told.answer.outcome), word(&told.answer.reason))
}

pub fn shared() -> NodeSettings {
    NodeSettings {
        service_defaults: ibiscove_node::ServiceDefaults {
            kind: ibiscove_types::ServiceKind::Shared,
            ..Default::default()
        },
        ..Default::default()
    }
}
