//! The metadata that an entry sends to a gate, also between versions.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use ibiscove_proxy::forward::RequestMetadata;
use std::time::{Duration, Instant};
use yare::parameterized;

fn metadata(now: Instant, parent_priority: Option<u8>) -> RequestMetadata {
    RequestMetadata {
        service: "gallery".into(),
        route: "signs".into(),
        request_id: "7".into(),
        key: None,
        idempotent: true,
        priority: 0,
        order_priority: Some(2),
        parent_priority,
        target_latency: Duration::from_millis(100),
        target_deadline: now + Duration::from_millis(100),
        deadline: now + Duration::from_millis(900),
        may_miss_target: true,
        caller_service: Some("calendar".into()),
        entry_node: "node-1".into(),
        upstream_notice: None,
        fingerprint: None,
        crash_record: None,
    }
}

#[parameterized(
    of_a_known_order = { Some(3) },
    of_an_unknown_order = { None },
)]
fn a_call_reads_back_with_the_priority_of_its_order(parent_priority: Option<u8>) {
    let now = Instant::now();
    let sent = metadata(now, parent_priority);
    let mut headers = HeaderMap::new();
    sent.write(&mut headers, now).expect("it is text");
    assert_eq!(RequestMetadata::read(&headers, now), Some(sent));
}

/// A priority that is none must not be taken for another one.
#[parameterized(negative = { "-1" }, too_large = { "256" }, text = { "\"urgent\"" })]
fn an_odd_priority_of_an_order_is_refused(odd: &str) {
    let now = Instant::now();
    let mut headers = HeaderMap::new();
    let sent = metadata(now, Some(3));
    sent.write(&mut headers, now).expect("it is text");
    for value in headers.values_mut() {
        let text = value.to_str().expect("it is text");
        let changed = text.replace("\"parent\":3", &format!("\"parent\":{odd}"));
        assert_ne!(text, changed);
        *value = HeaderValue::from_str(&changed).expect("it is text");
    }
    assert_eq!(RequestMetadata::read(&headers, now), None);
}
