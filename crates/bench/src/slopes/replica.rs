//! What the copy of all rows costs a node, and the connections to its peers.

use super::{Meaning, Points, SlopeSettings};
use crate::BenchError;
use crate::usage::resident_bytes;
use ibiscove_spread::{Replica, ReplicatedRow};
use ibiscove_types::rows::{node_key, service_key};
use ibiscove_types::{
    Acquisition, Incarnation, NodeRow, NodeState, ServiceKind, ServiceRow, SlotGrant, UpstreamSpec,
};
use ibiscove_wire::messages::{DigestQuery, Done, Push, Request, Response};
use ibiscove_wire::{PeerClient, PeerService, PeerSettings, Peers};
use smol::net::TcpListener;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

/// Nodes of one service in the synthetic rows.
pub(crate) const NODES_PER_SERVICE: usize = 10;
/// Slots of one service in the synthetic rows.
pub(crate) const SLOTS_PER_SERVICE: u32 = 256;
/// Replicas built at a time, so that their memory stands out.
const COPIES: usize = 8;
/// Changes applied, of which the mean time is taken.
const CHANGES: u64 = 50;

const MEMORY: Meaning = Meaning {
    name: "replica_memory",
    what: "resident memory of one copy of all rows, with the map made from it",
    unit: "B",
    over: "node rows",
};
const APPLY: Meaning = Meaning {
    name: "apply_change",
    what: "processor time to take one changed row into the copy and the map",
    unit: "s",
    over: "node rows",
};
const BUILD: Meaning = Meaning {
    name: "build_map",
    what: "time to take all rows at a start",
    unit: "s",
    over: "node rows",
};
const PUSH: Meaning = Meaning {
    name: "push_bytes",
    what: "bytes of a message that carries one node's row",
    unit: "B",
    over: "slots in the row",
};
const MISMATCH: Meaning = Meaning {
    name: "versions_bytes",
    what: "bytes of the two answers that find one row that differs",
    unit: "B",
    over: "node rows",
};
const CONNECTION: Meaning = Meaning {
    name: "connection_memory",
    what: "resident memory of peer connections, both ends together",
    unit: "B",
    over: "connections",
};

pub(crate) fn measure(settings: &SlopeSettings, points: &mut Points) -> Result<(), BenchError> {
    for &rows in &settings.rows {
        measure_rows(rows, points)?;
    }
    for grants in [0, 10, 26, 100] {
        let entry = entry(0, grants, 1);
        let push = Request::Push(Push {
            entries: vec![entry.to_message()],
        });
        points.add(&PUSH, f64::from(grants), encoded_len(&push));
    }
    Ok(())
}

fn measure_rows(rows: usize, points: &mut Points) -> Result<(), BenchError> {
    let x = rows as f64;
    let before = resident_bytes()?;
    let began = Instant::now();
    let copies: Vec<Replica> = (0..COPIES).map(|_| replica(rows)).collect();
    points.add(&BUILD, x, began.elapsed().as_secs_f64() / COPIES as f64);
    let grown = resident_bytes()?.saturating_sub(before);
    points.add(&MEMORY, x, grown as f64 / COPIES as f64);
    let grants = SLOTS_PER_SERVICE / NODES_PER_SERVICE as u32;
    let began = Instant::now();
    for change in 0..CHANGES {
        copies[0].apply([entry(change as usize % rows, grants, 2 + change)]);
    }
    points.add(&APPLY, x, began.elapsed().as_secs_f64() / CHANGES as f64);
    let compared = mismatch_bytes(&copies[0]);
    points.add(&MISMATCH, x, compared);
    Ok(())
}

/// Bytes of the two answers that find one changed row.
fn mismatch_bytes(replica: &Replica) -> f64 {
    let digest = !(replica.digest() as i64);
    let queries = [None, Some(vec![0])].map(|buckets| DigestQuery { digest, buckets });
    let answers = queries.into_iter().filter_map(|query| {
        let (answer, _) = ibiscove_spread::handle_request(replica, Request::DigestQuery(query))?;
        Some(encoded_len(&answer))
    });
    answers.sum()
}

