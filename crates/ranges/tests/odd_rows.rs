//! Tests of rows and updates that another writer may have made: nothing of them may
//! end the process, hide other rows, or hide what is written later.

use ibiscove_ranges::map::{KeyRange, RangeMap};
use ibiscove_ranges::rows::{self, Snapshot};
use ibiscove_store::RawRow;
use ibiscove_types::RowVersion;

const SERVICE: &str = "deposits";

fn row(version: RowVersion, text: &str) -> RawRow {
    RawRow {
        version,
        body: text.as_bytes().into(),
    }
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
