//! The evacuated data centres: those to whose upstreams nothing more is to be sent.
//!
//! The state is complete as of a version of the table in which the operator keeps it,
//! so that of two states the one of the later version holds, whichever arrives first.
//! [`EvacuationState`] is the state of one node and the rules by which it changes,
//! [`Evacuations`] shares it between the tasks of the node.

use ibiscove_store::era::{MAX_ERA, era_of};
use ibiscove_types::{DataCentre, RowVersion};
use ibiscove_wire::messages::{Evacuation, Presence};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after a node has heard of an evacuation for which owners in the data centre may
/// still serve the keys that they have not handed over. Operators expect an evacuation
/// to be in force within five seconds.
pub const HANDOVER_PERIOD: Duration = Duration::from_secs(3);
/// Most bytes of all names together, so that they fit into a heartbeat beside the rest.
pub const MAX_NAME_BYTES: usize = 320;
/// Most data centres that are evacuated at a time.
pub const MAX_DATA_CENTRES: usize = 16;

/// What the operator's table holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading {
    /// All evacuated data centres.
    All(BTreeSet<DataCentre>),
    /// Those that changed since the last reading.
    Changes {
        /// Each, and whether it is evacuated.
        changes: Vec<(DataCentre, bool)>,
        /// Until when owners may hand keys over at the latest, however late the changes
        /// were read.
        latest_handover_end: Instant,
    },
}

/// Effect of news on the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centres that are evacuated now.
    pub evacuated: Vec<DataCentre>,
    /// Data centres that were taken back.
    pub taken_back: Vec<DataCentre>,
    /// Data centres that are left out, since there are too many.
    pub left_out: Vec<DataCentre>,
    /// Whether another node has an older state, which differs.
    pub is_peer_behind: bool,
    /// Whether the state is known for the first time.
    pub is_first: bool,
}

impl EvacuationChange {
    /// Returns whether the set of evacuated data centres has changed.
    pub fn is_change(&self) -> bool {
        !self.evacuated.is_empty() || !self.taken_back.is_empty()
    }
}

/// The evacuated data centres, as a node knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// Version of the table as of which this is the state; none before any is known.
    version: Option<RowVersion>,
    /// Until when owners in each of them may hand keys over.
    handover_ends: BTreeMap<DataCentre, Instant>,
    /// Whether some node of the mesh may have an earlier state that differs.
    is_told: bool,
}

impl EvacuationState {
    /// Applies what was read from the operator's table as of `version`.
    /// `is_populated` tells the data centres in which there are nodes, which count
    /// first if there are too many.
    ///
    /// When an evacuation that shows only in a reading of everything began is not
    /// known, so that owners there get no time to hand keys over. One that is known
    /// already keeps the end of its handovers.
    pub fn apply_reading(
        &mut self,
        version: RowVersion,
        reading: Reading,
        is_populated: impl Fn(&DataCentre) -> bool,
        now: Instant,
    ) -> EvacuationChange {
        if self.version.is_some_and(|known| version < known) {
            return EvacuationChange::default();
        }
        let (mut next, handover_end) = match reading {
            Reading::All(all) => (all, now),
            Reading::Changes {
                changes,
                latest_handover_end,
            } => {
                let mut next: BTreeSet<_> = self.handover_ends.keys().cloned().collect();
                for (data_centre, is_evacuated) in changes {
                    match is_evacuated {
                        true => next.insert(data_centre),
                        false => next.remove(&data_centre),
                    };
                }
                (next, latest_handover_end.min(now + HANDOVER_PERIOD))
            }
        };
        let left_out = remove_excess(&mut next, is_populated);
        let next = next.into_iter().map(|name| (name, handover_end)).collect();
        EvacuationChange {
            left_out,
            ..self.replace(version, next)
        }
    }

    /// Applies the state that another node's heartbeat carries. A data centre that is
    /// known to be evacuated keeps the end of its handovers. News of the version that is
    /// known change nothing.
    pub fn merge(&mut self, news: &EvacuationNews, now: Instant) -> EvacuationChange {
        let next: BTreeMap<DataCentre, Instant> = news
            .evacuated
            .iter()
            .map(|(name, left)| (name.clone(), now + (*left).min(HANDOVER_PERIOD)))
            .collect();
        if self.version.is_some_and(|known| news.version < known) {
            let is_peer_behind = !next.keys().eq(self.handover_ends.keys());
            self.is_told |= is_peer_behind;
            return EvacuationChange {
                is_peer_behind,
                ..EvacuationChange::default()
            };
        }
        self.is_told = true;
        if self.version == Some(news.version) {
            // It differs only where there are too many, and each node has left out others.
            return EvacuationChange::default();
        }
        self.replace(news.version, next)
    }

    /// Records that a node which knows the operator's rows names no evacuation.
    pub fn record_none_named(&mut self) -> EvacuationChange {
        let is_first = self.version.is_none();
        self.version.get_or_insert(0);
        EvacuationChange {
            is_first,
            ..EvacuationChange::default()
        }
    }

    fn replace(
        &mut self,
        version: RowVersion,
        mut next: BTreeMap<DataCentre, Instant>,
    ) -> EvacuationChange {
        let is_first = self.version.replace(version).is_none();
        let known = &self.handover_ends;
        for (name, end) in &mut next {
            // A node that heard of the evacuation later, or read all rows again, knows
            // less of when it began.
            if let Some(known_end) = known.get(name) {
                *end = *known_end;
            }
        }
        let is_new = |name: &&DataCentre| !known.contains_key(*name);
        let is_gone = |name: &&DataCentre| !next.contains_key(*name);
        let change = EvacuationChange {
            evacuated: next.keys().filter(is_new).cloned().collect(),
            taken_back: known.keys().filter(is_gone).cloned().collect(),
            is_first,
            ..EvacuationChange::default()
        };
        self.is_told |= change.is_change();
        self.handover_ends = next;
        change
    }