fn encoded_len(message: &impl thrift::protocol::TSerializable) -> f64 {
    let bytes = ibiscove_wire::encode(message).expect("a message made here can be written");
    bytes.len() as f64
}

/// A replica of `rows` node rows and their services.
fn replica(rows: usize) -> Replica {
    let replica = Replica::default();
    let services = (0..rows.div_ceil(NODES_PER_SERVICE)).map(service_entry);
    replica.apply(services.chain((0..rows).map(node_entry)));
    replica
}

fn service_name(number: usize) -> String {
    format!("service-{number}")
}

fn service_entry(number: usize) -> ReplicatedRow {
    let name = service_name(number);
    let mut row = ServiceRow::new(
        name.as_str().into(),
        ServiceKind::Divided,
        SLOTS_PER_SERVICE,
    );
    row.vacant.clear();
    ReplicatedRow {
        key: service_key(&name),
        version: 1,
        body: serde_json::to_vec(&row)
            .expect("a row is plain data")
            .into(),
    }
}

fn node_entry(number: usize) -> ReplicatedRow {
    entry(number, SLOTS_PER_SERVICE / NODES_PER_SERVICE as u32, 1)
}

fn entry(number: usize, grants: u32, version: u64) -> ReplicatedRow {
    let incarnation = incarnation(number);
    let row = node_row(number, grants);
    ReplicatedRow {
        key: node_key(incarnation),
        version,
        body: serde_json::to_vec(&row)
            .expect("a row is plain data")
            .into(),
    }
}

fn incarnation(number: usize) -> Incarnation {
    // Real incarnations are random, so their digits are as many as here.
    ibiscove_types::hash::key_hash(&format!("node-{number}")) >> 1
}

fn node_row(number: usize, grants: u32) -> NodeRow {
    let addr = SocketAddr::from((Ipv4Addr::new(10, 64, 12, 201), 47_113));
    let first = (number % NODES_PER_SERVICE) as u32 * grants;
    NodeRow {
        incarnation: incarnation(number),
        name: format!("instance-{number}"),
        region: "region-1".into(),
        data_centre: format!("data-centre-{}", number % 8).into(),
        peer_addr: addr,
        forward_addr: addr,
        caller_addr: addr,
        state: NodeState::Live,
        upstream: Some(UpstreamSpec {
            service: service_name(number / NODES_PER_SERVICE).into(),
            addr,
            concurrency: 12,
            connections: 130,
            checks_fences: true,
        }),
        witnesses: (1..=3).map(|n| incarnation(number + n)).collect(),
        absorbed: Vec::new(),
        heirs: (4..=5).map(|n| incarnation(number + n)).collect(),
        grants: (first..first + grants)
            .map(|slot| SlotGrant {
                slot,
                fence: 12,
                heir: Some(0),
                acquired: Acquisition::Claimed,
            })
            .collect(),
    }
}

#[derive(Clone)]
struct Answers;

impl PeerService for Answers {
    async fn handle(&self, _from: Incarnation, _req: Request) -> Response {
        Response::Done(Done {})
    }
}

pub(crate) async fn measure_connections(
    settings: &SlopeSettings,
    points: &mut Points,
) -> Result<(), BenchError> {
    let peer = PeerSettings::default();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?;
    let server = smol::spawn(ibiscove_wire::serve(listener, peer.clone(), Answers));
    let before = resident_bytes()?;
    let mut clients = Vec::new();
    for &count in &settings.connections {
        while clients.len() < count {
            let client = PeerClient::new(peer.clone());
            let push = Request::Push(Push {
                entries: Vec::new(),
            });
            // A call that fails made no connection; the next one is tried.
            if client.call(addr, push).await.is_ok() {
                clients.push(client);
            }
        }
        let grown = resident_bytes()?.saturating_sub(before);
        points.add(&CONNECTION, count as f64, grown as f64);
    }
    server.cancel().await;
    Ok(())
}
