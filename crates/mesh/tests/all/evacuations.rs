//! What a node knows of evacuated data centres: news that overtake each other, nodes
//! that restart, and readings of the operator's table.

use ibiscove_mesh::evacuations::{
    EvacuationState, HANDOVER_PERIOD, MAX_DATA_CENTRES, MAX_NAME_BYTES, Reading,
};
use ibiscove_store::era::version_in;
use ibiscove_types::{DataCentre, RowVersion};
use std::time::{Duration, Instant};
use yare::parameterized;

fn all(names: &[&str]) -> Reading {
    Reading::All(names.iter().map(|name| DataCentre::from(*name)).collect())
}

fn changes(changes: &[(&str, bool)]) -> Reading {
    changes_until(changes, Instant::now() + 2 * HANDOVER_PERIOD)
}

fn changes_until(changes: &[(&str, bool)], latest_handover_end: Instant) -> Reading {
    let changes = changes.iter();
    Reading::Changes {
        changes: changes.map(|(name, is)| ((*name).into(), *is)).collect(),
        latest_handover_end,
    }
}

fn read(state: &mut EvacuationState, version: RowVersion, reading: Reading, now: Instant) {
    state.apply_reading(version, reading, |_| true, now);
}

fn names(state: &EvacuationState) -> Vec<&str> {
    state.names().map(|name| &**name).collect()
}

/// Passes on what one node tells to another one.
fn tell(from: &EvacuationState, to: &mut EvacuationState, now: Instant) {
    if let Some(news) = from.news(now) {
        to.merge(&news, now);
    }
}

#[test]
fn several_data_centres_are_evacuated_and_taken_back_one_by_one() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    assert!(!state.is_known());
    read(&mut state, 5, all(&[]), now);
    assert!(state.is_known() && state.news(now).is_none());
    read(&mut state, 6, changes(&[("a", true), ("b", true)]), now);
    assert_eq!(names(&state), ["a", "b"]);
    read(&mut state, 8, changes(&[("a", false)]), now);
    assert_eq!(names(&state), ["b"]);
    read(&mut state, 9, changes(&[]), now);
    assert_eq!(names(&state), ["b"], "it lasts until it is taken back");
}

/// News on other ways arrive late, and must not undo what is newer.
#[parameterized(
    evacuation_overtaken = { 7, &["a"], 9, &[], &[] },
    taking_back_overtaken = { 7, &[], 9, &["a"], &["a"] },
)]
fn the_later_state_holds_whichever_arrives_first(
    earlier_version: RowVersion,
    earlier_names: &[&str],
    later_version: RowVersion,
    later_names: &[&str],
    expected: &[&str],
) {
    let now = Instant::now();
    let state_of = |version, evacuated: &[&str]| {
        let mut state = EvacuationState::default();
        read(&mut state, 1, all(&["other"]), now);
        read(&mut state, version, all(evacuated), now);
        state
    };
    let earlier = state_of(earlier_version, earlier_names);
    let later = state_of(later_version, later_names);
    let mut forward = EvacuationState::default();
    tell(&earlier, &mut forward, now);
    tell(&later, &mut forward, now);
    let mut backward = EvacuationState::default();
    tell(&later, &mut backward, now);
    tell(&earlier, &mut backward, now);
    assert_eq!(names(&forward), expected);
    assert_eq!(names(&backward), expected);
}

/// A table that returned from an earlier copy gives out earlier versions again.
#[test]
fn a_reading_of_a_later_era_holds() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, 900, all(&["a"]), now);
    let version = version_in(1, 3).expect("both are small");
    read(&mut state, version, all(&["b"]), now);
    assert_eq!(names(&state), ["b"]);
    read(&mut state, 901, all(&["a"]), now);
    assert_eq!(names(&state), ["b"]);
}

/// The node that heard of it from the table is lost; a third one hears it from the
/// second, and a restarted one too while the table is down.
#[test]
fn others_pass_it_on_when_the_one_who_heard_it_is_lost() {
    let now = Instant::now();
    let mut first = EvacuationState::default();
    read(&mut first, 5, all(&[]), now);
    read(&mut first, 6, changes(&[("a", true)]), now);
    let mut second = EvacuationState::default();
    tell(&first, &mut second, now);
    drop(first);
    let mut restarted = EvacuationState::default();
    tell(&second, &mut restarted, now);
    assert_eq!(names(&restarted), ["a"]);
    assert!(restarted.is_known());
}

/// Its feed had a gap, in which the row was removed.
#[test]
fn a_row_that_is_missing_from_all_rows_was_taken_back() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, 5, all(&["a"]), now);
    read(&mut state, 9, all(&[]), now);
    assert!(names(&state).is_empty());
    let mut behind = EvacuationState::default();
    read(&mut behind, 5, all(&["a"]), now);
    tell(&state, &mut behind, now);
    assert!(names(&behind).is_empty(), "others hear that it ended");
}

/// A restarted node knows of no evacuation, and meets one whose state is older.
#[test]
fn a_node_with_a_later_state_tells_one_that_is_behind() {
    let now = Instant::now();
    let mut behind = EvacuationState::default();
    read(&mut behind, 5, all(&["a"]), now);
    let mut restarted = EvacuationState::default();
    read(&mut restarted, 9, all(&[]), now);
    assert_eq!(restarted.news(now), None);
    tell(&behind, &mut restarted, now);
    tell(&restarted, &mut behind, now);
    assert!(names(&behind).is_empty());
}

