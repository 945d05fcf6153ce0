//! An upstream that takes grants, and what all upstreams together show.

use ibiscove_ranges::{GrantCall, GrantReply, Grantee, KeyRange, ReleaseCall, ReleaseReply};
use ibiscove_sim::{Sim, WORLD};
use ibiscove_types::{Fence, Key, UpstreamIncarnation};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How much slower an upstream's clock may run.
const SLOW_CLOCK: f64 = 1.02;
/// Keys that are watched: neighbours and distant ones.
pub const WATCHED: [Key; 12] = [
    0, 1, 2, 900, 8_191, 8_192, 20_000, 20_001, 32_768, 50_000, 65_534, 65_535,
];

/// What grants and releases may suffer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Share of the calls whose answer is lost.
    pub lost: f64,
    /// Share of the calls that take effect seconds later.
    pub late: f64,
}

#[derive(Clone, Debug)]
struct Hold {
    range: KeyRange,
    fence: Fence,
    until: Duration,
}

struct State {
    life: UpstreamIncarnation,
    is_up: bool,
    is_draining: bool,
    trouble: Trouble,
    holds: Vec<Hold>,
    seen: BTreeMap<Key, Fence>,
}

/// Everything that broke, and the fences that keys were granted under.
#[derive(Default)]
pub struct Checker {
    broken: Vec<String>,
    fences: BTreeMap<Key, (Fence, UpstreamIncarnation)>,
    pub grants: u64,
}

/// Upstreams of one service, which the checker sees side by side.
#[derive(Clone)]
pub struct Endpoints {
    sim: Arc<Sim>,
    all: Arc<Mutex<Vec<State>>>,
    checker: Arc<Mutex<Checker>>,
}

impl Endpoints {
    pub fn new(sim: &Arc<Sim>, count: usize) -> Self {
        let state = |index| State {
            life: life(index, 1),
            is_up: true,
            is_draining: false,
            trouble: Trouble::default(),
            holds: Vec::new(),
            seen: BTreeMap::new(),
        };
        Self {
            sim: Arc::clone(sim),
            all: Arc::new(Mutex::new((0..count).map(state).collect())),
            checker: Arc::default(),
        }
    }

    fn all(&self) -> MutexGuard<'_, Vec<State>> {
        self.all
            .lock()
            .expect("no test panics while it holds an endpoint")
    }

    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker
            .lock()
            .expect("no test panics while it holds the checker")
    }

    pub fn broken(&self) -> Vec<String> {
        self.checker().broken.clone()
    }

    /// The upstream's life and whether it drains, while it is up.
    pub fn present(&self, index: usize) -> Option<(UpstreamIncarnation, bool)> {
        let all = self.all();
        let state = &all[index];
        state.is_up.then(|| (state.life.clone(), state.is_draining))
    }

    pub fn stop(&self, index: usize) {
        let mut all = self.all();
        all[index].is_up = false;
        all[index].holds.clear();
    }

    /// Starts it again, as another life of the same id.
    pub fn start(&self, index: usize) {
        let mut all = self.all();
        let state = &mut all[index];
        state.life.born_ms += 1;
        state.is_up = true;
        state.is_draining = false;
        state.holds.clear();
        state.seen.clear();
    }

    pub fn drain(&self, index: usize) {
        self.all()[index].is_draining = true;
    }

    pub fn trouble(&self, index: usize, trouble: Trouble) {
        self.all()[index].trouble = trouble;
    }

    /// Watched keys that nobody holds.
    pub fn unheld(&self) -> Vec<Key> {
        let now = self.sim.now();
        let all = self.all();
        let held = |key: Key| {
            let mut holds = all
                .iter()
                .filter(|state| state.is_up)
                .flat_map(|s| &s.holds);
            holds.any(|hold| hold.range.contains(key) && hold.until > now)
        };
        WATCHED.into_iter().filter(|key| !held(*key)).collect()
    }

    /// What the upstream beside a node offers.
    pub fn endpoint(&self, index: usize) -> Endpoint {
        Endpoint {
            endpoints: self.clone(),
            index,
        }
    }

    /// Carries out a grant that arrived at `arrived`.
    fn apply(
        &self,
        index: usize,
        life: &UpstreamIncarnation,
        call: &GrantCall,
        arrived: Duration,
    ) -> GrantReply {
        let now = self.sim.now();
        let until = arrived + call.duration.mul_f64(SLOW_CLOCK);
        let mut all = self.all();
        if !all[index].is_up || all[index].life != *life {
            return GrantReply::NotSent;
        }
        let keys = || WATCHED.into_iter().filter(|key| call.range.contains(*key));
        if keys().any(|key| {
            all[index]
                .seen
                .get(&key)
                .is_some_and(|seen| *seen > call.fence)
        }) {
            return GrantReply::FenceSeen;
        }
        if until <= now {
            return GrantReply::Granted;
        }
        let mut checker = self.checker();
        checker.grants += 1;
        for key in keys() {
            for (other, state) in all.iter().enumerate() {
                let is_held = |hold: &&Hold| hold.range.contains(key) && hold.until > now;
                let held = state.holds.iter().find(is_held);
                if let Some(held) = held.filter(|_| other != index && state.is_up) {
                    checker.broken.push(format!(
                        "{now:?}: key {key} granted to {index} under {} while {other} holds it \
                         until {:?} under {}",
                        call.fence, held.until, held.fence
                    ));
                }
            }
            let known = checker.fences.get(&key).cloned();
            if let Some((fence, owner)) = known
                && owner != *life
                && fence >= call.fence
            {
                checker.broken.push(format!(
                    "{now:?}: key {key} granted to {index} under {}, not above {fence} of {owner:?}",
                    call.fence
                ));
            }
            checker.fences.insert(key, (call.fence, life.clone()));
        }
        drop(checker);
        let state = &mut all[index];
        for key in keys() {
            state.seen.insert(key, call.fence);
        }
        state.release(call.range);
        state.holds.push(Hold {
            range: call.range,
            fence: call.fence,
            until,
        });
        GrantReply::Granted
    }
}

