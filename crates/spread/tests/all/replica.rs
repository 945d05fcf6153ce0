//! What one replica takes and what it refuses.

use crate::support::{config_entry, live, node, node_entry};
use ibiscove_spread::{Replica, ReplicatedRow, handle_request};
use ibiscove_types::rows::node_key;
use ibiscove_types::{ClusterMap, NodeState};
use ibiscove_wire::messages::{Push, Request};
use yare::parameterized;

fn retired(incarnation: u64, version: u64) -> ReplicatedRow {
    node_entry(&node(incarnation, NodeState::Retired, &[]), version)
}

/// Everything that a map says, for comparison.
fn content(map: &ClusterMap) -> String {
    let owners: Vec<_> = (0..8).map(|slot| map.owner("deposits", slot)).collect();
    let nodes: Vec<_> = map.nodes().collect();
    format!("{nodes:?} {owners:?} {:?}", map.members("deposits"))
}

#[test]
fn any_order_and_any_repeats_give_the_map_of_the_newest_rows() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut entries = Vec::new();
        for incarnation in 1..=6 {
            for version in 1..=5 {
                let state = match rng.u32(..4) {
                    0 => NodeState::Retired,
                    1 => NodeState::Draining,
                    _ => NodeState::Live,
                };
                let slots = (0..8).map(|slot| (slot, rng.u64(0..9)));
                let slots: Vec<_> = slots.filter(|(_, fence)| *fence > 0).collect();
                let mut row = node(incarnation, state, &slots);
                if rng.u32(..5) == 0 {
                    row.upstream = None;
                }
                entries.push(node_entry(&row, version));
            }
        }
        let newest: Vec<_> = entries
            .iter()
            .filter(|entry| entry.version == 5)
            .cloned()
            .collect();
        let raw = newest
            .iter()
            .map(|e| (e.key.as_str(), e.version, &e.body[..]));
        let expected = content(&ClusterMap::from_rows(raw));
        entries.extend(entries.clone());
        rng.shuffle(&mut entries);
        let replica = Replica::default();
        let mut highest = std::collections::HashMap::new();
        while !entries.is_empty() {
            let batch = entries.split_off(entries.len().saturating_sub(rng.usize(1..9)));
            for taken in replica.apply(batch) {
                let before = highest.insert(taken.key.clone(), taken.version);
                assert!(
                    before < Some(taken.version),
                    "seed {seed}: a version went back"
                );
            }
        }
        assert_eq!(content(&replica.map()), expected, "seed {seed}");
        let whole = Replica::default();
        whole.apply(newest);
        assert_eq!(replica.digest(), whole.digest(), "seed {seed}");
    }
}

#[test]
fn a_damaged_row_is_refused() {
    let mut message = live(3).to_message();
    message.body[0] ^= 1;
    let replica = Replica::default();
    let push = Request::Push(Push {
        entries: vec![message],
    });
    let (_, newer) = handle_request(&replica, push).expect("a message about rows");
    assert_eq!(newer, []);
    assert_eq!(replica.node_count(), 0);
}

#[test]
fn an_unreadable_row_leaves_the_others_alone() {
    let replica = Replica::default();
    let bad = ReplicatedRow {
        key: node_key(9),
        version: 1,
        body: b"{"[..].into(),
    };
    replica.apply([live(1), bad, live(2)]);
    assert_eq!(replica.map().live_nodes().count(), 2);
}

#[parameterized(
    another = { b"# another text", false },
    right = { b"# text", true },
)]
fn a_row_without_its_text_waits_for_the_right_one(text: &[u8], taken: bool) {
    let replica = Replica::default();
    replica.apply([config_entry(1, "# old", true)]);
    assert_eq!(replica.apply([config_entry(2, "# text", false)]), []);
    let in_force = |replica: &Replica| replica.map().config("inventory").map(|c| c.row.version);
    assert_eq!(
        in_force(&replica),
        Some(1),
        "the version before stays in force, whole"
    );
    assert_eq!(replica.missing_texts().len(), 1);
    assert_eq!(replica.supply_text(text.to_vec()).len(), usize::from(taken));
    assert_eq!(in_force(&replica), Some(if taken { 2 } else { 1 }));
}

#[test]
fn a_row_whose_text_does_not_match_its_digest_is_refused() {
    let replica = Replica::default();
    let mut entry = config_entry(1, "# text", true);
    let body = String::from_utf8(entry.body.to_vec()).expect("JSON");
    entry.body = body.replace("# text", "# test").into_bytes().into();
    assert_eq!(replica.apply([entry]), []);
    assert!(replica.map().config("inventory").is_none());
}

#[test]
fn a_row_that_the_table_deleted_is_forgotten_and_not_taken_from_peers_again() {
    let (forgetful, late) = (Replica::default(), Replica::default());
    for replica in [&forgetful, &late] {
        replica.apply([live(1), live(2), retired(2, 4)]);
    }
    let before = forgetful.versions();
    forgetful.reconcile(&before, vec![live(1)]);
    assert_eq!(forgetful.node_count(), 1);
    assert!(forgetful.map().node(2).is_none());
    assert_eq!(
        forgetful.digest(),
        late.digest(),
        "retired rows count in no digest"
    );
    assert_eq!(forgetful.apply(late.rows([node_key(2)])), []);
    assert_eq!(
        forgetful.apply([live(2)]),
        [],
        "nor an earlier version of it"
    );
}

#[test]
fn a_row_that_came_while_the_table_was_read_is_kept() {
    let replica = Replica::default();
    replica.apply([live(1)]);
    let before = replica.versions();
    replica.apply([live(2)]);
    replica.reconcile(&before, vec![live(1)]);
    assert_eq!(replica.node_count(), 2);
}
