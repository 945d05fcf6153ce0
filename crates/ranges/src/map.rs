//! The range map: the partition of a service's keys among its owners.

use ibiscove_types::{Fence, Key, NodeName, UpstreamIncarnation};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Keys from `first` to `last`, inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub first: Key,
    /// The last key.
    pub last: Key,
}

impl KeyRange {
    /// All keys.
    pub const ALL: KeyRange = KeyRange {
        first: Key::MIN,
        last: Key::MAX,
    };

    /// Returns whether a key is in the range.
    pub fn contains(&self, key: Key) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns the number of keys.
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns whether two ranges have a key in common.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the keys that are in both ranges.
    pub fn intersection(&self, other: &KeyRange) -> Option<KeyRange> {
        self.overlaps(other).then(|| KeyRange {
            first: self.first.max(other.first),
            last: self.last.min(other.last),
        })
    }

    /// Returns the parts of this range that are not in `other`, at most two.
    pub fn difference(&self, other: &KeyRange) -> impl Iterator<Item = KeyRange> + use<> {
        let common = self.intersection(other);
        let before = match common {
            None => Some(*self),
            Some(common) if common.first > self.first => Some(KeyRange {
                first: self.first,
                last: common.first - 1,
            }),
            Some(_) => None,
        };
        let after = common
            .filter(|common| common.last < self.last)
            .map(|common| KeyRange {
                first: common.last + 1,
                last: self.last,
            });
        before.into_iter().chain(after)
    }
}

/// An upstream incarnation that owns keys, and the node that runs beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The node that grants the keys.
    pub node: NodeName,
    /// The upstream incarnation that the keys are granted to.
    pub life: UpstreamIncarnation,
}

/// A range and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The keys.
    pub range: KeyRange,
    /// The owner; none while the range is unowned.
    pub owner: Option<Owner>,
    /// Fencing token: rises with each change of owner, and is unique within a
    /// service.
    pub fence: Fence,
    /// Opaque state of the previous owner, for the first grant to this one.
    pub handover: Option<Arc<str>>,
}

/// A partition of a service's keys into ranges, in key order. Every change
/// yields a map with the next epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "MapFields", into = "MapFields")]
pub struct RangeMap {
    epoch: u64,
    assignments: Vec<Assignment>,
}

/// A change of a range's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The keys.
    pub range: KeyRange,
    /// The next owner; none leaves the range unowned.
    pub to: Option<Owner>,
    /// Opaque state that the previous owner returned on release.
    pub handover: Option<Arc<str>>,
}

impl Transfer {
    /// Returns a transfer that carries no state of the previous owner.
    pub fn without_handover(range: KeyRange, to: Owner) -> Self {
        Self {
            range,
            to: Some(to),
            handover: None,
        }
    }
}

/// Why a stored map is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MapError {
    /// A key is in no range, or in two.
    #[error("the ranges do not cover every key once")]
    NotAPartition,
    /// A range refers to an owner that is not in the list of owners.
    #[error("a range names an owner that is not listed")]
    UnknownOwner,
}

impl RangeMap {
    /// Returns a map in which every key is unowned.
    pub fn unowned() -> Self {
        Self {
            epoch: 0,
            assignments: vec![Assignment {
                range: KeyRange::ALL,
                owner: None,
                fence: 0,
                handover: None,
            }],
        }
    }

    /// Returns the number of changes so far.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns every range, in key order.
    pub fn assignments(&self) -> &[Assignment] {
        &self.assignments
    }

    /// Returns the assignment of a key.
    pub fn assignment_of(&self, key: Key) -> &Assignment {
        let index = self.assignments.partition_point(|a| a.range.last < key);
        // The ranges cover every key, see `MapFields`.
        &self.assignments[index]
    }

    /// Returns the assignments of an owner.
    pub fn owned_by<'a>(&'a self, owner: &'a Owner) -> impl Iterator<Item = &'a Assignment> {
        self.assignments
            .iter()
            .filter(move |a| a.owner.as_ref() == Some(owner))
    }

