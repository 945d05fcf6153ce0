//! The maps that this node has, of every divided service.

use crate::map::{Assignment, RangeMap};
use event_listener::{Event, EventListener};
use ibiscove_types::{RowVersion, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A map and the version of its row.
#[derive(Clone, Debug)]
pub struct VersionedMap {
    /// The table's version of the row.
    pub version: RowVersion,
    /// The map.
    pub map: Arc<RangeMap>,
}

/// Changes that are kept for others that are behind.
const MAX_HISTORY: usize = 64;

/// A map as one node tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapUpdate {
    /// The table's version of the row.
    pub version: RowVersion,
    /// The map, or how it differs from the one that the other has.
    pub content: MapContent,
}

/// Content of a [`MapUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MapContent {
    /// The whole map.
    Whole(RangeMap),
    /// What has changed since an epoch that the other has passed.
    Changes {
        /// The epoch of the map that results.
        epoch: u64,
        /// The ranges as they are now, later ones in place of earlier.
        changes: Vec<Assignment>,
    },
}

/// What changed between two maps that this node had one after the other.
#[derive(Clone, Debug)]
struct Step {
    from_epoch: u64,
    to_epoch: u64,
    changes: Vec<Assignment>,
}

/// A service's map and how it came about.
#[derive(Clone, Debug)]
struct Known {
    current: VersionedMap,
    steps: VecDeque<Step>,
}

/// The newest map of each service. Clones share them.
#[derive(Clone, Default)]
pub struct RangeMaps {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    maps: Mutex<BTreeMap<ServiceName, Known>>,
    changed: Event,
}

impl RangeMaps {
    /// Takes a map unless a newer one is known; true when it was taken.
    pub fn accept(&self, service: &ServiceName, version: RowVersion, map: Arc<RangeMap>) -> bool {
        let mut maps = self.lock();
        let next = VersionedMap { version, map };
        match maps.get_mut(service) {
            Some(known) if known.current.version >= version => return false,
            Some(known) => {
                known.steps.push_back(Step {
                    from_epoch: known.current.map.epoch(),
                    to_epoch: next.map.epoch(),
                    changes: next.map.changes_since(&known.current.map),
                });
                if known.steps.len() > MAX_HISTORY {
                    known.steps.pop_front();
                }
                known.current = next;
            }
            None => {
                let known = Known {
                    current: next,
                    steps: VecDeque::new(),
                };
                maps.insert(Arc::clone(service), known);
            }
        }
        drop(maps);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Takes what another node tells; true when it was taken.
    pub fn accept_update(&self, service: &ServiceName, update: MapUpdate) -> bool {
        let map = match update.content {
            MapContent::Whole(map) => map,
            MapContent::Changes { epoch, changes } => {
                let Some(known) = self.get(service).filter(|known| known.map.epoch() < epoch)
                else {
                    return false;
                };
                known.map.patched(epoch, &changes)
            }
        };
        self.accept(service, update.version, Arc::new(map))
    }

    /// What a node is told that has the map of an epoch, or none.
    pub fn update_since(&self, service: &str, epoch: Option<u64>) -> Option<MapUpdate> {
        let maps = self.lock();
        let known = maps.get(service)?;
        let changes = epoch.and_then(|epoch| changes_after(&known.steps, epoch));
        let content = match changes {
            Some(changes) => MapContent::Changes {
                epoch: known.current.map.epoch(),
                changes,
            },
            None => MapContent::Whole(RangeMap::clone(&known.current.map)),
        };
        Some(MapUpdate {
            version: known.current.version,
            content,
        })
    }

    /// The map of a service.
    pub fn get(&self, service: &str) -> Option<VersionedMap> {
        self.lock().get(service).map(|known| known.current.clone())
    }

    /// The version of a service's map; 0 when none is known.
    pub fn version(&self, service: &str) -> RowVersion {
        self.lock()
            .get(service)
            .map_or(0, |known| known.current.version)
    }

    /// The version of every map.
    pub fn versions(&self) -> Vec<(String, RowVersion)> {
        let version =
            |(service, known): (&ServiceName, &Known)| (service.to_string(), known.current.version);
        self.lock().iter().map(version).collect()
    }

    /// Completes when a newer map was taken.
    pub fn changed(&self) -> EventListener {
        self.inner.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Known>> {
        self.inner
            .maps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// What has changed since the map of `epoch`; none when that is too long ago.
/// A map within a step differs from the step's end only where the step changed
/// something, so a step that began earlier serves as well.
fn changes_after(steps: &VecDeque<Step>, epoch: u64) -> Option<Vec<Assignment>> {
    let first = steps.iter().position(|step| step.to_epoch > epoch)?;
    if steps[first].from_epoch > epoch {
        return None;
    }
    let after = steps.iter().skip(first);
    Some(
        after
            .flat_map(|step| step.changes.iter().cloned())
            .collect(),
    )
}
