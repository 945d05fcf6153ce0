//! Where keys go: the first division, joiners, hot neighbourhoods, one hot key,
//! slow owners.

use ibiscove_ranges::balance::{
    Candidate, OffloadReason, RANGES_PER_MEMBER, assign_ranges, move_hottest_key, offload,
    share_for_joining_member,
};
use ibiscove_ranges::load::KeyLoad;
use ibiscove_ranges::map::Transfer;
use ibiscove_ranges::{KeyRange, Owner, RangeMap};
use ibiscove_types::{Key, UpstreamIncarnation};
use std::time::{Duration, Instant};

fn owner(name: &str) -> Owner {
    Owner {
        node: name.into(),
        life: UpstreamIncarnation {
            id: format!("upstream-{name}").into(),
            born_ms: 1,
        },
    }
}

fn candidate(name: &str, utilisation: f64, millis: u64) -> Candidate {
    Candidate {
        owner: owner(name),
        utilisation,
        service_time: Duration::from_millis(millis),
    }
}

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(1)
}

fn divided(names: &[&str]) -> RangeMap {
    let owners: Vec<_> = names.iter().map(|name| owner(name)).collect();
    let map = RangeMap::unowned();
    let transfers: Vec<_> = assign_ranges(&map, &[KeyRange::ALL], &owners)
        .into_iter()
        .map(|(range, owner)| Transfer::without_handover(range, owner))
        .collect();
    map.with_transfers(&transfers)
}

/// A whole window in which each of `keys` kept `busy` slots busy.
fn load(keys: impl Iterator<Item = (Key, f64)>) -> KeyLoad {
    let began = Instant::now();
    let mut load = KeyLoad::new(began);
    for (key, busy) in keys {
        load.record(key, Duration::from_secs_f64(busy), began);
    }
    load.roll_window(began + Duration::from_secs(1));
    load
}

#[test]
fn the_first_division_is_even_and_spreads_neighbours() {
    let map = divided(&["a", "b", "c", "d", "e"]);
    for name in ["a", "b", "c", "d", "e"] {
        let width = map.width_owned_by_node(name);
        assert!((12_000..14_500).contains(&width), "{name} has {width} keys");
        assert!(map.owned_by_node(name).count() >= RANGES_PER_MEMBER - 1);
    }
    let owners = map.assignments().windows(2);
    assert!(
        owners
            .into_iter()
            .all(|pair| pair[0].owner != pair[1].owner)
    );
}

#[test]
fn a_joiner_is_given_keys_by_one_owner_at_a_time() {
    let map = divided(&["a", "b", "c"]);
    let owners = ["a", "b", "c"].map(owner);
    let members = |own: &Owner| -> Vec<Owner> {
        let others = owners.iter().filter(|other| *other != own).cloned();
        others.chain([owner("joiner")]).collect()
    };
    let gifts: Vec<_> = owners
        .iter()
        .filter_map(|own| share_for_joining_member(&map, own, &members(own)))
        .collect();
    assert_eq!(gifts.len(), 1);
    assert_eq!(gifts[0].1, owner("joiner"));
}

#[test]
fn a_member_with_its_share_is_given_nothing() {
    let map = divided(&["a", "b", "c"]);
    let others = [owner("b"), owner("c")];
    assert_eq!(share_for_joining_member(&map, &owner("a"), &others), None);
}

#[test]
fn a_hot_neighbourhood_is_parted() {
    let map = divided(&["a", "b", "c"]);
    let hot = map.owned_by_node("a").next().expect("a owns keys").range;
    let load = load((hot.first..hot.first + 200).map(|key| (key, 0.1)));
    let own = candidate("a", 2.0, 50);
    let others = [candidate("b", 0.5, 50), candidate("c", 0.2, 50)];
    let (range, to) = offload(
        OffloadReason::Overloaded,
        &map,
        &own,
        &load,
        &others,
        &mut rng(),
    )
    .expect("a gives keys");
    assert_eq!(to, owner("c"), "the least busy is given them");
    let moved: f64 = load.per_key(range).map(|(_, work)| work).sum();
    assert!(
        moved > 3.0 && moved < 12.0,
        "{moved} of {} moved",
        load.total()
    );
}

