//! Range placement: the initial division, the share of a joining member, and
//! load balancing between owners.
//!
//! Balancing is decentralised: each owner decides which of its ranges to move,
//! by its own load and the load in the other nodes' heartbeats. The transaction
//! on the map resolves conflicts.

use crate::load::KeyLoad;
use crate::map::{KeyRange, Owner, RangeMap, split_by_section};
use ibiscove_types::Key;
use std::time::Duration;

/// Ranges per member in the initial division. Interleaved ranges spread hot
/// neighbouring keys; each costs one grant call at every renewal.
pub const RANGES_PER_MEMBER: usize = 8;

/// Number of ranges per owner from which none is split to balance load: each
/// costs one grant call at every renewal.
pub const MAX_RANGES_PER_OWNER: usize = 40;

/// Utilisation from which an owner moves load away.
pub const OVERLOAD_UTILISATION: f64 = 0.75;
/// Least difference in utilisation between donor and recipient of a move.
pub const MIN_UTILISATION_GAP: f64 = 0.4;
/// Most donors of a small service at a time, in order of utilisation. They all act
/// on the same load reports.
const MIN_CONCURRENT_DONORS: usize = 4;
/// Most donors of a large service at a time, as a share of its owners. The time
/// until the load is even must not grow with the number of owners.
const CONCURRENT_DONOR_SHARE: f64 = 0.14;
/// Fraction of an owner's load from which a single key dominates it.
const DOMINANT_KEY_SHARE: f64 = 0.6;
/// Utilisation up to which a faster upstream accepts more load.
const MAX_RECIPIENT_UTILISATION: f64 = 0.55;
/// Ratio of service times from which another upstream counts as faster.
const MIN_SPEED_RATIO: f64 = 1.5;
/// Utilisation below which an owner moves no keys to a faster upstream, since
/// few requests would gain.
const MIN_DONOR_UTILISATION: f64 = 0.2;
/// Fraction of the difference in utilisation, or of a faster recipient's free
/// capacity, that one move uses. Below a half, so that two owners never swap
/// their loads.
const MOVED_GAP_SHARE: f64 = 0.4;
/// Largest ratio of the work that a move takes away to the work intended.
const MAX_OVERSHOOT: f64 = 1.5;

/// A member that may own ranges, and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The owner that the map names when ranges are assigned to the member.
    pub owner: Owner,
    /// Requests in flight or queued, per concurrency slot.
    pub utilisation: f64,
    /// Typical latency of a request at the upstream.
    pub service_time: Duration,
}

/// Divides `ranges` among the owners, giving each piece to the one with the
/// fewest keys so far.
pub fn assign_ranges(
    map: &RangeMap,
    ranges: &[KeyRange],
    owners: &[Owner],
) -> Vec<(KeyRange, Owner)> {
    if owners.is_empty() {
        return Vec::new();
    }
    let total: u32 = ranges.iter().map(KeyRange::width).sum();
    let piece_width = (total / (owners.len() * RANGES_PER_MEMBER) as u32).max(1);
    let mut widths: Vec<u32> = owners
        .iter()
        .map(|owner| map.width_owned_by_node(&owner.node))
        .collect();
    let mut divided = Vec::new();
    let pieces = ranges
        .iter()
        .flat_map(|range| split_by_section(*range))
        .flat_map(|range| split_range(range, piece_width));
    for part in pieces {
        let narrowest = (0..owners.len()).min_by_key(|i| widths[*i]).unwrap_or(0);
        widths[narrowest] += part.width();
        divided.push((part, owners[narrowest].clone()));
    }
    divided
}

/// Splits a range into pieces of about `width` keys that are equally wide but for
/// one key.
fn split_range(range: KeyRange, width: u32) -> impl Iterator<Item = KeyRange> {
    let count = ((range.width() + width / 2) / width).max(1);
    let bound = move |i: u32| u32::from(range.first) + i * range.width() / count;
    (0..count).map(move |i| KeyRange {
        first: bound(i) as Key,
        last: (bound(i + 1) - 1) as Key,
    })
}

