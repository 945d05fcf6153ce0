//! Range maps: partitions, changes, and their exchange between nodes.

use ibiscove_ranges::map::{Claim, Transfer};
use ibiscove_ranges::map::{MapSection, SECTION_COUNT, section_of, section_span, split_by_section};
use ibiscove_ranges::maps::{SectionContent, SectionUpdate};
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
    for _ in 1..200 {
        let next = random_map(&mut rng, &map);
        assert_partition(&next);
        assert!(next.epoch() > map.epoch());
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
        for index in 0..SECTION_COUNT {
            let section = &**map.section(index);
            let body = serde_json::to_vec(section).expect("the section is serialised");
            let read: MapSection = serde_json::from_slice(&body).expect("it is parsed");
            assert_eq!(&read, section);
        }
    }
}

#[parameterized(
    no_ranges = { r#"{"section":0,"epoch":1,"owners":[],"ranges":[]}"# },
    ends_early = { r#"{"section":0,"epoch":1,"owners":[],"ranges":[[500,null,1,null]]}"# },
    out_of_order = { r#"{"section":0,"epoch":1,"owners":[],"ranges":[[500,null,1,null],[400,null,1,null],[4095,null,1,null]]}"# },
    beyond_the_last_key = { r#"{"section":0,"epoch":1,"owners":[],"ranges":[[4095,null,1,null],[4095,null,1,null]]}"# },
    in_another_section = { r#"{"section":1,"epoch":1,"owners":[],"ranges":[[4095,null,1,null]]}"# },
    beyond_its_section = { r#"{"section":0,"epoch":1,"owners":[],"ranges":[[4096,null,1,null]]}"# },
    unknown_section = { r#"{"section":16,"epoch":1,"owners":[],"ranges":[[4095,null,1,null]]}"# },
    unknown_owner = { r#"{"section":0,"epoch":1,"owners":[],"ranges":[[4095,3,1,null]]}"# },
)]
fn row_that_is_no_partition_is_rejected(text: &str) {
    assert!(serde_json::from_str::<MapSection>(text).is_err());
}

/// An update leads to the same section from whatever epoch the receiver has.
#[test]
fn applying_changes_yields_the_same_section_as_the_whole() {
    let service: ServiceName = "deposits".into();
    let mut rng = fastrand::Rng::with_seed(9);
    let (sender, receiver) = (RangeMaps::default(), RangeMaps::default());
    let mut map = RangeMap::unowned();
    for version in 1..400 {
        map = random_map(&mut rng, &map);
        let index = rng.usize(..SECTION_COUNT);
        // The sending node sometimes skips a version itself.
        if rng.u32(..4) > 0 {
            sender.accept(&service, version, Arc::clone(map.section(index)));
        }
        if rng.u32(..5) == 0 {
            let known = receiver.known_section(&service, index);
            let epoch = known.map(|section| section.epoch());
            let Some(update) = sender.update_since(&service, index, epoch) else {
                continue;
            };
            receiver.accept_update(&service, index, update);
            assert_eq!(
                sender.known_section(&service, index),
                receiver.known_section(&service, index)
            );
        }
    }
}

#[test]
fn node_far_behind_receives_the_whole_section() {
    let service: ServiceName = "deposits".into();
    let maps = RangeMaps::default();
    let mut map = RangeMap::unowned();
    for version in 1..100 {
        map = map.with_transfers(&[transfer(version as Key, version as Key, "a")]);
        maps.accept(&service, version, Arc::clone(map.section(0)));
    }
    let content = |epoch| {
        maps.update_since(&service, 0, epoch)
            .map(|update: SectionUpdate| update.content)
    };
    assert!(matches!(
        content(Some(98)),
        Some(SectionContent::Changes(_))
    ));
    assert!(matches!(content(Some(3)), Some(SectionContent::Whole(_))));
    assert!(matches!(content(None), Some(SectionContent::Whole(_))));
    assert_eq!(maps.update_since(&service, 1, None), None, "not received");
}

#[test]
fn older_section_is_ignored() {
    let service: ServiceName = "deposits".into();
    let maps = RangeMaps::default();
    let section = Arc::new(MapSection::unowned(3, 0));
    assert!(maps.accept(&service, 5, Arc::clone(&section)));
    assert!(!maps.accept(&service, 5, Arc::clone(&section)));
    assert!(!maps.accept(&service, 4, section));
    assert_eq!(maps.version("deposits", 3), 5);
    assert_eq!(maps.version("deposits", 2), 0);
    assert!(maps.known_section("deposits", 2).is_none());
}

/// A change applies only where the receiver's section is at least as new as the
/// state that the change starts from.
#[test]
fn changes_that_skip_an_epoch_are_not_applied() {
    let service: ServiceName = "deposits".into();
    let (sender, receiver) = (RangeMaps::default(), RangeMaps::default());
    let mut map = RangeMap::unowned();
    for version in 1..4 {
        map = map.with_transfers(&[transfer(version as Key, version as Key, "a")]);
        sender.accept(&service, version, Arc::clone(map.section(0)));
        if version == 1 {
            receiver.accept(&service, version, Arc::clone(map.section(0)));
        }
    }
    let last = sender
        .update_since(&service, 0, Some(2))
        .expect("there is one");
    assert!(!receiver.accept_update(&service, 0, last));
    let both = sender
        .update_since(&service, 0, Some(1))
        .expect("there is one");
    assert!(receiver.accept_update(&service, 0, both));
    assert_eq!(receiver.version("deposits", 0), 3);
}

#[test]
fn sections_divide_the_keys_in_order() {
    let mut next = 0_u32;
    for section in 0..SECTION_COUNT {
        let span = section_span(section);
        assert_eq!(u32::from(span.first), next);
        assert_eq!(
            (section_of(span.first), section_of(span.last)),
            (section, section)
        );
        next = u32::from(span.last) + 1;
    }
    assert_eq!(next, 65_536);
    let parts: Vec<_> = split_by_section(range(4_000, 8_192)).collect();
    let expected = [
        range(4_000, 4_095),
        range(4_096, 8_191),
        range(8_192, 8_192),
    ];
    assert_eq!(parts, expected);
}

/// Two changes in different sections, made from the same state, both remain.
#[test]
fn changes_of_different_sections_do_not_exclude_each_other() {
    let start = RangeMap::unowned();
    let low = start.with_transfers(&[transfer(0, 10, "a")]);
    let high = start.with_transfers(&[transfer(65_000, 65_010, "b")]);
    let merged = low.clone().with_section(Arc::clone(high.section(15)), 1);
    assert_eq!(merged.assignment_of(5).owner, Some(owner("a")));
    assert_eq!(merged.assignment_of(65_005).owner, Some(owner("b")));
    let fences = [5, 65_005].map(|key| merged.assignment_of(key).fence);
    assert_ne!(fences[0], fences[1], "fences are unique within the service");
}

/// Guards against a transfer of a released range that takes along keys of it which
/// have gone to another owner since.
#[test]
fn only_the_parts_of_a_released_range_that_its_node_still_owns_are_left_to_transfer() {
    let before = RangeMap::unowned().with_transfers(&[transfer(0, 4_095, "a")]);
    let fence = before.assignment_of(0).fence;
    let released = Claim {
        range: range(100, 300),
        fence,
    };
    let parts = |map: &RangeMap| -> Vec<_> { map.parts_owned_under(&released, "a").collect() };
    assert_eq!(parts(&before), [range(100, 300)]);
    let after = before.with_transfers(&[transfer(200, 250, "b")]);
    assert_eq!(parts(&after), [range(100, 199), range(251, 300)]);
    let returned = after.with_transfers(&[transfer(0, 150, "b"), transfer(200, 250, "a")]);
    assert_eq!(parts(&returned), [range(151, 199), range(251, 300)]);
}
