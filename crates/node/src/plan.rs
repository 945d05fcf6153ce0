//! What the rules and the map say of a caller's request.

use crate::headers;
use crate::process::Process;
use crate::services::Choice;
use ibiscove_config::rules::{KeySource, Route, segment};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{
    Clock, ClusterMap, Incarnation, Reason, ServiceKind, ServiceName, Slot, hash,
};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trillium::Conn;

/// What stays the same for all attempts of a request.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) service: ServiceName,
    pub(crate) kind: ServiceKind,
    /// Hash of the key; 0 for a shared service's request without one.
    pub(crate) key_hash: u64,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    /// When the caller first sent the request, if it says so.
    pub(crate) first_sent: Option<Instant>,
    /// Whether the caller says that it has sent the request before.
    pub(crate) is_repeat: bool,
}

/// Where one attempt goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// None for a shared service.
    pub(crate) slot: Option<Slot>,
    /// The node whose gate is to run it.
    pub(crate) gate: Incarnation,
    /// Where that node takes forwarded requests and control messages; none
    /// when it is this node.
    pub(crate) addrs: Option<PeerAddrs>,
}

/// Addresses of another node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerAddrs {
    pub(crate) forward: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// Finds the rule and the key of a request.
pub(crate) fn plan<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    conn: &Conn,
    now: Instant,
) -> Result<Plan, Reason> {
    let rules = process.rules();
    let method = conn.method();
    let route = match rules.route(method.as_ref(), conn.path()) {
        Some(route) => Cow::Borrowed(route),
        None => Cow::Owned(Route::default_for_path(conn.path()).ok_or(Reason::NoRoute)?),
    };
    let service = map.service(&route.service).ok_or(Reason::NoRoute)?;
    let kind = service.row.kind;
    let key_hash = match (key_of(&route, conn), kind) {
        (Some(key), _) => hash::key_hash(&key),
        (None, ServiceKind::Shared) => 0,
        (None, ServiceKind::Divided) => return Err(Reason::NoKey),
    };
    let first_sent = millis(conn, headers::FIRST_SENT_MS)?;
    let asked = millis(conn, headers::TIMEOUT_MS)?.unwrap_or(Duration::MAX);
    Ok(Plan {
        service: service.row.name.clone(),
        kind,
        key_hash,
        idempotent: route.is_idempotent(method.as_ref()),
        deadline: now + route.timeout().min(asked),
        first_sent: first_sent.and_then(|age| now.checked_sub(age)),
        is_repeat: first_sent.is_some_and(|age| !age.is_zero()),
    })
}

/// Finds the node for one attempt. `tried` are nodes of a shared service that
/// have failed the request.
pub(crate) fn place<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    plan: &Plan,
    tried: &[Incarnation],
    rng: &mut fastrand::Rng,
) -> Result<Place, Reason> {
    let (slot, gate) = match plan.kind {
        ServiceKind::Divided => {
            let row = &map.service(&plan.service).ok_or(Reason::NoRoute)?.row;
            let slot = row.slot_of(plan.key_hash);
            let owner = map.owner(&plan.service, slot).ok_or(Reason::NoOwner)?;
            (Some(slot), owner.incarnation)
        }
        ServiceKind::Shared => (None, choose(process, map, plan, tried, rng)?),
    };
    if gate == process.ownership.incarnation() {
        let addrs = None;
        return Ok(Place { slot, gate, addrs });
    }
    let node = &map.node(gate).ok_or(Reason::NoOwner)?.row;
    let addrs = Some(PeerAddrs {
        forward: node.forward_addr,
        peer: node.peer_addr,
    });
    Ok(Place { slot, gate, addrs })
}

fn choose<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    plan: &Plan,
    tried: &[Incarnation],
    rng: &mut fastrand::Rng,
) -> Result<Incarnation, Reason> {
    let choice = Choice {
        tried,
        data_centre: &process.settings.data_centre,
        prefer_near: process.rules().prefers_own_data_centre(&plan.service),
        now: process.clock.now(),
    };
    let service = process.services.get(&plan.service);
    let chosen = service.choose(map, &plan.service, &choice, rng);
    chosen.ok_or(Reason::NoUpstream)
}

fn key_of<'a>(route: &Route, conn: &'a Conn) -> Option<Cow<'a, str>> {
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

/// A header of whole milliseconds; none when it is absent.
fn millis(conn: &Conn, name: &'static str) -> Result<Option<Duration>, Reason> {
    let text = headers::text(conn.request_headers(), name);
    let ms = text.map(str::parse).transpose();
    Ok(ms
        .map_err(|_| Reason::BadHeader)?
        .map(Duration::from_millis))
}
