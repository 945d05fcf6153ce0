//! Validation of the rules.

use super::Severity;
use crate::document::{Document, Located};
use crate::inventory::Inventory;
use crate::rules::{KeySource, Route, Rules, ServiceRules};
use ibiscove_types::ServiceKind;
use std::collections::HashSet;
use std::ops::RangeInclusive;

/// Allowed timeouts of a route, in milliseconds.
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 1..=600_000;
/// Allowed limits on the requests queued for one upstream.
const QUEUE_RANGE: RangeInclusive<u32> = 1..=100_000;
/// Allowed HTTP methods of a route.
const METHODS: &[&str] = &[
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE",
];
/// First path segment of the requests that nodes serve themselves.
const RESERVED_SEGMENT: &str = "_ibiscove";

pub(super) fn check(document: &mut Document<'_>, inventory: Option<&Inventory>) -> Rules {
    let routes: Vec<Located<Route>> = document.entries("route");
    let services: Vec<Located<ServiceRules>> = document.entries("service");
    for (index, route) in routes.iter().enumerate() {
        check_service_name(
            document,
            &route.location,
            "service",
            &route.value.service,
            inventory,
        );
        check_prefix_and_methods(document, route);
        check_key(document, route, inventory);
        check_timeout(document, route);
        check_reachable(document, route, &routes[..index]);
    }
    check_services(document, &services, inventory);
    Rules {
        routes: routes.into_iter().map(|entry| entry.value).collect(),
        services: services.into_iter().map(|entry| entry.value).collect(),
    }
}

fn check_service_name(
    document: &mut Document<'_>,
    location: &crate::document::EntryLocation,
    field: &str,
    name: &str,
    inventory: Option<&Inventory>,
) {
    let unknown = inventory.is_some_and(|inventory| inventory.service(name).is_none());
    if unknown {
        let problem = format!("the inventory has no service {name:?}");
        let remedy = "add it to the inventory or correct its name";
        document.push(Severity::Error, location, field, &problem, remedy);
    }
}

fn check_prefix_and_methods(document: &mut Document<'_>, route: &Located<Route>) {
    let prefix = &route.value.prefix;
    if !prefix.starts_with('/') || prefix.contains(['?', '#', ' ']) {
        let problem = format!("{prefix:?} is not a path");
        let remedy = "start it with '/' and leave out any query";
        document.push(Severity::Error, &route.location, "prefix", &problem, remedy);
    }
    if segments(prefix).next() == Some(RESERVED_SEGMENT) {
        let problem = format!("/{RESERVED_SEGMENT} is answered by the nodes themselves");
        let remedy = "choose another prefix";
        document.push(Severity::Error, &route.location, "prefix", &problem, remedy);
    }
    for method in &route.value.methods {
        if !METHODS.contains(&method.to_ascii_uppercase().as_str()) {
            let problem = format!("{method:?} is not a method");
            let remedy = format!("use some of {}", METHODS.join(", "));
            document.push(
                Severity::Error,
                &route.location,
                "methods",
                &problem,
                &remedy,
            );
        }
    }
}

fn check_key(document: &mut Document<'_>, route: &Located<Route>, inventory: Option<&Inventory>) {
    let entry = &route.value;
    let kind = inventory
        .and_then(|inventory| inventory.service(&entry.service))
        .map(|service| service.kind);
    if let KeySource::Header(name) | KeySource::Query(name) = &entry.key
        && name.is_empty()
    {
        let remedy = "name the header or parameter that holds the key";
        document.push(
            Severity::Error,
            &route.location,
            "key",
            "the name is empty",
            remedy,
        );
    }
    let KeySource::Segment(index) = entry.key else {
        return;
    };
    let prefix_segments = segments(&entry.prefix).count();
    if kind == Some(ServiceKind::Divided) && index < prefix_segments {
        let problem = if route.location.has_field("key") {
            format!("segment {index} lies within the prefix, so every request has one key")
        } else {
            "a divided service needs to know where the key stands".to_owned()
        };
        let remedy = format!(
            "set key = {{ segment = {prefix_segments} }}, or name a header or a query parameter"
        );
        document.push(Severity::Error, &route.location, "key", &problem, &remedy);
    }
}

