//! Rebalancing planner: proposes which hash slots of a divided service, whose keys
//! are partitioned among its nodes, change owner to balance the load.
//!
//! The planner only proposes: every move is a transaction of the owner, so a
//! second planner costs churn but never safety. It starts moving slots when the
//! imbalance exceeds the tolerated one and stops well below it (hysteresis). Each
//! move must lower the higher load of its two nodes by a minimum gain, moves are
//! limited to a number of slots per minute, and a slot that has moved stays in
//! place for a cooldown.
//!
//! A slot with a hot key stays in place as long as other slots of the node can
//! move instead, since a move stalls the key under its highest load. A key that is
//! hot by itself is first split out into a slot of its own.

use ibiscove_types::{Incarnation, Slot};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Share of the tolerated imbalance at which a rebalancing that has begun stops.
const STOP_IMBALANCE_SHARE: f64 = 0.5;
/// Minimum gain of a move: the reduction of the higher load of its two nodes, as a
/// share of the mean load.
const MIN_GAIN: f64 = 0.01;
/// Time during which a slot that has moved is not moved again.
const MOVED_SLOT_COOLDOWN: Duration = Duration::from_secs(60);
/// Share of the mean request rate of a node above which a slot or key is hot.
const MIN_HOT_SHARE: f64 = 0.1;
/// A hot key is split out when the rest of its slot has more than this share of
/// the key's rate.
const MIN_SPLIT_REMAINDER: f64 = 0.1;
/// Share of the mean request rate of a node below which a split key is merged back.
const MAX_MERGE_SHARE: f64 = 0.02;
/// Maximum number of splits in one plan.
const MAX_SPLITS: usize = 4;

/// Rebalancing limits of a service.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// Excess of the highest node load over the mean, as a share of the mean, above
    /// which slots are moved.
    pub tolerated_imbalance: f64,
    /// Share of the slots that may move per minute.
    pub churn_per_minute: f64,
    /// Number of hash slots.
    pub slot_count: u32,
}

/// Request rate of a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotRate {
    /// The slot.
    pub slot: Slot,
    /// Requests per second.
    pub rate: f64,
}

/// A node of the service and the load of its slots.
#[derive(Clone, Debug)]
pub struct NodeLoad {
    /// The node.
    pub id: Incarnation,
    /// Concurrent requests of its upstream, fewer while its caches are cold.
    pub capacity: f64,
    /// Whether slots may move to it.
    pub can_receive: bool,
    /// Slots that it owns.
    pub slots: Vec<SlotRate>,
    /// Hottest keys: hash, slot and requests per second.
    pub keys: Vec<(u64, Slot, f64)>,
}

impl NodeLoad {
    fn rate(&self) -> f64 {
        self.slots.iter().map(|slot| slot.rate).sum()
    }

    fn load(&self) -> f64 {
        self.rate() / self.capacity
    }
}

/// A proposed change of a slot's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The slot.
    pub slot: Slot,
    /// Current owner.
    pub from: Incarnation,
    /// Next owner.
    pub to: Incarnation,
}

/// Proposals of one plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Proposals {
    /// Slots to move.
    pub moves: Vec<Move>,
    /// Keys to split out into slots of their own, with their owners.
    pub splits: Vec<(Incarnation, u64)>,
    /// Single-key slots to merge back, with their owners.
    pub merges: Vec<(Incarnation, Slot)>,
}

/// State of a planner between two plans.
#[derive(Debug, Default)]
pub struct Planner {
    /// Whether a rebalancing is in progress.
    is_rebalancing: bool,
    /// Moves allowed now (token bucket).
    move_tokens: f64,
    last_refill: Option<Instant>,
    moved_at: HashMap<Slot, Instant>,
}

impl Planner {
    /// Proposes changes that balance the load of `nodes`.
    pub fn plan(
        &mut self,
        nodes: &[NodeLoad],
        settings: &PlannerSettings,
        now: Instant,
    ) -> Proposals {
        self.refill(settings, now);
        self.moved_at
            .retain(|_, at| now.saturating_duration_since(*at) < MOVED_SLOT_COOLDOWN);
        let mean_node_rate =
            nodes.iter().map(NodeLoad::rate).sum::<f64>() / nodes.len().max(1) as f64;
        let mut proposals = Proposals {
            moves: Vec::new(),
            splits: hot_keys_to_split(nodes, mean_node_rate),
            merges: cold_keys_to_merge(nodes, settings.slot_count, mean_node_rate),
        };
        let mut nodes = nodes.to_vec();
        while self.move_tokens >= 1.0
            && let Some(next) = self.next_move(&mut nodes, settings, mean_node_rate)
        {
            self.move_tokens -= 1.0;
            self.moved_at.insert(next.slot, now);
            proposals.moves.push(next);
        }
        proposals
    }

    /// Adds tokens for the time since the last plan, up to one minute's worth.
    fn refill(&mut self, settings: &PlannerSettings, now: Instant) {
        let per_minute = settings.churn_per_minute * f64::from(settings.slot_count);
        let max_tokens = per_minute.max(1.0);
        let previous_refill = self.last_refill.replace(now);
        let elapsed = previous_refill.map_or(Duration::from_secs(60), |at| {
            now.saturating_duration_since(at)
        });
        let added_tokens = per_minute * elapsed.as_secs_f64() / 60.0;
        self.move_tokens = (self.move_tokens + added_tokens).min(max_tokens);
    }

