//! Tests of rows and updates that another writer may have made: nothing of them may
//! end the process, hide other rows, or hide what is written later.

use ibiscove_ranges::RangeMaps;
use ibiscove_ranges::map::{Assignment, KeyRange, MapSection, Owner, RangeMap, section_span};
use ibiscove_ranges::maps::{SectionChanges, SectionContent, SectionUpdate};
use ibiscove_ranges::rows::{self, Snapshot};
use ibiscove_store::RawRow;
use ibiscove_store::era::version_in;
use ibiscove_types::{RowVersion, ServiceName, UpstreamIncarnation};
use std::sync::Arc;
use yare::parameterized;

const SERVICE: &str = "deposits";

fn row(version: RowVersion, text: &str) -> RawRow {
    RawRow {
        version,
        body: text.as_bytes().into(),
    }
}

/// A claim with a fence that no section holds would make the coordinator write a row that
/// no node reads.
#[parameterized(
    largest = { u64::MAX },
    largest_signed = { i64::MAX as u64 },
)]
fn a_claim_with_a_fence_that_nobody_assigns_is_ignored(fence: u64) {
    let text = format!(
        r#"{{"node":"sidecar-1","incarnation":1,"life":{{"id":"i-1","born_ms":1}},
            "claims":[{{"range":{{"first":50,"last":100}},"fence":{fence}}}]}}"#
    );
    let key = rows::lease_key(SERVICE, 0, "sidecar-1");
    let snapshot = Snapshot::parse(SERVICE, 0, &[(key, row(3, &text))]);
    let snapshot = snapshot.expect("an odd lease row is no error");
    assert_eq!(snapshot.lease_version_of("sidecar-1"), Some(3));
    assert!(snapshot.claims.is_empty(), "{:?}", snapshot.claims);
}

/// A claim that ends before it begins made a map that is no partition of the keys, and
/// its width overflowed.
#[test]
fn a_claim_that_ends_before_it_begins_is_ignored() {
    let text = r#"{"node":"sidecar-1","incarnation":1,"life":{"id":"i-1","born_ms":1},
        "claims":[{"range":{"first":100,"last":50},"fence":7}]}"#;
    let key = rows::lease_key(SERVICE, 0, "sidecar-1");
    let snapshot = Snapshot::parse(SERVICE, 0, &[(key, row(3, text))]);
    let snapshot = snapshot.expect("a malformed lease row is no error");
    assert_eq!(snapshot.lease_version_of("sidecar-1"), Some(3));
    let map = RangeMap::unowned().with_claims(&snapshot.claims);
    let width: u32 = map.assignments().map(|a| a.range.width()).sum();
    assert_eq!(width, KeyRange::ALL.width(), "{:?}", snapshot.claims);
}

fn service() -> ServiceName {
    SERVICE.into()
}

fn owner() -> Owner {
    Owner {
        node: "sidecar-1".into(),
        life: UpstreamIncarnation {
            id: "i-1".into(),
            born_ms: 1,
        },
    }
}

/// Returns the text of a section of the map with these texts as epoch and fence.
fn section_text(epoch: &str, fence: &str) -> String {
    format!(
        r#"{{"section":0,"epoch":{epoch},"owners":[{{"node":"sidecar-1",
            "life":{{"id":"i-1","born_ms":1}}}}],"ranges":[[4095,0,{fence},null]]}}"#
    )
}

/// A fence or epoch near the largest number would overflow with the next change.
#[parameterized(
    largest_epoch = { "18446744073709551615", "7" },
    largest_signed_epoch = { "9223372036854775807", "7" },
    epoch_beyond_the_eras = { "36028797018963968", "7" },
    epoch_before_the_next_era = { "4294967295", "7" },
    epoch_too_large = { "18446744073709551616", "7" },
    negative_epoch = { "-1", "7" },
    fractional_epoch = { "1.5", "7" },
    largest_fence = { "1", "18446744073709551615" },
    fence_beyond_signed = { "1", "9223372036854775808" },
    largest_signed_fence = { "1", "9223372036854775807" },
)]
fn a_section_with_numbers_that_overflow_is_refused(epoch: &str, fence: &str) {
    let key = rows::section_key(SERVICE, 0, 0);
    let valid = rows::parse_section(&key, 0, &row(1, &section_text("1", "7")));
    assert!(valid.is_ok(), "{valid:?}");
    let parsed = rows::parse_section(&key, 0, &row(1, &section_text(epoch, fence)));
    assert!(parsed.is_err(), "{parsed:?}");
}

/// Deep nesting must end in an error, not in the end of the process.
#[parameterized(
    array = { "[" },
    object = { "{\"a\":" },
    in_an_unknown_field = { "{\"section\":0,\"x\":[" },
)]
fn a_deeply_nested_section_is_refused(opening: &str) {
    let key = rows::section_key(SERVICE, 0, 0);
    let text = opening.repeat(1_000_000);
    assert!(rows::parse_section(&key, 0, &row(1, &text)).is_err());
}

