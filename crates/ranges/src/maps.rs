//! Replicas of the range maps of all divided services, and their exchange
//! between nodes as deltas of sections.

use crate::map::{Assignment, MapSection, RangeMap, SECTION_COUNT, SectionIndex, era_of_epoch};
use event_listener::{Event, EventListener};
use ibiscove_store::era::era_of;
use ibiscove_types::{RowVersion, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A section that this node has just stored, to be passed on to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionNews {
    /// The service.
    pub service: ServiceName,
    /// The section.
    pub section: SectionIndex,
    /// Version of the section's row in the table.
    pub version: RowVersion,
    /// What has changed; none if that is unknown or too much to pass on. Other
    /// nodes fetch it then.
    pub changes: Option<SectionChanges>,
}

/// Most changed assignments in one datagram of news, beside the sender's presence.
/// A change of more is announced without its content.
pub const MAX_NEWS_ASSIGNMENTS: usize = 12;
/// News that wait to be passed on; older ones are dropped, and other nodes find
/// them by the versions of their peers.
const MAX_NEWS: usize = 64;

/// Deltas of a section that are retained for nodes whose section is older.
const MAX_DELTAS: usize = 32;

/// A section as sent from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionUpdate {
    /// Version of the section's row in the table.
    pub version: RowVersion,
    /// The whole section, or its difference from the receiver's.
    pub content: SectionContent,
}

/// Content of a [`SectionUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SectionContent {
    /// The whole section.
    Whole(MapSection),
    /// The changes since an epoch.
    Changes(SectionChanges),
}

/// Difference between two states of a section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionChanges {
    /// The changes apply to sections of this epoch or a later one.
    pub from_epoch: u64,
    /// Epoch of the resulting section.
    pub to_epoch: u64,
    /// The changed assignments, in the order in which they apply.
    pub changes: Vec<Assignment>,
}

/// The newest map of a service.
#[derive(Clone, Debug)]
struct MapHistory {
    map: Arc<RangeMap>,
    /// The deltas of each section that led to its state.
    deltas: Vec<VecDeque<SectionChanges>>,
}

impl Default for MapHistory {
    fn default() -> Self {
        Self {
            map: Arc::new(RangeMap::unowned()),
            deltas: vec![VecDeque::new(); SECTION_COUNT],
        }
    }
}

/// The newest map of each service. Clones share them.
#[derive(Clone, Default)]
pub struct RangeMaps {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    maps: Mutex<BTreeMap<ServiceName, MapHistory>>,
    news: Mutex<VecDeque<SectionNews>>,
    changed: Event,
}

impl RangeMaps {
    /// Stores a section unless the same or a newer version is present; returns
    /// whether it was stored. A section whose numbers nobody assigns is counted and
    /// left out, since it would hide all later ones.
    pub fn accept(
        &self,
        service: &ServiceName,
        version: RowVersion,
        section: Arc<MapSection>,
    ) -> bool {
        if let Err(problem) = check(version, &section) {
            metrics::counter!("ibiscove_map_sections_refused_total").increment(1);
            log::error!(service = &**service, section = section.index(), version;
                "a section of the range map is refused: {problem}");
            return false;
        }
        let mut maps = self.lock();
        let MapHistory { map, deltas } = maps.entry(Arc::clone(service)).or_default();
        let current = Arc::clone(map.section(section.index()));
        let known_version = map.version(section.index());
        if known_version >= version {
            return false;
        }
        let mut changes = None;
        if era_of_epoch(current.epoch()) != era_of_epoch(section.epoch()) {
            // The states of an earlier era may have parted from those of this one.
            deltas[section.index()].clear();
        } else if known_version > 0 {
            let deltas = &mut deltas[section.index()];
            let delta = SectionChanges {
                from_epoch: current.epoch(),
                to_epoch: section.epoch(),
                changes: section.changes_since(&current),
            };
            changes = Some(&delta)
                .filter(|delta| delta.changes.len() <= MAX_NEWS_ASSIGNMENTS)
                .cloned();
            deltas.push_back(delta);
            if deltas.len() > MAX_DELTAS {
                deltas.pop_front();
            }
        }
        let news = SectionNews {
            service: Arc::clone(service),
            section: section.index(),
            version,
            changes,
        };
        *map = Arc::new(RangeMap::clone(map).with_section(section, version));
        drop(maps);
        self.add_news(news);
        self.inner.changed.notify(usize::MAX);
        true
    }

    fn add_news(&self, news: SectionNews) {
        let mut all = self
            .inner
            .news
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if all.len() == MAX_NEWS {
            all.pop_front();
        }
        all.push_back(news);
    }

