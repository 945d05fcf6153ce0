//! Requests and responses for configuration changes, between an operator's
//! client and a node.
//!
//! A change consists of a complete new text, the version that it replaces and
//! its author. Together these identify the change, so that a client that lost
//! the response can read the accepted versions and see whether its own change
//! or another one took effect.

use crate::{Change, Finding, Harm};
pub use ibiscove_types::hash::content_digest as digest;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// The two parts of the configuration, each versioned separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigKind {
    /// Regions, data centres, services and lost instances.
    Inventory,
    /// Routes and per-service settings of request handling.
    Rules,
}

impl ConfigKind {
    /// Returns the name used in row keys, object names, paths and flags.
    pub fn as_str(self) -> &'static str {
        match self {
            ConfigKind::Inventory => "inventory",
            ConfigKind::Rules => "rules",
        }
    }
}

impl fmt::Display for ConfigKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that names neither `inventory` nor `rules`.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is neither inventory nor rules")]
pub struct UnknownKind(String);

impl FromStr for ConfigKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        match text {
            "inventory" => Ok(ConfigKind::Inventory),
            "rules" => Ok(ConfigKind::Rules),
            other => Err(UnknownKind(other.to_owned())),
        }
    }
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The version that the change replaces; 0 if there is none yet.
    pub expect: u64,
    /// The operator who makes the change.
    pub author: String,
    /// The complete new text.
    pub body: String,
    /// Whether to accept harms that can be forced.
    #[serde(default)]
    pub force: bool,
    /// Whether to evaluate the change without writing it.
    #[serde(default)]
    pub dry_run: bool,
}

/// Metadata of one accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInfo {
    /// Increases by one with each accepted change.
    pub version: u64,
    /// [`digest`] of the text.
    pub digest: String,
    /// The operator who made the change.
    pub author: String,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

/// One accepted version with its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBody {
    /// The version's metadata.
    #[serde(flatten)]
    pub info: VersionInfo,
    /// The version's TOML text.
    pub body: String,
}

/// The outcome of a change request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ChangeResponse {
    /// Accepted and written; replication brings it to every node.
    Accepted {
        /// The new version.
        version: VersionInfo,
        /// Differences from the previous version.
        changes: Vec<Change>,
    },
    /// The dry run of a change that would be accepted; nothing was written.
    WouldAccept {
        /// Differences from the version in force.
        changes: Vec<Change>,
        /// Harms that need `force`.
        harms: Vec<Harm>,
        /// Warnings from validation.
        findings: Vec<Finding>,
    },
    /// Another change was accepted first; nothing was written.
    Conflict {
        /// The version in force, if any.
        current: Option<VersionInfo>,
        /// Differences of the rejected text from the version in force.
        changes: Vec<Change>,
    },
    /// The text has validation errors; nothing was written.
    Invalid {
        /// The errors and warnings.
        findings: Vec<Finding>,
    },
    /// The change would do harm; nothing was written.
    Harmful {
        /// The harms.
        harms: Vec<Harm>,
    },
}

/// Limit on the length of a text, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Returns the identifier of a change, a hash of its author and of its text's
/// `digest`. It distinguishes changes of different authors with the same text.
pub fn change_id(author: &str, digest: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(digest);
    hash.update(author);
    let id = &hash.finalize()[..CHANGE_ID_LEN];
    id.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Length of a change's identifier before hex encoding, in bytes.
const CHANGE_ID_LEN: usize = 16;
