//! The rows stored in the platform's table service.
//!
//! Each node holds a lease: it serves its slots while its witnesses, other
//! nodes, acknowledge its heartbeats. Witnesses seal an unresponsive node, that
//! is, never acknowledge it again; its successors, the `heirs` of its row, then
//! take over its slots.
//!
//! Invariant 1 (`docs/ownership.md`): a slot of a service is in exactly one
//! place, either in the grants of one row that is not retired or in the
//! vacancies of the service's row. Every transaction moves whole grants between
//! such places and raises the fence of each slot that changes owner.

use crate::{DataCentre, Fence, Incarnation, Region, RowVersion, ServiceName, Slot};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of the keys of [`NodeRow`]s.
pub const NODE_PREFIX: &str = "node/";
/// Prefix of the keys of [`ServiceRow`]s.
pub const SERVICE_PREFIX: &str = "service/";
/// Prefix of the keys of [`ConfigRow`]s.
pub const CONFIG_PREFIX: &str = "config/";

/// Prefix of the keys of [`TakeoverRecord`]s, which nodes send each other and
/// never write to the table.
pub const TAKEOVER_PREFIX: &str = "takeover/";

/// Returns the key of the record of a successor's takeover from a lost node.
pub fn takeover_key(lost: Incarnation, successor: Incarnation) -> String {
    format!("{TAKEOVER_PREFIX}{lost:016x}/{successor:016x}")
}

/// Returns the key of a node's row.
pub fn node_key(incarnation: Incarnation) -> String {
    format!("{NODE_PREFIX}{incarnation:016x}")
}

/// Returns the key of a service's row.
pub fn service_key(service: &str) -> String {
    format!("{SERVICE_PREFIX}{service}")
}

/// Returns the key of a configuration row; `kind` is `inventory` or `rules`.
pub fn config_key(kind: &str) -> String {
    format!("{CONFIG_PREFIX}{kind}")
}

/// Lifecycle state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Serves requests and may own slots.
    Live,
    /// Hands its slots over and accepts no new ones.
    Draining,
    /// Never serves again. The row is kept for a while so that delayed writes
    /// conflict.
    Retired,
}

/// How a node acquired a slot, which determines what it can know about requests
/// that the previous owner ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Acquisition {
    /// It was vacant: its previous owner, if any, released it after all work had
    /// ended.
    #[default]
    Claimed,
    /// The previous owner handed it over, with its deduplication window.
    Moved,
    /// The previous owner was lost, with its deduplication window.
    Takeover,
}

/// A slot and the fence under which its owner serves it.
///
/// A row holds many grants and each change of a row is sent to every node, so a
/// grant is serialised as an array without field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "GrantFields", into = "GrantFields")]
pub struct SlotGrant {
    /// The slot.
    pub slot: Slot,
    /// The owner's fence for the slot.
    pub fence: Fence,
    /// Index into [`NodeRow::heirs`] of the successor, which takes the slot over
    /// when the owner is lost; none when no successor could be assigned.
    pub heir: Option<u8>,
    /// How the owner acquired the slot.
    pub acquired: Acquisition,
}

/// The fields of a [`SlotGrant`], in serialised order.
type GrantFields = (Slot, Fence, Option<u8>, Acquisition);

impl From<GrantFields> for SlotGrant {
    fn from((slot, fence, heir, acquired): GrantFields) -> Self {
        Self {
            slot,
            fence,
            heir,
            acquired,
        }
    }
}

impl From<SlotGrant> for GrantFields {
    fn from(grant: SlotGrant) -> Self {
        (grant.slot, grant.fence, grant.heir, grant.acquired)
    }
}

