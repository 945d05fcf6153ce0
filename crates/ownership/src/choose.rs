//! Choice of witnesses and heirs.
//!
//! Both are chosen from the replica, which may be old: a bad choice costs a
//! later change, never safety.

use ibiscove_types::{ClusterMap, DataCentre, Incarnation, NodeRow, NodeState, hash};
use std::collections::BTreeMap;

/// Witnesses that a node names when there are enough nodes.
const WITNESSES: usize = 3;
/// Heirs that a node names when there are enough members of its service.
const HEIRS: usize = 4;

/// The row with the witnesses and heirs that it ought to have. `is_lost` tells
/// witnesses that no longer answer.
pub(crate) fn review(
    row: &NodeRow,
    map: &ClusterMap,
    is_lost: impl Fn(Incarnation) -> bool,
) -> (Vec<Incarnation>, Vec<Incarnation>) {
    let is_good = |node: &Incarnation| map.is_live(*node) && !is_lost(*node);
    let others: Vec<&NodeRow> = map
        .live_nodes()
        .map(|node| &node.row)
        .filter(|node| node.incarnation != row.incarnation)
        .filter(|node| is_good(&node.incarnation))
        .collect();
    let in_region = others.iter().copied().filter(|n| n.region == row.region);
    let mut near: Vec<&NodeRow> = in_region.collect();
    if near.is_empty() {
        near.clone_from(&others);
    }
    let members = others.iter().copied().filter(|node| {
        node.state == NodeState::Live && node.service().is_some() && node.service() == row.service()
    });
    let witnesses = spread_out(row, near, &row.witnesses, WITNESSES, |_| 0);
    // An heir in the same data centre is lost together with its ward.
    let (away, home): (Vec<_>, Vec<_>) = members.partition(|n| n.data_centre != row.data_centre);
    let members = if away.is_empty() { home } else { away };
    let heirs = spread_out(row, members, &row.heirs, HEIRS, |node| node.grants.len());
    (witnesses, heirs)
}

/// Picks candidates so that as many data centres as possible take part, other
/// ones than the node's own first. Nodes already named stay while they are as
/// good as any, so that a change of the cluster changes few rows.
fn spread_out(
    row: &NodeRow,
    mut candidates: Vec<&NodeRow>,
    named: &[Incarnation],
    count: usize,
    load: impl Fn(&NodeRow) -> usize,
) -> Vec<Incarnation> {
    candidates.sort_by_cached_key(|node| {
        let is_named = named.contains(&node.incarnation);
        (
            !is_named,
            load(node),
            affinity(row.incarnation, node.incarnation),
        )
    });
    let mut taken: BTreeMap<DataCentre, usize> = BTreeMap::new();
    let mut chosen: Vec<Incarnation> = Vec::new();
    while chosen.len() < count && !candidates.is_empty() {
        let at = |node: &&NodeRow| taken.get(&node.data_centre).copied().unwrap_or(0);
        let is_own = |node: &&NodeRow| node.data_centre == row.data_centre;
        let best = (0..candidates.len())
            .min_by_key(|i| (at(&candidates[*i]), is_own(&candidates[*i]), *i))
            .expect("there is a candidate");
        let node = candidates.remove(best);
        *taken.entry(node.data_centre.clone()).or_default() += 1;
        chosen.push(node.incarnation);
    }
    keep_order(named, chosen)
}

/// Leaves those that stay at their places, since grants name heirs by index.
fn keep_order(named: &[Incarnation], chosen: Vec<Incarnation>) -> Vec<Incarnation> {
    let mut fresh = chosen.iter().filter(|node| !named.contains(node)).copied();
    let mut ordered = Vec::with_capacity(chosen.len());
    for node in named {
        match chosen.contains(node) {
            true => ordered.push(*node),
            false => ordered.extend(fresh.next()),
        }
    }
    ordered.extend(fresh);
    ordered
}

/// A number that spreads wards over witnesses alike on every node.
fn affinity(ward: Incarnation, witness: Incarnation) -> u64 {
    hash::key_hash(&format!("{ward:x}/{witness:x}"))
}
