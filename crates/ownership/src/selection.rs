//! Selection of witnesses and successors.
//!
//! A witness monitors a node's heartbeats and can seal it; a successor takes
//! the slots of a sealed node over. A node's row lists its successors under the
//! name `heirs`. Candidates come from the replica, which may be stale: a bad
//! choice costs a later change, never safety. Ties are broken by rendezvous
//! hashing.

use ibiscove_types::{ClusterMap, DataCentre, Incarnation, NodeRow, NodeState, hash};
use std::collections::BTreeMap;

/// Number of witnesses that a node names when there are enough nodes.
const WITNESSES: usize = 3;
/// Number of successors that a node names when its service has enough members.
const SUCCESSORS: usize = 4;

/// Returns the witnesses and the successors that the row should name.
/// `is_unresponsive` reports witnesses that no longer respond.
pub(crate) fn select(
    row: &NodeRow,
    map: &ClusterMap,
    is_unresponsive: impl Fn(Incarnation) -> bool,
) -> (Vec<Incarnation>, Vec<Incarnation>) {
    let is_eligible = |node: &Incarnation| map.is_live(*node) && !is_unresponsive(*node);
    let others: Vec<&NodeRow> = map
        .live_nodes()
        .map(|node| &node.row)
        .filter(|node| node.incarnation != row.incarnation)
        .filter(|node| is_eligible(&node.incarnation))
        .collect();
    let in_region = others.iter().copied().filter(|n| n.region == row.region);
    let mut candidates: Vec<&NodeRow> = in_region.collect();
    if candidates.is_empty() {
        candidates.clone_from(&others);
    }
    let members = others.iter().copied().filter(|node| {
        node.state == NodeState::Live && node.service().is_some() && node.service() == row.service()
    });
    let witnesses = pick_across_data_centres(row, candidates, &row.witnesses, WITNESSES, |_| 0);
    // A successor in the same data centre may be lost together with this node.
    let (remote, local): (Vec<_>, Vec<_>) = members.partition(|n| n.data_centre != row.data_centre);
    let members = if remote.is_empty() { local } else { remote };
    let successors = pick_across_data_centres(row, members, &row.heirs, SUCCESSORS, |node| {
        node.grants.len()
    });
    (witnesses, successors)
}

/// Picks candidates from as many data centres as possible, the node's own one
/// last. Within a data centre, nodes already named come first, so that a change
/// of the cluster changes few rows, then the least loaded ones.
fn pick_across_data_centres(
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
            rendezvous_hash(row.incarnation, node.incarnation),
        )
    });
    let mut chosen_per_data_centre: BTreeMap<DataCentre, usize> = BTreeMap::new();
    let mut chosen: Vec<Incarnation> = Vec::new();
    while chosen.len() < count && !candidates.is_empty() {
        let chosen_in = |node: &&NodeRow| {
            chosen_per_data_centre
                .get(&node.data_centre)
                .copied()
                .unwrap_or(0)
        };
        let is_own = |node: &&NodeRow| node.data_centre == row.data_centre;
        let best = (0..candidates.len())
            .min_by_key(|i| (chosen_in(&candidates[*i]), is_own(&candidates[*i]), *i))
            .expect("there is a candidate");
        let node = candidates.remove(best);
        *chosen_per_data_centre
            .entry(node.data_centre.clone())
            .or_default() += 1;
        chosen.push(node.incarnation);
    }
    preserve_order(named, chosen)
}

/// Keeps the nodes that remain at their positions, since grants refer to
/// successors by index.
fn preserve_order(named: &[Incarnation], chosen: Vec<Incarnation>) -> Vec<Incarnation> {
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

/// Returns the weight of a candidate for a node, the same wherever it is
/// computed.
fn rendezvous_hash(node: Incarnation, candidate: Incarnation) -> u64 {
    hash::key_hash(&format!("{node:x}/{candidate:x}"))
}
