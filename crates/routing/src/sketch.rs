//! The hottest keys, in fixed memory.
//!
//! The space-saving algorithm (Metwally, Agrawal and El Abbadi, 2005) keeps a
//! fixed number of counters. A key that is not counted takes over the smallest
//! counter and its count as a possible error, so every key above a share of
//! 1 / [`HotKeySketch::COUNTERS`] is among them. A sketch covers a short time: the
//! meter begins a new one with each, so that hot keys show within minutes.

use std::collections::HashMap;

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    /// By how much the count may be too high.
    error: u64,
}

/// The hottest keys.
#[derive(Clone, Debug, Default)]
pub struct HotKeySketch {
    counters: HashMap<u64, Counter>,
}

impl HotKeySketch {
    /// Keys counted at a time, several times as many as are asked for.
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

    /// The `most` hottest keys, each with the count that is certain.
    pub fn hottest(&self, most: usize) -> Vec<(u64, u64)> {
        let certain = self
            .counters
            .iter()
            .map(|(key, c)| (*key, c.count - c.error));
        let mut keys: Vec<_> = certain.filter(|(_, count)| *count > 0).collect();
        keys.sort_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        keys.truncate(most);
        keys
    }
}
