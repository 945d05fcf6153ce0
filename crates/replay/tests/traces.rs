//! Replays every committed trace on real nodes and checks its promises.

use ibiscove_replay::{Trace, check, replay};
use std::path::{Path, PathBuf};
use yare::parameterized;

/// The replayed traces; a test checks that the list is complete.
const TRACE_NAMES: &[&str] = &[
    "dakar-market-day",
    "data-centre-lost",
    "linen-order-gate-loss",
    "order-server-drained",
    "painter-double-booking",
    "table-down-with-loss",
    "tunis-catalogue-slow-upstream",
    "two-operators-racing",
    "wedding-deposit-repeated",
];

fn traces_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/traces")
}

fn read_trace(name: &str) -> Trace {
    let path = traces_dir().join(name).with_extension("jsonl");
    let text = std::fs::read_to_string(&path);
    let text = text.unwrap_or_else(|err| panic!("{}: {err}", path.display()));
    Trace::parse(&text).unwrap_or_else(|err| panic!("{name}: {err}"))
}

#[parameterized(
    dakar_market_day = { "dakar-market-day" },
    data_centre_lost = { "data-centre-lost" },
    linen_order_gate_loss = { "linen-order-gate-loss" },
    order_server_drained = { "order-server-drained" },
    painter_double_booking = { "painter-double-booking" },
    table_down_with_loss = { "table-down-with-loss" },
    tunis_catalogue_slow_upstream = { "tunis-catalogue-slow-upstream" },
    two_operators_racing = { "two-operators-racing" },
    wedding_deposit_repeated = { "wedding-deposit-repeated" },
)]
fn trace_satisfies_its_promises(name: &str) {
    assert!(TRACE_NAMES.contains(&name), "{name} is not listed");
    let trace = read_trace(name);
    let history = smol::block_on(replay(&trace)).expect("the trace can be replayed");
    let violations = check(&trace, &history);
    assert!(violations.is_empty(), "{name}: {violations:#?}");
}

#[test]
fn every_committed_trace_is_replayed() {
    let files = std::fs::read_dir(traces_dir()).expect("the directory of traces");
    let mut names: Vec<String> = files
        .map(|file| file.expect("a directory entry").path())
        .filter(|path| path.extension().is_some_and(|end| end == "jsonl"))
        .filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()))
        .collect();
    names.sort();
    assert_eq!(names, TRACE_NAMES);
}
