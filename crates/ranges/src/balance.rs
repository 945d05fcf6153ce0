//! Which ranges go where: the first division, shares of joiners, and what a
//! hot owner gives away.
//!
//! Each owner decides by itself what it gives, from its own load and what the
//! others' heartbeats say; nobody steers. The transaction on the map settles
//! races.

use crate::load::KeyLoad;
use crate::map::{KeyRange, Owner, RangeMap};
use ibiscove_types::Key;
use std::time::Duration;

/// Ranges that each member gets at the first division. Interleaved pieces
/// spread busy neighbours; each costs one grant call at every renewal.
pub const PIECES_PER_MEMBER: usize = 8;

/// Ranges of one owner beyond which nothing is split for the sake of load:
/// each costs one grant call at every renewal.
pub const MAX_PIECES: usize = 40;

/// Utilisation from which an owner gives load away.
pub const BUSY: f64 = 0.75;
/// Least difference in utilisation that is worth a move.
pub const WORTHWHILE: f64 = 0.4;
/// Owners of a service that give load away at a time, the busiest first. They
/// all act on the same news of the others, and each move changes the one map.
const MAX_GIVERS: usize = 4;
/// Share of an owner's load from which one key is its load.
const DOMINANT: f64 = 0.6;
/// Utilisation up to which a faster upstream is given more.
const ROOMY: f64 = 0.55;
/// How many times faster another must be for keys to move there.
const FASTER: f64 = 1.5;
/// Utilisation below which an owner's speed matters to few.
const WORTH_SPEEDING_UP: f64 = 0.2;
/// Share of the difference that one move takes away. Below a half, so that two
/// owners never trade places.
const MOVED_SHARE: f64 = 0.4;
/// How far a move may go beyond the work that it should take away.
const OVERSHOOT: f64 = 1.5;

/// A member that may own ranges, with its share of slots in use.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The owner it would be.
    pub owner: Owner,
    /// Requests that run or wait, for each slot.
    pub utilisation: f64,
    /// Usual time of a request there.
    pub service_time: Duration,
}

/// Divides `ranges` among the candidates, each piece to whoever has fewest
/// keys.
pub fn divide(map: &RangeMap, ranges: &[KeyRange], to: &[Owner]) -> Vec<(KeyRange, Owner)> {
    if to.is_empty() {
        return Vec::new();
    }
    let total: u32 = ranges.iter().map(KeyRange::width).sum();
    let piece = (total / (to.len() * PIECES_PER_MEMBER) as u32).max(1);
    let mut widths: Vec<u32> = to
        .iter()
        .map(|owner| map.width_of_node(&owner.node))
        .collect();
    let mut divided = Vec::new();
    for part in ranges.iter().flat_map(|range| pieces(*range, piece)) {
        let least = (0..to.len()).min_by_key(|i| widths[*i]).unwrap_or(0);
        widths[least] += part.width();
        divided.push((part, to[least].clone()));
    }
    divided
}

/// Cuts a range into pieces of `width` keys; the last one may be up to half as
/// wide again.
fn pieces(range: KeyRange, width: u32) -> Vec<KeyRange> {
    let count = ((range.width() + width / 2) / width).max(1);
    let first = u32::from(range.first);
    (0..count)
        .map(|i| KeyRange {
            first: (first + i * width) as Key,
            last: match i + 1 == count {
                true => range.last,
                false => (first + (i + 1) * width - 1) as Key,
            },
        })
        .collect()
}

/// What `own` gives to a member that joined and has less than half of an even
/// share of the keys. Only the widest owner gives, one range at a time.
pub fn share_for_joiner(
    map: &RangeMap,
    own: &Owner,
    members: &[Owner],
) -> Option<(KeyRange, Owner)> {
    let even = KeyRange::ALL.width() / u32::try_from(members.len() + 1).ok()?;
    let width = |owner: &Owner| map.width_of_node(&owner.node);
    let joiner = members.iter().min_by_key(|owner| width(owner))?;
    let missing = even.saturating_sub(width(joiner));
    let is_widest = members
        .iter()
        .all(|other| (width(other), &other.node) < (width(own), &own.node));
    if missing <= even / 2 || !is_widest {
        return None;
    }
    let widest = map.owned_by(own).max_by_key(|a| a.range.width())?.range;
    let share = missing
        .min(width(own) / 2)
        .min(widest.width().saturating_sub(1));
    let first = (u32::from(widest.last) + 1 - share) as Key;
    let last = widest.last;
    (share > 0).then(|| (KeyRange { first, last }, joiner.clone()))
}

