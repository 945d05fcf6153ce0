//! Deterministic simulation: a seeded single-threaded executor with virtual time.
//!
//! Each task belongs to a node. The executor draws the next runnable task from the
//! seeded random source and advances the virtual time only when no task can run. A
//! frozen node runs no tasks; a suspended one's monotonic clock stops as well. Each
//! node's clock may run at a rate of its own.

use async_task::{Runnable, Task};
use ibiscove_types::{BootClock, Clock, SinceBoot};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

/// Index of a simulated node process within one run.
pub type NodeIndex = usize;

/// Index for tasks that belong to no node, such as the network; they are never
/// frozen.
pub const ENVIRONMENT: NodeIndex = 0;

/// How a node's clocks and tasks relate to the global virtual time.
#[derive(Clone, Copy, Debug)]
struct NodeTime {
    /// Seconds of the node's clock per second of global time.
    rate: f64,
    frozen_until: Duration,
    /// Total time for which its monotonic clock was stopped.
    suspended_total: Duration,
}

struct State {
    /// Global time since the start.
    now: Duration,
    runnables: Vec<(NodeIndex, Runnable)>,
    timers: BTreeMap<(Duration, u64), Waker>,
    last_timer_id: u64,
    rng: fastrand::Rng,
    nodes: Vec<NodeTime>,
    suspension_stops_boot_clocks: bool,
}

thread_local! {
    /// Global time and node of the running task, for log lines.
    static RUNNING: std::cell::Cell<(Duration, NodeIndex)> = const { std::cell::Cell::new((Duration::ZERO, ENVIRONMENT)) };
}

/// Returns the global time and the node of the running task, as the prefix of a log
/// line.
pub fn log_prefix() -> String {
    let (now, node) = RUNNING.get();
    format!("{now:?} node {node}")
}

/// The executor and clock of one run. All its choices follow from its seed.
pub struct Sim {
    base: Instant,
    state: Mutex<State>,
}

impl Sim {
    /// Creates a run with the given seed.
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            base: Instant::now(),
            state: Mutex::new(State {
                now: Duration::ZERO,
                runnables: Vec::new(),
                timers: BTreeMap::new(),
                last_timer_id: 0,
                rng: fastrand::Rng::with_seed(seed),
                nodes: vec![NodeTime {
                    rate: 1.0,
                    frozen_until: Duration::ZERO,
                    suspended_total: Duration::ZERO,
                }],
                suspension_stops_boot_clocks: false,
            }),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("a task panicked while it held the simulation's lock")
    }

    /// Draws a value from the run's random source.
    pub fn draw<V>(&self, draw: impl FnOnce(&mut fastrand::Rng) -> V) -> V {
        draw(&mut self.state().rng)
    }

    /// Adds a node whose clocks run at `rate`, where 1 is the global time.
    pub fn add_node(&self, rate: f64) -> NodeIndex {
        let mut state = self.state();
        state.nodes.push(NodeTime {
            rate,
            frozen_until: Duration::ZERO,
            suspended_total: Duration::ZERO,
        });
        state.nodes.len() - 1
    }

    /// Stops a node's tasks for `duration`; its clocks run on.
    pub fn freeze(&self, node: NodeIndex, duration: Duration) {
        let mut state = self.state();
        state.nodes[node].frozen_until = state.now + duration;
    }

    /// Stops a node's tasks and its monotonic clock for `duration`.
    pub fn suspend(&self, node: NodeIndex, duration: Duration) {
        self.freeze(node, duration);
        self.state().nodes[node].suspended_total += duration;
    }

    /// Makes boot clocks, which should run on in suspension, stop as well. With it a
    /// test shows that it detects a violation of that assumption.
    pub fn stop_boot_clocks_in_suspend(&self) {
        self.state().suspension_stops_boot_clocks = true;
    }

    /// Whether a node's tasks are stopped now.
    pub fn is_frozen(&self, node: NodeIndex) -> bool {
        let state = self.state();
        state.nodes[node].frozen_until > state.now
    }

    /// Returns the global time since the start.
    pub fn now(&self) -> Duration {
        self.state().now
    }

    /// Converts a reading of a node's monotonic clock to global time. Ignores
    /// suspension.
    pub fn global_time(&self, node: NodeIndex, at: Instant) -> Duration {
        let rate = self.state().nodes[node].rate;
        at.saturating_duration_since(self.base).div_f64(rate)
    }

    /// Spawns a task of a node.
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

    /// Runs tasks until the global time is `until`.
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

    /// Runs the cancellation of dropped tasks and discards all timers.
    pub fn finish(&self) {
        while let Some((_, runnable)) = { self.state().runnables.pop() } {
            runnable.run();
        }
        let timers = std::mem::take(&mut self.state().timers);
        drop(timers);
    }

    fn next_runnable(&self) -> Option<Runnable> {
        let mut state = self.state();
        let eligible: Vec<usize> = (0..state.runnables.len())
            .filter(|i| state.nodes[state.runnables[*i].0].frozen_until <= state.now)
            .collect();
        let index = *eligible.get(state.rng.usize(..eligible.len().max(1)))?;
        let (node, runnable) = state.runnables.swap_remove(index);
        RUNNING.set((state.now, node));
        Some(runnable)
    }

    /// Advances the global time to the next timer or the end of a freeze; false, and
    /// at `until`, if none is due by then.
    fn advance(&self, until: Duration) -> bool {
        let mut state = self.state();
        let next_timer = state.timers.keys().next().map(|(at, _)| *at);
        let freeze_ends = state
            .runnables
            .iter()
            .map(|(node, _)| state.nodes[*node].frozen_until);
        let next = freeze_ends.chain(next_timer).min();
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

    /// Completes after `duration` of global time.
    pub fn sleep(self: &Arc<Self>, duration: Duration) -> Sleep {
        Sleep {
            until: self.now() + duration,
            sim: Arc::clone(self),
            timer: None,
        }
    }
}

/// Completes at a point of global time. Returned by [`Sim::sleep`].
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
        state.last_timer_id += 1;
        let timer = (self.until, state.last_timer_id);
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

/// The clocks of one node.
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
        self.sim.base
            + state
                .now
                .saturating_sub(node.suspended_total)
                .mul_f64(node.rate)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    async fn sleep(&self, duration: Duration) {
        let rate = self.sim.state().nodes[self.node].rate;
        self.sim.sleep(duration.div_f64(rate)).await;
    }
}

impl BootClock for SimClock {
    fn since_boot(&self) -> SinceBoot {
        let state = self.sim.state();
        let node = &state.nodes[self.node];
        let stopped_for = match state.suspension_stops_boot_clocks {
            true => node.suspended_total,
            false => Duration::ZERO,
        };
        state.now.saturating_sub(stopped_for).mul_f64(node.rate)
    }
}
