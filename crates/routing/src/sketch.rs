//! Heavy hitters: the most requested keys, in bounded memory.
//!
//! The space-saving algorithm (Metwally, Agrawal and El Abbadi, 2005) keeps a
//! fixed number of counters. A key without a counter replaces the key of the
//! smallest counter and inherits its count as a possible error, so every key with
//! a share of requests above 1 / [`HotKeySketch::COUNTERS`] has a counter. The load
//! meter starts a new sketch at each update, so that new hot keys appear within
//! minutes.

use std::collections::HashMap;

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    /// Maximum overestimate of the count.
    error: u64,
}

/// Approximate request counts of the hottest keys.
#[derive(Clone, Debug, Default)]
pub struct HotKeySketch {
    counters: HashMap<u64, Counter>,
}

impl HotKeySketch {
    /// Number of counters, several times the number of hot keys reported.
    pub const COUNTERS: usize = 128;

    /// Counts a request for a key.
    pub fn record(&mut self, key: u64) {
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.count += 1;
            return;
        }
        let mut error = 0;
        if self.counters.len() >= Self::COUNTERS {
            let smallest = self.counters.iter().min_by_key(|(_, c)| c.count);
            let (smallest, counter) = smallest.expect("a full sketch has counters");
            error = counter.count;
            let smallest = *smallest;
            self.counters.remove(&smallest);
        }
        let count = error + 1;
        self.counters.insert(key, Counter { count, error });
    }

    /// Returns at most `limit` hottest keys, each with a lower bound of its count.
    pub fn hottest(&self, limit: usize) -> Vec<(u64, u64)> {
        let lower_bounds = self
            .counters
            .iter()
            .map(|(key, c)| (*key, c.count - c.error));
        let mut keys: Vec<_> = lower_bounds.filter(|(_, count)| *count > 0).collect();
        keys.sort_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        keys.truncate(limit);
        keys
    }
}
