//! Range maps: partitions, changes, and their exchange between nodes.

use ibiscove_ranges::map::Transfer;
use ibiscove_ranges::maps::{MapContent, MapUpdate};
use ibiscove_ranges::{KeyRange, Owner, RangeMap, RangeMaps};
use ibiscove_types::{Key, ServiceName, UpstreamIncarnation};
use std::sync::Arc;
use yare::parameterized;

fn owner(name: &str) -> Owner {
    Owner {
        node: name.into(),
        life: UpstreamIncarnation {
            id: format!("upstream-{name}").into(),
            born_ms: 1,
        },
    }
}

fn range(first: Key, last: Key) -> KeyRange {
    KeyRange { first, last }
}

fn transfer(first: Key, last: Key, to: &str) -> Transfer {
    Transfer {
        range: range(first, last),
        to: Some(owner(to)),
        handover: None,
    }
}

fn random_map(rng: &mut fastrand::Rng, map: &RangeMap) -> RangeMap {
    let transfers: Vec<_> = (0..rng.usize(1..4))
        .map(|_| {
            let (a, b) = (rng.u16(..), rng.u16(..));
            transfer(a.min(b), a.max(b), ["a", "b", "c"][rng.usize(..3)])
        })
        .collect();
    map.with_transfers(&transfers)
}

fn assert_partition(map: &RangeMap) {
    let mut next = 0_u32;
    for assignment in map.assignments() {
        assert_eq!(u32::from(assignment.range.first), next);
        next = u32::from(assignment.range.last) + 1;
    }
    assert_eq!(next, 65_536);
}

#[parameterized(
    inside = { range(10, 20), range(12, 15), vec![range(10, 11), range(16, 20)] },
    at_the_start = { range(10, 20), range(0, 15), vec![range(16, 20)] },
    at_the_end = { range(10, 20), range(15, 30), vec![range(10, 14)] },
    whole = { range(10, 20), range(10, 20), vec![] },
    disjoint = { range(10, 20), range(21, 30), vec![range(10, 20)] },
    last_key = { range(65_530, 65_535), range(65_535, 65_535), vec![range(65_530, 65_534)] },
)]
fn difference_of_ranges_keeps_only_the_first_ones_keys(
    original: KeyRange,
    subtracted: KeyRange,
    expected: Vec<KeyRange>,
) {
    assert_eq!(
        original.difference(&subtracted).collect::<Vec<_>>(),
        expected
    );
}

#[test]
fn every_change_keeps_a_partition_and_raises_the_fence() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut map = RangeMap::unowned();
    for epoch in 1..200 {
        let next = random_map(&mut rng, &map);
        assert_partition(&next);
        assert_eq!(next.epoch(), epoch);
        for key in [0, 1, 30_000, 65_535] {
            let (old, new) = (map.assignment_of(key), next.assignment_of(key));
            assert!(new.fence >= old.fence, "fences never fall");
            if new.owner != old.owner {
                assert!(new.fence > old.fence, "a new owner has a higher fence");
            }
        }
        map = next;
    }
}

#[test]
fn map_round_trips_through_its_stored_form() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut map = RangeMap::unowned();
    for _ in 0..40 {
        map = random_map(&mut rng, &map);
        let body = serde_json::to_vec(&map).expect("the map is serialised");
        let read: RangeMap = serde_json::from_slice(&body).expect("the serialised map is parsed");
        assert_eq!(read, map);
    }
}

#[parameterized(
    no_ranges = { r#"{"epoch":1,"owners":[],"ranges":[]}"# },
    ends_early = { r#"{"epoch":1,"owners":[],"ranges":[[500,null,1,null]]}"# },
    out_of_order = { r#"{"epoch":1,"owners":[],"ranges":[[500,null,1,null],[400,null,1,null],[65535,null,1,null]]}"# },
    beyond_the_last_key = { r#"{"epoch":1,"owners":[],"ranges":[[65535,null,1,null],[65535,null,1,null]]}"# },
    unknown_owner = { r#"{"epoch":1,"owners":[],"ranges":[[65535,3,1,null]]}"# },
)]
fn row_that_is_no_partition_is_rejected(text: &str) {
    assert!(serde_json::from_str::<RangeMap>(text).is_err());
}

/// An update leads to the same map from whatever epoch the receiver has.
#[test]
fn applying_changes_yields_the_same_map_as_the_whole() {
    let service: ServiceName = "deposits".into();
    let mut rng = fastrand::Rng::with_seed(9);
    let (sender, receiver) = (RangeMaps::default(), RangeMaps::default());
    let mut map = RangeMap::unowned();
    for version in 1..400 {
        map = random_map(&mut rng, &map);
        // The sending node sometimes skips a version itself.
        if rng.u32(..4) > 0 {
            sender.accept(&service, version, Arc::new(map.clone()));
        }
        if rng.u32(..5) == 0 {
            let epoch = receiver.get(&service).map(|current| current.map.epoch());
            let Some(update) = sender.update_since(&service, epoch) else {
                continue;
            };
            receiver.accept_update(&service, update);
            let (sent, received) = (sender.get(&service), receiver.get(&service));
            assert_eq!(
                sent.map(|current| current.map),
                received.map(|current| current.map)
            );
        }
    }
}

#[test]
fn node_far_behind_receives_the_whole_map() {
    let service: ServiceName = "deposits".into();
    let maps = RangeMaps::default();
    let mut map = RangeMap::unowned();
    for version in 1..100 {
        map = map.with_transfers(&[transfer(version as Key, version as Key, "a")]);
        maps.accept(&service, version, Arc::new(map.clone()));
    }
    let content = |epoch| {
        maps.update_since(&service, epoch)
            .map(|update: MapUpdate| update.content)
    };
    assert!(matches!(
        content(Some(98)),
        Some(MapContent::Changes { .. })
    ));
    assert!(matches!(content(Some(3)), Some(MapContent::Whole(_))));
    assert!(matches!(content(None), Some(MapContent::Whole(_))));
}

#[test]
fn older_map_is_ignored() {
    let service: ServiceName = "deposits".into();
    let maps = RangeMaps::default();
    let map = Arc::new(RangeMap::unowned());
    assert!(maps.accept(&service, 5, Arc::clone(&map)));
    assert!(!maps.accept(&service, 5, Arc::clone(&map)));
    assert!(!maps.accept(&service, 4, map));
    assert_eq!(maps.version("deposits"), 5);
}
