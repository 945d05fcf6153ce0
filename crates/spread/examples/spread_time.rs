//! Measures how long an accepted change takes to be in force on every node.
//!
//! Each node is a replica with its tasks and real connections on loopback, all
//! in one process. A share of messages can be lost: the caller then waits for
//! its whole timeout, as it would for a peer that froze.
//!
//!     cargo run --release -p ibiscove-spread --example spread_time -- \
//!         --nodes 50 --changes 20 --loss 0.1 --outage --rows 1300

use hdrhistogram::Histogram;
use ibiscove_config::change::{ChangeAnswer, ChangeRequest, ConfigKind};
use ibiscove_config::store::{ConfigStore, Known, Written};
use ibiscove_spread::{Entry, Replica, SpreadSettings, pass_on};
use ibiscove_standin::FaultyPlatform;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::rows::{node_key, service_key};
use ibiscove_types::{Acquisition, Incarnation, ServiceKind, ServiceRow, SlotGrant, SystemClock};
use ibiscove_wire::messages::{Request, Response};
use ibiscove_wire::{PeerClient, PeerError, PeerService, PeerSettings, Peers, SharedKey};
use metrics_exporter_prometheus::PrometheusBuilder;
use smol::net::TcpListener;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Time between two looks at every node's version.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Time for the nodes to agree before the first change.
const SETTLE: Duration = Duration::from_secs(4);
/// Clock ticks in a second, as `/proc` counts processor time.
const TICKS: f64 = 100.0;

type Platform = FaultyPlatform<MemoryPlatform>;

/// Calls of which a share is lost, on the way there or back.
#[derive(Clone)]
struct Lossy {
    peers: PeerClient,
    loss: f64,
    timeout: Duration,
}

impl Peers for Lossy {
    async fn call(&self, addr: SocketAddr, req: Request) -> Result<Response, PeerError> {
        let (there, back) = (fastrand::f64() < self.loss, fastrand::f64() < self.loss);
        let began = Instant::now();
        if !there {
            let response = self.peers.call(addr, req).await;
            if !back {
                return response;
            }
        }
        let left = self.timeout.saturating_sub(began.elapsed());
        smol::Timer::after(left).await;
        Err(PeerError::Unanswered { addr })
    }
}

#[derive(Clone)]
struct Node {
    replica: Replica,
    peers: Lossy,
    settings: SpreadSettings,
}

impl PeerService for Node {
    async fn handle(&self, from: Incarnation, req: Request) -> Response {
        let (response, newer) = ibiscove_spread::answer(&self.replica, req).expect("about rows");
        let sender = self.replica.map().node(from).map(|node| node.row.peer_addr);
        let sender = sender.filter(|_| !self.replica.wanted_texts().is_empty());
        if !newer.is_empty() || sender.is_some() {
            let node = self.clone();
            smol::spawn(async move { node.pass_on(sender, newer).await }).detach();
        }
        response
    }
}

impl Node {
    async fn pass_on(&self, sender: Option<SocketAddr>, newer: Vec<Entry>) {
        pass_on(&self.replica, &self.peers, &self.settings, sender, &newer).await;
    }

    fn version(&self) -> u64 {
        let map = self.replica.map();
        map.config("inventory")
            .map_or(0, |config| config.row.version)
    }
}

struct Flags {
    nodes: usize,
    rows: usize,
    changes: u64,
    pause: Duration,
    loss: f64,
    outage: bool,
    body: usize,
    timeout: Duration,
}

fn flags() -> Result<Flags, pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    Ok(Flags {
        nodes: args.opt_value_from_str("--nodes")?.unwrap_or(50),
        rows: args.opt_value_from_str("--rows")?.unwrap_or(0),
        changes: args.opt_value_from_str("--changes")?.unwrap_or(20),
        pause: Duration::from_millis(args.opt_value_from_str("--pause-ms")?.unwrap_or(500)),
        loss: args.opt_value_from_str("--loss")?.unwrap_or(0.0),
        outage: args.contains("--outage"),
        body: args.opt_value_from_str("--body")?.unwrap_or(2_000),
        timeout: Duration::from_millis(args.opt_value_from_str("--timeout-ms")?.unwrap_or(1_000)),
    })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let flags = flags()?;
    let metrics = PrometheusBuilder::new().install_recorder()?;
    smol::block_on(async {
        let platform = Platform::new(MemoryPlatform::default());
        let nodes = start(&flags, &platform).await?;
        smol::Timer::after(SETTLE).await;
        let bytes_before = bytes(&metrics.render());
        let (cpu_before, began) = (cpu_seconds()?, Instant::now());
        let times = measure(&flags, &platform, &nodes).await?;
        let elapsed = began.elapsed().as_secs_f64();
        let cpu = (cpu_seconds()? - cpu_before) / elapsed / nodes.len() as f64;
        let sent = (bytes(&metrics.render()) - bytes_before) / elapsed / nodes.len() as f64;
        println!(
            "nodes={} rows={} loss={} outage={} body={} changes={} p50={}ms p99={}ms worst={}ms \
             bytes/s/node={sent:.0} cpu/node={:.3}% over {elapsed:.0}s",
            flags.nodes,
            nodes[0].replica.versions().len(),
            flags.loss,
            flags.outage,
            flags.body,
            times.len(),
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max(),
            cpu * 100.0,
        );
        Ok(())
    })
}

