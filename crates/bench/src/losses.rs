//! Time from a loss to the first served request for the lost keys, and how many
//! slots change owner.

use crate::BenchError;
use crate::cluster::{Cluster, Pair};
use ibiscove_node::{NodeSettings, ServiceDefaults};
use ibiscove_standin::{FaultyPlatform, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{Incarnation, ServiceKind, Slot, hash};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use trillium_client::Client;

/// The one service.
const SERVICE: &str = "deposits";
/// Its slots.
const SLOTS: u32 = 64;
/// Data centres, to which nodes are dealt in turn.
const DATA_CENTRES: [&str; 3] = ["plateau", "medina", "almadies"];
/// Time between two requests for a lost key.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time between the last change and a loss.
const REST: Duration = Duration::from_secs(1);
/// Longest wait for a lost key to be served again.
const PATIENCE: Duration = Duration::from_secs(30);

/// What is lost, and how often.
#[derive(Clone, Copy, Debug)]
pub struct LossSettings {
    /// Nodes of the cluster.
    pub nodes: usize,
    /// Losses, one after the other; each lost node is replaced.
    pub losses: usize,
    /// Whether the table is down from before the loss until all is served.
    pub table_down: bool,
    /// Whether the nodes of a whole data centre are lost at once.
    pub data_centre: bool,
}

/// What was seen of one loss.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// Until the first lost key was served.
    pub first: Duration,
    /// Until every lost key that is asked for was served.
    pub last: Duration,
    /// Slots that changed owner.
    pub changed: usize,
    /// Slots that the lost nodes had, the least that could change.
    pub least: usize,
}

type Platform = FaultyPlatform<MemoryPlatform>;

/// Loses nodes and measures.
pub async fn run(settings: LossSettings) -> Result<Vec<Loss>, BenchError> {
    let platform = FaultyPlatform::new(MemoryPlatform::default());
    let mut cluster = Cluster::new(platform.clone());
    for number in 0..settings.nodes {
        start(&mut cluster, number).await?;
    }
    let mut losses = Vec::with_capacity(settings.losses);
    for number in 0..settings.losses {
        covered(&cluster).await?;
        platform.update_faults(|faults| faults.unavailable = settings.table_down);
        smol::Timer::after(REST).await;
        let lost = choose(&settings, number);
        losses.push(lose(&mut cluster, &lost).await?);
        platform.update_faults(|faults| faults.unavailable = false);
        for index in lost {
            start(&mut cluster, index).await?;
        }
    }
    cluster.stop().await;
    Ok(losses)
}

/// Names of the nodes to lose, by number within the cluster.
fn choose(settings: &LossSettings, loss: usize) -> Vec<usize> {
    match settings.data_centre {
        false => vec![loss % settings.nodes],
        true => (0..settings.nodes)
            .filter(|node| node % DATA_CENTRES.len() == loss % DATA_CENTRES.len())
            .collect(),
    }
}

fn name(number: usize) -> String {
    format!("node-{number}")
}

async fn start(cluster: &mut Cluster<Platform>, number: usize) -> Result<(), BenchError> {
    let node = NodeSettings {
        name: name(number),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
        service_defaults: ServiceDefaults {
            kind: ServiceKind::Divided,
            slot_count: SLOTS,
        },
        ..Default::default()
    };
    let upstream = UpstreamSettings {
        name: name(number),
        service: SERVICE.into(),
        ..Default::default()
    };
    cluster.start(node, upstream).await.map(drop)
}

/// Whether all witnesses and heirs of a node live, so that its loss would be one
/// loss and not a second one that follows on the first.
fn has_live_witnesses(pair: &Pair<Platform>) -> bool {
    let map = pair.node.map();
    let row = pair.node.row();
    let mut named = row.witnesses.iter().chain(&row.heirs);
    named.all(|node| map.is_live(*node))
}

/// Waits until every slot is owned, somewhere known to all, and covered.
async fn covered(cluster: &Cluster<Platform>) -> Result<(), BenchError> {
    cluster.settle().await?;
    cluster
        .wait("heirs of every slot", |cluster| {
            cluster
                .pairs
                .iter()
                .all(|pair| pair.node.ownership().is_takeover_ready() && has_live_witnesses(pair))
        })
        .await
}

fn owners(pair: &Pair<Platform>) -> BTreeMap<Slot, Incarnation> {
    let map = pair.node.map();
    let owner = |slot| Some((slot, map.owner(SERVICE, slot)?.incarnation));
    (0..SLOTS).filter_map(owner).collect()
}

async fn lose(cluster: &mut Cluster<Platform>, lost: &[usize]) -> Result<Loss, BenchError> {
    let names: Vec<String> = lost.iter().map(|number| name(*number)).collect();
    let before = owners(&cluster.pairs[0]);
    let (gone, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut cluster.pairs)
        .into_iter()
        .partition(|pair| names.contains(&pair.node.row().name));
    cluster.pairs = kept;
    let lost: Vec<Incarnation> = gone.iter().map(|pair| pair.node.incarnation()).collect();
    let keys = keys_of(&before, &lost);
    let began = Instant::now();
    for pair in gone {
        pair.upstream.stop();
        pair.node.kill().await;
    }
    let mut times = Vec::with_capacity(keys.len());
    for key in &keys {
        times.push(served(&cluster.client, &cluster.pairs[0], key, began).await?);
    }
    let after = owners(&cluster.pairs[0]);
    let changed = before
        .iter()
        .filter(|(slot, owner)| after.get(slot) != Some(owner));
    Ok(Loss {
        first: times.first().copied().unwrap_or_default(),
        last: times.last().copied().unwrap_or_default(),
        changed: changed.count(),
        least: before.values().filter(|owner| lost.contains(owner)).count(),
    })
}

/// One key in each slot of the lost nodes.
fn keys_of(owners: &BTreeMap<Slot, Incarnation>, lost: &[Incarnation]) -> Vec<String> {
    let mut slots: Vec<Slot> = owners
        .iter()
        .filter(|(_, owner)| lost.contains(owner))
        .map(|(slot, _)| *slot)
        .collect();
    let mut keys = Vec::new();
    for number in 0.. {
        if slots.is_empty() {
            break;
        }
        let key = format!("family-{number}");
        let slot = hash::slot_of(hash::key_hash(&key), SLOTS);
        if slots.contains(&slot) {
            slots.retain(|wanted| *wanted != slot);
            keys.push(key);
        }
    }
    keys
}

/// Asks for a key until it is served; gives the time since `began`.
async fn served(
    client: &Client,
    entry: &Pair<Platform>,
    key: &str,
    began: Instant,
) -> Result<Duration, BenchError> {
    let url = format!("http://{}/{SERVICE}/{key}", entry.node.addrs().caller);
    loop {
        let answer = client.get(url.as_str()).await;
        if answer.is_ok_and(|answer| answer.status().is_some_and(|status| status as u16 == 200)) {
            return Ok(began.elapsed());
        }
        if began.elapsed() > PATIENCE {
            return Err(BenchError::Late {
                what: format!("an owner of {key}"),
                patience: PATIENCE,
            });
        }
        smol::Timer::after(REQUEST_INTERVAL).await;
    }
}
