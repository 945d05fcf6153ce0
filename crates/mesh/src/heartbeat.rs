//! Heartbeats: one datagram to every other node, at an interval and at once
//! when the node's state changes.

use crate::evacuations::EvacuationNews;
use crate::members::{Member, Members, Upstream};
use event_listener::Event;
use ibiscove_types::{Clock, ServiceName, UpstreamIncarnation};
use ibiscove_wire::messages::{
    Presence, RangeMapChange, RangeMapEpoch, RequestCrashes, UpstreamPresence,
};
use ibiscove_wire::{CodecError, decode, encode};
use smol::future::FutureExt;
use smol::net::UdpSocket;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest datagram accepted, in bytes; fits into one packet of common
/// networks.
const MAX_DATAGRAM: usize = 1_400;

/// What a node tells others because it has just learned it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// Changes of range maps.
    pub map_changes: Vec<RangeMapChange>,
    /// Requests beside which upstreams have crashed, or that were cleared.
    pub crashes: Vec<RequestCrashes>,
}

impl News {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.map_changes.is_empty() && self.crashes.is_empty()
    }

    /// Adds the news to a heartbeat. They leave no room for evacuations, which are left
    /// out.
    pub fn add_to(self, mut presence: Presence) -> Presence {
        if !self.is_empty() {
            presence.evacuations_version = None;
            presence.evacuations = None;
        }
        Presence {
            map_changes: Some(self.map_changes).filter(|changes| !changes.is_empty()),
            crashes: Some(self.crashes).filter(|crashes| !crashes.is_empty()),
            ..presence
        }
    }
}

/// Sends heartbeats when they are due, until the task is dropped.
///
/// `own_presence` returns this node's state, `push_requested` makes the next
/// heartbeat due at once. `directory_addrs` returns addresses from the directory
/// from which no heartbeat has arrived yet.
pub async fn send<C: Clock>(
    socket: UdpSocket,
    members: Members,
    clock: C,
    push_requested: Arc<Event>,
    own_presence: impl Fn() -> Presence,
    directory_addrs: impl Fn() -> Vec<IpAddr>,
) {
    let Ok(port) = socket.local_addr().map(|addr| addr.port()) else {
        log::error!("the heartbeat socket has no address; no heartbeats are sent");
        return;
    };
    loop {
        let push = push_requested.listen();
        let mut targets: Vec<IpAddr> = members.all().iter().map(|m| m.gate.ip()).collect();
        targets.extend(directory_addrs());
        targets.sort_unstable();
        targets.dedup();
        send_to_all(&socket, port, &own_presence(), targets).await;
        members.prune(clock.now());
        clock.sleep(members.interval()).or(push).await;
        // Several changes share one datagram.
        clock.sleep(COALESCE_DELAY).await;
    }
}

/// Sends news to a few random members, with this node's presence. Each of them
/// passes on what is new to it, so that news reach all members over few hops and
/// no node sends to every other.
///
/// `next_news` completes with the changes for one datagram each.
pub async fn spread(
    socket: UdpSocket,
    members: Members,
    own_presence: impl Fn() -> Presence,
    mut next_news: impl AsyncFnMut() -> Vec<News>,
) {
    let Ok(port) = socket.local_addr().map(|addr| addr.port()) else {
        log::error!("the heartbeat socket has no address; no news are sent");
        return;
    };
    loop {
        for news in next_news().await {
            let presence = news.add_to(own_presence());
            let targets = members.sample(SPREAD_FANOUT, &mut fastrand::Rng::new());
            send_to_all(&socket, port, &presence, targets).await;
        }
    }
}

async fn send_to_all(socket: &UdpSocket, port: u16, presence: &Presence, targets: Vec<IpAddr>) {
    let datagram = match encode(presence) {
        Ok(datagram) => datagram,
        Err(err) => {
            log::error!("heartbeat cannot be encoded and is not sent: {err}");
            return;
        }
    };
    for ip in targets {
        // A full socket buffer drops this heartbeat; the next one replaces it.
        if let Err(err) = socket.send_to(&datagram, SocketAddr::new(ip, port)).await {
            log::debug!("heartbeat to {ip} was not sent and is dropped: {err}");
        }
    }
}

/// Members to which a node passes on what is new to it. With five, all but one
/// in a hundred and fifty members hear of each news; the others find the newer
/// version in a heartbeat.
pub const SPREAD_FANOUT: usize = 5;

/// Time for which notifications of `push_requested` are coalesced.
const COALESCE_DELAY: Duration = Duration::from_millis(10);

