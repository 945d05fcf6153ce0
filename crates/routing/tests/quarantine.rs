//! Which requests are quarantined after crashes of upstreams, and which are not.

use ibiscove_routing::quarantine::{
    CrashRecord, MAX_CRASHES, MAX_RECORDS, Quarantine, RECORD_LIFETIME, Suspicion, WallMillis,
};
use ibiscove_types::{Fingerprint, FingerprintParts, fingerprint};
use std::collections::HashMap;
use yare::parameterized;

const NOW: WallMillis = 1_800_000_000_000;
const DEADLY: Fingerprint = 7;

/// Records a crash whose copy was sent with all that is known.
fn crash(quarantine: &mut Quarantine, fingerprint: Fingerprint, now: WallMillis) {
    let when_sent = quarantine.suspicion(fingerprint);
    quarantine.record_crash(fingerprint, when_sent, now);
}

fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for _ in 0..MAX_CRASHES {
        crash(&mut quarantine, DEADLY, NOW);
    }
    quarantine
}

/// Guards against a request that goes on to crash upstreams after the third.
#[test]
fn request_is_quarantined_after_three_crashes_in_a_row() {
    let mut quarantine = Quarantine::default();
    for crashes in 1..=MAX_CRASHES {
        assert!(!quarantine.suspicion(DEADLY).is_quarantined());
        crash(&mut quarantine, DEADLY, NOW);
        assert_eq!(quarantine.suspicion(DEADLY).crashes, crashes);
    }
    assert!(quarantine.suspicion(DEADLY).is_quarantined());
}

/// Guards against refusing a popular request because a rack with several of the
/// upstreams that ran copies of it was lost.
#[test]
fn copies_that_are_lost_at_the_same_time_count_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..10 {
        quarantine.record_crash(DEADLY, Suspicion::default(), NOW);
    }
    assert_eq!(quarantine.suspicion(DEADLY).crashes, 1);
}

/// Guards against refusing a request that was beside crashes and ends well.
#[test]
fn good_end_clears_a_request_also_from_quarantine() {
    let mut quarantine = quarantined();
    assert!(quarantine.record_success(DEADLY).is_some());
    assert!(!quarantine.suspicion(DEADLY).is_suspect());
    assert_eq!(quarantine.record_success(DEADLY), None);
    // A copy that was sent before the clearing says nothing against it.
    let before = Suspicion {
        clearings: 0,
        crashes: 2,
    };
    assert_eq!(quarantine.record_crash(DEADLY, before, NOW), None);
    assert!(!quarantine.suspicion(DEADLY).is_suspect());
}

/// Guards against nodes that stay of different minds because news reached them in
/// another order, twice, or by way of another node.
#[test]
fn nodes_agree_in_whatever_order_they_hear_of_crashes() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut records: Vec<CrashRecord> = (0..40)
            .map(|_| CrashRecord {
                fingerprint: rng.u128(0..6),
                suspicion: Suspicion {
                    clearings: rng.u32(0..3),
                    crashes: rng.u8(0..=MAX_CRASHES),
                },
                crashed_ms: NOW - rng.u64(0..1_000),
            })
            .collect();
        let mut nodes = [Quarantine::default(), Quarantine::default()];
        for node in &mut nodes {
            rng.shuffle(&mut records);
            for record in &records {
                node.merge(*record, NOW);
            }
            for record in records.iter().take(10) {
                assert!(!node.merge(*record, NOW), "seed {seed}: heard twice");
            }
        }
        assert_eq!(nodes[0].digest(), nodes[1].digest(), "seed {seed}");
        for record in nodes[0].records() {
            assert_eq!(nodes[1].record(record.fingerprint), Some(*record));
        }
    }
}

/// Guards against a flood of suspects that makes nodes forget what is in quarantine.
#[test]
fn flood_of_suspects_evicts_no_request_in_quarantine() {
    let mut quarantine = quarantined();
    for other in 0..2 * MAX_RECORDS as u128 {
        crash(&mut quarantine, 1_000 + other, NOW + 1_000);
    }
    assert_eq!(quarantine.len(), MAX_RECORDS);
    assert!(quarantine.suspicion(DEADLY).is_quarantined());
}

#[test]
fn records_are_kept_for_their_lifetime_and_not_revived() {
    let mut quarantine = quarantined();
    let record = quarantine.record(DEADLY).expect("it is known");
    let lifetime = u64::try_from(RECORD_LIFETIME.as_millis()).expect("it is short");
    quarantine.prune(NOW + lifetime - 1);
    assert!(quarantine.suspicion(DEADLY).is_quarantined());
    quarantine.prune(NOW + lifetime);
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.digest(), 0);
    assert!(!quarantine.merge(record, NOW + lifetime));
    assert!(quarantine.is_empty());
}

