//! The load of a gate by slot and by key.

use crate::sketch::HotKeySketch;
use ibiscove_types::Slot;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Hottest keys that are told.
const HOT_KEYS: usize = 32;
/// Time in which a change of load shows by half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Requests a second below which a slot counts as idle and is forgotten.
const IDLE_RATE: f64 = 1e-3;

/// Requests for a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyRate {
    /// Hash of the key.
    pub key: u64,
    /// Requests a second.
    pub rate: f64,
}

/// The load of a gate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadRates {
    /// Requests a second of each slot that is not idle.
    pub slots: HashMap<Slot, f64>,
    /// The hottest keys, hottest first.
    pub keys: Vec<KeyRate>,
}

/// Counts requests by slot and by key.
#[derive(Debug)]
pub struct LoadMeter {
    since: Instant,
    counts: HashMap<Slot, u64>,
    sketch: HotKeySketch,
    rates: HashMap<Slot, f64>,
    key_rates: HashMap<u64, f64>,
}

impl LoadMeter {
    /// A meter that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            counts: HashMap::new(),
            sketch: HotKeySketch::default(),
            rates: HashMap::new(),
            key_rates: HashMap::new(),
        }
    }

    /// Counts a request.
    pub fn record(&mut self, slot: Slot, key: u64) {
        *self.counts.entry(slot).or_default() += 1;
        self.sketch.record(key);
    }

    /// The rates, of which what was counted since the last call is the newest
    /// part.
    pub fn update(&mut self, now: Instant) -> LoadRates {
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        self.since = now;
        if elapsed > 0.0 {
            let kept = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
            let counts = std::mem::take(&mut self.counts);
            blend(&mut self.rates, counts, elapsed, kept);
            let sketch = std::mem::take(&mut self.sketch);
            let keys = sketch.hottest(HotKeySketch::COUNTERS).into_iter().collect();
            blend(&mut self.key_rates, keys, elapsed, kept);
        }
        LoadRates {
            slots: self.rates.clone(),
            keys: self.hottest(),
        }
    }

    fn hottest(&self) -> Vec<KeyRate> {
        let rates = self.key_rates.iter();
        let mut keys: Vec<_> = rates
            .map(|(key, rate)| KeyRate {
                key: *key,
                rate: *rate,
            })
            .collect();
        keys.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.key.cmp(&b.key)));
        keys.truncate(HOT_KEYS);
        keys
    }
}

/// Blends counts of the last `elapsed` seconds into rates, of which a share of
/// `kept` stays.
fn blend<K: std::hash::Hash + Eq>(
    rates: &mut HashMap<K, f64>,
    counts: HashMap<K, u64>,
    elapsed: f64,
    kept: f64,
) {
    rates.values_mut().for_each(|rate| *rate *= kept);
    for (key, count) in counts {
        let newest = count as f64 / elapsed;
        *rates.entry(key).or_default() += newest * (1.0 - kept);
    }
    rates.retain(|_, rate| *rate > IDLE_RATE);
}
