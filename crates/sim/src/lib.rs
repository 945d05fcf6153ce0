//! A seeded executor with virtual time.
//!
//! Tasks belong to a node. Which runnable task runs next is drawn from the seed;
//! time passes only when none can run. A frozen node's tasks wait, and a
//! suspended node's steady clock stands still with them.

use async_task::{Runnable, Task};
use ibiscove_types::{BootClock, Clock, SinceBoot};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

/// Index of a node process within one run.
pub type NodeIndex = usize;

/// The owner of tasks that belong to no node: they never freeze.
pub const ENVIRONMENT: NodeIndex = 0;

/// How a node's clock relates to real time, which is virtual here.
#[derive(Clone, Copy, Debug)]
struct NodeTime {
    rate: f64,
    frozen_until: Duration,
    /// Time for which its steady clock stood still.
    suspended: Duration,
}

struct State {
    /// Real time since the start.
    now: Duration,
    runnables: Vec<(NodeIndex, Runnable)>,
    timers: BTreeMap<(Duration, u64), Waker>,
    last_timer: u64,
    rng: fastrand::Rng,
    nodes: Vec<NodeTime>,
    boot_clocks_stop: bool,
}

thread_local! {
    /// Time and node of what runs now, for log lines.
    static RUNNING: std::cell::Cell<(Duration, NodeIndex)> = const { std::cell::Cell::new((Duration::ZERO, ENVIRONMENT)) };
}

/// Time and node of what runs now.
pub fn log_prefix() -> String {
    let (now, node) = RUNNING.get();
    format!("{now:?} node {node}")
}

/// The executor of one run.
pub struct Sim {
    base: Instant,
    state: Mutex<State>,
}

impl Sim {
    /// A run whose choices follow from the seed.
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            base: Instant::now(),
            state: Mutex::new(State {
                now: Duration::ZERO,
                runnables: Vec::new(),
                timers: BTreeMap::new(),
                last_timer: 0,
                rng: fastrand::Rng::with_seed(seed),
                nodes: vec![NodeTime {
                    rate: 1.0,
                    frozen_until: Duration::ZERO,
                    suspended: Duration::ZERO,
                }],
                boot_clocks_stop: false,
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the run goes on after no panic")
    }

    /// Draws from the run's random source.
    pub fn draw<V>(&self, draw: impl FnOnce(&mut fastrand::Rng) -> V) -> V {
        draw(&mut self.state().rng)
    }

    /// Adds a node whose clock runs at `rate`.
    pub fn add_node(&self, rate: f64) -> NodeIndex {
        let mut state = self.state();
        state.nodes.push(NodeTime {
            rate,
            frozen_until: Duration::ZERO,
            suspended: Duration::ZERO,
        });
        state.nodes.len() - 1
    }

    /// Stops a node's tasks for a while; its clocks go on.
    pub fn freeze(&self, node: NodeIndex, length: Duration) {
        let mut state = self.state();
        state.nodes[node].frozen_until = state.now + length;
    }

    /// Suspends a node: its tasks stop, and its steady clock with them.
    pub fn suspend(&self, node: NodeIndex, length: Duration) {
        self.freeze(node, length);
        self.state().nodes[node].suspended += length;
    }

    /// Lets every clock stand still while its node is suspended, those too that
    /// should go on. Shows that a test notices what rests on them.
    pub fn stop_boot_clocks_in_suspend(&self) {
        self.state().boot_clocks_stop = true;
    }

    /// Whether a node's tasks are stopped.
    pub fn is_frozen(&self, node: NodeIndex) -> bool {
        let state = self.state();
        state.nodes[node].frozen_until > state.now
    }

    /// Real time since the start.
    pub fn now(&self) -> Duration {
        self.state().now
    }

    /// The real time of a reading of a node's clock.
    pub fn global_time(&self, node: NodeIndex, at: Instant) -> Duration {
        let rate = self.state().nodes[node].rate;
        at.saturating_duration_since(self.base).div_f64(rate)
    }

    /// Starts a task of a node.
    pub fn spawn(
        self: &Arc<Self>,
        node: NodeIndex,
        future: impl Future<Output = ()> + Send + 'static,
    ) -> Task<()> {
        let sim = Arc::clone(self);
        let schedule = move |runnable| sim.state().runnables.push((node, runnable));
        let (runnable, task) = async_task::spawn(future, schedule);
        runnable.schedule();
        task
    }

    /// Runs until real time is `until`.
    pub fn run_until(&self, until: Duration) {
        loop {
            while let Some(runnable) = self.next_runnable() {
                runnable.run();
            }
            if !self.advance(until) {
                return;
            }
        }
    }

    /// Runs what is left after its tasks have been dropped.
    pub fn finish(&self) {
        while let Some((_, runnable)) = { self.state().runnables.pop() } {
            runnable.run();
        }
        let timers = std::mem::take(&mut self.state().timers);
        drop(timers);
    }

    fn next_runnable(&self) -> Option<Runnable> {
        let mut state = self.state();
        let awake: Vec<usize> = (0..state.runnables.len())
            .filter(|i| state.nodes[state.runnables[*i].0].frozen_until <= state.now)
            .collect();
        let index = *awake.get(state.rng.usize(..awake.len().max(1)))?;
        let (node, runnable) = state.runnables.swap_remove(index);
        RUNNING.set((state.now, node));
        Some(runnable)
    }

    /// Lets time pass to the next thing that happens; false at `until`.
    fn advance(&self, until: Duration) -> bool {
        let mut state = self.state();
        let timer = state.timers.keys().next().map(|(at, _)| *at);
        let thaws = state
            .runnables
            .iter()
            .map(|(node, _)| state.nodes[*node].frozen_until);
        let next = thaws.chain(timer).min();
        let Some(next) = next.filter(|next| *next <= until) else {
            state.now = until;
            return false;
        };
        state.now = state.now.max(next);
        let now = state.now;
        let later = state.timers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut state.timers, later);
        drop(state);
        due.into_values().for_each(Waker::wake);
        true
    }

