//! Replicas of the range maps of all divided services, and their exchange
//! between nodes as deltas.

use crate::map::{Assignment, RangeMap};
use event_listener::{Event, EventListener};
use ibiscove_types::{RowVersion, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A map and the version of its row.
#[derive(Clone, Debug)]
pub struct VersionedMap {
    /// Version of the map's row in the table.
    pub version: RowVersion,
    /// The map.
    pub map: Arc<RangeMap>,
}

/// Deltas that are retained for nodes whose map is older.
const MAX_DELTAS: usize = 64;

/// A map as sent from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapUpdate {
    /// Version of the map's row in the table.
    pub version: RowVersion,
    /// The whole map, or its difference from the receiver's map.
    pub content: MapContent,
}

/// Content of a [`MapUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MapContent {
    /// The whole map.
    Whole(RangeMap),
    /// The changes since an epoch that is not above the receiver's.
    Changes {
        /// Epoch of the resulting map.
        epoch: u64,
        /// The changed assignments, in the order in which they apply.
        changes: Vec<Assignment>,
    },
}

/// Difference between two maps that this node received in succession.
#[derive(Clone, Debug)]
struct MapDelta {
    from_epoch: u64,
    to_epoch: u64,
    changes: Vec<Assignment>,
}

/// The newest map of a service and the deltas that led to it.
#[derive(Clone, Debug)]
struct MapHistory {
    current: VersionedMap,
    deltas: VecDeque<MapDelta>,
}

/// The newest map of each service. Clones share them.
#[derive(Clone, Default)]
pub struct RangeMaps {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    maps: Mutex<BTreeMap<ServiceName, MapHistory>>,
    changed: Event,
}

impl RangeMaps {
    /// Stores a map unless the same or a newer version is present; returns
    /// whether it was stored.
    pub fn accept(&self, service: &ServiceName, version: RowVersion, map: Arc<RangeMap>) -> bool {
        let mut maps = self.lock();
        let next = VersionedMap { version, map };
        match maps.get_mut(service) {
            Some(history) if history.current.version >= version => return false,
            Some(history) => {
                history.deltas.push_back(MapDelta {
                    from_epoch: history.current.map.epoch(),
                    to_epoch: next.map.epoch(),
                    changes: next.map.changes_since(&history.current.map),
                });
                if history.deltas.len() > MAX_DELTAS {
                    history.deltas.pop_front();
                }
                history.current = next;
            }
            None => {
                let history = MapHistory {
                    current: next,
                    deltas: VecDeque::new(),
                };
                maps.insert(Arc::clone(service), history);
            }
        }
        drop(maps);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Applies an update from another node; returns whether it was newer.
    pub fn accept_update(&self, service: &ServiceName, update: MapUpdate) -> bool {
        let map = match update.content {
            MapContent::Whole(map) => map,
            MapContent::Changes { epoch, changes } => {
                let Some(current) = self
                    .get(service)
                    .filter(|current| current.map.epoch() < epoch)
                else {
                    return false;
                };
                current.map.with_changes(epoch, &changes)
            }
        };
        self.accept(service, update.version, Arc::new(map))
    }

    /// Returns an update for a node whose map has the given epoch, or that has
    /// no map.
    pub fn update_since(&self, service: &str, epoch: Option<u64>) -> Option<MapUpdate> {
        let maps = self.lock();
        let history = maps.get(service)?;
        let changes = epoch.and_then(|epoch| changes_after(&history.deltas, epoch));
        let content = match changes {
            Some(changes) => MapContent::Changes {
                epoch: history.current.map.epoch(),
                changes,
            },
            None => MapContent::Whole(RangeMap::clone(&history.current.map)),
        };
        Some(MapUpdate {
            version: history.current.version,
            content,
        })
    }

    /// Returns the map of a service.
    pub fn get(&self, service: &str) -> Option<VersionedMap> {
        self.lock()
            .get(service)
            .map(|history| history.current.clone())
    }

    /// Returns the version of a service's map; 0 when there is none.
    pub fn version(&self, service: &str) -> RowVersion {
        self.lock()
            .get(service)
            .map_or(0, |history| history.current.version)
    }

    /// Returns the version of every map.
    pub fn versions(&self) -> Vec<(String, RowVersion)> {
        let version = |(service, history): (&ServiceName, &MapHistory)| {
            (service.to_string(), history.current.version)
        };
        self.lock().iter().map(version).collect()
    }

    /// Returns a listener that completes when a newer map is stored.
    pub fn changed(&self) -> EventListener {
        self.inner.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, MapHistory>> {
        self.inner
            .maps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the changes since the map of `epoch`; none when the retained deltas
/// do not reach back to it. A map whose epoch is within a delta differs from
/// the delta's result only in ranges that the delta contains, so a delta that
/// starts at an earlier epoch is applicable too.
fn changes_after(deltas: &VecDeque<MapDelta>, epoch: u64) -> Option<Vec<Assignment>> {
    let first = deltas.iter().position(|delta| delta.to_epoch > epoch)?;
    if deltas[first].from_epoch > epoch {
        return None;
    }
    let after = deltas.iter().skip(first);
    Some(
        after
            .flat_map(|delta| delta.changes.iter().cloned())
            .collect(),
    )
}