/// The local upstream of a node, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Whether it rejects requests with a lower fence than one it has seen.
    pub checks_fences: bool,
}

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The instance's name, for display only.
    pub name: String,
    /// The instance's region.
    pub region: Region,
    /// The instance's data centre.
    pub data_centre: DataCentre,
    /// Address for control messages of peers.
    pub peer_addr: SocketAddr,
    /// Address to which peers forward callers' requests.
    pub forward_addr: SocketAddr,
    /// Address to which callers send requests.
    pub caller_addr: SocketAddr,
    /// The node's lifecycle state.
    pub state: NodeState,
    /// The local upstream, once one has announced itself.
    pub upstream: Option<UpstreamSpec>,
    /// The nodes whose acknowledgements make up this node's lease.
    pub witnesses: Vec<Incarnation>,
    /// The successors: nodes that take over the grants when this one is lost.
    pub heirs: Vec<Incarnation>,
    /// The slots that this node owns.
    pub grants: Vec<SlotGrant>,
    /// Lost nodes whose slots were added to this row. A successor never acts
    /// again on seals of a node listed here (invariant 8).
    #[serde(default)]
    pub absorbed: Vec<Incarnation>,
}

impl NodeRow {
    /// Returns the service of the local upstream, if one has announced itself.
    pub fn service(&self) -> Option<&ServiceName> {
        self.upstream.as_ref().map(|upstream| &upstream.service)
    }
}

/// How requests of a service are distributed over its upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Any upstream may serve any request.
    Shared,
    /// Each key has one owner.
    Divided,
}

/// A slot that no node owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// The slot.
    pub slot: Slot,
    /// The fence under which its next owner will serve it.
    pub next_fence: Fence,
    /// How its next owner acquires it: a slot whose owner was lost counts as a
    /// takeover even when it was vacant in between.
    #[serde(default)]
    pub acquired: Acquisition,
}

/// A key that was split out of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// Hash of the key, see [`crate::hash::key_hash`].
    pub key_hash: u64,
    /// The slot that holds only this key; not less than the slot count.
    pub slot: Slot,
}

/// A service with its slot count, vacant slots and split keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// The service's name.
    pub name: ServiceName,
    /// Whether its keys have owners.
    pub kind: ServiceKind,
    /// Number of hash slots, a power of two that never changes.
    pub slot_count: u32,
    /// Slots in the grants of no live row.
    pub vacant: Vec<Vacancy>,
    /// Keys that have a slot of their own.
    pub splits: Vec<Split>,
}

impl ServiceRow {
    /// Returns a service whose slots are all vacant.
    pub fn new(name: ServiceName, kind: ServiceKind, slot_count: u32) -> Self {
        let vacant = match kind {
            ServiceKind::Shared => Vec::new(),
            ServiceKind::Divided => (0..slot_count)
                .map(|slot| Vacancy {
                    slot,
                    next_fence: 1,
                    acquired: Acquisition::Claimed,
                })
                .collect(),
        };
        Self {
            name,
            kind,
            slot_count,
            vacant,
            splits: Vec::new(),
        }
    }

    /// Returns the slot of a key hash; split keys take precedence.
    pub fn slot_of(&self, key_hash: u64) -> Slot {
        let split = self.splits.iter().find(|split| split.key_hash == key_hash);
        match split {
            Some(split) => split.slot,
            None => crate::hash::slot_of(key_hash, self.slot_count),
        }
    }
}

/// A version of the inventory or of the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Increases by one with each accepted change.
    pub version: u64,
    /// SHA-256 digest of the body, in hexadecimal.
    pub digest: String,
    /// Author of the change, as stated by the operator's client.
    pub author: String,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The TOML text, stored in the row if it is short.
    pub body: String,
}

/// The slots of a sealed node that a successor serves before the table records
/// the takeover.
///
/// Invariant 7 makes it agree with the rows that follow, and its fences are
/// higher than the sealed node's, so a map may contain both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeoverRecord {
    /// The service.
    pub service: ServiceName,
    /// The sealed node.
    pub ward: Incarnation,
    /// The successor, which serves the slots now.
    pub heir: Incarnation,
    /// The slots, with the fences under which the successor serves them.
    pub slots: Vec<(Slot, Fence)>,
}

/// A row with the version that the table assigned to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<R> {
    /// The version in the table.
    pub version: RowVersion,
    /// The row.
    pub row: R,
}
