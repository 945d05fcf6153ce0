//! How much work each key brings to the upstream beside this node.

use crate::map::KeyRange;
use ibiscove_types::Key;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Length of a window. Short enough to see a hot key within two seconds.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Work by key over the last whole window, in slots that it keeps busy.
#[derive(Clone, Debug)]
pub struct KeyLoad {
    began: Instant,
    current: BTreeMap<Key, f64>,
    last: BTreeMap<Key, f64>,
}

impl KeyLoad {
    /// No work so far.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            current: BTreeMap::new(),
            last: BTreeMap::new(),
        }
    }

    /// A request for `key` kept a slot busy for `took`.
    pub fn note(&mut self, key: Key, took: Duration, now: Instant) {
        self.roll(now);
        *self.current.entry(key).or_default() += took.as_secs_f64();
    }

    /// Ends the window when it is over.
    pub fn roll(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age < WINDOW {
            return;
        }
        let whole = std::mem::take(&mut self.current);
        let length = age.as_secs_f64();
        self.last = whole
            .into_iter()
            .map(|(key, work)| (key, work / length))
            .collect();
        self.began = now;
    }

    /// Busy slots of each key of a range that had work, in order of keys.
    pub fn of_range(&self, range: KeyRange) -> impl Iterator<Item = (Key, f64)> + '_ {
        self.last
            .range(range.first..=range.last)
            .map(|(key, work)| (*key, *work))
    }

    /// Busy slots in all.
    pub fn total(&self) -> f64 {
        self.last.values().sum()
    }
}
