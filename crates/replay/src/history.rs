//! The record of a replay: executions, responses, versions and drains.

use crate::format::{Change, Request};
use ibiscove_types::Outcome;
use std::time::Instant;

/// One execution of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Name of the upstream, which is that of its node.
    pub upstream: String,
    /// Its service.
    pub service: String,
    /// The request's id.
    pub request_id: String,
    /// Method and path.
    pub target: String,
    /// The key's slot and the fence, as the gate sent them.
    pub slot: Option<(u32, u64)>,
    /// When it started.
    pub started: Instant,
}

/// A request that was sent, and the response that its caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// The request.
    pub request: Request,
    /// When it was sent.
    pub sent: Instant,
    /// The node that it was sent to.
    pub node: String,
    /// The HTTP status; `None` without a complete response.
    pub status: Option<u16>,
    /// The outcome that the response reports.
    pub outcome: Option<Outcome>,
    /// The request's id, from the response.
    pub request_id: Option<String>,
    /// The target that the upstream echoed, if the response is the upstream's.
    pub echoed: Option<String>,
}

/// A change that was submitted, and its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeResult {
    /// The change.
    pub change: Change,
    /// The new version, if the change was accepted.
    pub accepted: Option<u64>,
}

/// The configuration versions in force on a node at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSample {
    /// The node.
    pub node: String,
    /// The inventory's version.
    pub inventory: u64,
    /// The rules' version.
    pub rules: u64,
}

/// A drain and its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainResult {
    /// The node.
    pub node: String,
    /// When the drain started.
    pub started: Instant,
    /// When the drain completed; `None` if it failed.
    pub completed: Option<Instant>,
}

/// A slot at the end of the replay: service, number, and the fence of its live
/// owner, if any.
pub type FinalSlot = (String, u32, Option<u64>);

/// Everything that a replay recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Every execution at every upstream.
    pub runs: Vec<Execution>,
    /// Every request sent with its response, duplicates included.
    pub responses: Vec<CallerResponse>,
    /// Every configuration change submitted.
    pub changes: Vec<ChangeResult>,
    /// Versions on the nodes, ordered by time.
    pub samples: Vec<VersionSample>,
    /// Versions on the live nodes at the end.
    pub last_samples: Vec<VersionSample>,
    /// Every drain.
    pub drains: Vec<DrainResult>,
    /// Every slot of every service at the end.
    pub slots: Vec<FinalSlot>,
}