/// Guards against records that never end because a node's clock is far ahead.
#[test]
fn record_from_a_clock_that_is_ahead_lasts_no_longer() {
    let mut quarantine = Quarantine::default();
    let record = CrashRecord {
        fingerprint: DEADLY,
        suspicion: Suspicion {
            clearings: 0,
            crashes: u8::MAX,
        },
        crashed_ms: u64::MAX,
    };
    assert!(quarantine.merge(record, NOW));
    assert_eq!(quarantine.suspicion(DEADLY).crashes, MAX_CRASHES);
    let kept = quarantine.record(DEADLY).expect("it is known");
    assert!(kept.crashed_ms < NOW + 600_000);
}

#[test]
fn record_reads_back_as_it_was_written() {
    let record = quarantined().record(DEADLY).expect("it is known");
    let text = serde_json::to_string(&record).expect("it can be written");
    let read: CrashRecord = serde_json::from_str(&text).expect("it can be read");
    assert_eq!(read, record);
}

#[parameterized(
    short = { "7" },
    long = { "000000000000000000000000000000007" },
    sign = { "+0000000000000000000000000000007" },
    not_hexadecimal = { "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz" },
)]
fn malformed_fingerprint_is_rejected(text: &str) {
    let json = format!(
        r#"{{"fingerprint":"{text}","suspicion":{{"clearings":0,"crashes":1}},"crashed_ms":1}}"#
    );
    assert!(serde_json::from_str::<CrashRecord>(&json).is_err());
}

const PARTS: FingerprintParts<'_> = FingerprintParts {
    method: "GET",
    host: "a.example",
    path_and_query: "/signs/1?a",
    caller_service: "deposits",
    body: b"",
};

#[test]
fn host_is_the_same_in_any_case() {
    let other = FingerprintParts {
        host: "A.Example",
        ..PARTS
    };
    assert_eq!(fingerprint(other), fingerprint(PARTS));
}

#[parameterized(
    method = { FingerprintParts { method: "POST", ..PARTS } },
    host = { FingerprintParts { host: "b.example", ..PARTS } },
    query = { FingerprintParts { path_and_query: "/signs/1?b", ..PARTS } },
    caller = { FingerprintParts { caller_service: "gallery", ..PARTS } },
    body = { FingerprintParts { body: b"x", ..PARTS } },
    border = { FingerprintParts { path_and_query: "/signs/1?ad", caller_service: "eposits", ..PARTS } },
)]
fn requests_that_differ_have_other_fingerprints(other: FingerprintParts<'_>) {
    assert_ne!(fingerprint(other), fingerprint(PARTS));
}

/// Upstreams that crash for reasons of their own, and a few requests that are most of
/// the traffic, so that copies of them are at work in nearly every crash. Guards
/// against refusing them.
#[test]
fn popular_requests_beside_crashes_of_other_causes_are_never_refused() {
    const UPSTREAMS: usize = 12;
    const SLOTS: usize = 6;
    /// Steps that a request takes.
    const STEPS: u32 = 4;
    for seed in 0..5 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut quarantine = Quarantine::default();
        // Each slot runs a copy with the suspicion at its start, for some more steps.
        let mut slots: HashMap<(usize, usize), (Fingerprint, Suspicion, u32)> = HashMap::new();
        for step in 0..5_000 {
            let now = NOW + step;
            for upstream in 0..UPSTREAMS {
                let crashes = rng.f64() < 0.01;
                for slot in 0..SLOTS {
                    let at = (upstream, slot);
                    match slots.remove(&at) {
                        Some((fingerprint, when_sent, _)) if crashes => {
                            quarantine.record_crash(fingerprint, when_sent, now);
                        }
                        Some((fingerprint, _, 0)) => {
                            quarantine.record_success(fingerprint);
                        }
                        Some((fingerprint, when_sent, left)) => {
                            slots.insert(at, (fingerprint, when_sent, left - 1));
                        }
                        None => {
                            let fingerprint = rng.u128(0..3);
                            let suspicion = quarantine.suspicion(fingerprint);
                            assert!(!suspicion.is_quarantined(), "seed {seed}, step {step}");
                            slots.insert(at, (fingerprint, suspicion, rng.u32(0..STEPS)));
                        }
                    }
                }
            }
        }
    }
}
