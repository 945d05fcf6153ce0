//! Datagrams that are no heartbeat of a node, or an odd one.

use ibiscove_mesh::evacuations::{EvacuationNews, MAX_DATA_CENTRES, MAX_NAME_BYTES};
use ibiscove_mesh::heartbeat::{News, decode_member};
use ibiscove_wire::encode;
use ibiscove_wire::messages::{
    Evacuation, Presence, RangeMapChange, RangeMapEpoch, RequestCrashes, UpstreamPresence,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use yare::parameterized;

fn presence() -> Presence {
    Presence {
        node: "node-1".to_owned(),
        incarnation: 1_773_668_775_000_000,
        sequence: 4,
        data_centre: "plateau".to_owned(),
        gate_port: 7_620,
        service_name: Some("deposits".to_owned()),
        upstream: Some(UpstreamPresence {
            id: "i-1".to_owned(),
            born_ms: 1_773_668_775_000,
            draining: false,
            slots: 12,
            load: 3,
            service_time_us: 20_000,
            cold_left_ms: 0,
        }),
        config_version: 7,
        maps: vec![RangeMapEpoch {
            service_name: "deposits".to_owned(),
            epoch: 30,
        }],
        leaving: false,
        lease_version: 80,
        map_changes: None,
        crashes: None,
        crashes_digest: Some(-1),
        evacuations_version: Some(90),
        evacuations: Some(vec![Evacuation {
            data_centre: "medina".to_owned(),
            handover_left_ms: 2_000,
        }]),
    }
}

fn is_accepted(datagram: &[u8]) -> bool {
    let from = SocketAddr::from(([10, 1, 0, 9], 7_620));
    decode_member(datagram, from, Instant::now()).is_ok()
}

/// A negative number was read as one near the largest, which counts as newer than all
/// that follow.
#[parameterized(
    incarnation = { |it: &mut Presence| it.incarnation = -1 },
    sequence = { |it: &mut Presence| it.sequence = -1 },
    port = { |it: &mut Presence| it.gate_port = -1 },
    port_too_large = { |it: &mut Presence| it.gate_port = 65_536 },
    no_port = { |it: &mut Presence| it.gate_port = 0 },
    config_version = { |it: &mut Presence| it.config_version = -1 },
    map_epoch = { |it: &mut Presence| it.maps[0].epoch = -1 },
    lease_version = { |it: &mut Presence| it.lease_version = -1 },
    slots = { |it: &mut Presence| it.upstream.as_mut().expect("set").slots = -1 },
    load = { |it: &mut Presence| it.upstream.as_mut().expect("set").load = -1 },
    evacuations_version = { |it: &mut Presence| it.evacuations_version = Some(-1) },
    largest_evacuations_version = { |it: &mut Presence| {
        it.evacuations_version = Some(i64::MAX);
    } },
    handover_left = { |it: &mut Presence| {
        it.evacuations.as_mut().expect("set")[0].handover_left_ms = -1;
    } },
    too_many_evacuations = { |it: &mut Presence| {
        let evacuation = it.evacuations.as_ref().expect("set")[0].clone();
        it.evacuations = Some(vec![evacuation; 17]);
    } },
)]
fn a_heartbeat_with_a_number_out_of_range_is_refused(change: fn(&mut Presence)) {
    let mut odd = presence();
    assert!(is_accepted(&encode(&odd).expect("it is valid")));
    change(&mut odd);
    assert!(!is_accepted(&encode(&odd).expect("it is encoded as it is")));
}

/// No datagram ends the process: not one with a byte changed, and not one cut off at any
/// length.
#[test]
fn a_garbled_heartbeat_ends_nothing() {
    let datagram = encode(&presence()).expect("it is valid");
    for len in 0..datagram.len() {
        assert!(!is_accepted(&datagram[..len]), "cut off at {len}");
        for byte in 0..=u8::MAX {
            let mut garbled = datagram.clone();
            garbled[len] = byte;
            is_accepted(&garbled);
        }
    }
}

/// Most evacuations at a time do not lengthen the datagrams that carry news, and fit into
/// one that carries none.
#[test]
fn evacuations_are_told_only_where_there_is_room() {
    /// Largest datagram that is received.
    const MAX_DATAGRAM: usize = 1_400;
    let from = SocketAddr::from(([10, 1, 0, 9], 7_620));
    let name = "z".repeat(MAX_NAME_BYTES / MAX_DATA_CENTRES);
    let all = EvacuationNews {
        version: i64::MAX as u64 >> 16,
        evacuated: vec![(name.into(), Duration::from_secs(3)); MAX_DATA_CENTRES],
    };
    let mut presence = presence();
    EvacuationNews::encode(Some(all.clone()), &mut presence);
    let datagram = encode(&News::default().add_to(presence.clone())).expect("it is valid");
    assert!(datagram.len() <= MAX_DATAGRAM / 2, "{}", datagram.len());
    let (_, content) = decode_member(&datagram, from, Instant::now()).expect("it is valid");
    assert!(content.has_room_for_evacuations());
    assert_eq!(content.evacuations, Some(all));

    let map_changes = News {
        map_changes: vec![RangeMapChange {
            service_name: "deposits".to_owned(),
            section: 0,
            version: 1,
            from_epoch: 1,
            to_epoch: 2,
            assignments: Vec::new(),
        }],
        ..News::default()
    };
    let crashes = News {
        crashes: vec![RequestCrashes {
            fingerprint: vec![0; 16],
            clearings: 0,
            crashes: 1,
            crashed_ms: 1,
        }],
        ..News::default()
    };
    for news in [map_changes, crashes] {
        let datagram = encode(&news.clone().add_to(presence.clone())).expect("it is valid");
        let (_, content) = decode_member(&datagram, from, Instant::now()).expect("it is valid");
        assert_eq!((&content.news, &content.evacuations), (&news, &None));
        // That it names none does not tell that there is none.
        assert!(!content.has_room_for_evacuations());
    }
}
