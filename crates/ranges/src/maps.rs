//! The maps that this node has, of every divided service.

use crate::map::RangeMap;
use event_listener::{Event, EventListener};
use ibiscove_types::{RowVersion, ServiceName};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A map and the version of its row.
#[derive(Clone, Debug)]
pub struct VersionedMap {
    /// The table's version of the row.
    pub version: RowVersion,
    /// The map.
    pub map: Arc<RangeMap>,
}

/// The newest map of each service. Clones share them.
#[derive(Clone, Default)]
pub struct RangeMaps {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    maps: Mutex<BTreeMap<ServiceName, VersionedMap>>,
    changed: Event,
}

impl RangeMaps {
    /// Takes a map unless a newer one is known; true when it was taken.
    pub fn take(&self, service: &ServiceName, version: RowVersion, map: Arc<RangeMap>) -> bool {
        let mut maps = self.lock();
        if maps
            .get(service)
            .is_some_and(|known| known.version >= version)
        {
            return false;
        }
        maps.insert(Arc::clone(service), VersionedMap { version, map });
        drop(maps);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// The map of a service.
    pub fn get(&self, service: &str) -> Option<VersionedMap> {
        self.lock().get(service).cloned()
    }

    /// The version of a service's map; 0 when none is known.
    pub fn version(&self, service: &str) -> RowVersion {
        self.lock().get(service).map_or(0, |known| known.version)
    }

    /// The version of every map.
    pub fn versions(&self) -> Vec<(String, RowVersion)> {
        let version =
            |(service, map): (&ServiceName, &VersionedMap)| (service.to_string(), map.version);
        self.lock().iter().map(version).collect()
    }

    /// Completes when a newer map was taken.
    pub fn changed(&self) -> EventListener {
        self.inner.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, VersionedMap>> {
        self.inner
            .maps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
