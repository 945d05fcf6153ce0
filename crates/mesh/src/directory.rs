//! Bootstrap discovery: one row per node in the table service, in which a node
//! that starts finds the others.
//!
//! A process writes its row at its start and never renews it. The row of a node
//! that has left costs a few datagrams to an unused address until it is
//! removed.

use ibiscove_store::{Commit, Condition, Table, TableError, Transaction, Write};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Prefix of the directory's keys: table and partition.
const PREFIX: &str = "nodes/all/";

/// A node's row in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// The node's name.
    pub name: String,
    /// The node's address.
    pub ip: IpAddr,
}

/// Most addresses that one round of heartbeats introduces this node to; more than a mesh
/// has nodes.
pub const MAX_INTRODUCTIONS: usize = 512;

/// Addresses from the directory that have not answered yet. Clones share them.
#[derive(Clone, Default)]
pub struct Introductions(Arc<Mutex<VecDeque<IpAddr>>>);

impl Introductions {
    /// Replaces the addresses.
    pub fn set(&self, addresses: impl IntoIterator<Item = IpAddr>) {
        *self.lock() = addresses.into_iter().collect();
    }

    /// Returns the addresses for the next round of heartbeats: all of them, or in turn a
    /// part if there are more than nodes can be.
    pub fn next_round(&self) -> Vec<IpAddr> {
        let mut addresses = self.lock();
        let count = addresses.len().min(MAX_INTRODUCTIONS);
        addresses.rotate_left(count);
        addresses.iter().rev().take(count).copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<IpAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes this node's row, replacing an earlier one.
pub async fn register(table: &impl Table, own: &NodeAddress) -> Result<(), TableError> {
    let body = serde_json::to_vec(own).map_err(|err| {
        TableError::Unavailable(format!("the directory row cannot be serialised: {err}"))
    })?;
    let write = Write {
        key: format!("{PREFIX}{}", own.name),
        body: Some(body),
    };
    let txn = Transaction {
        conditions: Vec::new(),
        writes: vec![write],
    };
    table.commit(txn).await.map(|_| ())
}

/// Reads all rows; malformed ones are counted and ignored, as are those that a node
/// cannot have written: under another key than its name, or with an address that is not
/// that of one machine.
pub async fn read(table: &impl Table) -> Result<Vec<NodeAddress>, TableError> {
    let rows = table.scan(PREFIX).await?;
    let mut nodes = Vec::with_capacity(rows.len());
    for (key, row) in rows {
        match parse(&key, &row.body) {
            Ok(node) => nodes.push(node),
            Err(problem) => {
                metrics::counter!("ibiscove_directory_malformed_total").increment(1);
                log::warn!("directory row {key} is malformed and ignored: {problem}");
            }
        }
    }
    Ok(nodes)
}

fn parse(key: &str, body: &[u8]) -> Result<NodeAddress, String> {
    let node: NodeAddress = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    if node.name.is_empty() || key.strip_prefix(PREFIX) != Some(&*node.name) {
        return Err(format!("it names the node {:?}", node.name));
    }
    let ip = node.ip.to_canonical();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    if ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err(format!("{ip} is not the address of a machine"));
    }
    Ok(node)
}

/// Most rows that a node removes at once. Each takes two calls of the table, whose rate
/// all nodes share; a node that starts later removes the next ones.
pub const MAX_REMOVALS: usize = 64;

/// Removes the rows of nodes that will not return, a random part if these are many.
pub async fn remove_all(table: &impl Table, names: impl Iterator<Item = &str>) {
    for name in fastrand::choose_multiple(names, MAX_REMOVALS) {
        if let Err(err) = remove(table, name).await {
            log::warn!(node = name;
                "the directory row of an unresponsive node was not removed: {err}");
        }
    }
}

/// Removes the row of a node that will not return.
pub async fn remove(table: &impl Table, name: &str) -> Result<(), TableError> {
    let key = format!("{PREFIX}{name}");
    let Some(row) = table.get(&key).await? else {
        return Ok(());
    };
    let txn = Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version: Some(row.version),
        }],
        writes: vec![Write { key, body: None }],
    };
    match table.commit(txn).await? {
        Commit::Done(_) | Commit::Conflict(_) => Ok(()),
    }
}
