//! What control costs a node of a cluster that serves no request.

use super::replica::{NODES_PER_SERVICE, SLOTS_PER_SERVICE};
use super::{Meaning, Points, SlopeSettings};
use crate::BenchError;
use crate::cluster::Cluster;
use crate::counters::{self, Reading};
use crate::counting::{CountingPlatform, PlatformCalls};
use crate::usage::{cpu_time, resident_bytes};
use ibiscove_node::{NodeSettings, ServiceDefaults};
use ibiscove_spread::ReplicatedRow;
use ibiscove_standin::UpstreamSettings;
use ibiscove_store::{Commit, MemoryPlatform, Table, Transaction};
use ibiscove_types::hash::content_digest;
use ibiscove_types::rows::config_key;
use ibiscove_types::{ConfigRow, ServiceKind};
use ibiscove_wire::messages::{Push, Request};
use ibiscove_wire::{PeerClient, PeerSettings, Peers};
use std::time::{Duration, Instant};

/// Data centres of the cluster, half of them in each region.
const DATA_CENTRES: usize = 8;
/// Time after the last start before the idle interval begins.
const SETTLE: Duration = Duration::from_secs(8);
/// Changes whose spread is measured at each size.
const CHANGES: usize = 5;

const BYTES: &str = "ibiscove_peer_bytes_total";
const MESSAGES: &str = "ibiscove_peer_messages_total";

type Platform = CountingPlatform<MemoryPlatform>;

/// Kinds of messages whose idle traffic is told apart.
const KINDS: &[(Meaning, &[&str])] = &[
    (
        Meaning {
            name: "idle_lease_bytes",
            what: "bytes of heartbeats and their answers, sent and received, of one node",
            unit: "B/s",
            over: "nodes",
        },
        &["heartbeat", "heartbeat_ack"],
    ),
    (
        Meaning {
            name: "idle_spread_bytes",
            what: "bytes of the comparison of rows, sent and received, of one idle node",
            unit: "B/s",
            over: "nodes",
        },
        &[
            "digest_query",
            "digest_answer",
            "push",
            "done",
            "fetch",
            "entries",
        ],
    ),
    (
        Meaning {
            name: "idle_load_bytes",
            what: "bytes of load reports and proposals, sent and received, of one node",
            unit: "B/s",
            over: "nodes",
        },
        &["load_report", "proposal", "report_query", "report"],
    ),
];
const MESSAGE_RATE: Meaning = Meaning {
    name: "idle_messages",
    what: "control messages, sent and received, of one idle node",
    unit: "1/s",
    over: "nodes",
};
const CPU: Meaning = Meaning {
    name: "idle_cpu",
    what: "processor time of control of one idle node, its upstream's announcements included",
    unit: "cores",
    over: "nodes",
};
const MEMORY: Meaning = Meaning {
    name: "node_memory",
    what: "resident memory of one node with its share of the upstream stand-ins",
    unit: "B",
    over: "nodes",
};
const PROCESS: Meaning = Meaning {
    name: "process_memory",
    what: "resident memory of a process before its first node starts",
    unit: "B",
    over: "nodes",
};
const READS: Meaning = Meaning {
    name: "idle_reads",
    what: "reads of the platform by an idle cluster as a whole",
    unit: "1/s",
    over: "nodes",
};
const WRITES: Meaning = Meaning {
    name: "idle_writes",
    what: "transactions and stored objects of an idle cluster as a whole",
    unit: "1/s",
    over: "nodes",
};
const START_COMMITS: Meaning = Meaning {
    name: "start_commits",
    what: "transactions of one node that starts, refused ones included",
    unit: "",
    over: "nodes",
};
const START_ROWS: Meaning = Meaning {
    name: "start_rows_read",
    what: "rows that one starting node reads from the table",
    unit: "",
    over: "nodes",
};
const CHANGE_BYTES: Meaning = Meaning {
    name: "change_messages",
    what: "messages that carry one changed row, sent and received, of one node",
    unit: "",
    over: "nodes",
};
const SPREAD_TIME: Meaning = Meaning {
    name: "spread_time",
    what: "longest time of a few changes from the first node to all",
    unit: "s",
    over: "log2 of nodes",
};

pub(crate) async fn measure(
    settings: &SlopeSettings,
    points: &mut Points,
) -> Result<(), BenchError> {
    counters::install();
    let before = resident_bytes()?;
    points.add(&PROCESS, 0.0, before as f64);
    let mut cluster = Cluster::new(Platform::new(MemoryPlatform::default()));
    for &nodes in &settings.nodes {
        grow(&mut cluster, nodes, points).await?;
        smol::Timer::after(SETTLE).await;
        let grown = resident_bytes()?.saturating_sub(before);
        points.add(&MEMORY, nodes as f64, grown as f64 / nodes as f64);
        idle(&cluster, settings.idle, points).await?;
        spread(&cluster, points).await?;
    }
    cluster.stop().await;
    Ok(())
}