impl State {
    fn release(&mut self, range: KeyRange) {
        let rest = |hold: &Hold| {
            let hold = hold.clone();
            let parts: Vec<_> = hold.range.difference(&range).collect();
            parts.into_iter().map(move |range| Hold {
                range,
                ..hold.clone()
            })
        };
        self.holds = self.holds.iter().flat_map(rest).collect();
    }
}

fn life(index: usize, born_ms: i64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: format!("upstream-{index}").into(),
        born_ms,
    }
}

/// The upstream beside one node.
#[derive(Clone)]
pub struct Endpoint {
    endpoints: Endpoints,
    index: usize,
}

impl Endpoint {
    /// Whether a call is lost and whether it is late, by the trouble there is.
    fn draw(&self) -> (bool, bool) {
        let trouble = self.endpoints.all()[self.index].trouble;
        self.endpoints
            .sim
            .draw(|rng| (rng.f64() < trouble.lost, rng.f64() < trouble.late))
    }
}

impl Grantee for Endpoint {
    async fn grant(&self, call: GrantCall) -> GrantReply {
        let sim = Arc::clone(&self.endpoints.sim);
        let Some((life, _)) = self.endpoints.present(self.index) else {
            return GrantReply::NotSent;
        };
        if life != call.incarnation {
            // Whoever carries grants out holds them back from another life.
            return GrantReply::NotSent;
        }
        let (is_lost, is_late) = self.draw();
        let arrived = sim.now();
        if is_late {
            let delay = Duration::from_millis(sim.draw(|rng| rng.u64(300..6_000)));
            let (endpoints, index) = (self.endpoints.clone(), self.index);
            let later = sim.clone();
            sim.spawn(WORLD, async move {
                later.sleep(delay).await;
                endpoints.apply(index, &life, &call, arrived);
            })
            .detach();
            return std::future::pending().await;
        }
        sim.sleep(Duration::from_micros(300)).await;
        let reply = self.endpoints.apply(self.index, &life, &call, arrived);
        if is_lost {
            return std::future::pending().await;
        }
        reply
    }

    async fn release(&self, call: ReleaseCall) -> ReleaseReply {
        let sim = &self.endpoints.sim;
        if self.endpoints.present(self.index).is_none() {
            return ReleaseReply::Ended;
        }
        let (is_lost, _) = self.draw();
        let work = Duration::from_millis(sim.draw(|rng| rng.u64(1..300)));
        sim.sleep(work).await;
        self.endpoints.all()[self.index].release(call.range);
        if is_lost {
            return std::future::pending().await;
        }
        ReleaseReply::Released {
            handover: Some("handover".into()),
        }
    }
}