fn check_timeout(document: &mut Document<'_>, route: &Located<Route>) {
    let timeout = route.value.timeout_ms;
    if !TIMEOUT_RANGE_MS.contains(&timeout) {
        let problem = format!("{timeout} ms is out of range");
        let (low, high) = (TIMEOUT_RANGE_MS.start(), TIMEOUT_RANGE_MS.end());
        let remedy = format!("use {low} to {high}");
        document.push(
            Severity::Error,
            &route.location,
            "timeout_ms",
            &problem,
            &remedy,
        );
    }
}

/// Reports a route that is never used because an earlier one covers it: the
/// first matching route applies.
fn check_reachable(
    document: &mut Document<'_>,
    route: &Located<Route>,
    earlier: &[Located<Route>],
) {
    if let Some(cover) = earlier.iter().find(|e| covers(&e.value, &route.value)) {
        let problem = format!("the route for {:?} above matches first", cover.value.prefix);
        let remedy = "move this route above it or remove one";
        document.push(Severity::Error, &route.location, "prefix", &problem, remedy);
    }
}

fn covers(cover: &Route, route: &Route) -> bool {
    let mut route_segments = segments(&route.prefix);
    let prefix_covered =
        segments(&cover.prefix).all(|segment| route_segments.next() == Some(segment));
    let contains = |methods: &[String], method: &String| {
        methods.iter().any(|m| m.eq_ignore_ascii_case(method))
    };
    let methods_covered = cover.methods.is_empty()
        || (!route.methods.is_empty() && route.methods.iter().all(|m| contains(&cover.methods, m)));
    prefix_covered && methods_covered
}

fn check_services(
    document: &mut Document<'_>,
    services: &[Located<ServiceRules>],
    inventory: Option<&Inventory>,
) {
    let mut seen = HashSet::new();
    for service in services {
        let entry = &service.value;
        check_service_name(document, &service.location, "name", &entry.name, inventory);
        if !seen.insert(&entry.name) {
            let problem = format!("{:?} is given twice", entry.name);
            let remedy = "keep one of the entries";
            document.push(Severity::Error, &service.location, "name", &problem, remedy);
        }
        check_share(document, service, "retry_budget", entry.retry_budget, 0.0);
        check_share(
            document,
            service,
            "churn_per_minute",
            entry.churn_per_minute,
            0.0,
        );
        let imbalance = entry.tolerated_imbalance;
        check_share(
            document,
            service,
            "tolerated_imbalance",
            imbalance,
            MIN_TOLERATED_IMBALANCE,
        );
        if !QUEUE_RANGE.contains(&entry.queue) {
            let problem = format!("{} is out of range", entry.queue);
            let remedy = format!("use {} to {}", QUEUE_RANGE.start(), QUEUE_RANGE.end());
            document.push(
                Severity::Error,
                &service.location,
                "queue",
                &problem,
                &remedy,
            );
        }
    }
}

/// Smallest tolerated imbalance, as a share: below it, keys would be moved
/// because of load noise.
const MIN_TOLERATED_IMBALANCE: f64 = 0.01;

fn check_share(
    document: &mut Document<'_>,
    service: &Located<ServiceRules>,
    field: &str,
    value: f64,
    min_share: f64,
) {
    if !(min_share..=1.0).contains(&value) {
        let problem = format!("{value} is not a share from {min_share} to 1");
        let remedy = "write a share, such as 0.1 for a tenth";
        document.push(Severity::Error, &service.location, field, &problem, remedy);
    }
}

fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').filter(|segment| !segment.is_empty())
}
