//! Courses of events that broke ownership once, or would without one rule.

use crate::endpoint::Trouble;
use crate::schedules::play;
use crate::table::TableTrouble;
use crate::world::World;
use ibiscove_ranges::ControllerSettings;
use ibiscove_ranges::grants::GrantSettings;
use ibiscove_ranges::lease::LeaseSettings;
use std::sync::Arc;
use std::time::Duration;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn world(seed: u64) -> Arc<World> {
    let world = Arc::new(World::new(seed, 3, ControllerSettings::default()));
    world.sim.run_until(secs(8));
    assert!(
        world.endpoints.unheld().is_empty(),
        "all keys are held before the first fault"
    );
    world
}

/// A restarted node that knows the map before its upstream has announced
/// itself once gave away what its earlier run had granted.
#[test]
fn a_restarted_node_keeps_what_its_earlier_run_granted() {
    for seed in 0..20 {
        let world = world(seed);
        for node in 0..3 {
            world.kill(node);
        }
        world.sim.run_until(secs(9));
        for node in 0..3 {
            world.start(node);
        }
        let before = world.endpoints.checker().grants;
        world.sim.run_until(secs(12));
        assert!(
            world.endpoints.checker().grants > before,
            "grants are renewed"
        );
        assert!(
            world.endpoints.unheld().is_empty(),
            "seed {seed}: keys are held again"
        );
        assert!(
            world.endpoints.broken().is_empty(),
            "{:?}",
            world.endpoints.broken()
        );
        world.finish();
    }
}

/// Suspends a node for long enough to lose its keys. Its network is back later
/// than the node, so that nothing but its own clock tells it.
fn suspend(world: &Arc<World>) {
    world.cut(0, true);
    world.table.set(0, TableTrouble::DOWN);
    world.sim.suspend(world.index(0), secs(20));
    world.at(secs(32), |world| {
        world.cut(0, false);
        world.table.set(0, TableTrouble::default());
    });
    world.sim.run_until(secs(45));
}

/// A suspended node's steady clock stands still; its lease must not.
#[test]
fn a_suspended_node_grants_nothing_on_an_old_lease() {
    for seed in 0..20 {
        let world = world(seed);
        suspend(&world);
        assert!(
            world.endpoints.broken().is_empty(),
            "{:?}",
            world.endpoints.broken()
        );
        assert!(
            world.endpoints.unheld().is_empty(),
            "seed {seed}: others took over"
        );
        world.finish();
    }
}

/// A renewal that is under way when its range is released, or that takes
/// effect seconds later, must not hold the range beside its next owner.
#[test]
fn a_release_waits_for_grants_that_may_still_take_effect() {
    for seed in 0..30 {
        let world = world(seed);
        let trouble = Trouble {
            lost: 0.1,
            late: 0.5,
        };
        world.endpoints.trouble(0, trouble);
        world.at(secs(10), |world| world.endpoints.drain(0));
        world.sim.run_until(secs(25));
        assert!(
            world.endpoints.broken().is_empty(),
            "seed {seed}: {:?}",
            world.endpoints.broken()
        );
        world.finish();
    }
}

/// A node that is cut off from the table released ranges that it could give to
/// nobody, and they stayed unserved until the table was back.
#[test]
fn nothing_is_released_while_the_table_is_away() {
    for seed in 0..20 {
        let world = world(seed);
        world.table.set(0, TableTrouble::DOWN);
        world.at(secs(9), |world| world.endpoints.drain(0));
        world.sim.run_until(secs(12));
        let unheld = world.endpoints.unheld();
        assert!(unheld.is_empty(), "seed {seed}: nobody holds {unheld:?}");
        world.table.set(0, TableTrouble::default());
        world.sim.run_until(secs(16));
        world.endpoints.stop(0);
        assert!(
            world.endpoints.unheld().is_empty(),
            "seed {seed}: they move once the table is back"
        );
        assert!(
            world.endpoints.broken().is_empty(),
            "{:?}",
            world.endpoints.broken()
        );
        world.finish();
    }
}

fn breaks_within(schedules: u64, settings: ControllerSettings) -> bool {
    (0..schedules).any(|seed| {
        let broken = play(seed, settings);
        broken.iter().any(|text| text.contains("while"))
    })
}

/// The explorer notices a taker that does not wait for the lease's end.
#[test]
fn a_takeover_before_the_lease_ends_is_caught() {
    let settings = ControllerSettings {
        lease: LeaseSettings {
            // Takers wait for a term that holders outlast by far.
            takeover_margin: Duration::ZERO,
            term: secs(10),
            ..LeaseSettings::default()
        },
        grants: GrantSettings {
            // As if an upstream's clock could not run slow and calls took no
            // time, by as much as shows.
            max_clock_drift: -0.5,
            ..GrantSettings::default()
        },
    };
    assert!(breaks_within(200, settings), "no schedule caught it");
}

/// The explorer notices a lease that is measured on a clock that stands still
/// while the machine is suspended.
#[test]
fn a_lease_on_a_clock_that_stops_is_caught() {
    let caught = (0..20).any(|seed| {
        let world = world(seed);
        world.sim.stop_boot_clocks();
        suspend(&world);
        let broken = world.endpoints.broken();
        world.finish();
        !broken.is_empty()
    });
    assert!(caught, "no seed caught it");
}

/// The explorer notices a range that is given on while a grant of it that was
/// not answered may still take effect.
#[test]
fn a_range_given_on_before_an_unanswered_grant_is_over_is_caught() {
    let settings = ControllerSettings {
        grants: GrantSettings {
            // A grant counts as over when a tenth of it has passed.
            max_clock_drift: -0.9,
            ..GrantSettings::default()
        },
        ..ControllerSettings::default()
    };
    let caught = (0..60).any(|seed| {
        let world = Arc::new(World::new(seed, 3, settings));
        world.sim.run_until(secs(8));
        let trouble = Trouble {
            lost: 0.1,
            late: 0.5,
        };
        world.endpoints.trouble(0, trouble);
        world.at(secs(10), |world| world.endpoints.drain(0));
        world.sim.run_until(secs(25));
        let broken = world.endpoints.broken();
        world.finish();
        !broken.is_empty()
    });
    assert!(caught, "no seed caught it");
}
