//! Which upstream owns which keys of a service.

use ibiscove_types::{Fence, Key, NodeName, UpstreamIncarnation};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Keys from `first` to `last`, both included.
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

    /// Whether a key lies in the range.
    pub fn contains(&self, key: Key) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Number of keys.
    pub fn width(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Whether two ranges share a key.
    pub fn overlaps(&self, other: &KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// The keys that two ranges share.
    pub fn shared(&self, other: &KeyRange) -> Option<KeyRange> {
        self.overlaps(other).then(|| KeyRange {
            first: self.first.max(other.first),
            last: self.last.min(other.last),
        })
    }

    /// What is left of this range without `other`: at most two ranges.
    pub fn without(&self, other: &KeyRange) -> impl Iterator<Item = KeyRange> + use<> {
        let shared = self.shared(other);
        let before = match shared {
            None => Some(*self),
            Some(cut) if cut.first > self.first => Some(KeyRange {
                first: self.first,
                last: cut.first - 1,
            }),
            Some(_) => None,
        };
        let after = shared
            .filter(|cut| cut.last < self.last)
            .map(|cut| KeyRange {
                first: cut.last + 1,
                last: self.last,
            });
        before.into_iter().chain(after)
    }
}

/// The life of an upstream that owns keys, and the node beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The node that grants the keys.
    pub node: NodeName,
    /// The life that holds them.
    pub life: UpstreamIncarnation,
}

/// A range with its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The keys.
    pub range: KeyRange,
    /// Who owns them; none while nobody does.
    pub owner: Option<Owner>,
    /// Rises with each change of owner; unique within a service.
    pub fence: Fence,
    /// What the owner before handed over, for the first grant.
    pub handover: Option<Arc<str>>,
}

/// All keys of a service. The ranges are in order, cover every key once, and
/// every change gives a map with the next epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "MapFields", into = "MapFields")]
pub struct RangeMap {
    epoch: u64,
    assignments: Vec<Assignment>,
}

/// A range that changes owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The keys.
    pub range: KeyRange,
    /// The next owner; none leaves them to be claimed.
    pub to: Option<Owner>,
    /// What the owner before handed over.
    pub handover: Option<Arc<str>>,
}

impl Transfer {
    /// A range that goes to an owner without anything handed over.
    pub fn cold(range: KeyRange, to: Owner) -> Self {
        Self {
            range,
            to: Some(to),
            handover: None,
        }
    }
}

/// Why a stored map cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MapError {
    /// A key stands in no range or in two.
    #[error("the ranges do not cover every key once")]
    NotACover,
    /// A range names an owner that is not listed.
    #[error("a range names an owner that is not listed")]
    UnknownOwner,
}

impl RangeMap {
    /// A map in which nobody owns anything.
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

    /// Number of changes so far.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Every range, in order of keys.
    pub fn assignments(&self) -> &[Assignment] {
        &self.assignments
    }

    /// The range of a key.
    pub fn locate(&self, key: Key) -> &Assignment {
        let index = self.assignments.partition_point(|a| a.range.last < key);
        // The ranges cover every key, see `MapFields`.
        &self.assignments[index]
    }

    /// The ranges of an owner.
    pub fn owned_by<'a>(&'a self, owner: &'a Owner) -> impl Iterator<Item = &'a Assignment> {
        self.assignments
            .iter()
            .filter(move |a| a.owner.as_ref() == Some(owner))
    }

