//! Applies the rules and the cluster map to a caller's request.

use crate::headers;
use crate::process::Process;
use crate::services::SelectionCriteria;
use ibiscove_config::rules::{KeySource, Route, segment};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{
    Clock, ClusterMap, Incarnation, Reason, ServiceKind, ServiceName, Slot, hash,
};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trillium::Conn;

/// What is the same for all attempts at a request.
#[derive(Debug)]
pub(crate) struct RequestPlan {
    pub(crate) service: ServiceName,
    pub(crate) kind: ServiceKind,
    /// Hash of the key; 0 for a shared service's request without one.
    pub(crate) key_hash: u64,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    /// When the caller first sent the request, if it states that.
    pub(crate) first_sent: Option<Instant>,
    /// Whether the caller states that it has sent the request before.
    pub(crate) is_duplicate: bool,
}

/// The node that one attempt is sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// None for a shared service.
    pub(crate) slot: Option<Slot>,
    /// The incarnation of the node whose gate is to run the request.
    pub(crate) gate: Incarnation,
    /// Addresses of that node; none if it is this node.
    pub(crate) addrs: Option<PeerAddrs>,
}

/// Addresses of another node for forwarded requests and control messages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerAddrs {
    pub(crate) forward: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// Finds the route and the key of a request.
pub(crate) fn plan_request<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    conn: &Conn,
    now: Instant,
) -> Result<RequestPlan, Reason> {
    let rules = process.rules();
    let method = conn.method();
    let route = match rules.route(method.as_ref(), conn.path()) {
        Some(route) => Cow::Borrowed(route),
        None => Cow::Owned(Route::default_for_path(conn.path()).ok_or(Reason::NoRoute)?),
    };
    let service = map.service(&route.service).ok_or(Reason::NoRoute)?;
    let kind = service.row.kind;
    let key_hash = match (routing_key(&route, conn), kind) {
        (Some(key), _) => hash::key_hash(&key),
        (None, ServiceKind::Shared) => 0,
        (None, ServiceKind::Divided) => return Err(Reason::NoKey),
    };
    let first_sent = millis_header(conn, headers::FIRST_SENT_MS)?;
    let caller_timeout = millis_header(conn, headers::TIMEOUT_MS)?.unwrap_or(Duration::MAX);
    Ok(RequestPlan {
        service: service.row.name.clone(),
        kind,
        key_hash,
        idempotent: route.is_idempotent(method.as_ref()),
        deadline: now + route.timeout().min(caller_timeout),
        first_sent: first_sent.and_then(|age| now.checked_sub(age)),
        is_duplicate: first_sent.is_some_and(|age| !age.is_zero()),
    })
}

/// Finds the node for one attempt. `attempted` are nodes of a shared service
/// that have failed the request.
pub(crate) fn find_target<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    plan: &RequestPlan,
    attempted: &[Incarnation],
    rng: &mut fastrand::Rng,
) -> Result<Target, Reason> {
    let (slot, gate) = match plan.kind {
        ServiceKind::Divided => {
            let row = &map.service(&plan.service).ok_or(Reason::NoRoute)?.row;
            let slot = row.slot_of(plan.key_hash);
            let owner = map.owner(&plan.service, slot).ok_or(Reason::NoOwner)?;
            (Some(slot), owner.incarnation)
        }
        ServiceKind::Shared => (None, select_upstream(process, map, plan, attempted, rng)?),
    };
    if gate == process.ownership.incarnation() {
        let addrs = None;
        return Ok(Target { slot, gate, addrs });
    }
    let node = &map.node(gate).ok_or(Reason::NoOwner)?.row;
    let addrs = Some(PeerAddrs {
        forward: node.forward_addr,
        peer: node.peer_addr,
    });
    Ok(Target { slot, gate, addrs })
}

fn select_upstream<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    plan: &RequestPlan,
    attempted: &[Incarnation],
    rng: &mut fastrand::Rng,
) -> Result<Incarnation, Reason> {
    let criteria = SelectionCriteria {
        attempted,
        data_centre: &process.settings.data_centre,
        prefer_own_data_centre: process.rules().prefers_own_data_centre(&plan.service),
        now: process.clock.now(),
    };
    let service = process.services.get(&plan.service);
    let selected = service.select_upstream(map, &plan.service, &criteria, rng);
    selected.ok_or(Reason::NoUpstream)
}

fn routing_key<'a>(route: &Route, conn: &'a Conn) -> Option<Cow<'a, str>> {
    match &route.key {
        KeySource::Segment(index) => segment(conn.path(), *index).map(Cow::Borrowed),
        KeySource::Header(name) => {
            let value = conn.request_headers().get_str(name.as_str());
            value.map(Cow::Borrowed)
        }
        KeySource::Query(name) => conn.querystring().split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(Cow::Borrowed(value))
        }),
    }
}

/// Parses a header of whole milliseconds; none if it is absent.
fn millis_header(conn: &Conn, name: &'static str) -> Result<Option<Duration>, Reason> {
    let text = headers::text(conn.request_headers(), name);
    let millis = text.map(str::parse).transpose();
    Ok(millis
        .map_err(|_| Reason::BadHeader)?
        .map(Duration::from_millis))
}
