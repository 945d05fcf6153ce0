//! Random schedules of faults.

use crate::endpoint::Trouble;
use crate::table::TableTrouble;
use crate::world::World;
use ibiscove_ranges::ControllerSettings;
use std::sync::Arc;
use std::time::Duration;

/// Schedules that are run; `IBISCOVE_SCHEDULES` sets another number.
const SCHEDULES: u64 = 150;
/// Time before the first fault.
const CALM: u64 = 6_000;
/// Time within which faults begin.
const FAULTY: u64 = 40_000;
/// Time from the last fault to the look at what is served: a lease, its
/// margin, the longest fault and a grant.
const SETTLE: Duration = Duration::from_secs(45);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Plays a schedule; gives everything that broke.
pub fn play(seed: u64, settings: ControllerSettings) -> Vec<String> {
    let world = Arc::new(World::new(seed, 4, settings));
    let faults = world.sim.draw(|rng| rng.usize(2..9));
    for _ in 0..faults {
        add_fault(&world);
    }
    world.sim.run_until(ms(CALM + FAULTY) + SETTLE);
    let mut broken = world.endpoints.broken();
    let unheld = world.endpoints.unheld();
    if !unheld.is_empty() {
        broken.push(format!("nobody holds {unheld:?} after all faults"));
    }
    if world.endpoints.checker().grants == 0 {
        broken.push("nothing was ever granted".to_owned());
    }
    world.finish();
    broken
}

fn add_fault(world: &Arc<World>) {
    let count = world.count();
    let (kind, node, at, length) = world.sim.draw(|rng| {
        (
            rng.u32(..13),
            rng.usize(..count),
            ms(rng.u64(CALM..FAULTY)),
            ms(rng.u64(100..14_000)),
        )
    });
    let end = at + length;
    match kind {
        0 => {
            world.at(at, move |w| w.kill(node));
            world.at(end, move |w| w.start(node));
        }
        1 => {
            world.at(at, move |w| w.endpoints.stop(node));
            world.at(end, move |w| w.endpoints.start(node));
        }
        2 => world.at(at, move |w| w.sim.freeze(w.index(node), length)),
        3 => world.at(at, move |w| w.sim.suspend(w.index(node), length)),
        4 => {
            world.at(at, move |w| w.table.set(node, TableTrouble::DOWN));
            world.at(end, move |w| w.table.set(node, TableTrouble::default()));
        }
        5 => every_table(world, at, end, TableTrouble::DOWN),
        6 => every_table(
            world,
            at,
            end,
            TableTrouble {
                lost: 0.3,
                late: 0.3,
                ..TableTrouble::default()
            },
        ),
        7 => {
            world.at(at, move |w| w.cut(node, true));
            world.at(end, move |w| w.cut(node, false));
        }
        8 => {
            let trouble = Trouble {
                lost: 0.2,
                late: 0.4,
            };
            world.at(at, move |w| w.endpoints.trouble(node, trouble));
            world.at(end, move |w| w.endpoints.trouble(node, Trouble::default()));
        }
        9 => {
            world.at(at, move |w| w.endpoints.drain(node));
            world.at(at + ms(3_000), move |w| w.endpoints.stop(node));
            world.at(end + ms(3_000), move |w| w.endpoints.start(node));
        }
        10 => {
            world.at(at, move |w| (0..count).for_each(|node| w.kill(node)));
            world.at(at + ms(900), move |w| {
                (0..count).for_each(|node| w.start(node))
            });
        }
        11 => {
            world.at(at, move |w| {
                w.kill(node);
                w.endpoints.stop(node);
            });
            world.at(end, move |w| {
                w.endpoints.start(node);
                w.start(node);
            });
        }
        _ => {
            world.at(at, move |w| w.leave(node));
            world.at(at + ms(2_600), move |w| w.kill(node));
            world.at(at + ms(3_500), move |w| w.start(node));
        }
    }
}

fn every_table(world: &Arc<World>, at: Duration, end: Duration, trouble: TableTrouble) {
    let set = |trouble| move |w: &World| (0..w.count()).for_each(|node| w.table.set(node, trouble));
    world.at(at, set(trouble));
    world.at(end, set(TableTrouble::default()));
}

#[test]
fn no_key_is_held_twice_and_all_are_held_in_the_end() {
    let schedules = std::env::var("IBISCOVE_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 0..schedules.unwrap_or(SCHEDULES) {
        let broken = play(seed, ControllerSettings::default());
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}
