//! How many requests one upstream gets at a time.
//!
//! The announced concurrency is the ceiling. Below it the limit follows what
//! the answers show: it is cut when the upstream sheds load, breaks off or
//! answers far slower than it can, and rises again with each good answer. A
//! cold upstream starts low and doubles with each round of good answers.

use std::time::{Duration, Instant};

/// What a cut leaves of the limit.
const CUT: f64 = 0.8;
/// Least time between two cuts, so that one burst of bad answers counts once.
const CUT_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the ceiling below which slow answers alone do not cut: a limit
/// cannot mend an upstream that is slow with little to do.
const SLOW_FLOOR: f64 = 0.5;
/// Share of the ceiling at which a cold upstream starts.
const COLD_START: f64 = 0.125;
/// Answers slower than this many times the usual time count as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Weight of a new answer's time in the usual time.
const USUAL_WEIGHT: f64 = 0.02;

/// How a request at the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It answered.
    Responded,
    /// It said that it has too much to do.
    Overloaded,
    /// It broke off or could not be reached.
    Failed,
    /// It gave no answer in the time that the caller allowed, which only
    /// counts when that was long enough: callers who ask for too little time
    /// must not throttle the others.
    TimedOut,
}

/// The limit of one upstream.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    ceiling: f64,
    limit: f64,
    /// Whether the limit has yet to reach the ceiling for the first time.
    warming: bool,
    /// Usual time of an answer, in seconds.
    usual: Option<f64>,
    last_cut: Option<Instant>,
}

impl ConcurrencyLimit {
    /// The limit of an upstream that takes `ceiling` requests at a time, and
    /// whose caches are `cold` or not.
    pub fn new(ceiling: u32, cold: bool) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        let start = if cold { ceiling * COLD_START } else { ceiling };
        Self {
            ceiling,
            limit: start.max(1.0),
            warming: cold,
            usual: None,
            last_cut: None,
        }
    }

    /// Requests allowed at a time, at least one.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Whether a cold upstream has yet to reach its ceiling.
    pub fn is_warming(&self) -> bool {
        self.warming
    }

    /// Usual time of an answer; none before the first.
    pub fn typical_latency(&self) -> Option<Duration> {
        self.usual.map(Duration::from_secs_f64)
    }

    /// Takes the end of a request that took `took`.
    pub fn record(&mut self, ended: Completion, took: Duration, now: Instant) {
        let took = took.as_secs_f64();
        let usual = *self.usual.get_or_insert(took);
        let slow = took > usual * SLOW_FACTOR;
        match ended {
            Completion::Responded if slow => self.cut(self.ceiling * SLOW_FLOOR, now),
            Completion::Responded => self.raise(),
            Completion::TimedOut if !slow => {}
            Completion::Overloaded | Completion::Failed | Completion::TimedOut => {
                self.cut(1.0, now)
            }
        }
        if ended == Completion::Responded {
            // The usual time follows slowly, so that an upstream that stays
            // slow becomes the usual case and is not throttled for ever.
            self.usual = Some(usual + (took - usual) * USUAL_WEIGHT);
        }
    }

    fn cut(&mut self, floor: f64, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < CUT_INTERVAL;
        if self.last_cut.is_some_and(recent) {
            return;
        }
        self.last_cut = Some(now);
        self.warming = false;
        self.limit = (self.limit * CUT).max(floor.min(self.limit)).max(1.0);
    }

    fn raise(&mut self) {
        let step = if self.warming { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(self.ceiling);
        if self.limit >= self.ceiling {
            self.warming = false;
        }
    }
}
