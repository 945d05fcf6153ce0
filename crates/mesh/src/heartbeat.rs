//! Heartbeats: one datagram to each other node, at an interval and at once
//! when something changes.

use crate::members::{Member, Members, Upstream};
use event_listener::Event;
use ibiscove_types::{Clock, UpstreamIncarnation};
use ibiscove_wire::messages::{Presence, RangeMapVersion, UpstreamPresence};
use ibiscove_wire::{CodecError, decode, encode};
use smol::future::FutureExt;
use smol::net::UdpSocket;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest datagram that is read, in bytes. Datagrams of this size fit into
/// one packet of common networks.
const MAX_DATAGRAM: usize = 1_400;

/// Sends heartbeats when they are due, until the task is dropped.
///
/// `own` tells what this node says of itself, `pushed` makes the next
/// heartbeat due at once. `extra` are addresses from the directory that have
/// not been heard of yet.
pub async fn send<C: Clock>(
    socket: UdpSocket,
    members: Members,
    clock: C,
    pushed: Arc<Event>,
    own: impl Fn() -> Presence,
    extra: impl Fn() -> Vec<IpAddr>,
) {
    let Ok(port) = socket.local_addr().map(|addr| addr.port()) else {
        log::error!("the heartbeat socket has no address; no heartbeats are sent");
        return;
    };
    loop {
        let push = pushed.listen();
        let mut targets: Vec<IpAddr> = members.all().iter().map(|m| m.gate.ip()).collect();
        targets.extend(extra());
        targets.sort_unstable();
        targets.dedup();
        match encode(&own()) {
            Ok(datagram) => {
                for ip in targets {
                    // A full socket buffer costs this heartbeat; the next one
                    // carries the same and more.
                    if let Err(err) = socket.send_to(&datagram, SocketAddr::new(ip, port)).await {
                        log::debug!("a heartbeat to {ip} was not sent: {err}");
                    }
                }
            }
            Err(err) => log::error!("a heartbeat could not be written: {err}"),
        }
        members.prune(clock.now());
        clock.sleep(members.interval()).or(push).await;
        // Several changes at once are told in one datagram.
        clock.sleep(PUSH_DELAY).await;
    }
}

/// Time for which pushes are gathered.
const PUSH_DELAY: Duration = Duration::from_millis(10);

/// Takes heartbeats until the task is dropped. `heard` is called with each
/// member that was taken.
pub async fn receive<C: Clock>(
    socket: UdpSocket,
    members: Members,
    clock: C,
    heard: impl Fn(&Member, bool),
) {
    let mut buf = [0; MAX_DATAGRAM];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::debug!("a heartbeat could not be received: {err}");
                continue;
            }
        };
        match read(&buf[..len], from, clock.now()) {
            Ok(member) => {
                let change = members.apply_heartbeat(member.clone());
                heard(&member, change.is_new);
            }
            Err(err) => {
                metrics::counter!("ibiscove_heartbeats_malformed_total").increment(1);
                log::debug!("a heartbeat from {from} is malformed: {err}");
            }
        }
    }
}

/// Why a heartbeat was not taken.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// It is no thrift message of this kind.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// A number is out of its range.
    #[error("{0} is out of range")]
    Range(&'static str),
}

/// Reads a heartbeat that came from `from`.
pub fn read(datagram: &[u8], from: SocketAddr, now: Instant) -> Result<Member, HeartbeatError> {
    let presence: Presence = decode(datagram)?;
    let range = HeartbeatError::Range;
    let port = u16::try_from(presence.gate_port).map_err(|_| range("gate_port"))?;
    Ok(Member {
        name: presence.node.into(),
        incarnation: presence.incarnation as u64,
        sequence: u64::try_from(presence.sequence).map_err(|_| range("sequence"))?,
        data_centre: presence.data_centre.into(),
        gate: SocketAddr::new(from.ip(), port),
        service: presence.service_name.map(Into::into),
        upstream: presence.upstream.map(upstream).transpose()?,
        config_version: u64::try_from(presence.config_version)
            .map_err(|_| range("config_version"))?,
        maps: presence
            .maps
            .into_iter()
            .map(|map| (map.service_name.into(), map.version as u64))
            .collect(),
        leaving: presence.leaving,
        lease_version: presence.lease_version as u64,
        last_heartbeat: now,
    })
}

fn upstream(presence: UpstreamPresence) -> Result<Upstream, HeartbeatError> {
    let unsigned =
        |value: i32, field| u32::try_from(value).map_err(|_| HeartbeatError::Range(field));
    let service_time = unsigned(presence.service_time_us, "service_time_us")?;
    let cold_left = unsigned(presence.cold_left_ms, "cold_left_ms")?;
    Ok(Upstream {
        incarnation: UpstreamIncarnation {
            id: presence.id.into(),
            born_ms: presence.born_ms,
        },
        draining: presence.draining,
        slots: unsigned(presence.slots, "slots")?,
        load: unsigned(presence.load, "load")?,
        service_time: Duration::from_micros(service_time.into()),
        warm_up_remaining: Duration::from_millis(cold_left.into()),
    })
}

/// What a node says of its upstream in a heartbeat.
pub fn upstream_presence(upstream: &Upstream) -> UpstreamPresence {
    let clamp = |value: u128| i32::try_from(value).unwrap_or(i32::MAX);
    UpstreamPresence {
        id: upstream.incarnation.id.to_string(),
        born_ms: upstream.incarnation.born_ms,
        draining: upstream.draining,
        slots: clamp(upstream.slots.into()),
        load: clamp(upstream.load.into()),
        service_time_us: clamp(upstream.service_time.as_micros()),
        cold_left_ms: clamp(upstream.warm_up_remaining.as_millis()),
    }
}

/// The versions of range maps, as a heartbeat carries them.
pub fn map_versions(
    maps: impl IntoIterator<Item = (String, ibiscove_types::RowVersion)>,
) -> Vec<RangeMapVersion> {
    let version = |(service_name, version)| RangeMapVersion {
        service_name,
        version: version as i64,
    };
    maps.into_iter().map(version).collect()
}
