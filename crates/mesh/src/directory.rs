//! The directory: one row for each node in the table service, by which nodes
//! that start find the others.
//!
//! Rows are written at the start of a process and never renewed. A row whose
//! node has gone costs a few datagrams to nowhere until it is removed.

use ibiscove_store::{Commit, Condition, Table, TableError, Transaction, Write};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Prefix of the directory's keys: table and part.
const PREFIX: &str = "nodes/all/";

/// A node's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// The node's name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
}

/// Writes this node's row in place of an earlier one.
pub async fn register(table: &impl Table, own: &NodeAddress) -> Result<(), TableError> {
    let body = serde_json::to_vec(own)
        .map_err(|err| TableError::Unavailable(format!("the row cannot be written: {err}")))?;
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

/// Reads all rows; those that cannot be read are counted and left out.
pub async fn read(table: &impl Table) -> Result<Vec<NodeAddress>, TableError> {
    let rows = table.scan(PREFIX).await?;
    let mut nodes = Vec::with_capacity(rows.len());
    for (key, row) in rows {
        match serde_json::from_slice(&row.body) {
            Ok(node) => nodes.push(node),
            Err(err) => {
                metrics::counter!("ibiscove_directory_malformed_total").increment(1);
                log::warn!("directory row {key} cannot be read: {err}");
            }
        }
    }
    Ok(nodes)
}

/// Removes the row of a node that is gone for good.
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