/// Where the hottest key of a busy owner goes when it alone is most of the load:
/// the fastest upstream, if that is faster by far. Its neighbours leave it there
/// by [`shed`], as they do here.
pub fn lift_hottest(
    own: &Candidate,
    load: &KeyLoad,
    others: &[Candidate],
) -> Option<(KeyRange, Owner)> {
    let (key, work) = load
        .of_range(KeyRange::ALL)
        .max_by(|a, b| a.1.total_cmp(&b.1))?;
    if own.utilisation < BUSY || work < load.total() * DOMINANT {
        return None;
    }
    let fastest = others.iter().min_by_key(|other| other.service_time)?;
    if fastest.service_time.mul_f64(FASTER) >= own.service_time {
        return None;
    }
    let range = KeyRange {
        first: key,
        last: key,
    };
    Some((range, fastest.owner.clone()))
}

/// Why an owner gives keys away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It is busier than others.
    Busy,
    /// It is slower than others that have room.
    Slow,
}

/// What a busy or slow owner gives to another, if that is worth a move.
///
/// It takes the keys at one end of a range whose work comes closest to what
/// should go: a part of a hot neighbourhood, or the neighbours of one hot key,
/// which itself would only carry its load along.
pub fn shed(
    why: Why,
    map: &RangeMap,
    own: &Candidate,
    load: &KeyLoad,
    others: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Option<(KeyRange, Owner)> {
    let (to, share) = match why {
        Why::Busy => relief(own, others, rng),
        Why::Slow => speed_up(own, others),
    }?;
    let pieces = |owner: &Owner| map.owned_by(owner).count();
    if pieces(&own.owner) >= MAX_PIECES || pieces(&to.owner) >= MAX_PIECES {
        return None;
    }
    let wanted = load.total() * share;
    let best = map
        .owned_by(&own.owner)
        .flat_map(|a| [prefix(a.range, load, wanted), suffix(a.range, load, wanted)])
        .flatten()
        .min_by(|a, b| (a.1 - wanted).abs().total_cmp(&(b.1 - wanted).abs()))?;
    Some((best.0, to.owner.clone()))
}

/// What share of its load a busy owner gives, and to whom: one drawn from those
/// that are less busy by far, since others that give choose from the same.
fn relief<'a>(
    own: &Candidate,
    others: &'a [Candidate],
    rng: &mut fastrand::Rng,
) -> Option<(&'a Candidate, f64)> {
    let busier = others.iter().filter(|o| o.utilisation > own.utilisation);
    if own.utilisation < BUSY || busier.count() >= MAX_GIVERS {
        return None;
    }
    let difference = |other: &Candidate| own.utilisation - other.utilisation;
    let takers: Vec<_> = others
        .iter()
        .filter(|other| difference(other) >= WORTHWHILE)
        .collect();
    let taker = *takers.get(rng.usize(..takers.len().max(1)))?;
    Some((taker, MOVED_SHARE * difference(taker) / own.utilisation))
}

/// What share of its load a slow owner gives to the fastest other that has
/// room: the same keys are answered sooner there.
fn speed_up<'a>(own: &Candidate, others: &'a [Candidate]) -> Option<(&'a Candidate, f64)> {
    let is_faster = |other: &&Candidate| {
        other.utilisation < ROOMY && other.service_time.mul_f64(FASTER) < own.service_time
    };
    let fastest = others
        .iter()
        .filter(is_faster)
        .min_by_key(|other| other.service_time)?;
    if own.utilisation < WORTH_SPEEDING_UP {
        return None;
    }
    // What fills the other's room, in this owner's slower time.
    let room =
        (ROOMY - fastest.utilisation) * own.service_time.div_duration_f64(fastest.service_time);
    Some((fastest, (MOVED_SHARE * room / own.utilisation).min(1.0)))
}

/// The first keys of a range whose work comes to `wanted`, with that work.
fn prefix(range: KeyRange, load: &KeyLoad, wanted: f64) -> Option<(KeyRange, f64)> {
    let keys: Vec<_> = load.of_range(range).collect();
    let (last, work) = until(keys.into_iter(), wanted)?;
    let first = range.first;
    Some((KeyRange { first, last }, work))
}

/// The last keys of a range whose work comes to `wanted`, with that work.
fn suffix(range: KeyRange, load: &KeyLoad, wanted: f64) -> Option<(KeyRange, f64)> {
    let keys: Vec<_> = load.of_range(range).collect();
    let (first, work) = until(keys.into_iter().rev(), wanted)?;
    let last = range.last;
    Some((KeyRange { first, last }, work))
}

fn until(keys: impl Iterator<Item = (Key, f64)>, wanted: f64) -> Option<(Key, f64)> {
    let mut sum = 0.0;
    let mut reached = None;
    for (key, work) in keys {
        if sum + work > wanted * OVERSHOOT {
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