async fn start(flags: &Flags, platform: &Platform) -> std::io::Result<Vec<Node>> {
    let mut listeners = Vec::new();
    for _ in 0..flags.nodes {
        listeners.push(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    }
    let mut rows = Vec::new();
    for (incarnation, listener) in (1..).zip(&listeners) {
        rows.push(node_row(incarnation, listener.local_addr()?));
    }
    let extra = flags.nodes.max(flags.rows) as u64;
    rows.extend((flags.nodes as u64 + 1..=extra).map(other_row));
    let nodes = (1..).zip(listeners);
    Ok(nodes
        .map(|(incarnation, listener)| start_one(flags, platform, incarnation, listener, &rows))
        .collect())
}

fn start_one(
    flags: &Flags,
    platform: &Platform,
    incarnation: Incarnation,
    listener: TcpListener,
    rows: &[Entry],
) -> Node {
    let peer_settings = PeerSettings {
        incarnation,
        key: SharedKey::new("a key for measuring"),
        call_timeout: flags.timeout,
        server_idle_timeout: Duration::from_secs(5),
        ..Default::default()
    };
    let node = Node {
        replica: Replica::default(),
        peers: Lossy {
            peers: PeerClient::new(peer_settings.clone()),
            loss: flags.loss,
            timeout: flags.timeout,
        },
        settings: SpreadSettings {
            incarnation,
            ..Default::default()
        },
    };
    let taken = node.replica.apply(rows.to_vec());
    assert_eq!(
        node.replica.map().live_nodes().count(),
        flags.nodes,
        "of {}",
        taken.len()
    );
    smol::spawn(ibiscove_wire::serve(listener, peer_settings, node.clone())).detach();
    let (replica, peers, settings) = (
        node.replica.clone(),
        node.peers.clone(),
        node.settings.clone(),
    );
    smol::spawn(ibiscove_spread::run(replica, peers, SystemClock, settings)).detach();
    smol::spawn(ibiscove_spread::watch_table(
        node.replica.clone(),
        node.peers.clone(),
        platform.clone(),
        SystemClock,
        node.settings.clone(),
    ))
    .detach();
    node
}

fn node_row(incarnation: Incarnation, addr: SocketAddr) -> Entry {
    let grants: Vec<_> = (0..8)
        .map(|slot| SlotGrant {
            slot,
            fence: incarnation,
            heir: Some(0),
            acquired: Acquisition::Claimed,
        })
        .collect();
    let body = serde_json::json!({
        "incarnation": incarnation, "name": format!("instance-{incarnation}"),
        "region": "dakar", "data_centre": "plateau", "peer_addr": addr,
        "forward_addr": addr, "caller_addr": addr, "state": "live",
        "witnesses": [1, 2, 3], "heirs": [1, 2], "grants": grants,
        "upstream": {"service": "deposits", "addr": addr, "concurrency": 12,
            "connections": 130, "checks_fences": true},
    });
    Entry {
        key: node_key(incarnation),
        version: 1,
        body: body.to_string().into_bytes().into(),
    }
}

/// A row that is compared like any other and belongs to no node here.
fn other_row(number: u64) -> Entry {
    let name = format!("service-{number}");
    let row = ServiceRow::new(name.as_str().into(), ServiceKind::Divided, 16);
    Entry {
        key: service_key(&name),
        version: 1,
        body: serde_json::to_vec(&row).expect("plain data").into(),
    }
}

async fn measure(
    flags: &Flags,
    platform: &Platform,
    nodes: &[Node],
) -> Result<Histogram<u64>, Box<dyn std::error::Error>> {
    let store = ConfigStore::new(platform.clone(), SystemClock);
    let mut times = Histogram::new(3)?;
    for number in 0..flags.changes {
        let body = format!("# change {number}\n{}", "#".repeat(flags.body));
        let writer = &nodes[fastrand::usize(..nodes.len())];
        let written = apply(&store, number, &body).await?;
        let accepted = Instant::now();
        platform.update_faults(|faults| faults.unavailable = flags.outage);
        let entry = Entry {
            key: written.key,
            version: written.row.version,
            body: written.row.body,
        };
        let mut newer = writer.replica.apply([entry]);
        if !writer.replica.wanted_texts().is_empty() {
            newer.extend(writer.replica.supply_text(body.into_bytes()));
        }
        let pusher = writer.clone();
        smol::spawn(async move { pusher.pass_on(None, newer).await }).detach();
        while nodes.iter().any(|node| node.version() <= number) {
            smol::Timer::after(LOOK_INTERVAL).await;
        }
        times.record(accepted.elapsed().as_millis() as u64)?;
        platform.update_faults(|faults| faults.unavailable = false);
        smol::Timer::after(flags.pause).await;
    }
    Ok(times)
}

async fn apply(
    store: &ConfigStore<Platform, SystemClock>,
    expect: u64,
    body: &str,
) -> Result<Written, Box<dyn std::error::Error>> {
    let req = ChangeRequest {
        expect,
        author: "measurement".to_owned(),
        body: body.to_owned(),
        force: false,
        dry_run: false,
    };
    match store
        .change(ConfigKind::Inventory, &req, &Known::default())
        .await?
    {
        (ChangeAnswer::Accepted { .. }, Some(written)) => Ok(written),
        other => Err(format!("not accepted: {other:?}").into()),
    }
}

/// Bytes sent by all nodes, from the counters of the peer connections.
fn bytes(text: &str) -> f64 {
    let lines = text.lines().filter(|line| {
        line.starts_with("ibiscove_peer_bytes_total") && line.contains("direction=\"sent\"")
    });
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Processor time of this process so far.
fn cpu_seconds() -> std::io::Result<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks = fields
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok());
    Ok(ticks.sum::<f64>() / TICKS)
}