    /// Returns the sections stored since the last call.
    pub fn take_news(&self) -> Vec<SectionNews> {
        let mut all = self
            .inner
            .news
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *all).into()
    }

    /// Applies an update from another node; returns whether it was newer.
    pub fn accept_update(
        &self,
        service: &ServiceName,
        section: SectionIndex,
        update: SectionUpdate,
    ) -> bool {
        match update.content {
            SectionContent::Whole(whole) if whole.index() == section => {
                self.accept(service, update.version, Arc::new(whole))
            }
            SectionContent::Whole(_) => false,
            SectionContent::Changes(delta) => {
                let Some(current) = self.known_section(service, section) else {
                    return false;
                };
                let is_of_era = era_of_epoch(delta.from_epoch) == era_of_epoch(delta.to_epoch);
                if !is_of_era
                    || current.epoch() < delta.from_epoch
                    || current.epoch() >= delta.to_epoch
                {
                    return false;
                }
                let next = current.with_changes(delta.to_epoch, &delta.changes);
                self.accept(service, update.version, Arc::new(next))
            }
        }
    }

    /// Returns an update for a node whose section has the given epoch, or that
    /// has none.
    pub fn update_since(
        &self,
        service: &str,
        section: SectionIndex,
        epoch: Option<u64>,
    ) -> Option<SectionUpdate> {
        let maps = self.lock();
        let MapHistory { map, deltas } = maps.get(service)?;
        let version = map.known_version(section)?;
        let content = match epoch.and_then(|epoch| changes_after(&deltas[section], epoch)) {
            Some(delta) => SectionContent::Changes(delta),
            None => SectionContent::Whole(MapSection::clone(map.section(section))),
        };
        Some(SectionUpdate { version, content })
    }

    /// Returns the epoch of each section of a service's map; none for those that
    /// were not received.
    pub fn epochs(&self, service: &str) -> Vec<Option<u64>> {
        let map = self.get(service);
        (0..SECTION_COUNT)
            .map(|section| Some(map.as_ref()?.known_section(section)?.epoch()))
            .collect()
    }

    /// Returns updates of all sections that are newer than those of a node with these
    /// epochs. Each is made when it is taken, since a response may have room for a few.
    pub fn updates_since<'a>(
        &'a self,
        service: &'a str,
        epochs: &'a [Option<u64>],
    ) -> impl Iterator<Item = (SectionIndex, SectionUpdate)> + 'a {
        let own_epochs = self.epochs(service).into_iter().enumerate();
        own_epochs.filter_map(move |(section, own_epoch)| {
            let epoch = epochs.get(section).copied().flatten();
            // No epoch is less than any.
            let is_newer = own_epoch > epoch;
            let update = || self.update_since(service, section, epoch);
            Some((section, is_newer.then(update)??))
        })
    }

    /// Returns the map of a service; sections that were not received yet are
    /// unowned in it. None while no section was received.
    pub fn get(&self, service: &str) -> Option<Arc<RangeMap>> {
        self.lock()
            .get(service)
            .map(|history| Arc::clone(&history.map))
    }

    /// Returns a section of a service's map, if it was received.
    pub fn known_section(&self, service: &str, section: SectionIndex) -> Option<Arc<MapSection>> {
        self.get(service)?.known_section(section).cloned()
    }

    /// Returns the version of a section of a service's map; 0 when there is none.
    pub fn version(&self, service: &str, section: SectionIndex) -> RowVersion {
        self.get(service)
            .and_then(|map| map.known_version(section))
            .unwrap_or_default()
    }

    /// Returns the sum of the epochs of each service's map.
    pub fn all_epochs(&self) -> Vec<(ServiceName, u64)> {
        let epoch = |(service, history): (&ServiceName, &MapHistory)| {
            (Arc::clone(service), history.map.epoch())
        };
        self.lock().iter().map(epoch).collect()
    }

    /// Returns the sum of the epochs of a service's map; 0 when there is none.
    pub fn epoch(&self, service: &str) -> u64 {
        self.get(service).map_or(0, |map| map.epoch())
    }

    /// Returns a listener that completes when a newer section is stored.
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

/// Returns an error if a section is not one that a table assigns this version to.
fn check(version: RowVersion, section: &MapSection) -> Result<(), String> {
    section.check_numbers().map_err(|err| err.to_string())?;
    let epoch = section.epoch();
    match era_of(version) == era_of_epoch(epoch) {
        true => Ok(()),
        false => Err(format!("its version and its epoch {epoch} are of two eras")),
    }
}

/// Returns the changes since the section of `epoch`; none when the retained
/// deltas do not reach back to it. A section whose epoch is within a delta
/// differs from the delta's result only in ranges that the delta contains, so a
/// delta that starts at an earlier epoch is applicable too.
fn changes_after(deltas: &VecDeque<SectionChanges>, epoch: u64) -> Option<SectionChanges> {
    let first = deltas.iter().position(|delta| delta.to_epoch > epoch)?;
    let from_epoch = deltas[first].from_epoch;
    if from_epoch > epoch {
        return None;
    }
    let after = deltas.iter().skip(first);
    Some(SectionChanges {
        from_epoch,
        to_epoch: deltas.back()?.to_epoch,
        changes: after
            .flat_map(|delta| delta.changes.iter().cloned())
            .collect(),
    })
}