/// A mesh in which nobody ever evacuated anything sends no byte more; a node that
/// starts there knows it from any peer.
#[test]
fn nothing_is_told_without_evacuations() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, 5, all(&[]), now);
    read(&mut state, 900, changes(&[]), now);
    assert_eq!(state.news(now), None);
    let mut started = EvacuationState::default();
    assert!(started.record_none_named().is_first);
    assert!(started.is_known() && !started.record_none_named().is_first);
    read(&mut started, 5, all(&["a"]), now);
    assert_eq!(names(&started), ["a"]);
}

/// Owners may hand keys over for a while after the first node has heard of it, not
/// after each one has.
#[test]
fn the_time_for_handovers_begins_when_the_first_node_hears_of_it() {
    let now = Instant::now();
    let later = now + Duration::from_millis(600);
    let mut first = EvacuationState::default();
    read(&mut first, 5, all(&[]), now);
    read(&mut first, 6, changes(&[("a", true)]), now);
    let mut second = EvacuationState::default();
    tell(&first, &mut second, later);
    assert_eq!(second.handover_end("a"), Some(now + HANDOVER_PERIOD));
    read(&mut second, 7, changes(&[("a", true)]), later);
    assert_eq!(second.handover_end("a"), Some(now + HANDOVER_PERIOD));
    assert_eq!(second.handover_end("b"), None);
}

/// The row may have been there for a while when a node reads the changes, and the
/// operator's period began when it was written.
#[parameterized(
    in_time = { Duration::from_millis(4_500), HANDOVER_PERIOD },
    late = { Duration::from_millis(2_250), Duration::from_millis(2_250) },
    too_late = { Duration::ZERO, Duration::ZERO },
)]
fn changes_that_are_read_late_leave_less_time(left: Duration, expected: Duration) {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, 5, all(&[]), now);
    read(
        &mut state,
        6,
        changes_until(&[("a", true)], now + left),
        now,
    );
    assert_eq!(state.handover_end("a"), Some(now + expected));
}

/// A peer that has restarted, or has read all rows again, allows no time itself. Others
/// that know when the evacuation began keep the time that is left.
#[parameterized(
    same_version = { 6 },
    later_version = { 7 },
)]
fn a_peer_that_allows_no_time_leaves_the_end_that_is_known(version: RowVersion) {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, 5, all(&[]), now);
    read(&mut state, 6, changes(&[("a", true)]), now);
    let mut peer = EvacuationState::default();
    read(&mut peer, version, all(&["a"]), now);
    let news = peer.news(now).expect("it knows of an evacuation");
    assert_eq!(news.evacuated, [("a".into(), Duration::ZERO)]);
    state.merge(&news, now);
    assert_eq!(state.handover_end("a"), Some(now + HANDOVER_PERIOD));
    read(&mut state, 8, all(&["a", "b"]), now);
    assert_eq!(state.handover_end("a"), Some(now + HANDOVER_PERIOD));
    assert_eq!(state.handover_end("b"), Some(now));
}

/// It cannot know how long ago the row was written.
#[test]
fn a_node_that_reads_it_at_its_start_allows_no_time() {
    let now = Instant::now();
    let mut state = EvacuationState::default();
    read(&mut state, 5, all(&["a"]), now);
    assert_eq!(state.handover_end("a"), Some(now));
}

/// Rows of data centres without nodes must not keep out those that exist, nor make a
/// heartbeat too long.
#[test]
fn too_many_evacuations_are_left_out_beginning_with_those_without_nodes() {
    let now = Instant::now();
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let mut rows: Vec<String> = (0..3 * MAX_DATA_CENTRES).map(|i| format!("a{i}")).collect();
    rows.push(long.clone());
    rows.push("zone".to_owned());
    let rows: Vec<&str> = rows.iter().map(String::as_str).collect();
    let mut state = EvacuationState::default();
    let change = state.apply_reading(5, all(&rows), |name| &**name == "zone", now);
    assert!(names(&state).contains(&"zone"));
    assert_eq!(names(&state).len(), MAX_DATA_CENTRES);
    assert_eq!(change.left_out.len(), rows.len() - MAX_DATA_CENTRES);
    assert!(change.left_out.contains(&DataCentre::from(&*long)));
}

/// Nodes that know of different members leave out different names, and would undo each
/// other's choice with every heartbeat.
#[test]
fn two_nodes_that_left_out_different_names_keep_theirs() {
    let now = Instant::now();
    let rows: Vec<String> = (0..=MAX_DATA_CENTRES).map(|i| format!("a{i:02}")).collect();
    let rows: Vec<&str> = rows.iter().map(String::as_str).collect();
    let state_of = |populated: &str| {
        let mut state = EvacuationState::default();
        state.apply_reading(5, all(&rows), |name| **name == *populated, now);
        state
    };
    let (mut one, mut other) = (state_of("a00"), state_of("a16"));
    assert_ne!(names(&one), names(&other));
    let before = (one.clone(), other.clone());
    for _ in 0..3 {
        let (of_one, of_other) = (one.news(now), other.news(now));
        let change = other.merge(&of_one.expect("it tells"), now);
        assert!(!change.is_change());
        let change = one.merge(&of_other.expect("it tells"), now);
        assert!(!change.is_change());
    }
    assert_eq!((one, other), before);
}