/// Returns what `own` moves to a joining member that owns less than half of an
/// even share of the keys. Only the owner of the most keys moves any, one range
/// at a time.
pub fn share_for_joining_member(
    map: &RangeMap,
    own: &Owner,
    members: &[Owner],
) -> Option<(KeyRange, Owner)> {
    let even_share = KeyRange::ALL.width() / u32::try_from(members.len() + 1).ok()?;
    let width = |owner: &Owner| map.width_owned_by_node(&owner.node);
    let joining_member = members.iter().min_by_key(|owner| width(owner))?;
    let deficit = even_share.saturating_sub(width(joining_member));
    let is_widest = members
        .iter()
        .all(|other| (width(other), &other.node) < (width(own), &own.node));
    if deficit <= even_share / 2 || !is_widest {
        return None;
    }
    let widest = map.owned_by(own).max_by_key(|a| a.range.width())?.range;
    let share = deficit
        .min(width(own) / 2)
        .min(widest.width().saturating_sub(1));
    let first = (u32::from(widest.last) + 1 - share) as Key;
    let last = widest.last;
    (share > 0).then(|| (KeyRange { first, last }, joining_member.clone()))
}

/// Returns the move of an overloaded owner's hottest key to the fastest
/// upstream, when that key dominates the load and that upstream is much faster.
/// The key moves alone; [`offload`] moves its neighbours away from it, at the
/// recipient as at this owner.
pub fn move_hottest_key(
    own: &Candidate,
    load: &KeyLoad,
    others: &[Candidate],
) -> Option<(KeyRange, Owner)> {
    let (key, work) = load
        .per_key(KeyRange::ALL)
        .max_by(|a, b| a.1.total_cmp(&b.1))?;
    if own.utilisation < OVERLOAD_UTILISATION || work < load.total() * DOMINANT_KEY_SHARE {
        return None;
    }
    let fastest = others.iter().min_by_key(|other| other.service_time)?;
    if fastest.service_time.mul_f64(MIN_SPEED_RATIO) >= own.service_time {
        return None;
    }
    let range = KeyRange {
        first: key,
        last: key,
    };
    Some((range, fastest.owner.clone()))
}

/// Why an owner moves keys away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OffloadReason {
    /// It is more loaded than others.
    Overloaded,
    /// It is slower than others with free capacity.
    Slow,
}

/// Returns the range that an overloaded or slow owner moves to another owner,
/// if any.
///
/// The range is a prefix or a suffix of an owned one, whose work comes closest
/// to the intended amount: a part of a hot neighbourhood, or the neighbours of
/// one hot key. Moving the hot key itself would only move the overload.
pub fn offload(
    reason: OffloadReason,
    map: &RangeMap,
    own: &Candidate,
    load: &KeyLoad,
    others: &[Candidate],
) -> Option<(KeyRange, Owner)> {
    let (recipient, share) = match reason {
        OffloadReason::Overloaded => choose_less_loaded(own, others),
        OffloadReason::Slow => choose_faster(own, others),
    }?;
    let range_count = |owner: &Owner| map.owned_by(owner).count();
    if range_count(&recipient.owner) >= MAX_RANGES_PER_OWNER {
        return None;
    }
    let wanted = load.total() * share;
    let owned = map.owned_by(&own.owner).map(|a| a.range);
    let movable: Vec<_> = match range_count(&own.owner) >= MAX_RANGES_PER_OWNER {
        // An owner of many ranges splits none, or it could give nothing away.
        true => owned
            .filter_map(|range| whole(range, load, wanted))
            .collect(),
        false => owned
            .flat_map(|range| [prefix(range, load, wanted), suffix(range, load, wanted)])
            .flatten()
            .collect(),
    };
    let best = movable
        .into_iter()
        .min_by(|a, b| (a.1 - wanted).abs().total_cmp(&(b.1 - wanted).abs()))?;
    Some((best.0, recipient.owner.clone()))
}

