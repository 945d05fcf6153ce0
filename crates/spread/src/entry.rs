//! A row on its way from node to node.

use crate::metrics;
use ibiscove_types::{RowVersion, hash};
use ibiscove_wire::messages;
use std::sync::Arc;

/// Start of the keys under which texts of the configuration are passed on. No
/// row of the table has such a key.
pub(crate) const TEXT_PREFIX: &str = "text/";

/// A row as it is passed from node to node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicatedRow {
    /// Key of the row in the table.
    pub key: String,
    /// The table's version of it.
    pub version: RowVersion,
    /// Its bytes.
    pub body: Arc<[u8]>,
}

impl ReplicatedRow {
    /// The message that carries this row.
    pub fn to_message(&self) -> messages::Entry {
        messages::Entry {
            key: self.key.clone(),
            version: self.version as i64,
            body: self.body.to_vec(),
            checksum: hash::checksum(&self.body) as i64,
        }
    }

    /// The row of a message; none when its checksum does not match.
    pub fn from_message(message: messages::Entry) -> Option<Self> {
        if hash::checksum(&message.body) as i64 != message.checksum {
            metrics::rejected("checksum");
            return None;
        }
        Some(Self {
            key: message.key,
            version: message.version as RowVersion,
            body: message.body.into(),
        })
    }
}
