//! What follows from a request's head: its route, its work and the call that
//! goes to the upstream.

use super::Entry;
use crate::forward::Work;
use crate::gate::{Call, KeyOwner};
use crate::headers::{self, HeaderNames};
use crate::refusal::Refusal;
use crate::routes::Route;
use hyper::HeaderMap;
use hyper::header::HOST;
use hyper::http::uri::PathAndQuery;
use ibiscove_routing::admission;
use ibiscove_types::{Clock, Key, Reason};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One request at its entry.
pub(super) struct Plan {
    pub(super) route: Arc<Route>,
    pub(super) work: Work,
    pub(super) call: Call,
    pub(super) is_divided: bool,
    /// Whether a running request makes this call.
    pub(super) is_nested: bool,
    /// Longest body that the configuration allows.
    pub(super) max_body_bytes: usize,
    pub(super) arrived: Instant,
}

impl<K: KeyOwner, C: Clock> Entry<K, C> {
    /// Finds the route and everything that follows from it.
    pub(super) fn plan(
        &self,
        head: &hyper::http::request::Parts,
        arrived: Instant,
    ) -> Result<Plan, Refusal> {
        let parts = self.parts();
        let names = &parts.names;
        let unconfigured = Refusal::not_run(Reason::NoConfiguration).after(NO_CONFIGURATION_RETRY);
        let table = parts.config.get().ok_or(unconfigured)?;
        let target = head.uri.path_and_query().cloned();
        let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let host = head
            .uri
            .host()
            .or_else(|| headers::text(&head.headers, &HOST));
        let route = host
            .and_then(|host| table.find(host, target.path()))
            .ok_or(Refusal::not_run(Reason::NoRoute))?;
        let request_id: Arc<str> = match headers::text(&head.headers, &names.request_id) {
            Some(id) => id.into(),
            None => format!("{:016x}", fastrand::u64(..)).into(),
        };
        let service = route
            .service(fastrand::u64(..))
            .ok_or(Refusal::not_run(Reason::NoUpstream))?;
        let is_divided = table.is_divided(service);
        let key = key(&head.headers, names, is_divided)?;
        let wants: Option<u64> =
            headers::text(&head.headers, &names.deadline_ms).and_then(|text| text.parse().ok());
        let wants = wants.map_or(parts.settings.default_deadline, Duration::from_millis);
        let mut passed_on = head.headers.clone();
        headers::remove_hop_by_hop(&mut passed_on);
        headers::remove_between_nodes(&mut passed_on);
        passed_on.insert(names.request_id.clone(), headers::value(&request_id));
        let patience = self.inner.callers.note(&route.name, wants);
        let work = Work {
            service: Arc::clone(service),
            route: Arc::clone(&route.name),
            request_id,
            key,
            idempotent: route.idempotent,
            priority: match patience.is_nested() {
                true => admission::NESTED_CALLS,
                false => route.priority.saturating_add(admission::NESTED_CALLS + 1),
            },
            target_latency: route.target_latency,
            target: arrived + patience.remaining_target(route.target_latency, wants),
            deadline: arrived + wants.min(route.timeout),
            may_be_late: true,
            origin: parts.identity.service.clone(),
            entry: Arc::clone(&parts.identity.node),
        };
        let call = Call {
            method: head.method.clone(),
            target,
            headers: passed_on,
            body: Default::default(),
        };
        Ok(Plan {
            route: Arc::clone(route),
            work,
            call,
            is_divided,
            is_nested: patience.is_nested(),
            max_body_bytes: table.limits.max_body_bytes,
            arrived,
        })
    }
}

/// When a caller may return to a node that has no configuration yet.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(300);

fn key(from: &HeaderMap, names: &HeaderNames, is_divided: bool) -> Result<Option<Key>, Refusal> {
    if !is_divided {
        return Ok(None);
    }
    let text = headers::text(from, &names.key).ok_or(Refusal::not_run(Reason::NoKey))?;
    let key = text
        .parse()
        .map_err(|_| Refusal::not_run(Reason::BadHeader))?;
    Ok(Some(key))
}
