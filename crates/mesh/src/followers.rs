//! Which nodes follow the source of the configuration themselves.
//!
//! If every node waited for changes at the table service, each change would cost
//! one call for each node. Instead a few nodes of each data centre follow it, the
//! ones with the lowest hash of their names, and the others learn of changes from
//! them by [`crate::heartbeat::spread`]. All nodes decide alike from the members
//! that they know; where their views differ, a few more nodes follow. A node that
//! hears of no member follows by itself, since it would not learn of changes.

use crate::members::Members;
use ibiscove_types::hash::key_hash;
use ibiscove_types::{DataCentre, NodeName};
use std::time::{Duration, Instant};

/// Nodes of each data centre that follow. Some may be unable to reach the table.
pub const FOLLOWERS_PER_DATA_CENTRE: usize = 3;
/// Silence of all members after which a node counts as cut off from them. Even a
/// mesh of three nodes sends several heartbeats in this time.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns whether a node follows the source of the configuration itself.
pub fn is_follower(
    node: &NodeName,
    data_centre: &DataCentre,
    members: &Members,
    now: Instant,
) -> bool {
    let own_rank = rank(node);
    let mut ahead = 0;
    let mut is_isolated = true;
    members.for_each(|member, interval| {
        let silence = now.saturating_duration_since(member.last_heartbeat);
        is_isolated &= silence >= ISOLATION_TIMEOUT;
        let is_ahead = member.data_centre == *data_centre
            && members.is_alive_within(member, interval, now)
            && rank(&member.name) < own_rank;
        ahead += usize::from(is_ahead);
    });
    is_isolated || ahead < FOLLOWERS_PER_DATA_CENTRE
}

/// Returns a node's place in the order of followers.
fn rank(node: &NodeName) -> (u64, &str) {
    (key_hash(node), node)
}
