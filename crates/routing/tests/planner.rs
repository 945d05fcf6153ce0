//! Hot-key detection and the rebalancing of a divided service.

use ibiscove_routing::meter::LoadMeter;
use ibiscove_routing::planner::{
    NodeLoad, Planner, PlannerSettings, Proposals, SlotRate, planner_of,
};
use ibiscove_routing::sketch::HotKeySketch;
use ibiscove_types::Slot;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const SETTINGS: PlannerSettings = PlannerSettings {
    tolerated_imbalance: 0.2,
    churn_per_minute: 0.25,
    slot_count: 64,
};

fn node(id: u64, rates: &[(Slot, f64)]) -> NodeLoad {
    NodeLoad {
        id,
        capacity: 12.0,
        can_receive: true,
        slots: rates
            .iter()
            .map(|(slot, rate)| SlotRate {
                slot: *slot,
                rate: *rate,
            })
            .collect(),
        keys: Vec::new(),
    }
}

/// Returns a node with `count` slots from `first` on, each with the same rate.
fn uniform(id: u64, first: Slot, count: u32, rate: f64) -> NodeLoad {
    let rates: Vec<_> = (first..first + count).map(|slot| (slot, rate)).collect();
    node(id, &rates)
}

fn apply(nodes: &mut [NodeLoad], proposals: &Proposals) {
    for proposed in &proposals.moves {
        let from = nodes
            .iter_mut()
            .find(|n| n.id == proposed.from)
            .expect("the owner");
        let index = from
            .slots
            .iter()
            .position(|s| s.slot == proposed.slot)
            .expect("its slot");
        let slot = from.slots.swap_remove(index);
        let to = nodes
            .iter_mut()
            .find(|n| n.id == proposed.to)
            .expect("the next owner");
        to.slots.push(slot);
    }
}

fn imbalance(nodes: &[NodeLoad]) -> f64 {
    let load = |n: &NodeLoad| n.slots.iter().map(|s| s.rate).sum::<f64>() / n.capacity;
    let capacity: f64 = nodes.iter().map(|n| n.capacity).sum();
    let total: f64 = nodes.iter().map(|n| load(n) * n.capacity).sum();
    nodes.iter().map(load).fold(0.0, f64::max) / (total / capacity)
}

#[test]
fn the_sketch_finds_the_26_hottest_keys() {
    let mut rng = fastrand::Rng::with_seed(26);
    let mut sketch = HotKeySketch::default();
    let record_traffic = |sketch: &mut HotKeySketch, rng: &mut fastrand::Rng, first: u64| {
        for _ in 0..50_000 {
            // A third of the requests are for 26 keys, the rest for a million.
            let hot = rng.u8(..3) == 0;
            sketch.record(if hot {
                first + rng.u64(..26)
            } else {
                rng.u64(1_000..1_000_000)
            });
        }
    };
    record_traffic(&mut sketch, &mut rng, 0);
    let found: HashSet<_> = sketch.hottest(26).into_iter().map(|(key, _)| key).collect();
    assert_eq!(found, (0..26).collect());
    let mut sketch = HotKeySketch::default();
    record_traffic(&mut sketch, &mut rng, 100);
    let found: HashSet<_> = sketch.hottest(26).into_iter().map(|(key, _)| key).collect();
    assert_eq!(found, (100..126).collect());
}

#[test]
fn a_meter_reports_slot_rates_and_hot_keys() {
    let mut now = Instant::now();
    let mut meter = LoadMeter::new(now);
    for _ in 0..60 {
        for n in 0..100 {
            meter.record(n % 4, if n < 50 { 77 } else { u64::from(n) });
        }
        now += SECOND;
        meter.update(now);
    }
    let rates = meter.update(now);
    assert!(
        (24.0..=25.1).contains(&rates.slots[&0]),
        "{:?}",
        rates.slots
    );
    assert_eq!(rates.keys[0].key, 77);
    for _ in 0..20 {
        now += 10 * SECOND;
        meter.update(now);
    }
    assert!(meter.update(now).slots.is_empty(), "idle slots are dropped");
}

#[test]
fn a_balanced_service_gets_no_proposals() {
    let nodes = [
        uniform(1, 0, 21, 1.1),
        uniform(2, 21, 21, 1.0),
        uniform(3, 42, 22, 0.9),
    ];
    let proposals = Planner::default().plan(&nodes, &SETTINGS, Instant::now());
    assert_eq!(proposals, Proposals::default());
}

