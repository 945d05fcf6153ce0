//! Which route and service a request gets, and configurations that are refused.

use ibiscove_proxy::routes::{
    CallerLimits, ConfigCell, Route, RouteError, RouteTable, Service, Share,
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
        idempotent: true,
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
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, expected: Option<&str>) {
    let routes = vec![
        route("root", "a.example", "/"),
        route("shop", "a.example", "/shop/"),
        route("signs", "a.example", "/shop/signs/"),
        route("other", "b.example", "/shop/"),
    ];
    let table = table(1, routes).expect("the routes agree");
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn a_split_gives_each_service_its_weight() {
    let mut split = route("split", "a.example", "/");
    split.shares = vec![share("gallery", 90), share("calendar", 10)];
    let counted = (0..100).filter(|draw| split.service(*draw).map(|s| &**s) == Some("calendar"));
    assert_eq!(counted.count(), 10);
}

#[parameterized(
    unknown_service = { |r: &mut Route| r.shares = vec![share("nowhere", 1)], "nowhere" },
    no_weight = { |r: &mut Route| r.shares = vec![share("gallery", 0)], "weight above 0" },
    no_shares = { |r: &mut Route| r.shares = Vec::new(), "weight above 0" },
    no_timeout = { |r: &mut Route| r.timeout = Duration::ZERO, "timeout" },
    no_attempts = { |r: &mut Route| r.max_attempts = 0, "max_attempts" },
    open_prefix = { |r: &mut Route| r.prefix = "/shop".into(), "slash" },
)]
fn a_table_that_contradicts_itself_is_refused(spoil: fn(&mut Route), names: &str) {
    let mut spoilt = route("spoilt", "a.example", "/shop/");
    spoil(&mut spoilt);
    let err = table(1, vec![spoilt])
        .expect_err("it is refused")
        .to_string();
    assert!(err.contains(names), "{err}");
}

#[test]
fn a_configuration_never_goes_back() {
    let cell = ConfigCell::default();
    let take = |version| {
        cell.take(
            table(version, Vec::new()).expect("it is empty"),
            "text".into(),
        )
    };
    assert!(take(3));
    assert!(!take(3));
    assert!(!take(2));
    assert_eq!(cell.version(), 3);
    assert!(take(7));
}
