//! Derives a request's route, metadata and outbound request from its head.

use super::Entry;
use crate::forward::RequestMetadata;
use crate::gate::{KeyOwnership, OutboundRequest};
use crate::headers::{self, HeaderNames};
use crate::refusal::Refusal;
use crate::routes::Route;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HOST;
use hyper::http::uri::PathAndQuery;
use ibiscove_routing::admission;
use ibiscove_types::{BootClock, Clock, FingerprintParts, Key, Reason, ServiceName};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request at its entry.
pub(super) struct RequestPlan {
    pub(super) route: Arc<Route>,
    pub(super) metadata: RequestMetadata,
    pub(super) outbound: OutboundRequest,
    /// The host by which the route was found.
    pub(super) host: Box<str>,
    pub(super) is_divided: bool,
    /// Whether it is a nested call, which an upstream makes while it runs another
    /// request.
    pub(super) is_nested: bool,
    /// Maximum body size that the configuration allows.
    pub(super) max_body_bytes: usize,
    pub(super) arrived: Instant,
}

impl<K: KeyOwnership, C: Clock + BootClock> Entry<K, C> {
    /// Finds the route and derives the plan of a request from it.
    pub(super) fn plan(
        &self,
        head: &hyper::http::request::Parts,
        arrived: Instant,
    ) -> Result<RequestPlan, Refusal> {
        let deps = self.deps();
        let names = &deps.names;
        let unconfigured = Refusal::not_run(Reason::NoConfiguration)
            .with_retry_after(NO_CONFIGURATION_RETRY_AFTER);
        let table = deps.config.get().ok_or(unconfigured)?;
        let path_and_query = head.uri.path_and_query().cloned();
        let path_and_query = path_and_query.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let (host, route) = host(head)
            .and_then(|host| Some((host, table.find(host, path_and_query.path())?)))
            .ok_or(Refusal::not_run(Reason::NoRoute))?;
        let request_id: Arc<str> = match headers::text(&head.headers, &names.request_id) {
            Some(id) => id.into(),
            None => format!("{:016x}", fastrand::u64(..)).into(),
        };
        let key = parse_key(&head.headers, names);
        // Without a key, one part of a split route may still be able to serve the request.
        let may_serve = |service: &ServiceName| key.is_ok() || !table.is_divided(service);
        let picked = route.pick_service(fastrand::u64(..), may_serve);
        let (service, key) = match (picked, key) {
            (Some(service), key) => (service, key.ok()),
            (None, Ok(_)) => return Err(Refusal::not_run(Reason::NoUpstream)),
            (None, Err(refusal)) => return Err(refusal),
        };
        let is_divided = table.is_divided(service);
        let key = key.filter(|_| is_divided);
        let timeout: Option<u64> =
            headers::text(&head.headers, &names.deadline_ms).and_then(|text| text.parse().ok());
        let timeout = timeout.map_or(deps.settings.default_timeout, Duration::from_millis);
        let mut forwarded_headers = head.headers.clone();
        headers::remove_hop_by_hop(&mut forwarded_headers);
        headers::remove_internode(&mut forwarded_headers);
        forwarded_headers.insert(names.request_id.clone(), headers::value(&request_id));
        let observed_timeouts = self.inner.caller_timeouts.record(&route.name, timeout);
        let metadata = RequestMetadata {
            service: Arc::clone(service),
            route: Arc::clone(&route.name),
            request_id,
            key,
            idempotent: route.kind.is_idempotent(),
            priority: match observed_timeouts.is_nested() {
                true => admission::NESTED_CALLS,
                false => route.priority.saturating_add(admission::NESTED_CALLS + 1),
            },
            target_latency: route.target_latency,
            target_deadline: arrived
                + observed_timeouts.remaining_target(route.target_latency, timeout),
            deadline: arrived + timeout.min(route.timeout),
            may_miss_target: true,
            caller_service: deps.identity.service.clone(),
            entry_node: Arc::clone(&deps.identity.node),
            upstream_notice: None,
            fingerprint: None,
            crash_record: None,
            sent: None,
        };
        let outbound = OutboundRequest {
            method: head.method.clone(),
            path_and_query,
            headers: forwarded_headers,
            body: Default::default(),
        };
        Ok(RequestPlan {
            route: Arc::clone(route),
            metadata,
            outbound,
            host: host.into(),
            is_divided,
            is_nested: observed_timeouts.is_nested(),
            max_body_bytes: table.limits.max_body_bytes,
            arrived,
        })
    }
}

/// Returns the host that a request names; its route depends on it.
pub(super) fn host(head: &hyper::http::request::Parts) -> Option<&str> {
    let host = head.uri.host();
    host.or_else(|| headers::text(&head.headers, &HOST))
}

impl RequestPlan {
    /// Adds the body, by which the request's fingerprint is complete.
    pub(super) fn set_body(&mut self, body: Bytes) {
        let caller_service = self.metadata.caller_service.as_deref();
        self.metadata.fingerprint = Some(ibiscove_types::fingerprint(FingerprintParts {
            method: self.outbound.method.as_str(),
            host: &self.host,
            path_and_query: self.outbound.path_and_query.as_str(),
            caller_service: caller_service.unwrap_or_default(),
            body: &body,
        }));
        self.outbound.body = body;
    }
}

/// Time after which a caller may retry at a node without a configuration.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(300);

fn parse_key(from: &HeaderMap, names: &HeaderNames) -> Result<Key, Refusal> {
    let text = headers::text(from, &names.key).ok_or(Refusal::not_run(Reason::NoKey))?;
    text.parse()
        .map_err(|_| Refusal::not_run(Reason::BadHeader))
}
