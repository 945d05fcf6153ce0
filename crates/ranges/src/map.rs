//! The range map: the partition of a service's keys among its owners.

use ibiscove_store::era::{self, Era};
use ibiscove_types::{Fence, Key, NodeName, RowVersion, UpstreamIncarnation};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Keys from `first` to `last`, inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "KeyRangeFields")]
pub struct KeyRange {
    /// The first key.
    pub first: Key,
    /// The last key; not less than the first.
    pub last: Key,
}

/// A range as it was stored or sent.
#[derive(Deserialize)]
struct KeyRangeFields {
    first: Key,
    last: Key,
}

impl TryFrom<KeyRangeFields> for KeyRange {
    type Error = MapError;

    fn try_from(fields: KeyRangeFields) -> Result<Self, MapError> {
        let KeyRangeFields { first, last } = fields;
        match first <= last {
            true => Ok(Self { first, last }),
            false => Err(MapError::EmptyRange { first, last }),
        }
    }
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

/// Number of sections of a service's keys. Each is stored in a row of its own,
/// so that changes in different sections do not conflict, and a row stays far
/// below the size that the table accepts with hundreds of owners.
pub const SECTION_COUNT: usize = 16;

/// Index of a section; the sections divide the keys into equal parts, in order.
pub type SectionIndex = usize;

const SECTION_WIDTH: u32 = (Key::MAX as u32 + 1) / SECTION_COUNT as u32;

/// Returns the section of a key.
pub fn section_of(key: Key) -> SectionIndex {
    (u32::from(key) / SECTION_WIDTH) as SectionIndex
}

/// Returns the keys of a section.
pub fn section_span(section: SectionIndex) -> KeyRange {
    let first = section as u32 * SECTION_WIDTH;
    KeyRange {
        first: first as Key,
        last: (first + SECTION_WIDTH - 1) as Key,
    }
}

/// Splits a range at the bounds of sections.
pub fn split_by_section(range: KeyRange) -> impl Iterator<Item = KeyRange> {
    let sections = section_of(range.first)..=section_of(range.last);
    sections.filter_map(move |section| section_span(section).intersection(&range))
}

/// The partition of one section's keys into ranges, in key order. Every change
/// yields a section with the next epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "SectionFields", into = "SectionFields")]
pub struct MapSection {
    index: SectionIndex,
    epoch: u64,
    assignments: Vec<Assignment>,
}

/// A partition of a service's keys into ranges, as one section after the other.
/// Clones share the sections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeMap {
    sections: Vec<Arc<MapSection>>,
    /// Version of the row that each section was read from; 0 without one. Kept
    /// with the sections, so that a change of the map is conditional on just the
    /// rows that it was computed from.
    versions: Vec<RowVersion>,
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

/// Why a stored section of a map is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MapError {
    /// There is no section of this index.
    #[error("its section is {0}; expected less than {SECTION_COUNT}")]
    UnknownSection(SectionIndex),
    /// A key is in no range, or in two.
    #[error("the ranges do not cover every key of the section once")]
    NotAPartition,
    /// A range ends before it begins.
    #[error("the range from {first} to {last} ends before it begins")]
    EmptyRange {
        /// The first key.
        first: Key,
        /// The last key.
        last: Key,
    },
    /// The epoch is beyond that of any change.
    #[error("its epoch is {0}, which is out of range")]
    EpochOutOfRange(u64),
    /// A fence is beyond that of any change.
    #[error("a range has the fence {0}, which is out of range")]
    FenceOutOfRange(Fence),
    /// A range refers to an owner that is not in the list of owners.
    #[error("a range names an owner that is not listed")]
    UnknownOwner,
}

/// A range that an upstream holds since an earlier era of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The keys.
    pub range: KeyRange,
    /// The fencing token of the grant.
    pub fence: Fence,
}

impl RangeMap {
    /// Returns a map in which every key is unowned.
    pub fn unowned() -> Self {
        let section = |index| Arc::new(MapSection::unowned(index, 0));
        Self {
            sections: (0..SECTION_COUNT).map(section).collect(),
            versions: vec![0; SECTION_COUNT],
        }
    }