    /// Applies the best single move to `nodes`; none when they are balanced.
    fn next_move(
        &mut self,
        nodes: &mut [NodeLoad],
        settings: &PlannerSettings,
        mean_node_rate: f64,
    ) -> Option<Move> {
        let capacity: f64 = nodes.iter().map(|node| node.capacity).sum();
        let mean_load = nodes.iter().map(NodeLoad::rate).sum::<f64>() / capacity;
        let by_load = |a: &usize, b: &usize| nodes[*a].load().total_cmp(&nodes[*b].load());
        let most_loaded = (0..nodes.len()).max_by(by_load)?;
        let least_loaded = (0..nodes.len())
            .filter(|index| nodes[*index].can_receive)
            .min_by(by_load)?;
        let imbalance = nodes[most_loaded].load() / mean_load - 1.0;
        let tolerated_imbalance = settings.tolerated_imbalance;
        let threshold = tolerated_imbalance
            * if self.is_rebalancing {
                STOP_IMBALANCE_SHARE
            } else {
                1.0
            };
        self.is_rebalancing =
            mean_load > 0.0 && most_loaded != least_loaded && imbalance > threshold;
        if !self.is_rebalancing {
            return None;
        }
        let index = self.slot_to_move(
            &nodes[most_loaded],
            &nodes[least_loaded],
            mean_load,
            mean_node_rate,
        )?;
        let slot = nodes[most_loaded].slots.swap_remove(index);
        nodes[least_loaded].slots.push(slot);
        Some(Move {
            slot: slot.slot,
            from: nodes[most_loaded].id,
            to: nodes[least_loaded].id,
        })
    }

    /// Returns the index of the slot whose move best equalises the loads of both
    /// nodes; a hot slot only if no other slot gives the minimum gain.
    fn slot_to_move(
        &self,
        from: &NodeLoad,
        to: &NodeLoad,
        mean_load: f64,
        mean_node_rate: f64,
    ) -> Option<usize> {
        // Moving a slot of this rate would make both loads equal.
        let balancing_rate =
            (from.load() - to.load()) * from.capacity * to.capacity / (from.capacity + to.capacity);
        let is_hot = |rate: f64| rate > mean_node_rate * MIN_HOT_SHARE;
        let is_useful = |index: &usize| {
            let slot = from.slots[*index];
            let target_load = (to.rate() + slot.rate) / to.capacity;
            let gain = (from.load() - target_load.max(from.load() - slot.rate / from.capacity))
                / mean_load;
            gain >= MIN_GAIN && !self.moved_at.contains_key(&slot.slot)
        };
        let useful_slots: Vec<_> = (0..from.slots.len()).filter(is_useful).collect();
        let distance = |index: &usize| (from.slots[*index].rate - balancing_rate).abs();
        let nearest = |hot: bool| {
            let candidates = useful_slots.iter().copied();
            candidates
                .filter(|index| is_hot(from.slots[*index].rate) == hot)
                .min_by(|a, b| distance(a).total_cmp(&distance(b)))
        };
        nearest(false).or_else(|| nearest(true))
    }
}

/// Returns the hottest keys that share their slots with other load.
fn hot_keys_to_split(nodes: &[NodeLoad], mean_node_rate: f64) -> Vec<(Incarnation, u64)> {
    let mut hot = Vec::new();
    for node in nodes {
        for (key, slot, rate) in &node.keys {
            let slot_rate = node.slots.iter().find(|s| s.slot == *slot);
            let remaining_rate = slot_rate.map_or(0.0, |s| s.rate - rate);
            if *rate > mean_node_rate * MIN_HOT_SHARE && remaining_rate > rate * MIN_SPLIT_REMAINDER
            {
                hot.push((*rate, node.id, *key));
            }
        }
    }
    hot.sort_by(|a, b| b.0.total_cmp(&a.0));
    let hottest = hot.into_iter().take(MAX_SPLITS);
    hottest.map(|(_, node, key)| (node, key)).collect()
}

/// Returns the single-key slots whose keys are no longer hot.
fn cold_keys_to_merge(
    nodes: &[NodeLoad],
    slot_count: u32,
    mean_node_rate: f64,
) -> Vec<(Incarnation, Slot)> {
    let mut cold = Vec::new();
    for node in nodes {
        for slot in &node.slots {
            let is_split = slot.slot >= slot_count;
            if is_split && slot.rate < mean_node_rate * MAX_MERGE_SHARE {
                cold.push((node.id, slot.slot));
            }
        }
    }
    cold
}

/// Returns the node that plans for a service, by rendezvous hashing: all nodes with
/// the same member list agree on it.
pub fn planner_of(service: &str, members: &[Incarnation]) -> Option<Incarnation> {
    let key = ibiscove_types::hash::key_hash(service);
    let hash = |node: &Incarnation| crate::choice::rendezvous_hash(*node, key);
    members.iter().copied().max_by_key(hash)
}
