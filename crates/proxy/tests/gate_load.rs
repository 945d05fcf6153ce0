//! The load that a gate adds to its responses to other nodes.

use ibiscove_proxy::gate::GateLoad;
use std::time::Duration;
use yare::parameterized;

#[test]
fn load_reads_back_as_it_was_written() {
    let load = GateLoad {
        load: 7,
        service_time: Duration::from_micros(90_250),
        concurrency: 3,
    };
    assert_eq!(GateLoad::from_header(&load.to_header()), Some(load));
}

/// Guards against loads of another node's version that are taken for this one's.
#[parameterized(
    empty = { "" },
    without_concurrency = { "7,90250" },
    more_numbers = { "7,90250,3,1" },
    negative = { "-7,90250,3" },
    text = { "7,fast,3" },
)]
fn malformed_load_is_ignored(text: &str) {
    assert_eq!(GateLoad::from_header(text), None);
}