    /// Completes after a stretch of real time.
    pub fn sleep(self: &Arc<Self>, length: Duration) -> Sleep {
        Sleep {
            until: self.now() + length,
            sim: Arc::clone(self),
            timer: None,
        }
    }
}

/// Completes after a stretch of real time.
pub struct Sleep {
    sim: Arc<Sim>,
    until: Duration,
    timer: Option<(Duration, u64)>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let sim = Arc::clone(&self.sim);
        let mut state = sim.state();
        if state.now >= self.until {
            return Poll::Ready(());
        }
        if let Some(timer) = self.timer.take() {
            state.timers.remove(&timer);
        }
        state.last_timer += 1;
        let timer = (self.until, state.last_timer);
        state.timers.insert(timer, cx.waker().clone());
        self.timer = Some(timer);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let removed = self
            .timer
            .and_then(|timer| self.sim.state().timers.remove(&timer));
        drop(removed);
    }
}

/// The clock of one node.
#[derive(Clone)]
pub struct SimClock {
    /// The run.
    pub sim: Arc<Sim>,
    /// The node.
    pub node: NodeIndex,
}

impl Clock for SimClock {
    fn now(&self) -> Instant {
        let state = self.sim.state();
        let node = &state.nodes[self.node];
        self.sim.base + state.now.saturating_sub(node.suspended).mul_f64(node.rate)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    async fn sleep(&self, length: Duration) {
        let rate = self.sim.state().nodes[self.node].rate;
        self.sim.sleep(length.div_f64(rate)).await;
    }
}

impl BootClock for SimClock {
    fn since_boot(&self) -> SinceBoot {
        let state = self.sim.state();
        let node = &state.nodes[self.node];
        let stood_still = match state.boot_clocks_stop {
            true => node.suspended,
            false => Duration::ZERO,
        };
        state.now.saturating_sub(stood_still).mul_f64(node.rate)
    }
}
