//! Work per key at the local upstream.

use crate::map::KeyRange;
use ibiscove_types::Key;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Length of a window. A hot key shows within two seconds.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Work per key over the last complete window, as the number of concurrency
/// slots of the upstream that it occupied on average.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    window_start: Instant,
    current_window: BTreeMap<Key, f64>,
    last_window: BTreeMap<Key, f64>,
}

impl KeyLoad {
    /// Returns a load without any work, whose first window starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            current_window: BTreeMap::new(),
            last_window: BTreeMap::new(),
        }
    }

    /// Records that a request for `key` occupied a slot for `took`.
    pub fn record(&mut self, key: Key, took: Duration, now: Instant) {
        self.roll_window(now);
        *self.current_window.entry(key).or_default() += took.as_secs_f64();
    }

    /// Completes the current window when its time is over.
    pub fn roll_window(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age < WINDOW {
            return;
        }
        let totals = std::mem::take(&mut self.current_window);
        let length = age.as_secs_f64();
        self.last_window = totals
            .into_iter()
            .map(|(key, work)| (key, work / length))
            .collect();
        self.window_start = now;
    }

    /// Returns the average number of slots that each key of a range occupied,
    /// in key order, without idle keys.
    pub fn per_key(&self, range: KeyRange) -> impl Iterator<Item = (Key, f64)> + '_ {
        self.last_window
            .range(range.first..=range.last)
            .map(|(key, work)| (*key, *work))
    }

    /// Returns the average number of occupied slots over all keys.
    pub fn total(&self) -> f64 {
        self.last_window.values().sum()
    }
}
