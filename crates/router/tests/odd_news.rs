//! News and rows that no node of this version makes: none of them may end the process,
//! or hide what comes later.

use ibiscove_proxy::suspects::Suspects;
use ibiscove_ranges::map::MapSection;
use ibiscove_ranges::{KeyRange, RangeMaps};
use ibiscove_router::{crash_news, map_news};
use ibiscove_types::ServiceName;
use ibiscove_wire::messages::{RangeAssignment, RangeMapChange, RequestCrashes};
use std::sync::Arc;
use std::time::{Instant, SystemTime};
use yare::parameterized;

const FINGERPRINT: &str = "00000000000000000000000000000007";

/// Returns the text of a row with these numbers.
fn record(fingerprint: &str, clearings: &str, crashes: &str, crashed_ms: &str) -> String {
    format!(
        r#"{{"fingerprint":"{fingerprint}","crashed_ms":{crashed_ms},
            "suspicion":{{"clearings":{clearings},"crashes":{crashes}}}}}"#
    )
}

/// A row under another key would quarantine a request that nobody finds by that key, and
/// one with the most clearings could never be cleared.
#[parameterized(
    under_another_key = { &record("00000000000000000000000000000008", "0", "3", "1800000000000") },
    largest_clearings = { &record(FINGERPRINT, "4294967295", "3", "1800000000000") },
    clearings_beyond_news = { &record(FINGERPRINT, "2147483648", "3", "1800000000000") },
    clearings_too_large = { &record(FINGERPRINT, "4294967296", "3", "1800000000000") },
    crashes_too_large = { &record(FINGERPRINT, "0", "256", "1800000000000") },
    time_too_large = { &record(FINGERPRINT, "0", "3", "18446744073709551616") },
    time_beyond_floats = { &record(FINGERPRINT, "0", "3", "1e999") },
    negative_time = { &record(FINGERPRINT, "0", "3", "-1") },
    short_fingerprint = { &record("7", "0", "3", "1800000000000") },
    deeply_nested = { &record(FINGERPRINT, "0", "3", &"[".repeat(1_000_000)) },
    not_json = { "%%%" },
    empty = { "" },
)]
fn an_odd_row_quarantines_nothing(odd: &str) {
    let valid = record(FINGERPRINT, "0", "3", "1800000000000");
    let parsed = crash_news::parse_row(FINGERPRINT, valid.as_bytes());
    assert!(parsed.is_ok(), "{parsed:?}");
    let parsed = crash_news::parse_row(FINGERPRINT, odd.as_bytes());
    assert!(parsed.is_err(), "{parsed:?}");
}

/// A record with a time near the largest number was passed on as a negative one, which
/// no other node takes.
#[test]
fn a_record_from_far_ahead_is_passed_on_with_a_time_that_others_take() {
    let now = Instant::now();
    let (first, second) = (
        Suspects::new(now, SystemTime::now()),
        Suspects::new(now, SystemTime::now()),
    );
    let odd = record(FINGERPRINT, "0", "3", "18446744073709551615");
    let odd = crash_news::parse_row(FINGERPRINT, odd.as_bytes()).expect("it is a number");
    assert!(first.merge([odd], "table", now));
    for news in crash_news::batches(first.take_news()) {
        crash_news::apply(&second, news.crashes, "first", now);
    }
    assert!(second.suspicion(Some(7)).is_quarantined());
}

/// A change in a range map with odd numbers must leave the map as it is.
#[parameterized(
    negative_section = { |it: &mut RangeMapChange| it.section = -1 },
    section_beyond_the_last = { |it: &mut RangeMapChange| it.section = 16 },
    largest_section = { |it: &mut RangeMapChange| it.section = i32::MAX },
    negative_version = { |it: &mut RangeMapChange| it.version = -1 },
    largest_version = { |it: &mut RangeMapChange| it.version = i64::MAX },
    negative_epoch = { |it: &mut RangeMapChange| it.to_epoch = -1 },
    largest_epoch = { |it: &mut RangeMapChange| it.to_epoch = i64::MAX },
    largest_epochs = { |it: &mut RangeMapChange| {
        it.from_epoch = i64::MAX - 1;
        it.to_epoch = i64::MAX;
    } },
    negative_fence = { |it: &mut RangeMapChange| it.assignments[0].fence = -1 },
    largest_fence = { |it: &mut RangeMapChange| it.assignments[0].fence = i64::MAX },
    key_out_of_range = { |it: &mut RangeMapChange| it.assignments[0].last = 65_536 },
    negative_key = { |it: &mut RangeMapChange| it.assignments[0].first = -1 },
    backwards = { |it: &mut RangeMapChange| it.assignments[0].first = 101 },
)]
fn odd_news_of_a_map_hide_no_later_ones(change: fn(&mut RangeMapChange)) {
    let service = ServiceName::from("deposits");
    let news = || RangeMapChange {
        service_name: service.to_string(),
        section: 0,
        version: 2,
        from_epoch: 0,
        to_epoch: 1,
        assignments: vec![RangeAssignment {
            first: 50,
            last: 100,
            fence: 16,
            owner_node: Some("node-1".to_owned()),
            owner_id: Some("i-1".to_owned()),
            owner_born_ms: Some(i64::MAX),
            handover: None,
        }],
    };
    let maps = RangeMaps::default();
    maps.accept(&service, 1, Arc::new(MapSection::unowned(0, 0)));
    let mut odd = news();
    change(&mut odd);
    map_news::apply(&maps, vec![odd]);
    assert_eq!(maps.version(&service, 0), 1);
    map_news::apply(&maps, vec![news()]);
    assert_eq!(maps.version(&service, 0), 2, "later news count");
    let map = maps.get(&service).expect("a section is known");
    let width: u32 = map.assignments().map(|a| a.range.width()).sum();
    assert_eq!(width, KeyRange::ALL.width());
}

/// News of crashes with numbers out of range, or without a fingerprint.
#[parameterized(
    negative_clearings = { |it: &mut RequestCrashes| it.clearings = -1 },
    largest_clearings = { |it: &mut RequestCrashes| it.clearings = i32::MAX },
    negative_crashes = { |it: &mut RequestCrashes| it.crashes = -1 },
    too_many_crashes = { |it: &mut RequestCrashes| it.crashes = 256 },
    negative_time = { |it: &mut RequestCrashes| it.crashed_ms = -1 },
    no_fingerprint = { |it: &mut RequestCrashes| it.fingerprint.clear() },
    long_fingerprint = { |it: &mut RequestCrashes| it.fingerprint.push(0) },
)]
fn odd_news_of_crashes_quarantine_nothing(change: fn(&mut RequestCrashes)) {
    let now = Instant::now();
    let suspects = Suspects::new(now, SystemTime::now());
    let mut odd = RequestCrashes {
        fingerprint: 7_u128.to_be_bytes().to_vec(),
        clearings: 0,
        crashes: 3,
        crashed_ms: i64::MAX,
    };
    change(&mut odd);
    crash_news::apply(&suspects, vec![odd], "node-1", now);
    assert!(suspects.records().is_empty(), "{:?}", suspects.records());
}
