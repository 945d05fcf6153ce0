//! Which rows a replica accepts and which it rejects.

use crate::support::{config_entry, live_entry, node, node_entry};
use ibiscove_spread::{Replica, ReplicatedRow, handle_request};
use ibiscove_types::rows::node_key;
use ibiscove_types::{ClusterMap, NodeState};
use ibiscove_wire::messages::{Push, Request};
use yare::parameterized;

fn retired(incarnation: u64, version: u64) -> ReplicatedRow {
    node_entry(&node(incarnation, NodeState::Retired, &[]), version)
}

/// Returns the content of a map, for comparison.
fn map_content(map: &ClusterMap) -> String {
    let owners: Vec<_> = (0..8).map(|slot| map.owner("deposits", slot)).collect();
    let nodes: Vec<_> = map.nodes().collect();
    format!("{nodes:?} {owners:?} {:?}", map.members("deposits"))
}

#[test]
fn rows_in_any_order_with_duplicates_give_the_map_of_the_newest_versions() {
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
        let expected = map_content(&ClusterMap::from_rows(raw));
        entries.extend(entries.clone());
        rng.shuffle(&mut entries);
        let replica = Replica::default();
        let mut highest = std::collections::HashMap::new();
        while !entries.is_empty() {
            let batch = entries.split_off(entries.len().saturating_sub(rng.usize(1..9)));
            for accepted in replica.apply(batch) {
                let before = highest.insert(accepted.key.clone(), accepted.version);
                assert!(
                    before < Some(accepted.version),
                    "seed {seed}: a version decreased"
                );
            }
        }
        assert_eq!(map_content(&replica.map()), expected, "seed {seed}");
        let expected_replica = Replica::default();
        expected_replica.apply(newest);
        assert_eq!(replica.digest(), expected_replica.digest(), "seed {seed}");
    }
}

#[test]
fn a_row_with_a_wrong_checksum_is_rejected() {
    let mut message = live_entry(3).to_message();
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
fn an_unreadable_row_does_not_affect_other_rows() {
    let replica = Replica::default();
    let unreadable = ReplicatedRow {
        key: node_key(9),
        version: 1,
        body: b"{"[..].into(),
    };
    replica.apply([live_entry(1), unreadable, live_entry(2)]);
    assert_eq!(replica.map().live_nodes().count(), 2);
}

#[parameterized(
    wrong_text = { b"# another text", false },
    matching_text = { b"# text", true },
)]
fn a_row_without_its_text_takes_effect_only_with_the_matching_text(text: &[u8], accepted: bool) {
    let replica = Replica::default();
    replica.apply([config_entry(1, "# old", true)]);
    assert_eq!(replica.apply([config_entry(2, "# text", false)]), []);
    let in_force = |replica: &Replica| replica.map().config("inventory").map(|c| c.row.version);
    assert_eq!(
        in_force(&replica),
        Some(1),
        "the previous version stays in force"
    );
    assert_eq!(replica.missing_texts().len(), 1);
    assert_eq!(
        replica.supply_text(text.to_vec()).len(),
        usize::from(accepted)
    );
    assert_eq!(in_force(&replica), Some(if accepted { 2 } else { 1 }));
}

#[test]
fn a_row_whose_text_does_not_match_its_digest_is_rejected() {
    let replica = Replica::default();
    let mut entry = config_entry(1, "# text", true);
    let body = String::from_utf8(entry.body.to_vec()).expect("JSON");
    entry.body = body.replace("# text", "# test").into_bytes().into();
    assert_eq!(replica.apply([entry]), []);
    assert!(replica.map().config("inventory").is_none());
}

#[test]
fn a_row_deleted_from_the_table_is_deleted_and_not_accepted_from_peers_again() {
    let (reconciled, unreconciled) = (Replica::default(), Replica::default());
    for replica in [&reconciled, &unreconciled] {
        replica.apply([live_entry(1), live_entry(2), retired(2, 4)]);
    }
    let before = reconciled.versions();
    reconciled.reconcile(&before, vec![live_entry(1)]);
    assert_eq!(reconciled.node_count(), 1);
    assert!(reconciled.map().node(2).is_none());
    assert_eq!(
        reconciled.digest(),
        unreconciled.digest(),
        "digests leave out retired rows"
    );
    assert_eq!(reconciled.apply(unreconciled.rows([node_key(2)])), []);
    assert_eq!(
        reconciled.apply([live_entry(2)]),
        [],
        "an earlier version is rejected as well"
    );
}

#[test]
fn a_row_received_during_a_table_read_is_not_deleted() {
    let replica = Replica::default();
    replica.apply([live_entry(1)]);
    let before = replica.versions();
    replica.apply([live_entry(2)]);
    replica.reconcile(&before, vec![live_entry(1)]);
    assert_eq!(replica.node_count(), 2);
}