async fn grow(
    cluster: &mut Cluster<Platform>,
    nodes: usize,
    points: &mut Points,
) -> Result<(), BenchError> {
    let before = cluster.platform.calls();
    let first = cluster.pairs.len();
    for number in first..nodes {
        let service = format!("service-{}", number / NODES_PER_SERVICE);
        let data_centre = number % DATA_CENTRES;
        let node = NodeSettings {
            name: format!("instance-{number}"),
            region: format!("region-{}", data_centre / (DATA_CENTRES / 2)).into(),
            data_centre: format!("data-centre-{data_centre}").into(),
            service_defaults: ServiceDefaults {
                kind: ServiceKind::Divided,
                slot_count: SLOTS_PER_SERVICE,
            },
            ..Default::default()
        };
        let upstream = UpstreamSettings {
            name: node.name.clone(),
            service: service.as_str().into(),
            ..Default::default()
        };
        cluster.start(node, upstream).await?;
    }
    cluster.settle().await?;
    let after = cluster.platform.calls();
    let started = (nodes - first) as f64;
    let commits = after.commits - before.commits;
    points.add(&START_COMMITS, nodes as f64, commits as f64 / started);
    let rows = rows_read(after) - rows_read(before);
    points.add(&START_ROWS, nodes as f64, rows as f64 / started);
    Ok(())
}

fn rows_read(calls: PlatformCalls) -> u64 {
    calls.gets + calls.scanned_rows
}

async fn idle(
    cluster: &Cluster<Platform>,
    interval: Duration,
    points: &mut Points,
) -> Result<(), BenchError> {
    let nodes = cluster.pairs.len() as f64;
    let (reading, calls) = (counters::read(), cluster.platform.calls());
    let (cpu, began) = (cpu_time()?, Instant::now());
    smol::Timer::after(interval).await;
    let share = nodes * began.elapsed().as_secs_f64();
    let cpu = cpu_time()?.saturating_sub(cpu);
    let (reading_now, calls_now) = (counters::read(), cluster.platform.calls());
    points.add(&CPU, nodes, cpu.as_secs_f64() / share);
    for (meaning, kinds) in KINDS {
        let bytes = kinds
            .iter()
            .map(|kind| since(&reading_now, &reading, BYTES, kind));
        points.add(meaning, nodes, bytes.sum::<f64>() / share);
    }
    let messages = reading_now.since(&reading, MESSAGES, &[]);
    points.add(&MESSAGE_RATE, nodes, messages / share);
    let elapsed = share / nodes;
    let reads = calls_now.reads() - calls.reads();
    points.add(&READS, nodes, reads as f64 / elapsed);
    let writes = calls_now.writes() - calls.writes();
    points.add(&WRITES, nodes, writes as f64 / elapsed);
    Ok(())
}

fn since(now: &Reading, before: &Reading, counter: &str, kind: &str) -> f64 {
    now.since(before, counter, &[&format!("kind=\"{kind}\"")])
}

async fn spread(cluster: &Cluster<Platform>, points: &mut Points) -> Result<(), BenchError> {
    let nodes = cluster.pairs.len() as f64;
    let before = counters::read();
    let mut longest = Duration::ZERO;
    for _ in 0..CHANGES {
        longest = longest.max(spread_one(cluster).await?);
    }
    let carried = ["push", "entries"].map(|kind| since(&counters::read(), &before, MESSAGES, kind));
    let carried = carried.iter().sum::<f64>() / (nodes * CHANGES as f64);
    points.add(&CHANGE_BYTES, nodes, carried);
    points.add(&SPREAD_TIME, nodes.log2(), longest.as_secs_f64());
    Ok(())
}

/// Writes a changed row to the table, tells one node and waits for the rest.
async fn spread_one(cluster: &Cluster<Platform>) -> Result<Duration, BenchError> {
    let key = config_key("rules");
    let row = cluster.platform.get(&key).await.ok().flatten();
    let version = row.as_ref().map(|row| row.version);
    let known = cluster.pairs[0].node.map();
    let known = known.config("rules").map_or(0, |config| config.row.version);
    let body = serde_json::to_vec(&ConfigRow {
        version: known + 1,
        digest: content_digest(b""),
        author: "bench".to_owned(),
        accepted_ms: 0,
        body: String::new(),
    });
    let body = body.expect("a row is plain data");
    let mut txn = Transaction::default();
    txn.replace(&key, version, body.clone());
    let Ok(Commit::Done(versions)) = cluster.platform.commit(txn).await else {
        return Err(BenchError::Slopes("another change came between".to_owned()));
    };
    let entry = ReplicatedRow {
        key,
        version: versions[0],
        body: body.into(),
    };
    let began = Instant::now();
    let push = Request::Push(Push {
        entries: vec![entry.to_message()],
    });
    let peers = PeerClient::new(PeerSettings {
        key: NodeSettings::default().cluster_key,
        ..Default::default()
    });
    let first = cluster.pairs[0].node.addrs().peer;
    let told = peers.call(first, push).await;
    told.map_err(|err| BenchError::Slopes(err.to_string()))?;
    let everywhere = |cluster: &Cluster<Platform>| {
        cluster.pairs.iter().all(|pair| {
            let map = pair.node.map();
            map.config("rules")
                .is_some_and(|config| config.version >= versions[0])
        })
    };
    cluster.wait("a change everywhere", everywhere).await?;
    Ok(began.elapsed())
}
