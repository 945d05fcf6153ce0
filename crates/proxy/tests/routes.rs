//! Route and service selection, and rejected configurations.

use ibiscove_proxy::routes::{
    CallerLimits, ConfigCell, RequestKind, Route, RouteError, RouteTable, Service, Share,
};
use ibiscove_types::ServiceName;
use std::collections::HashMap;
use std::time::Duration;
use yare::parameterized;

fn share(service: &str, weight: u32) -> Share {
    Share {
        service: service.into(),
        weight,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(200),
        max_attempts: 2,
        priority: 1,
        shares: vec![share("gallery", 1)],
    }
}

fn table(version: u64, routes: Vec<Route>) -> Result<RouteTable, RouteError> {
    let services: HashMap<ServiceName, Service> = [
        ("gallery".into(), Service::default()),
        ("calendar".into(), Service::default()),
    ]
    .into();
    RouteTable::new(version, routes, services, CallerLimits::default())
}

#[parameterized(
    longest_prefix = { "a.example", "/shop/signs/7", Some("signs") },
    shorter_prefix = { "a.example", "/shop/7", Some("shop") },
    whole_segments = { "a.example", "/shops/7", Some("root") },
    other_host = { "b.example", "/shop/signs/7", Some("other") },
    unknown_host = { "c.example", "/shop/", None },
    with_port = { "a.example:8080", "/shop/7", Some("shop") },
    in_capitals = { "A.Example", "/shop/7", Some("shop") },
    no_prefix = { "b.example", "/", None },
)]
fn request_matches_the_longest_prefix_of_its_host(host: &str, path: &str, expected: Option<&str>) {
    let routes = vec![
        route("root", "a.example", "/"),
        route("shop", "a.example", "/shop/"),
        route("signs", "a.example", "/shop/signs/"),
        route("other", "b.example", "/shop/"),
    ];
    let table = table(1, routes).expect("the routes are valid");
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn traffic_split_follows_the_weights() {
    let mut split = route("split", "a.example", "/");
    split.shares = vec![share("gallery", 90), share("calendar", 10)];
    let picks = (0..100)
        .filter(|random| split.pick_service(*random, |_| true).map(|s| &**s) == Some("calendar"));
    assert_eq!(picks.count(), 10);
}

/// A part that may not serve a request leaves its share to the others, but none to one that
/// has no weight.
#[test]
fn traffic_split_leaves_out_what_may_not_serve_the_request() {
    let mut split = route("split", "a.example", "/");
    split.shares = vec![
        share("gallery", 90),
        share("calendar", 10),
        share("archive", 0),
    ];
    let pick = |left_out: &'static [&'static str], random| {
        let picked = split.pick_service(random, move |name| !left_out.contains(&&**name));
        picked.map(|service| service.to_string())
    };
    for random in 0..100 {
        assert_eq!(pick(&["gallery"], random).as_deref(), Some("calendar"));
        assert_eq!(pick(&["gallery", "calendar"], random), None);
    }
}

#[parameterized(
    unknown_service = { |r: &mut Route| r.shares = vec![share("nowhere", 1)], "nowhere" },
    no_weight = { |r: &mut Route| r.shares = vec![share("gallery", 0)], "weight above 0" },
    no_shares = { |r: &mut Route| r.shares = Vec::new(), "weight above 0" },
    no_timeout = { |r: &mut Route| r.timeout = Duration::ZERO, "timeout" },
    no_attempts = { |r: &mut Route| r.max_attempts = 0, "max_attempts" },
    prefix_without_final_slash = { |r: &mut Route| r.prefix = "/shop".into(), "slash" },
)]
fn invalid_route_is_rejected(make_invalid: fn(&mut Route), expected: &str) {
    let mut invalid = route("invalid", "a.example", "/shop/");
    make_invalid(&mut invalid);
    let err = table(1, vec![invalid])
        .expect_err("the route is invalid")
        .to_string();
    assert!(err.contains(expected), "{err}");
}

#[test]
fn older_or_equal_configuration_is_ignored() {
    let cell = ConfigCell::default();
    let apply = |version| {
        cell.replace_if_newer(
            table(version, Vec::new()).expect("an empty table is valid"),
            "text".into(),
        )
    };
    assert!(apply(3));
    assert!(!apply(3));
    assert!(!apply(2));
    assert_eq!(cell.version(), 3);
    assert!(apply(7));
}
