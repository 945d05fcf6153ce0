//! What an entry tells a gate about a request.

use hyper::HeaderMap;
use ibiscove_proxy::forward::RequestMetadata;
use std::time::{Duration, Instant};
use yare::parameterized;

/// Guards against a request that every gate refuses because a name in its metadata can't
/// stand in a header: that was sent empty.
#[parameterized(
    plain = { "signs" },
    delete = { "si\u{7f}gns" },
    control = { "si\u{0}\u{1b}\u{85}gns" },
    lines = { "si\r\n\tgns" },
    quoted = { "\"si\\gns\"" },
    umlauts = { "Wäger 鵜" },
)]
fn metadata_with_any_name_reaches_the_gate(name: &str) {
    let now = Instant::now();
    let sent = RequestMetadata {
        service: name.into(),
        route: name.into(),
        request_id: name.into(),
        key: Some(7),
        idempotent: true,
        priority: 1,
        target_latency: Duration::from_millis(50),
        target_deadline: now + Duration::from_millis(40),
        deadline: now + Duration::from_millis(500),
        may_miss_target: true,
        caller_service: Some(name.into()),
        entry_node: name.into(),
        upstream_notice: None,
        fingerprint: Some(7),
        crash_record: None,
        sent: None,
    };
    let mut headers = HeaderMap::new();
    sent.write(&mut headers, now).expect("it is serialised");
    assert_eq!(RequestMetadata::read(&headers, now), Some(sent));
}