    /// Returns the map of an era: sections of other eras are unowned in it and have
    /// no row.
    pub fn in_era(&self, era: Era) -> Self {
        let mut map = self.clone();
        for index in 0..SECTION_COUNT {
            if map.known_version(index).map(era::era_of) != Some(era) {
                map.sections[index] = Arc::new(MapSection::unowned(index, era));
                map.versions[index] = 0;
            }
        }
        map
    }

    /// Returns whether all keys of a range were assigned to owners in an era.
    pub fn is_assigned_in(&self, era: Era, range: KeyRange) -> bool {
        split_by_section(range).all(|part| {
            let section = section_of(part.first);
            let version = self.known_version(section);
            let mut overlapping = self.sections[section]
                .assignments
                .iter()
                .filter(|a| a.range.overlaps(&part));
            version.map(era::era_of) == Some(era) && overlapping.all(|a| !a.is_unassigned())
        })
    }

    /// Returns the map after owners have claimed what their upstreams hold since an
    /// earlier era. A claim of keys that were assigned in this era comes too late.
    pub fn with_claims(&self, claims: &[(Owner, Vec<Claim>)]) -> Self {
        let mut next = self.clone();
        for section in &mut next.sections {
            if let Some(changed) = section.with_claims(claims) {
                *section = Arc::new(changed);
            }
        }
        next
    }

    /// Returns a section.
    pub fn section(&self, index: SectionIndex) -> &Arc<MapSection> {
        &self.sections[index]
    }

    /// Returns the version of the row that a section was read from; 0 without one.
    pub fn version(&self, index: SectionIndex) -> RowVersion {
        self.versions[index]
    }

    /// Returns the version of a section that was read from a row.
    pub fn known_version(&self, index: SectionIndex) -> Option<RowVersion> {
        self.versions
            .get(index)
            .copied()
            .filter(|version| *version > 0)
    }

    /// Returns a section that was read from a row.
    pub fn known_section(&self, index: SectionIndex) -> Option<&Arc<MapSection>> {
        self.known_version(index).map(|_| &self.sections[index])
    }

    /// Returns the map with one section replaced, and the version of its row.
    pub fn with_section(mut self, section: Arc<MapSection>, version: RowVersion) -> Self {
        let index = section.index;
        self.sections[index] = section;
        self.versions[index] = version;
        self
    }

    /// Returns the number of changes of all sections so far.
    pub fn epoch(&self) -> u64 {
        self.sections.iter().map(|section| section.epoch).sum()
    }

    /// Returns every range, in key order. None spans two sections.
    pub fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.sections
            .iter()
            .flat_map(|section| &section.assignments)
    }

    /// Returns the assignment of a key.
    pub fn assignment_of(&self, key: Key) -> &Assignment {
        self.sections[section_of(key)].assignment_of(key)
    }

    /// Returns the assignments of an owner.
    pub fn owned_by<'a>(&'a self, owner: &'a Owner) -> impl Iterator<Item = &'a Assignment> {
        self.assignments()
            .filter(move |a| a.owner.as_ref() == Some(owner))
    }

    /// Returns the assignments of a node, for any incarnation of its upstream.
    pub fn owned_by_node<'a>(&'a self, node: &'a str) -> impl Iterator<Item = &'a Assignment> {
        self.assignments().filter(move |a| a.is_owned_by_node(node))
    }

    /// Returns the parts of a claimed range that a node still owns under the fence of
    /// the claim.
    pub fn parts_owned_under<'a>(
        &'a self,
        claim: &'a Claim,
        node: &'a str,
    ) -> impl Iterator<Item = KeyRange> + 'a {
        self.owned_by_node(node)
            .filter(|a| a.fence == claim.fence)
            .filter_map(|a| a.range.intersection(&claim.range))
    }

    /// Returns the number of keys that a node owns.
    pub fn width_owned_by_node(&self, node: &str) -> u32 {
        self.owned_by_node(node).map(|a| a.range.width()).sum()
    }

    /// Returns the map after some ranges have changed owner, each under a fence
    /// above all earlier ones of its keys. The versions remain those of the rows
    /// that the change was computed from.
    pub fn with_transfers(&self, transfers: &[Transfer]) -> Self {
        let mut next = self.clone();
        for (index, section) in next.sections.iter_mut().enumerate() {
            let span = section_span(index);
            if transfers.iter().any(|t| t.range.overlaps(&span)) {
                *section = Arc::new(section.with_transfers(transfers));
            }
        }
        next
    }
}

