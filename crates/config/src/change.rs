//! What an operator's client and a node say to each other about changes.
//!
//! A change is a whole new text, the version that it replaces and its author.
//! These three tell it from every other, so that a client whose answer was
//! lost finds out by reading whether its own change or another's took effect.

use crate::{Change, Finding, Harm};
pub use ibiscove_types::hash::content_digest as digest;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// What can be changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigKind {
    /// What exists.
    Inventory,
    /// How requests are treated.
    Rules,
}

impl ConfigKind {
    /// Its name in row keys, object names, paths and flags.
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

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The version that the change replaces; 0 when there is none yet.
    pub expect: u64,
    /// Who makes it.
    pub author: String,
    /// The whole new text.
    pub body: String,
    /// Whether harms that may be forced are accepted.
    #[serde(default)]
    pub force: bool,
    /// Whether everything but the write is done.
    #[serde(default)]
    pub dry_run: bool,
}

/// One accepted version, without its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInfo {
    /// Rises by one with each accepted change.
    pub version: u64,
    /// See [`digest`].
    pub digest: String,
    /// Who made the change.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}

/// One accepted version with its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBody {
    /// The version.
    #[serde(flatten)]
    pub info: VersionInfo,
    /// Its TOML text.
    pub body: String,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ChangeResponse {
    /// It is accepted, and every node will have it.
    Accepted {
        /// The version that it made.
        version: VersionInfo,
        /// What it changed.
        changes: Vec<Change>,
    },
    /// It would be accepted; nothing was written.
    WouldAccept {
        /// What it would change.
        changes: Vec<Change>,
        /// Harms that `force` would accept.
        harms: Vec<Harm>,
        /// What a check says of it.
        findings: Vec<Finding>,
    },
    /// Another change came first; nothing was written.
    Conflict {
        /// The version in force; none when there is none yet.
        current: Option<VersionInfo>,
        /// What differs from it to the refused text.
        changes: Vec<Change>,
    },
    /// The text has errors; nothing was written.
    Invalid {
        /// The errors, and warnings beside them.
        findings: Vec<Finding>,
    },
    /// It would do harm; nothing was written.
    Harmful {
        /// The harms.
        harms: Vec<Harm>,
    },
}

/// Most bytes of a text.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Tells one author's change from another's with the same text; `digest` is
/// the text's.
pub fn change_id(author: &str, digest: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(digest);
    hash.update(author);
    let id = &hash.finalize()[..CHANGE_ID_LEN];
    id.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Bytes of a change's id.
const CHANGE_ID_LEN: usize = 16;
