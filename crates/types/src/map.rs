//! The cluster map: nodes, services, configuration and the owner of each slot,
//! as one node sees them.
//!
//! A map is immutable: a node derives the next map from it and the changed
//! rows, and swaps it in, so a request reads one consistent map throughout. The
//! cost of deriving is proportional to the change: unchanged rows and the
//! indexes of unchanged services are shared between the two maps.

use crate::rows::{self, NodeRow, NodeState, ServiceKind, ServiceRow, TakeoverRecord, Versioned};
use crate::{ConfigRow, Fence, Incarnation, RowVersion, ServiceName, Slot};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The owner of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Incarnation of the owning node.
    pub incarnation: Incarnation,
    /// The fence under which it serves the slot.
    pub fence: Fence,
}

/// A row of any kind, parsed from its JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Row {
    /// The row of a node.
    Node(Box<NodeRow>),
    /// The row of a service.
    Service(ServiceRow),
    /// The inventory or the rules; the text is `inventory` or `rules`.
    Config(String, ConfigRow),
    /// A takeover that the table does not contain yet.
    Takeover(TakeoverRecord),
}

impl Row {
    /// Parses a row; none when the key has an unknown prefix.
    pub fn parse(key: &str, body: &[u8]) -> serde_json::Result<Option<Self>> {
        if key.starts_with(rows::NODE_PREFIX) {
            return serde_json::from_slice(body).map(|row| Some(Row::Node(Box::new(row))));
        }
        if key.starts_with(rows::SERVICE_PREFIX) {
            return serde_json::from_slice(body).map(|row| Some(Row::Service(row)));
        }
        if key.starts_with(rows::TAKEOVER_PREFIX) {
            return serde_json::from_slice(body).map(|row| Some(Row::Takeover(row)));
        }
        match key.strip_prefix(rows::CONFIG_PREFIX) {
            Some(kind) => {
                serde_json::from_slice(body).map(|row| Some(Row::Config(kind.to_owned(), row)))
            }
            None => Ok(None),
        }
    }

    /// Returns whether this is the row of a node that never serves again.
    pub fn is_retired(&self) -> bool {
        matches!(self, Row::Node(row) if row.state == NodeState::Retired)
    }
}

/// Rows and the indexes derived from them.
#[derive(Clone, Debug, Default)]
pub struct ClusterMap {
    nodes: BTreeMap<Incarnation, Arc<Versioned<NodeRow>>>,
    services: BTreeMap<ServiceName, Arc<Versioned<ServiceRow>>>,
    configs: BTreeMap<String, Arc<Versioned<ConfigRow>>>,
    takeovers: BTreeMap<(Incarnation, Incarnation), Arc<TakeoverRecord>>,
    owners: HashMap<ServiceName, Arc<HashMap<Slot, Owner>>>,
    members: HashMap<ServiceName, Arc<[Incarnation]>>,
}