impl MapSection {
    /// Returns a section in which no key was assigned in an era yet. The epochs of
    /// an era, and with them its fences, are above those of all earlier eras.
    pub fn unowned(index: SectionIndex, era: Era) -> Self {
        Self {
            index,
            epoch: era << EPOCH_BITS,
            assignments: vec![Assignment {
                range: section_span(index),
                owner: None,
                fence: 0,
                handover: None,
            }],
        }
    }

    /// Returns an error if the epoch or a fence is beyond those of any change, so that
    /// later ones could not be told from it or would overflow.
    pub(crate) fn check_numbers(&self) -> Result<(), MapError> {
        let count = self.epoch & ((1 << EPOCH_BITS) - 1);
        if era_of_epoch(self.epoch) > era::MAX_ERA || count > MAX_CHANGES {
            return Err(MapError::EpochOutOfRange(self.epoch));
        }
        let mut fences = self.assignments.iter().map(|a| a.fence);
        match fences.find(|fence| *fence > MAX_FENCE) {
            Some(fence) => Err(MapError::FenceOutOfRange(fence)),
            None => Ok(()),
        }
    }

    /// Returns which section it is.
    pub fn index(&self) -> SectionIndex {
        self.index
    }

    /// Returns the number of changes so far.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the fence of the ranges that the last change assigned.
    pub fn last_fence(&self) -> Fence {
        fence_of(self.epoch, self.index)
    }

    fn assignment_of(&self, key: Key) -> &Assignment {
        let index = self.assignments.partition_point(|a| a.range.last < key);
        // The ranges cover every key of the section, see `SectionFields`.
        &self.assignments[index]
    }

    /// Returns the section after claims of keys that were not assigned yet; none if
    /// there are no such.
    fn with_claims(&self, claims: &[(Owner, Vec<Claim>)]) -> Option<Self> {
        let mut changes: Vec<Assignment> = Vec::new();
        for unassigned in self.assignments.iter().filter(|a| a.is_unassigned()) {
            for (owner, claims) in claims {
                for claim in claims {
                    let Some(range) = claim.range.intersection(&unassigned.range) else {
                        continue;
                    };
                    if changes.iter().any(|change| change.range.overlaps(&range)) {
                        log::error!(first = range.first, last = range.last, node = &*owner.node;
                            "two nodes claim the same keys; the first claim counts");
                        continue;
                    }
                    changes.push(Assignment {
                        range,
                        owner: Some(owner.clone()),
                        fence: claim.fence,
                        handover: None,
                    });
                }
            }
        }
        (!changes.is_empty()).then(|| self.with_changes(self.epoch + 1, &changes))
    }

    /// Returns the section after the transfers within it.
    fn with_transfers(&self, transfers: &[Transfer]) -> Self {
        let epoch = self.epoch + 1;
        let fence = fence_of(epoch, self.index);
        let span = section_span(self.index);
        let change = |transfer: &Transfer| {
            let range = transfer.range.intersection(&span)?;
            Some(Assignment {
                range,
                owner: transfer.to.clone(),
                fence,
                handover: transfer.handover.clone(),
            })
        };
        let changes: Vec<_> = transfers.iter().filter_map(change).collect();
        self.with_changes(epoch, &changes)
    }