    /// Returns the assignments of a node, for any incarnation of its upstream.
    pub fn owned_by_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = &'a Assignment> {
        self.assignments
            .iter()
            .filter(move |a| a.owner.as_ref().is_some_and(|owner| &*owner.node == node))
    }

    /// Returns the number of keys that a node owns.
    pub fn width_owned_by_node(&self, node: &str) -> u32 {
        self.owned_by_node(node).map(|a| a.range.width()).sum()
    }

    /// Returns the map after some ranges have changed owner, under a fence
    /// above all earlier ones.
    pub fn with_transfers(&self, transfers: &[Transfer]) -> Self {
        let epoch = self.epoch + 1;
        let changes: Vec<_> = transfers
            .iter()
            .map(|transfer| Assignment {
                range: transfer.range,
                owner: transfer.to.clone(),
                fence: epoch,
                handover: transfer.handover.clone(),
            })
            .collect();
        self.with_changes(epoch, &changes)
    }

    /// Returns the assignments that differ from those of an earlier map.
    pub fn changes_since(&self, earlier: &RangeMap) -> Vec<Assignment> {
        let mut changes = Vec::new();
        for assignment in &self.assignments {
            let mut changed = vec![assignment.range];
            let start = earlier
                .assignments
                .partition_point(|a| a.range.last < assignment.range.first);
            let overlapping = earlier.assignments[start..]
                .iter()
                .take_while(|a| a.range.first <= assignment.range.last);
            for unchanged in overlapping.filter(|a| a.is_equal_except_range(assignment)) {
                changed = changed
                    .iter()
                    .flat_map(|range| range.difference(&unchanged.range))
                    .collect();
            }
            changes.extend(changed.into_iter().map(|range| Assignment {
                range,
                ..assignment.clone()
            }));
        }
        changes
    }

    /// Returns the map of a later epoch, given the assignments that changed.
    pub fn with_changes(&self, epoch: u64, changes: &[Assignment]) -> Self {
        let mut assignments = self.assignments.clone();
        for change in changes {
            assignments = replace_assignment(assignments, change.clone());
        }
        Self {
            epoch,
            assignments: merge_adjacent(assignments),
        }
    }
}

impl Assignment {
    fn is_equal_except_range(&self, other: &Assignment) -> bool {
        self.owner == other.owner && self.fence == other.fence && self.handover == other.handover
    }
}

/// Replaces the assignments of the keys in `change.range`.
fn replace_assignment(assignments: Vec<Assignment>, change: Assignment) -> Vec<Assignment> {
    let mut next = Vec::with_capacity(assignments.len() + 2);
    for old in assignments {
        if !old.range.overlaps(&change.range) {
            next.push(old);
            continue;
        }
        next.extend(old.range.difference(&change.range).map(|range| Assignment {
            range,
            ..old.clone()
        }));
    }
    let index = next.partition_point(|a| a.range.first < change.range.first);
    next.insert(index, change);
    next
}

/// Merges adjacent assignments that differ only in their range.
fn merge_adjacent(assignments: Vec<Assignment>) -> Vec<Assignment> {
    let mut merged: Vec<Assignment> = Vec::with_capacity(assignments.len());
    for next in assignments {
        match merged.last_mut() {
            Some(last) if last.is_equal_except_range(&next) => {
                last.range.last = next.range.last;
            }
            _ => merged.push(next),
        }
    }
    merged
}

/// Stored form of a map: each owner once, and ranges as arrays, so that a map
/// of a thousand ranges fits into a row.
#[derive(Serialize, Deserialize)]
struct MapFields {
    epoch: u64,
    owners: Vec<Owner>,
    ranges: Vec<RangeFields>,
}

/// Last key, index of the owner, fence, handover state.
type RangeFields = (Key, Option<u32>, Fence, Option<Arc<str>>);

impl From<RangeMap> for MapFields {
    fn from(map: RangeMap) -> Self {
        let mut owners: Vec<Owner> = Vec::new();
        let mut ranges = Vec::with_capacity(map.assignments.len());
        for assignment in map.assignments {
            let index = assignment.owner.map(|owner| {
                let existing = owners.iter().position(|existing| *existing == owner);
                existing.unwrap_or_else(|| {
                    owners.push(owner);
                    owners.len() - 1
                }) as u32
            });
            ranges.push((
                assignment.range.last,
                index,
                assignment.fence,
                assignment.handover,
            ));
        }
        Self {
            epoch: map.epoch,
            owners,
            ranges,
        }
    }
}

impl TryFrom<MapFields> for RangeMap {
    type Error = MapError;

    fn try_from(fields: MapFields) -> Result<Self, MapError> {
        let mut next_first = Some(Key::MIN);
        let mut assignments = Vec::with_capacity(fields.ranges.len());
        for (last, index, fence, handover) in fields.ranges {
            let range_first = next_first.filter(|range_first| *range_first <= last);
            let owner = index
                .map(|index| fields.owners.get(index as usize).cloned())
                .map(|owner| owner.ok_or(MapError::UnknownOwner))
                .transpose()?;
            assignments.push(Assignment {
                range: KeyRange {
                    first: range_first.ok_or(MapError::NotAPartition)?,
                    last,
                },
                owner,
                fence,
                handover,
            });
            next_first = last.checked_add(1);
        }
        match (assignments.is_empty(), next_first) {
            (false, None) => Ok(Self {
                epoch: fields.epoch,
                assignments,
            }),
            _ => Err(MapError::NotAPartition),
        }
    }
}