    /// The ranges of a node, in whatever life of its upstream.
    pub fn owned_by_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = &'a Assignment> {
        self.assignments
            .iter()
            .filter(move |a| a.owner.as_ref().is_some_and(|owner| &*owner.node == node))
    }

    /// Number of keys that a node owns.
    pub fn width_of_node(&self, node: &str) -> u32 {
        self.owned_by_node(node).map(|a| a.range.width()).sum()
    }

    /// The map after some ranges have changed owner, under a fence above all
    /// earlier ones.
    pub fn with(&self, transfers: &[Transfer]) -> Self {
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
        self.patched(epoch, &changes)
    }

    /// What differs from an earlier map: the ranges as they are now.
    pub fn changes_since(&self, earlier: &RangeMap) -> Vec<Assignment> {
        let mut changes = Vec::new();
        for now in &self.assignments {
            let mut left = vec![now.range];
            let start = earlier
                .assignments
                .partition_point(|a| a.range.last < now.range.first);
            let overlapping = earlier.assignments[start..]
                .iter()
                .take_while(|a| a.range.first <= now.range.last);
            for same in overlapping.filter(|a| a.is_same_but_for_keys(now)) {
                left = left
                    .iter()
                    .flat_map(|range| range.without(&same.range))
                    .collect();
            }
            changes.extend(left.into_iter().map(|range| Assignment {
                range,
                ..now.clone()
            }));
        }
        changes
    }

    /// The map of a later epoch, by what changed until then.
    pub fn patched(&self, epoch: u64, changes: &[Assignment]) -> Self {
        let mut assignments = self.assignments.clone();
        for change in changes {
            assignments = overlay(assignments, change.clone());
        }
        Self {
            epoch,
            assignments: merge(assignments),
        }
    }
}

impl Assignment {
    fn is_same_but_for_keys(&self, other: &Assignment) -> bool {
        self.owner == other.owner && self.fence == other.fence && self.handover == other.handover
    }
}

/// Puts an assignment in place of whatever its keys had.
fn overlay(assignments: Vec<Assignment>, change: Assignment) -> Vec<Assignment> {
    let mut next = Vec::with_capacity(assignments.len() + 2);
    for old in assignments {
        if !old.range.overlaps(&change.range) {
            next.push(old);
            continue;
        }
        next.extend(old.range.without(&change.range).map(|range| Assignment {
            range,
            ..old.clone()
        }));
    }
    let place = next.partition_point(|a| a.range.first < change.range.first);
    next.insert(place, change);
    next
}

/// Joins neighbours that differ in nothing but their keys.
fn merge(assignments: Vec<Assignment>) -> Vec<Assignment> {
    let mut merged: Vec<Assignment> = Vec::with_capacity(assignments.len());
    for next in assignments {
        match merged.last_mut() {
            Some(last) if last.is_same_but_for_keys(&next) => {
                last.range.last = next.range.last;
            }
            _ => merged.push(next),
        }
    }
    merged
}

/// The stored form: owners once, ranges as arrays, so that a map of a thousand
/// ranges stays within a row.
#[derive(Serialize, Deserialize)]
struct MapFields {
    epoch: u64,
    owners: Vec<Owner>,
    ranges: Vec<RangeFields>,
}

/// Last key, index of the owner, fence, what was handed over.
type RangeFields = (Key, Option<u32>, Fence, Option<Arc<str>>);

impl From<RangeMap> for MapFields {
    fn from(map: RangeMap) -> Self {
        let mut owners: Vec<Owner> = Vec::new();
        let mut ranges = Vec::with_capacity(map.assignments.len());
        for assignment in map.assignments {
            let index = assignment.owner.map(|owner| {
                let known = owners.iter().position(|known| *known == owner);
                known.unwrap_or_else(|| {
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
        let mut first = Some(Key::MIN);
        let mut assignments = Vec::with_capacity(fields.ranges.len());
        for (last, index, fence, handover) in fields.ranges {
            let start = first.filter(|start| *start <= last);
            let owner = index
                .map(|index| fields.owners.get(index as usize).cloned())
                .map(|owner| owner.ok_or(MapError::UnknownOwner))
                .transpose()?;
            assignments.push(Assignment {
                range: KeyRange {
                    first: start.ok_or(MapError::NotACover)?,
                    last,
                },
                owner,
                fence,
                handover,
            });
            first = last.checked_add(1);
        }
        match (assignments.is_empty(), first) {
            (false, None) => Ok(Self {
                epoch: fields.epoch,
                assignments,
            }),
            _ => Err(MapError::NotACover),
        }
    }
}