impl ClusterMap {
    /// Builds a map from raw rows: key, version and JSON body.
    ///
    /// An unreadable row is logged and left out, so that it does not make the
    /// others unavailable.
    pub fn from_rows<'a>(raw: impl IntoIterator<Item = (&'a str, u64, &'a [u8])>) -> Self {
        let parsed = raw.into_iter().filter_map(|(key, version, body)| {
            let row = Row::parse(key, body).unwrap_or_else(|err| {
                log::warn!(key, version; "cluster map: unreadable row left out: {err}");
                None
            });
            Some((version, row?))
        });
        Self::default().with_rows(parsed)
    }

    /// Returns this map updated with newer rows.
    pub fn with_rows(&self, rows: impl IntoIterator<Item = (RowVersion, Row)>) -> Self {
        let mut next = self.clone();
        let mut changed = BTreeMap::new();
        for (version, row) in rows {
            match row {
                Row::Node(row) => next.put_node(version, *row, &mut changed),
                Row::Service(row) => {
                    next.services
                        .insert(row.name.clone(), Arc::new(Versioned { version, row }));
                }
                Row::Takeover(row) => {
                    changed.entry(row.service.clone()).or_default();
                    next.takeovers.insert((row.ward, row.heir), Arc::new(row));
                }
                Row::Config(kind, row) => {
                    next.configs
                        .insert(kind, Arc::new(Versioned { version, row }));
                }
            }
        }
        next.reindex(changed);
        next
    }

    /// Returns this map without the given node rows, which were deleted.
    pub fn without_nodes(&self, incarnations: impl IntoIterator<Item = Incarnation>) -> Self {
        let mut next = self.clone();
        let mut changed: ChangedMembers = BTreeMap::new();
        for incarnation in incarnations {
            let removed = next.nodes.remove(&incarnation);
            if let Some(service) = removed.as_ref().and_then(|node| node.row.service()) {
                changed
                    .entry(service.clone())
                    .or_default()
                    .insert(incarnation);
            }
        }
        next.reindex(changed);
        next
    }

    fn put_node(&mut self, version: RowVersion, row: NodeRow, changed: &mut ChangedMembers) {
        let incarnation = row.incarnation;
        let service = row.service().cloned();
        let previous = self
            .nodes
            .insert(incarnation, Arc::new(Versioned { version, row }));
        let previous = previous.and_then(|node| node.row.service().cloned());
        for service in service.into_iter().chain(previous) {
            changed.entry(service).or_default().insert(incarnation);
        }
    }

    /// Rebuilds the indexes of the changed services.
    fn reindex(&mut self, changed: ChangedMembers) {
        for (service, mut incarnations) in changed {
            incarnations.extend(self.members(&service));
            incarnations.retain(|incarnation| {
                let node = self.nodes.get(incarnation);
                node.is_some_and(|node| {
                    node.row.state != NodeState::Retired && node.row.service() == Some(&service)
                })
            });
            let owners = self.compute_owners(&service, &incarnations);
            self.owners.insert(service.clone(), Arc::new(owners));
            self.members
                .insert(service, incarnations.into_iter().collect());
        }
    }

    fn compute_owners(
        &self,
        service: &ServiceName,
        incarnations: &BTreeSet<Incarnation>,
    ) -> HashMap<Slot, Owner> {
        let mut owners = HashMap::new();
        for incarnation in incarnations {
            for grant in &self.nodes[incarnation].row.grants {
                let owner = Owner {
                    incarnation: *incarnation,
                    fence: grant.fence,
                };
                add_owner(&mut owners, grant.slot, owner);
            }
        }
        let takeovers = self.takeovers.values();
        for takeover in takeovers.filter(|t| t.service == *service && self.is_live(t.heir)) {
            for (slot, fence) in &takeover.slots {
                let owner = Owner {
                    incarnation: takeover.heir,
                    fence: *fence,
                };
                add_owner(&mut owners, *slot, owner);
            }
        }
        owners
    }

    /// Returns whether a node has a row that is not retired.
    pub fn is_live(&self, incarnation: Incarnation) -> bool {
        self.node(incarnation)
            .is_some_and(|node| node.row.state != NodeState::Retired)
    }

    /// Returns the row of a node.
    pub fn node(&self, incarnation: Incarnation) -> Option<&Arc<Versioned<NodeRow>>> {
        self.nodes.get(&incarnation)
    }

    /// Iterates over all node rows, including retired ones.
    pub fn nodes(&self) -> impl Iterator<Item = &Arc<Versioned<NodeRow>>> {
        self.nodes.values()
    }

    /// Iterates over node rows that are not retired.
    pub fn live_nodes(&self) -> impl Iterator<Item = &Arc<Versioned<NodeRow>>> {
        self.nodes
            .values()
            .filter(|node| node.row.state != NodeState::Retired)
    }

    /// Returns the row of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Versioned<ServiceRow>>> {
        self.services.get(name)
    }

    /// Iterates over all service rows.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Versioned<ServiceRow>>> {
        self.services.values()
    }

    /// Returns a configuration row; `kind` is `inventory` or `rules`.
    pub fn config(&self, kind: &str) -> Option<&Arc<Versioned<ConfigRow>>> {
        self.configs.get(kind)
    }

    /// Returns the nodes, retired ones excluded, whose upstream belongs to a
    /// service.
    pub fn members(&self, service: &str) -> &[Incarnation] {
        self.members.get(service).map_or(&[], |members| members)
    }

    /// Returns the owner of a slot.
    pub fn owner(&self, service: &str, slot: Slot) -> Option<Owner> {
        self.owners.get(service)?.get(&slot).copied()
    }

    /// Returns the slot of a key in a divided service, and its owner if it has
    /// one.
    pub fn locate(&self, service: &str, key: &str) -> Option<(Slot, Option<Owner>)> {
        let row = &self.service(service)?.row;
        if row.kind == ServiceKind::Shared {
            return None;
        }
        let slot = row.slot_of(crate::hash::key_hash(key));
        Some((slot, self.owner(service, slot)))
    }
}

/// Records an owner unless one with a higher fence is recorded.
///
/// Rows reach a node one by one, so an old and a new row may temporarily both
/// contain the slot; the higher fence is the newer.
fn add_owner(owners: &mut HashMap<Slot, Owner>, slot: Slot, owner: Owner) {
    let current = owners.entry(slot).or_insert(owner);
    if current.fence < owner.fence {
        *current = owner;
    }
}

/// Services with changed rows, and the nodes that changed in each.
type ChangedMembers = BTreeMap<ServiceName, BTreeSet<Incarnation>>;
