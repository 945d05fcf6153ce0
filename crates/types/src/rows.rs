//! The rows that the platform's table service keeps.
//!
//! Invariant 1 (`docs/ownership.md`): a slot of a service stands in exactly one
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

/// Prefix of the keys of [`TakeoverRecord`]s, which nodes pass to each other and
/// the table never sees.
pub const TAKEOVER_PREFIX: &str = "takeover/";

/// Key of the record that `heir` makes of its takeover from `ward`.
pub fn takeover_key(ward: Incarnation, heir: Incarnation) -> String {
    format!("{TAKEOVER_PREFIX}{ward:016x}/{heir:016x}")
}

/// Key of a node's row.
pub fn node_key(incarnation: Incarnation) -> String {
    format!("{NODE_PREFIX}{incarnation:016x}")
}

/// Key of a service's row.
pub fn service_key(service: &str) -> String {
    format!("{SERVICE_PREFIX}{service}")
}

/// Key of a configuration row; `what` is `inventory` or `rules`.
pub fn config_key(what: &str) -> String {
    format!("{CONFIG_PREFIX}{what}")
}

/// Where a node stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Takes part and may own slots.
    Live,
    /// Gives its slots away and takes no new ones.
    Draining,
    /// Never serves again. The row stays a while so that late writes conflict.
    Retired,
}

/// How a node came to own a slot. It decides what the node can know of requests
/// that an earlier owner ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Acquisition {
    /// It was vacant: its last owner, if any, let it go with all work ended.
    #[default]
    Claimed,
    /// The owner before handed it over, with its deduplication window.
    Moved,
    /// The owner before was lost, with its deduplication window.
    Takeover,
}

/// A slot, with the fence under which its owner serves it.
///
/// A row holds many, and each change of a row travels to every node, so a grant
/// is written as an array without names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "GrantFields", into = "GrantFields")]
pub struct SlotGrant {
    /// The slot.
    pub slot: Slot,
    /// The owner's fence for it.
    pub fence: Fence,
    /// Index into [`NodeRow::heirs`] of the node that takes the slot over when
    /// the owner is lost; none when no heir could be named.
    pub heir: Option<u8>,
    /// How the owner came by it.
    pub acquired: Acquisition,
}

/// The fields of a [`SlotGrant`], in order.
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

/// The upstream beside a node, as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests it works on at a time.
    pub concurrency: u32,
    /// Connections it accepts at a time.
    pub connections: u32,
    /// Whether it refuses requests with a fence lower than one it has seen.
    pub checks_fences: bool,
}

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The instance's name, for people.
    pub name: String,
    /// The instance's region.
    pub region: Region,
    /// The instance's data centre.
    pub data_centre: DataCentre,
    /// Where peers send control messages.
    pub peer_addr: SocketAddr,
    /// Where peers forward callers' requests.
    pub forward_addr: SocketAddr,
    /// Where callers send requests.
    pub caller_addr: SocketAddr,
    /// Where the node stands in its life.
    pub state: NodeState,
    /// The upstream beside it, once one has announced itself.
    pub upstream: Option<UpstreamSpec>,
    /// The nodes whose acknowledgements make up this node's lease.
    pub witnesses: Vec<Incarnation>,
    /// The nodes that take over the grants when this one is lost.
    pub heirs: Vec<Incarnation>,
    /// The slots that this node owns.
    pub grants: Vec<SlotGrant>,
    /// Lost nodes whose slots were added here. An heir never acts again on
    /// seals of a node that stands here (invariant 8).
    #[serde(default)]
    pub absorbed: Vec<Incarnation>,
}

impl NodeRow {
    /// The service of the node's upstream, if one has announced itself.
    pub fn service(&self) -> Option<&ServiceName> {
        self.upstream.as_ref().map(|upstream| &upstream.service)
    }
}

/// How requests of a service are spread over its upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Any upstream may take any request.
    Shared,
    /// Each key has one owner.
    Divided,
}

/// A slot that no node owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// The slot.
    pub slot: Slot,
    /// The fence that its next owner serves under.
    pub next_fence: Fence,
    /// How its next owner comes by it: a slot whose owner was lost is a
    /// takeover even when it was vacant in between.
    #[serde(default)]
    pub acquired: Acquisition,
}

/// A key that was split out of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// Hash of the key, see [`crate::hash::key_hash`].
    pub key_hash: u64,
    /// The slot that holds only this key; at least the slot count.
    pub slot: Slot,
}

/// A service: its slot count, its vacant slots and its split keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// The service's name.
    pub name: ServiceName,
    /// Whether keys have owners.
    pub kind: ServiceKind,
    /// Number of hash slots, a power of two; fixed for the service's life.
    pub slot_count: u32,
    /// Slots in no live row.
    pub vacant: Vec<Vacancy>,
    /// Keys that have a slot of their own.
    pub splits: Vec<Split>,
}

impl ServiceRow {
    /// A service whose slots are all vacant.
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

    /// The slot of a key hash, split keys first.
    pub fn slot_of(&self, key_hash: u64) -> Slot {
        let split = self.splits.iter().find(|split| split.key_hash == key_hash);
        match split {
            Some(split) => split.slot,
            None => crate::hash::slot_of(key_hash, self.slot_count),
        }
    }
}

/// The inventory or the rules: version and where the body is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Rises by one with each accepted change.
    pub version: u64,
    /// Checksum of the body, in hexadecimal.
    pub digest: String,
    /// Who made the change, as the operator's client says.
    pub author: String,
    /// When the change was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The TOML text, kept in the row while it is short.
    pub body: String,
}

/// What an heir serves of a sealed node's slots before the table says so.
///
/// Invariant 7 makes it agree with the rows that follow, and its fences are
/// higher than the sealed node's, so a map may show it beside them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeoverRecord {
    /// The service.
    pub service: ServiceName,
    /// The sealed node.
    pub ward: Incarnation,
    /// The node that serves now.
    pub heir: Incarnation,
    /// The slots, with the fences under which the heir serves them.
    pub slots: Vec<(Slot, Fence)>,
}

/// A row with the version that the table gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<R> {
    /// The table's version of the row.
    pub version: RowVersion,
    /// The row.
    pub row: R,
}