fn delta(version: RowVersion, to_epoch: u64, fence: u64) -> SectionUpdate {
    let change = Assignment {
        range: section_span(0),
        owner: Some(owner()),
        fence,
        handover: None,
    };
    SectionUpdate {
        version,
        content: SectionContent::Changes(SectionChanges {
            from_epoch: 0,
            to_epoch,
            changes: vec![change],
        }),
    }
}

/// An update with a version, epoch or fence of another era or near the largest number
/// would count as newer than all that nodes write later.
#[parameterized(
    largest_version = { u64::MAX, 2, 7 },
    largest_signed_version = { i64::MAX as u64, 2, 7 },
    version_of_a_later_era = { version_in(1, 9).expect("it fits"), 2, 7 },
    last_epoch_of_the_era = { 9, u64::from(u32::MAX), 7 },
    largest_fence = { 9, 2, u64::MAX },
    largest_signed_fence = { 9, 2, i64::MAX as u64 },
)]
fn an_update_with_odd_numbers_is_refused(version: RowVersion, to_epoch: u64, fence: u64) {
    let maps = RangeMaps::default();
    let first = Arc::new(MapSection::unowned(0, 0));
    assert!(maps.accept(&service(), 1, first));
    assert!(!maps.accept_update(&service(), 0, delta(version, to_epoch, fence)));
    assert!(
        maps.accept_update(&service(), 0, delta(2, 1, 16)),
        "a later update counts"
    );
}

/// News of a section that no map has must not end the process.
#[parameterized(
    beyond_the_last = { 16 },
    largest = { usize::MAX },
)]
fn an_update_of_an_unknown_section_is_refused(section: usize) {
    let maps = RangeMaps::default();
    let first = Arc::new(MapSection::unowned(0, 0));
    assert!(maps.accept(&service(), 1, first));
    assert!(!maps.accept_update(&service(), section, delta(2, 1, 16)));
}

fn odd_rows() -> Vec<(String, RawRow)> {
    vec![
        (
            rows::section_key(SERVICE, 0, 0),
            row(1, &section_text("1", "7")),
        ),
        (
            rows::section_key(SERVICE, 0, 1),
            row(2, &"[".repeat(1_000_000)),
        ),
        (
            rows::section_key(SERVICE, 0, 2),
            row(3, &section_text("1", "7")),
        ),
        (rows::section_key(SERVICE, 0, 3), row(4, "")),
        (rows::lease_key(SERVICE, 0, "sidecar-1"), row(5, "{}")),
        (rows::lease_key(SERVICE, 0, "sidecar-2"), row(6, "[[[")),
    ]
}

/// One odd section hid all other rows of the service, the leases among them.
#[test]
fn an_odd_section_hides_no_other_row() {
    let snapshot = Snapshot::parse(SERVICE, 0, &odd_rows());
    let snapshot = snapshot.expect("the others hold");
    let sections: Vec<_> = snapshot
        .sections
        .iter()
        .map(|(version, section)| (*version, section.index()))
        .collect();
    assert_eq!(sections, [(1, 0)]);
    assert_eq!(snapshot.lease_version_of("sidecar-1"), Some(5));
    assert_eq!(snapshot.lease_version_of("sidecar-2"), Some(6));
}

/// An odd section taken for an absent one would count as never assigned.
#[test]
fn an_odd_section_is_not_absent() {
    let snapshot = Snapshot::parse(SERVICE, 0, &odd_rows());
    let snapshot = snapshot.expect("the others hold");
    assert_eq!(snapshot.unreadable, [(2, 1), (3, 2), (4, 3)]);
}

/// The rows of an earlier format are not left aside with a log line.
#[test]
fn a_row_of_an_earlier_format_is_an_error() {
    let mut rows = odd_rows();
    rows.push(("ranges/deposits/map".to_owned(), row(9, "{}")));
    let err = Snapshot::parse(SERVICE, 0, &rows).expect_err("it is refused");
    assert!(err.to_string().contains("stop all nodes"), "{err}");
}

/// A lease row that claims keys for another node than its own would assign them to it.
#[test]
fn a_claim_for_another_node_is_ignored() {
    let text = r#"{"node":"sidecar-2","incarnation":1,"life":{"id":"i-1","born_ms":1},
        "claims":[{"range":{"first":50,"last":100},"fence":7}]}"#;
    let key = rows::lease_key(SERVICE, 0, "sidecar-1");
    let snapshot = Snapshot::parse(SERVICE, 0, &[(key, row(3, text))]);
    let snapshot = snapshot.expect("an odd lease row is no error");
    assert_eq!(snapshot.lease_version_of("sidecar-1"), Some(3));
    assert!(snapshot.claims.is_empty(), "{:?}", snapshot.claims);
}
