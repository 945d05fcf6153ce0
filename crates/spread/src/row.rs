//! The unit of replication: a versioned row of the platform's table.

use crate::metrics;
use ibiscove_types::{RowVersion, hash};
use ibiscove_wire::messages;
use std::sync::Arc;

/// Key prefix under which configuration texts that are too long for their rows
/// are transferred between nodes. No row of the table has such a key.
pub(crate) const TEXT_PREFIX: &str = "text/";

/// A versioned row as nodes replicate it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicatedRow {
    /// Key of the row in the platform's table.
    pub key: String,
    /// Version that the table assigned to the row.
    pub version: RowVersion,
    /// The row's bytes.
    pub body: Arc<[u8]>,
}

impl ReplicatedRow {
    /// Returns the peer message for this row, with a checksum of its body.
    pub fn to_message(&self) -> messages::Entry {
        messages::Entry {
            key: self.key.clone(),
            version: self.version as i64,
            body: self.body.to_vec(),
            checksum: hash::checksum(&self.body) as i64,
        }
    }

    /// Returns the row in a message, or none if its checksum does not match.
    pub fn from_message(message: messages::Entry) -> Option<Self> {
        if hash::checksum(&message.body) as i64 != message.checksum {
            metrics::count_rejected("checksum");
            return None;
        }
        Some(Self {
            key: message.key,
            version: message.version as RowVersion,
            body: message.body.into(),
        })
    }
}