/// Receives heartbeats until the task is dropped. `on_heartbeat` is called with
/// the member that each one describes, whether it is new, and what else it carries.
pub async fn receive<C: Clock>(
    socket: UdpSocket,
    members: Members,
    clock: C,
    on_heartbeat: impl Fn(&Member, bool, Content),
) {
    let mut buf = [0; MAX_DATAGRAM];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::debug!("heartbeat cannot be received: {err}");
                smol::future::yield_now().await;
                continue;
            }
        };
        match decode_member(&buf[..len], from, clock.now()) {
            Ok((member, content)) => {
                let change = members.apply_heartbeat(member.clone());
                on_heartbeat(&member, change.is_new, content);
            }
            Err(err) => {
                metrics::counter!("ibiscove_heartbeats_malformed_total").increment(1);
                log::debug!("heartbeat from {from} is malformed and ignored: {err}");
            }
        }
        // Datagrams may arrive faster than they are applied.
        smol::future::yield_now().await;
    }
}

/// Why a heartbeat was rejected.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// The datagram is not a valid thrift message of this type.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// A number is out of its range.
    #[error("{0} is out of range")]
    Range(&'static str),
}

/// What a heartbeat carries beside the state of its sender.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    /// What the sender has just learned.
    pub news: News,
    /// Hash of all that it knows of requests beside which upstreams have crashed; 0 if
    /// that is nothing.
    pub crashes_digest: u64,
    /// The evacuated data centres, if the sender tells of any.
    pub evacuations: Option<EvacuationNews>,
}

impl Content {
    /// Returns whether the sender would have told of evacuations if it knew of any.
    pub fn has_room_for_evacuations(&self) -> bool {
        self.news.is_empty()
    }
}

/// Decodes a heartbeat that was received from `from`.
pub fn decode_member(
    datagram: &[u8],
    from: SocketAddr,
    now: Instant,
) -> Result<(Member, Content), HeartbeatError> {
    let mut presence: Presence = decode(datagram)?;
    let out_of_range = HeartbeatError::Range;
    let evacuations = EvacuationNews::decode(&mut presence).map_err(out_of_range)?;
    let unsigned =
        |value: i64, field| u64::try_from(value).map_err(|_| HeartbeatError::Range(field));
    let port = u16::try_from(presence.gate_port)
        .ok()
        .filter(|port| *port > 0);
    let port = port.ok_or(out_of_range("gate_port"))?;
    let maps: Result<Vec<_>, HeartbeatError> = presence
        .maps
        .into_iter()
        .map(|map| Ok((map.service_name.into(), unsigned(map.epoch, "epoch")?)))
        .collect();
    let content = Content {
        news: News {
            map_changes: presence.map_changes.unwrap_or_default(),
            crashes: presence.crashes.unwrap_or_default(),
        },
        crashes_digest: presence.crashes_digest.unwrap_or_default() as u64,
        evacuations,
    };
    let member = Member {
        name: presence.node.into(),
        incarnation: unsigned(presence.incarnation, "incarnation")?,
        sequence: unsigned(presence.sequence, "sequence")?,
        data_centre: presence.data_centre.into(),
        gate: SocketAddr::new(from.ip(), port),
        service: presence.service_name.map(Into::into),
        upstream: presence.upstream.map(decode_upstream).transpose()?,
        config_version: unsigned(presence.config_version, "config_version")?,
        maps: maps?,
        leaving: presence.leaving,
        lease_version: unsigned(presence.lease_version, "lease_version")?,
        last_heartbeat: now,
    };
    Ok((member, content))
}

fn decode_upstream(presence: UpstreamPresence) -> Result<Upstream, HeartbeatError> {
    let unsigned =
        |value: i32, field| u32::try_from(value).map_err(|_| HeartbeatError::Range(field));
    let service_time = unsigned(presence.service_time_us, "service_time_us")?;
    let warm_up_remaining = unsigned(presence.cold_left_ms, "cold_left_ms")?;
    Ok(Upstream {
        incarnation: UpstreamIncarnation {
            id: presence.id.into(),
            born_ms: presence.born_ms,
        },
        draining: presence.draining,
        concurrency: unsigned(presence.slots, "slots")?,
        load: unsigned(presence.load, "load")?,
        service_time: Duration::from_micros(service_time.into()),
        warm_up_remaining: Duration::from_millis(warm_up_remaining.into()),
    })
}

/// Returns an upstream's state as a heartbeat carries it.
pub fn upstream_presence(upstream: &Upstream) -> UpstreamPresence {
    let clamp = |value: u128| i32::try_from(value).unwrap_or(i32::MAX);
    UpstreamPresence {
        id: upstream.incarnation.id.to_string(),
        born_ms: upstream.incarnation.born_ms,
        draining: upstream.draining,
        slots: clamp(upstream.concurrency.into()),
        load: clamp(upstream.load.into()),
        service_time_us: clamp(upstream.service_time.as_micros()),
        cold_left_ms: clamp(upstream.warm_up_remaining.as_millis()),
    }
}

/// Returns the epochs of range maps as a heartbeat carries them.
pub fn map_epochs(maps: impl IntoIterator<Item = (ServiceName, u64)>) -> Vec<RangeMapEpoch> {
    let epoch = |(service, epoch): (ServiceName, u64)| RangeMapEpoch {
        service_name: service.to_string(),
        epoch: epoch as i64,
    };
    maps.into_iter().map(epoch).collect()
}