/// Returns the recipient of an overloaded owner's move and the fraction of the
/// load to move. Donors act on the same load reports, so the most loaded donor
/// chooses the least loaded recipient, the next donor the next one, and so on.
fn choose_less_loaded<'a>(
    own: &Candidate,
    others: &'a [Candidate],
) -> Option<(&'a Candidate, f64)> {
    let is_ahead = |other: &&Candidate| {
        (other.utilisation, &other.owner.node) > (own.utilisation, &own.owner.node)
    };
    let rank = others.iter().filter(is_ahead).count();
    let max_donors = (others.len() as f64 * CONCURRENT_DONOR_SHARE) as usize;
    if own.utilisation < OVERLOAD_UTILISATION || rank >= max_donors.max(MIN_CONCURRENT_DONORS) {
        return None;
    }
    let utilisation_gap = |other: &Candidate| own.utilisation - other.utilisation;
    let mut recipients: Vec<_> = others
        .iter()
        .filter(|other| utilisation_gap(other) >= MIN_UTILISATION_GAP)
        .collect();
    recipients.sort_by(|a, b| a.utilisation.total_cmp(&b.utilisation));
    let recipient = *recipients.get(rank)?;
    Some((
        recipient,
        MOVED_GAP_SHARE * utilisation_gap(recipient) / own.utilisation,
    ))
}

/// Returns the fastest upstream with free capacity and the fraction of a slow
/// owner's load to move there, where the same keys have lower latency.
fn choose_faster<'a>(own: &Candidate, others: &'a [Candidate]) -> Option<(&'a Candidate, f64)> {
    let is_faster = |other: &&Candidate| {
        other.utilisation < MAX_RECIPIENT_UTILISATION
            && other.service_time.mul_f64(MIN_SPEED_RATIO) < own.service_time
    };
    let fastest = others
        .iter()
        .filter(is_faster)
        .min_by_key(|other| other.service_time)?;
    if own.utilisation < MIN_DONOR_UTILISATION {
        return None;
    }
    // The recipient's free capacity, in units of this owner's slower service
    // time.
    let free_capacity = (MAX_RECIPIENT_UTILISATION - fastest.utilisation)
        * own.service_time.div_duration_f64(fastest.service_time);
    Some((
        fastest,
        (MOVED_GAP_SHARE * free_capacity / own.utilisation).min(1.0),
    ))
}

/// Returns a whole range and its work, unless that is much more than `wanted`.
fn whole(range: KeyRange, load: &KeyLoad, wanted: f64) -> Option<(KeyRange, f64)> {
    let work: f64 = load.per_key(range).map(|(_, work)| work).sum();
    (work > 0.0 && work <= wanted * MAX_OVERSHOOT).then_some((range, work))
}

/// Returns the prefix of a range whose work comes close to `wanted`, and that
/// work.
fn prefix(range: KeyRange, load: &KeyLoad, wanted: f64) -> Option<(KeyRange, f64)> {
    let keys: Vec<_> = load.per_key(range).collect();
    let (last, work) = accumulate_work(keys.into_iter(), wanted)?;
    let first = range.first;
    Some((KeyRange { first, last }, work))
}

/// Returns the suffix of a range whose work comes close to `wanted`, and that
/// work.
fn suffix(range: KeyRange, load: &KeyLoad, wanted: f64) -> Option<(KeyRange, f64)> {
    let keys: Vec<_> = load.per_key(range).collect();
    let (first, work) = accumulate_work(keys.into_iter().rev(), wanted)?;
    let last = range.last;
    Some((KeyRange { first, last }, work))
}

/// Returns the key at which the accumulated work comes close to `wanted`, and
/// that work; none when the first keys exceed it or have no work.
fn accumulate_work(keys: impl Iterator<Item = (Key, f64)>, wanted: f64) -> Option<(Key, f64)> {
    let mut sum = 0.0;
    let mut reached = None;
    for (key, work) in keys {
        if sum + work > wanted * MAX_OVERSHOOT {
            break;
        }
        sum += work;
        reached = Some((key, sum));
        if sum >= wanted {
            break;
        }
    }
    reached.filter(|(_, work)| *work > 0.0)
}
