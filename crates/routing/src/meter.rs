//! Load meter of a gate, the role of a node that admits requests to its own
//! upstream: exponentially decaying request rates by hash slot and by key.

use crate::sketch::HotKeySketch;
use ibiscove_types::Slot;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of hottest keys reported.
const MAX_HOT_KEYS: usize = 32;
/// Time after which a change of load is half reflected in the rates.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Requests per second below which a slot or key is idle and dropped.
const IDLE_RATE: f64 = 1e-3;

/// Request rate of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyRate {
    /// Hash of the key.
    pub key: u64,
    /// Requests per second.
    pub rate: f64,
}

/// Request rates of a gate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadRates {
    /// Requests per second of each slot that is not idle.
    pub slots: HashMap<Slot, f64>,
    /// The hottest keys, in descending order of rate.
    pub keys: Vec<KeyRate>,
}

/// Counts requests by slot and by key and maintains their rates.
#[derive(Debug)]
pub struct LoadMeter {
    last_update: Instant,
    counts: HashMap<Slot, u64>,
    sketch: HotKeySketch,
    rates: HashMap<Slot, f64>,
    key_rates: HashMap<u64, f64>,
}

impl LoadMeter {
    /// Creates a meter that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_update: now,
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

    /// Updates the rates with the requests counted since the last update and
    /// returns them.
    pub fn update(&mut self, now: Instant) -> LoadRates {
        let elapsed = now
            .saturating_duration_since(self.last_update)
            .as_secs_f64();
        self.last_update = now;
        if elapsed > 0.0 {
            let decay = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
            let counts = std::mem::take(&mut self.counts);
            update_rates(&mut self.rates, counts, elapsed, decay);
            let sketch = std::mem::take(&mut self.sketch);
            let keys = sketch.hottest(HotKeySketch::COUNTERS).into_iter().collect();
            update_rates(&mut self.key_rates, keys, elapsed, decay);
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
        keys.truncate(MAX_HOT_KEYS);
        keys
    }
}

/// Multiplies all rates by `decay` and adds the counts of the last `elapsed`
/// seconds with the remaining weight.
fn update_rates<K: std::hash::Hash + Eq>(
    rates: &mut HashMap<K, f64>,
    counts: HashMap<K, u64>,
    elapsed: f64,
    decay: f64,
) {
    rates.values_mut().for_each(|rate| *rate *= decay);
    for (key, count) in counts {
        let rate = count as f64 / elapsed;
        *rates.entry(key).or_default() += rate * (1.0 - decay);
    }
    rates.retain(|_, rate| *rate > IDLE_RATE);
}
