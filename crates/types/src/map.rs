//! The map from keys to owners, as one node sees it.
//!
//! A map is never changed once built: a node derives the next one from it and
//! the rows that changed, and swaps it in, so a request reads one map from
//! start to end. Deriving costs what changed: unchanged rows and the indexes
//! of untouched services are shared between the two maps.

use crate::rows::{self, NodeRow, NodeState, ServiceKind, ServiceRow, TakeoverRecord, Versioned};
use crate::{ConfigRow, Fence, Incarnation, RowVersion, ServiceName, Slot};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The owner of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The owning node.
    pub incarnation: Incarnation,
    /// The fence under which it serves.
    pub fence: Fence,
}

/// A row of any kind, read from its JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Row {
    /// A node's.
    Node(Box<NodeRow>),
    /// A service's.
    Service(ServiceRow),
    /// The inventory's or the rules'; the text is `inventory` or `rules`.
    Config(String, ConfigRow),
    /// The record of a takeover that the table does not have yet.
    Takeover(TakeoverRecord),
}

impl Row {
    /// Reads a row; none when the key is of no kind known here.
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
            Some(what) => {
                serde_json::from_slice(body).map(|row| Some(Row::Config(what.to_owned(), row)))
            }
            None => Ok(None),
        }
    }

    /// Whether the row only says that its node never serves again.
    pub fn is_retired(&self) -> bool {
        matches!(self, Row::Node(row) if row.state == NodeState::Retired)
    }
}

/// Rows and what follows from them.
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
    /// A row that cannot be read is left out and logged: one bad row must not
    /// take the others away.
    pub fn from_rows<'a>(raw: impl IntoIterator<Item = (&'a str, u64, &'a [u8])>) -> Self {
        let parsed = raw.into_iter().filter_map(|(key, version, body)| {
            let row = Row::parse(key, body).unwrap_or_else(|err| {
                log::warn!(key, version; "unreadable row left out of the map: {err}");
                None
            });
            Some((version, row?))
        });
        Self::default().with_rows(parsed)
    }

    /// The map that follows from this one and rows that are newer than its.
    pub fn with_rows(&self, rows: impl IntoIterator<Item = (RowVersion, Row)>) -> Self {
        let mut next = self.clone();
        let mut touched = BTreeMap::new();
        for (version, row) in rows {
            match row {
                Row::Node(row) => next.put_node(version, *row, &mut touched),
                Row::Service(row) => {
                    next.services
                        .insert(row.name.clone(), Arc::new(Versioned { version, row }));
                }
                Row::Takeover(row) => {
                    touched.entry(row.service.clone()).or_default();
                    next.takeovers.insert((row.ward, row.heir), Arc::new(row));
                }
                Row::Config(what, row) => {
                    next.configs
                        .insert(what, Arc::new(Versioned { version, row }));
                }
            }
        }
        next.index(touched);
        next
    }

    /// The map that follows from this one when node rows have been deleted.
    pub fn without_nodes(&self, incarnations: impl IntoIterator<Item = Incarnation>) -> Self {
        let mut next = self.clone();
        let mut touched: Touched = BTreeMap::new();
        for incarnation in incarnations {
            let removed = next.nodes.remove(&incarnation);
            if let Some(service) = removed.as_ref().and_then(|node| node.row.service()) {
                touched
                    .entry(service.clone())
                    .or_default()
                    .insert(incarnation);
            }
        }
        next.index(touched);
        next
    }

    fn put_node(&mut self, version: RowVersion, row: NodeRow, touched: &mut Touched) {
        let incarnation = row.incarnation;
        let service = row.service().cloned();
        let before = self
            .nodes
            .insert(incarnation, Arc::new(Versioned { version, row }));
        let before = before.and_then(|node| node.row.service().cloned());
        for service in service.into_iter().chain(before) {
            touched.entry(service).or_default().insert(incarnation);
        }
    }

    /// Makes the indexes of the touched services again.
    fn index(&mut self, touched: Touched) {
        for (service, mut incarnations) in touched {
            incarnations.extend(self.members(&service));
            incarnations.retain(|incarnation| {
                let node = self.nodes.get(incarnation);
                node.is_some_and(|node| {
                    node.row.state != NodeState::Retired && node.row.service() == Some(&service)
                })
            });
            let owners = self.owners_of(&service, &incarnations);
            self.owners.insert(service.clone(), Arc::new(owners));
            self.members
                .insert(service, incarnations.into_iter().collect());
        }
    }

    fn owners_of(
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

    /// Whether a node has a row that is not retired.
    pub fn is_live(&self, incarnation: Incarnation) -> bool {
        self.node(incarnation)
            .is_some_and(|node| node.row.state != NodeState::Retired)
    }

    /// The row of a node.
    pub fn node(&self, incarnation: Incarnation) -> Option<&Arc<Versioned<NodeRow>>> {
        self.nodes.get(&incarnation)
    }

    /// Every node row, retired ones included.
    pub fn nodes(&self) -> impl Iterator<Item = &Arc<Versioned<NodeRow>>> {
        self.nodes.values()
    }

    /// Node rows that are not retired.
    pub fn live_nodes(&self) -> impl Iterator<Item = &Arc<Versioned<NodeRow>>> {
        self.nodes
            .values()
            .filter(|node| node.row.state != NodeState::Retired)
    }

    /// The row of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Versioned<ServiceRow>>> {
        self.services.get(name)
    }

    /// Every service row.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Versioned<ServiceRow>>> {
        self.services.values()
    }

    /// A configuration row; `what` is `inventory` or `rules`.
    pub fn config(&self, what: &str) -> Option<&Arc<Versioned<ConfigRow>>> {
        self.configs.get(what)
    }

    /// Nodes, not retired, whose upstream belongs to a service.
    pub fn members(&self, service: &str) -> &[Incarnation] {
        self.members.get(service).map_or(&[], |members| members)
    }

    /// The owner of a slot.
    pub fn owner(&self, service: &str, slot: Slot) -> Option<Owner> {
        self.owners.get(service)?.get(&slot).copied()
    }

    /// The slot of a key in a divided service, and its owner if it has one.
    pub fn locate(&self, service: &str, key: &str) -> Option<(Slot, Option<Owner>)> {
        let row = &self.service(service)?.row;
        if row.kind == ServiceKind::Shared {
            return None;
        }
        let slot = row.slot_of(crate::hash::key_hash(key));
        Some((slot, self.owner(service, slot)))
    }
}

/// Rows reach a node one by one, so for a moment an old row and a new one may
/// both name the slot: the higher fence is the newer.
fn add_owner(owners: &mut HashMap<Slot, Owner>, slot: Slot, owner: Owner) {
    let known = owners.entry(slot).or_insert(owner);
    if known.fence < owner.fence {
        *known = owner;
    }
}
/// Services whose rows changed, and the nodes that changed in each.
type Touched = BTreeMap<ServiceName, BTreeSet<Incarnation>>;
