//! Push replication: sends changed rows to a few random peers.

use crate::{Replica, ReplicatedRow, SpreadSettings, metrics};
use ibiscove_types::hash;
use ibiscove_types::rows::CONFIG_PREFIX;
use ibiscove_wire::messages::{self, Push, Request};
use ibiscove_wire::{PeerError, Peers};
use std::net::SocketAddr;

/// Pushes rows to a few random peers. All pushes run concurrently, so that an
/// unresponsive peer does not delay the others.
pub async fn push_rows(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    rows: &[ReplicatedRow],
) {
    let mut rng = settings.rng();
    // With a fixed seed, the row and its version are mixed in, so that each
    // change goes to other peers.
    if let (Some(seed), Some(row)) = (settings.seed, rows.first()) {
        let change_hash = hash::key_hash(&row.key) ^ row.version;
        rng = fastrand::Rng::with_seed(seed ^ change_hash);
    }
    for chunk in split_by_size(rows, settings.max_push_bytes) {
        let mut addrs = candidate_peers(replica, settings);
        rng.shuffle(&mut addrs);
        push_to_peers(peers, settings, &addrs, &chunk).await;
    }
}

/// Pushes to the first `fan_out` peers, and to further ones in place of those
/// that fail.
async fn push_to_peers(
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
            executor.spawn(push_with_retries(peers, addrs, entries))
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

async fn push_with_retries(
    peers: &impl Peers,
    addrs: impl Iterator<Item = &SocketAddr>,
    entries: &[messages::Entry],
) {
    for addr in addrs {
        match send_push(peers, *addr, entries.to_vec()).await {
            Ok(()) => return,
            Err(err) => {
                metrics::count_failed("push");
                log::debug!("replication: a push of rows failed: {err}");
            }
        }
    }
}

pub(crate) async fn send_push(
    peers: &impl Peers,
    addr: SocketAddr,
    entries: Vec<messages::Entry>,
) -> Result<(), PeerError> {
    let push = Request::Push(Push { entries });
    peers.call(addr, push).await.map(drop)
}

/// Splits rows into messages of at most `limit` bytes, or of one row if that
/// row alone is larger.
fn split_by_size(rows: &[ReplicatedRow], limit: usize) -> Vec<Vec<messages::Entry>> {
    let mut chunks: Vec<Vec<_>> = Vec::new();
    let mut size = 0;
    for row in rows {
        let len = row.key.len() + row.body.len();
        match chunks.last_mut() {
            Some(chunk) if size + len <= limit => chunk.push(row.to_message()),
            _ => {
                chunks.push(vec![row.to_message()]);
                size = 0;
            }
        }
        size += len;
    }
    chunks
}

/// Returns the addresses of the live peers in this node's view, or of all live
/// peers as long as the view is empty.
pub(crate) fn candidate_peers(replica: &Replica, settings: &SpreadSettings) -> Vec<SocketAddr> {
    let map = replica.map();
    let view = replica.view();
    let live = map
        .live_nodes()
        .filter(|node| node.row.incarnation != settings.incarnation);
    let chosen = live.filter(|node| view.is_empty() || view.contains(&node.row.incarnation));
    chosen.map(|node| node.row.peer_addr).collect()
}
