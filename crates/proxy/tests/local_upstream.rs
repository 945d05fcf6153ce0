//! What a node believes of the upstream beside it: late, repeated and reborn
//! announcements, silence and leaving.

use event_listener::Event;
use ibiscove_proxy::local_upstream::{
    Announced, Announcement, LocalUpstream, LocalUpstreamSettings,
};
use ibiscove_types::UpstreamLife;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use yare::parameterized;

fn local_upstream() -> LocalUpstream {
    let addr = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1);
    LocalUpstream::new(
        LocalUpstreamSettings::default(),
        addr,
        Arc::new(Event::new()),
    )
}

fn says(id: &str, born_ms: i64, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        life: UpstreamLife {
            id: id.into(),
            born_ms,
        },
        service: "calendar".into(),
        slots: 12,
        draining,
        cold_left: Duration::ZERO,
        sequence,
    }
}

#[parameterized(
    next = { says("a", 10, 6, false), Announced::Same },
    repeated = { says("a", 10, 5, false), Announced::Stale },
    overtaken = { says("a", 10, 4, true), Announced::Stale },
    drains = { says("a", 10, 6, true), Announced::Changed },
    reborn_under_its_id = { says("a", 20, 1, false), Announced::Changed },
    replaced = { says("b", 20, 1, false), Announced::Changed },
    earlier_life = { says("b", 5, 99, false), Announced::Stale },
)]
fn an_announcement_counts_by_life_and_sequence(next: Announcement, expected: Announced) {
    let (local_upstream, now) = (local_upstream(), Instant::now());
    local_upstream.announce(says("a", 10, 5, false), now);
    assert_eq!(local_upstream.announce(next, now), expected);
}

#[test]
fn one_that_leaves_does_not_come_back_in_that_life() {
    let (local_upstream, now) = (local_upstream(), Instant::now());
    local_upstream.announce(says("a", 10, 5, true), now);
    assert_eq!(
        local_upstream.announce(says("a", 10, 6, false), now),
        Announced::Stale
    );
    assert_eq!(
        local_upstream.announce(says("a", 20, 1, false), now),
        Announced::Changed
    );
}

#[test]
fn one_that_leaves_without_draining_takes_no_new_work() {
    let (local_upstream, now) = (local_upstream(), Instant::now());
    local_upstream.announce(says("a", 10, 5, false), now);
    local_upstream.leave("another", now);
    let present = local_upstream.present().expect("it is there");
    assert!(local_upstream.takes_work(&present, false, now));
    local_upstream.leave("a", now);
    let present = local_upstream.present().expect("it serves on for a while");
    assert!(!local_upstream.takes_work(&present, false, now));
    assert!(
        local_upstream.takes_work(&present, true, now),
        "keys are handed over first"
    );
    let later = now + LocalUpstreamSettings::default().drain_work;
    assert!(!local_upstream.takes_work(&present, true, later));
}

#[test]
fn silence_counts_only_without_answers() {
    let (local_upstream, now) = (local_upstream(), Instant::now());
    let settings = LocalUpstreamSettings::default();
    local_upstream.announce(says("a", 10, 5, false), now);
    let silent = now + settings.silence;
    local_upstream.note_answer(silent - Duration::from_millis(10));
    assert!(
        !local_upstream.check_silence(silent),
        "it answers requests behind a cut"
    );
    assert!(local_upstream.check_silence(silent + settings.answered_within));
    assert!(local_upstream.present().is_none());
}

/// An announcement that a cut held up arrives after its sender was found gone.
#[test]
fn a_late_announcement_does_not_bring_back_who_is_gone() {
    let (local_upstream, now) = (local_upstream(), Instant::now());
    local_upstream.announce(says("a", 10, 5, false), now);
    assert!(local_upstream.note_refused(&says("a", 10, 5, false).life));
    assert_eq!(
        local_upstream.announce(says("a", 10, 5, false), now),
        Announced::Stale
    );
    assert_eq!(
        local_upstream.announce(says("z", 3, 80, false), now),
        Announced::Stale
    );
    assert!(local_upstream.present().is_none());
    assert_eq!(
        local_upstream.announce(says("a", 10, 6, false), now),
        Announced::Changed
    );
}