#[test]
fn the_neighbours_of_one_hot_key_leave_it() {
    let map = divided(&["a", "b"]);
    let hot = map.owned_by_node("a").next().expect("a owns keys").range;
    let keys = (hot.first..=hot.first + 20).map(|key| match key == hot.first + 10 {
        true => (key, 5.0),
        false => (key, 0.05),
    });
    let load = load(keys);
    let own = candidate("a", 1.5, 50);
    let (range, _) = offload(
        OffloadReason::Overloaded,
        &map,
        &own,
        &load,
        &[candidate("b", 0.1, 50)],
        &mut rng(),
    )
    .expect("a gives the neighbours");
    assert!(
        !range.contains(hot.first + 10),
        "the hot key would only carry its load along"
    );
}

#[test]
fn an_even_load_stays_where_it_is() {
    let map = divided(&["a", "b"]);
    let load = load((0..1_000).map(|key| (key, 0.01)));
    let own = candidate("a", 0.9, 50);
    let others = [candidate("b", 0.8, 50)];
    assert_eq!(
        offload(
            OffloadReason::Overloaded,
            &map,
            &own,
            &load,
            &others,
            &mut rng()
        ),
        None
    );
    assert_eq!(
        offload(OffloadReason::Slow, &map, &own, &load, &others, &mut rng()),
        None
    );
}

#[test]
fn a_slow_owner_gives_keys_to_a_faster_one_with_room() {
    let map = divided(&["a", "b", "c"]);
    let load = load((0..20_000).map(|key| (key, 0.0002)));
    let own = candidate("a", 0.4, 120);
    let full = candidate("b", 0.9, 40);
    let roomy = candidate("c", 0.2, 60);
    let (_, to) = offload(
        OffloadReason::Slow,
        &map,
        &own,
        &load,
        &[full, roomy],
        &mut rng(),
    )
    .expect("a gives keys");
    assert_eq!(to, owner("c"));
}

#[test]
fn one_hot_key_goes_to_the_fastest_and_only_there() {
    let load = load((100..=120).map(|key| (key, if key == 110 { 5.0 } else { 0.05 })));
    let own = candidate("a", 2.0, 120);
    let others = [candidate("b", 0.9, 40), candidate("c", 0.1, 110)];
    let (range, to) = move_hottest_key(&own, &load, &others).expect("it is lifted");
    assert_eq!((range.first, range.last), (110, 110));
    assert_eq!(to, owner("b"));
    let slower = [candidate("c", 0.1, 110)];
    assert_eq!(
        move_hottest_key(&own, &load, &slower),
        None,
        "it would gain nothing there"
    );
    let calm = candidate("a", 0.5, 120);
    assert_eq!(move_hottest_key(&calm, &load, &others), None);
}

/// Thirty owners of which ten are busy, all with the same news: few give at a
/// time, and not all to the same one.
#[test]
fn owners_that_are_busy_together_do_not_give_to_one() {
    let names: Vec<String> = (0..30).map(|i| format!("n{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let map = divided(&names);
    let utilisation = |i: usize| if i < 10 { 1.5 + i as f64 / 100.0 } else { 0.3 };
    let mut gifts = Vec::new();
    let mut rng = rng();
    for giver in 0..30 {
        let own = candidate(names[giver], utilisation(giver), 50);
        let others: Vec<_> = (0..30)
            .filter(|i| *i != giver)
            .map(|i| candidate(names[i], utilisation(i), 50))
            .collect();
        let owned = map.owned_by_node(names[giver]);
        let load = load(owned.map(|a| (a.range.first, 1.0)));
        gifts.extend(offload(
            OffloadReason::Overloaded,
            &map,
            &own,
            &load,
            &others,
            &mut rng,
        ));
    }
    assert!((1..=4).contains(&gifts.len()), "{} give", gifts.len());
    let mut recipients: Vec<_> = gifts.iter().map(|(_, to)| &to.node).collect();
    recipients.sort();
    recipients.dedup();
    assert!(recipients.len() > 1, "all give to {recipients:?}");
}