    /// Returns whether the state is known at all.
    pub fn is_known(&self) -> bool {
        self.version.is_some()
    }

    /// Returns until when owners in an evacuated data centre may hand keys over; none
    /// if it is not evacuated.
    pub fn handover_end(&self, data_centre: &str) -> Option<Instant> {
        self.handover_ends.get(data_centre).copied()
    }

    /// Returns the evacuated data centres.
    pub fn names(&self) -> impl Iterator<Item = &DataCentre> {
        self.handover_ends.keys()
    }

    /// Returns what this node's heartbeat tells of it: nothing while there was no
    /// evacuation since the process started.
    pub fn news(&self, now: Instant) -> Option<EvacuationNews> {
        let version = self.version.filter(|_| self.is_told)?;
        let evacuated = self
            .handover_ends
            .iter()
            .map(|(name, end)| (name.clone(), end.saturating_duration_since(now)));
        Some(EvacuationNews {
            version,
            evacuated: evacuated.collect(),
        })
    }
}

/// Removes the names beyond the limits, first those without nodes. Returns them.
fn remove_excess(
    names: &mut BTreeSet<DataCentre>,
    is_populated: impl Fn(&DataCentre) -> bool,
) -> Vec<DataCentre> {
    let mut ordered: Vec<DataCentre> = names.iter().cloned().collect();
    ordered.sort_by_key(|name| !is_populated(name));
    let (mut bytes, mut count) = (0, 0);
    ordered.retain(|name| {
        let fits = bytes + name.len() <= MAX_NAME_BYTES && count < MAX_DATA_CENTRES;
        if fits {
            bytes += name.len();
            count += 1;
        }
        !fits
    });
    for name in &ordered {
        names.remove(name);
    }
    ordered
}

/// The evacuated data centres as a heartbeat carries them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationNews {
    /// Version of the table as of which these are all.
    pub version: RowVersion,
    /// Each with the time that owners there still have to hand keys over.
    pub evacuated: Vec<(DataCentre, Duration)>,
}

impl EvacuationNews {
    /// Reads the fields of a heartbeat; none if it tells of no evacuation. Numbers out
    /// of range and more data centres than there may be are an error, which names the
    /// field.
    pub fn decode(presence: &mut Presence) -> Result<Option<Self>, &'static str> {
        let evacuated = presence.evacuations.take().unwrap_or_default();
        let Some(version) = presence.evacuations_version else {
            return Ok(None);
        };
        let version = u64::try_from(version)
            .ok()
            // Nothing could ever be newer than a version near the largest.
            .filter(|version| era_of(*version) < MAX_ERA)
            .ok_or("evacuations_version")?;
        if evacuated.len() > MAX_DATA_CENTRES {
            return Err("evacuations");
        }
        let evacuated: Result<Vec<_>, &'static str> = evacuated
            .into_iter()
            .map(|evacuation| {
                let left = u64::try_from(evacuation.handover_left_ms);
                let left = left.map_err(|_| "handover_left_ms")?;
                Ok((evacuation.data_centre.into(), Duration::from_millis(left)))
            })
            .collect();
        Ok(Some(Self {
            version,
            evacuated: evacuated?,
        }))
    }

    /// Writes the fields of a heartbeat.
    pub fn encode(news: Option<Self>, to: &mut Presence) {
        let Some(news) = news else {
            return;
        };
        to.evacuations_version = Some(news.version as i64);
        let evacuated = news.evacuated.into_iter().map(|(name, left)| Evacuation {
            data_centre: name.to_string(),
            handover_left_ms: i32::try_from(left.as_millis()).unwrap_or(i32::MAX),
        });
        to.evacuations = Some(evacuated.collect::<Vec<_>>()).filter(|all| !all.is_empty());
    }
}

/// The state of a node. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Evacuations(Arc<Mutex<EvacuationState>>);

impl Evacuations {
    /// Changes the state, which must not block.
    pub fn update(
        &self,
        change: impl FnOnce(&mut EvacuationState) -> EvacuationChange,
    ) -> EvacuationChange {
        change(&mut self.lock())
    }

    /// Reads the state, of which all that `read` sees belongs together. It must not
    /// block.
    pub fn read<R>(&self, read: impl FnOnce(&EvacuationState) -> R) -> R {
        read(&self.lock())
    }

    /// Returns the evacuated data centres.
    pub fn names(&self) -> BTreeSet<DataCentre> {
        self.lock().names().cloned().collect()
    }

    /// Returns until when owners in an evacuated data centre may hand keys over; none
    /// if it is not evacuated.
    pub fn handover_end(&self, data_centre: &str) -> Option<Instant> {
        self.lock().handover_end(data_centre)
    }

    /// Returns whether the state is known at all.
    pub fn is_known(&self) -> bool {
        self.lock().is_known()
    }

    /// Returns what this node's heartbeat tells of it.
    pub fn news(&self, now: Instant) -> Option<EvacuationNews> {
        self.lock().news(now)
    }

    fn lock(&self) -> MutexGuard<'_, EvacuationState> {
        // Each lock covers one change or read, which leaves the state consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
