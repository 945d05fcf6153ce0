//! Pushing changed rows to a few random peers.

use crate::{Replica, ReplicatedRow, SpreadSettings, metrics};
use ibiscove_types::hash;
use ibiscove_types::rows::CONFIG_PREFIX;
use ibiscove_wire::messages::{self, Push, Request};
use ibiscove_wire::{PeerError, Peers};
use std::net::SocketAddr;

/// Pushes rows to a few random peers, to all at the same time, so that one
/// silent peer does not hold up the others.
pub async fn push_rows(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    entries: &[ReplicatedRow],
) {
    let mut rng = settings.rng();
    // Every change takes other peers, also when the choices start from a seed.
    if let (Some(seed), Some(entry)) = (settings.seed, entries.first()) {
        let change = hash::key_hash(&entry.key) ^ entry.version;
        rng = fastrand::Rng::with_seed(seed ^ change);
    }
    for chunk in chunks(entries, settings.max_push_bytes) {
        let mut addrs = other_peers(replica, settings);
        rng.shuffle(&mut addrs);
        push_to_some(peers, settings, &addrs, &chunk).await;
    }
}

/// Pushes to the first peers, and to further ones in place of those that fail.
async fn push_to_some(
    peers: &impl Peers,
    settings: &SpreadSettings,
    addrs: &[SocketAddr],
    entries: &[messages::Entry],
) {
    let executor = smol::Executor::new();
    let has_config = entries
        .iter()
        .any(|entry| entry.key.starts_with(CONFIG_PREFIX));
    let fan_out = match has_config {
        true => settings.config_fan_out,
        false => settings.fan_out,
    };
    let tasks: Vec<_> = (0..fan_out.min(addrs.len()))
        .map(|first| {
            let addrs = addrs.iter().skip(first).step_by(fan_out);
            let addrs = addrs.take(1 + settings.push_retries);
            executor.spawn(push_to_one_of(peers, addrs, entries))
        })
        .collect();
    executor
        .run(async {
            for task in tasks {
                task.await;
            }
        })
        .await;
}

async fn push_to_one_of(
    peers: &impl Peers,
    addrs: impl Iterator<Item = &SocketAddr>,
    entries: &[messages::Entry],
) {
    for addr in addrs {
        match push(peers, *addr, entries.to_vec()).await {
            Ok(()) => return,
            Err(err) => {
                metrics::failed("push");
                log::debug!("push of rows: {err}");
            }
        }
    }
}

pub(crate) async fn push(
    peers: &impl Peers,
    addr: SocketAddr,
    entries: Vec<messages::Entry>,
) -> Result<(), PeerError> {
    let push = Request::Push(Push { entries });
    peers.call(addr, push).await.map(drop)
}

/// Rows in messages of at most `limit` bytes, but at least one row each.
fn chunks(entries: &[ReplicatedRow], limit: usize) -> Vec<Vec<messages::Entry>> {
    let mut chunks: Vec<Vec<_>> = Vec::new();
    let mut size = 0;
    for entry in entries {
        let len = entry.key.len() + entry.body.len();
        match chunks.last_mut() {
            Some(chunk) if size + len <= limit => chunk.push(entry.to_message()),
            _ => {
                chunks.push(vec![entry.to_message()]);
                size = 0;
            }
        }
        size += len;
    }
    chunks
}

/// Addresses of the peers that this node chooses from.
pub(crate) fn other_peers(replica: &Replica, settings: &SpreadSettings) -> Vec<SocketAddr> {
    let map = replica.map();
    let view = replica.view();
    let live = map
        .live_nodes()
        .filter(|node| node.row.incarnation != settings.incarnation);
    let chosen = live.filter(|node| view.is_empty() || view.contains(&node.row.incarnation));
    chosen.map(|node| node.row.peer_addr).collect()
}