#[test]
fn load_is_balanced_within_the_churn_limit_and_then_nothing_moves() {
    let mut now = Instant::now();
    let mut nodes = [
        uniform(1, 0, 40, 1.0),
        uniform(2, 40, 12, 1.0),
        uniform(3, 52, 12, 1.0),
    ];
    let mut planner = Planner::default();
    let mut moved = 0;
    for minute in 0..5 {
        for _ in 0..12 {
            now += 5 * SECOND;
            let proposals = planner.plan(&nodes, &SETTINGS, now);
            apply(&mut nodes, &proposals);
            moved += proposals.moves.len();
        }
        assert!(
            moved <= 16 * (minute + 2),
            "{moved} moves in {} minutes",
            minute + 1
        );
    }
    assert!(imbalance(&nodes) <= 1.2, "{}", imbalance(&nodes));
    assert!(moved <= 20, "{moved} moves where 19 balance it");
    let after_balance = planner.plan(&nodes, &SETTINGS, now + 60 * SECOND);
    assert!(after_balance.moves.is_empty());
}

#[test]
fn other_slots_move_before_a_hot_slot() {
    let mut nodes = [
        node(1, &[(0, 30.0), (1, 4.0), (2, 4.0), (3, 4.0)]),
        uniform(2, 10, 10, 1.5),
        uniform(3, 30, 10, 1.5),
    ];
    let mut planner = Planner::default();
    let mut now = Instant::now();
    for _ in 0..4 {
        let proposals = planner.plan(&nodes, &SETTINGS, now);
        assert!(proposals.moves.iter().all(|m| m.slot != 0), "{proposals:?}");
        apply(&mut nodes, &proposals);
        now += 61 * SECOND;
    }
    assert_eq!(nodes[0].slots.len(), 1, "only the hot slot is left");
}

#[test]
fn a_hot_key_that_shares_its_slot_is_split_out_and_a_cold_one_merged_back() {
    let mut hot = node(1, &[(0, 30.0), (64, 0.01), (65, 20.0)]);
    hot.keys = vec![(99, 0, 20.0), (98, 65, 20.0)];
    let nodes = [hot, uniform(2, 10, 10, 4.0)];
    let proposals = Planner::default().plan(&nodes, &SETTINGS, Instant::now());
    assert_eq!(proposals.splits, [(1, 99)], "98 has its slot to itself");
    assert_eq!(proposals.merges, [(1, 64)]);
}

#[test]
fn nothing_moves_to_a_node_that_cannot_receive_and_little_to_one_of_low_capacity() {
    let mut nodes = [
        uniform(1, 0, 40, 1.0),
        uniform(2, 40, 4, 1.0),
        uniform(3, 50, 4, 1.0),
    ];
    nodes[1].can_receive = false;
    nodes[2].capacity = 1.5;
    let proposals = Planner::default().plan(&nodes, &SETTINGS, Instant::now());
    assert!(proposals.moves.iter().all(|m| m.to != 2), "{proposals:?}");
    assert!(proposals.moves.len() <= 2, "{proposals:?}");
}

/// Load that alternates between two nodes must not move slots back and forth.
#[test]
fn an_alternating_load_moves_few_slots() {
    let mut now = Instant::now();
    let mut nodes = [uniform(1, 0, 32, 1.0), uniform(2, 32, 32, 1.0)];
    let mut planner = Planner::default();
    let mut moved = 0;
    for step in 0..24 {
        for node in &mut nodes {
            for slot in &mut node.slots {
                let first_half = slot.slot < 32;
                slot.rate = if first_half == (step % 2 == 0) {
                    1.5
                } else {
                    1.0
                };
            }
        }
        now += 5 * SECOND;
        let proposals = planner.plan(&nodes, &SETTINGS, now);
        apply(&mut nodes, &proposals);
        moved += proposals.moves.len();
    }
    assert!(moved <= 10, "{moved} moves in two minutes");
}

#[test]
fn the_planner_is_independent_of_member_order_and_differs_by_service() {
    let members = [5, 9, 77, 1_000];
    let planner = planner_of("deposits", &members);
    assert!(planner.is_some_and(|p| members.contains(&p)));
    let mut reversed = members;
    reversed.reverse();
    assert_eq!(planner_of("deposits", &reversed), planner);
    assert_eq!(planner_of("deposits", &[]), None);
    let others: HashSet<_> = (0..50)
        .map(|n| planner_of(&n.to_string(), &members))
        .collect();
    assert!(others.len() > 1, "one node must not plan for every service");
}