    /// Returns the assignments that differ from those of an earlier section.
    pub fn changes_since(&self, earlier: &MapSection) -> Vec<Assignment> {
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

    /// Returns the section of a later epoch, given the assignments that changed;
    /// keys of other sections are ignored.
    pub fn with_changes(&self, epoch: u64, changes: &[Assignment]) -> Self {
        let span = section_span(self.index);
        let mut assignments = self.assignments.clone();
        for change in changes {
            if let Some(range) = change.range.intersection(&span) {
                let change = Assignment {
                    range,
                    ..change.clone()
                };
                assignments = replace_assignment(assignments, change);
            }
        }
        Self {
            index: self.index,
            epoch,
            assignments: merge_adjacent(assignments),
        }
    }
}

/// Low bits of an epoch, which count the changes of one era.
const EPOCH_BITS: u32 = 32;
/// Most changes of a section in one era. At a hundred a second, that takes eight months.
const MAX_CHANGES: u64 = 1 << 31;
/// Highest fence, that of the last change in the last era.
pub const MAX_FENCE: Fence = fence_of(era::MAX_ERA << EPOCH_BITS | MAX_CHANGES, SECTION_COUNT - 1);

/// Returns the era of a section's epoch.
pub fn era_of_epoch(epoch: u64) -> Era {
    epoch >> EPOCH_BITS
}

/// Returns the fence of a change; unique within the service, since no two sections
/// share a remainder.
const fn fence_of(epoch: u64, section: SectionIndex) -> Fence {
    epoch * SECTION_COUNT as Fence + section as Fence
}

impl Assignment {
    /// Returns whether the keys were not assigned to any owner in the present era.
    pub fn is_unassigned(&self) -> bool {
        self.owner.is_none() && self.fence == 0
    }

    /// Returns whether a node owns the keys, for any incarnation of its upstream.
    pub fn is_owned_by_node(&self, node: &str) -> bool {
        self.owner
            .as_ref()
            .is_some_and(|owner| &*owner.node == node)
    }

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

/// Stored form of a section: each owner once, and ranges as arrays, so that
/// hundreds of ranges fit into a row.
#[derive(Serialize, Deserialize)]
struct SectionFields {
    section: SectionIndex,
    epoch: u64,
    owners: Vec<Owner>,
    ranges: Vec<RangeFields>,
}

/// Last key, index of the owner, fence, handover state.
type RangeFields = (Key, Option<u32>, Fence, Option<Arc<str>>);

impl From<MapSection> for SectionFields {
    fn from(section: MapSection) -> Self {
        let mut owners: Vec<Owner> = Vec::new();
        let mut ranges = Vec::with_capacity(section.assignments.len());
        for assignment in section.assignments {
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
            section: section.index,
            epoch: section.epoch,
            owners,
            ranges,
        }
    }
}

impl TryFrom<SectionFields> for MapSection {
    type Error = MapError;

    fn try_from(fields: SectionFields) -> Result<Self, MapError> {
        if fields.section >= SECTION_COUNT {
            return Err(MapError::UnknownSection(fields.section));
        }
        let span = section_span(fields.section);
        let mut next_first = u32::from(span.first);
        let mut assignments = Vec::with_capacity(fields.ranges.len());
        for (last, index, fence, handover) in fields.ranges {
            if next_first > u32::from(last) || last > span.last {
                return Err(MapError::NotAPartition);
            }
            let owner = index
                .map(|index| fields.owners.get(index as usize).cloned())
                .map(|owner| owner.ok_or(MapError::UnknownOwner))
                .transpose()?;
            assignments.push(Assignment {
                range: KeyRange {
                    first: next_first as Key,
                    last,
                },
                owner,
                fence,
                handover,
            });
            next_first = u32::from(last) + 1;
        }
        if next_first != u32::from(span.last) + 1 {
            return Err(MapError::NotAPartition);
        }
        let section = Self {
            index: fields.section,
            epoch: fields.epoch,
            assignments,
        };
        section.check_numbers().map(|()| section)
    }
}
