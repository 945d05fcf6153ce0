//! Keys that an endpoint of a divided service holds, and its work on them.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A grant as an endpoint took it.
#[derive(Clone, Debug)]
pub struct Grant {
    pub endpoint: String,
    pub first: u32,
    pub last: u32,
    pub fence: u64,
    pub taken: f64,
    pub until: f64,
}

/// Work on a key, from its begin to its end.
#[derive(Clone, Debug)]
pub struct Work {
    pub endpoint: String,
    pub id: String,
    pub key: u32,
    pub began: f64,
    pub ended: Option<f64>,
}

/// What all endpoints have seen.
#[derive(Default)]
pub struct Ledger {
    pub grants: Vec<Grant>,
    pub works: Vec<Work>,
}

pub type SharedLedger = Arc<Mutex<Ledger>>;

#[derive(Clone, Copy)]
struct KeyState {
    fence_seen: u64,
    held_until: Option<Instant>,
    running: u32,
}

/// The keys of one endpoint.
pub struct Keys {
    keys: Mutex<Vec<KeyState>>,
    work_ended: Condvar,
}

impl Default for Keys {
    fn default() -> Self {
        let unheld = KeyState {
            fence_seen: 0,
            held_until: None,
            running: 0,
        };
        Self {
            keys: Mutex::new(vec![unheld; 1 << 16]),
            work_ended: Condvar::new(),
        }
    }
}

impl Keys {
    /// Takes a grant; false if a higher fence was seen on one of its keys.
    pub fn grant(&self, first: u32, last: u32, fence: u64, hold: Duration) -> bool {
        let until = Instant::now() + hold;
        let mut keys = self.keys.lock().unwrap();
        let range = &mut keys[first as usize..=last as usize];
        if range.iter().any(|key| key.fence_seen > fence) {
            return false;
        }
        for key in range {
            key.fence_seen = fence;
            key.held_until = Some(until);
        }
        true
    }

    /// Stops new work on keys, and returns when the running work on them has ended.
    pub fn release(&self, first: u32, last: u32) {
        let mut keys = self.keys.lock().unwrap();
        for key in &mut keys[first as usize..=last as usize] {
            key.held_until = None;
        }
        while keys[first as usize..=last as usize]
            .iter()
            .any(|key| key.running > 0)
        {
            keys = self.work_ended.wait(keys).unwrap();
        }
    }

    /// Begins work on a key; returns until when it is held, none if it is not.
    pub fn begin(&self, key: u32) -> Option<Instant> {
        let mut keys = self.keys.lock().unwrap();
        let state = &mut keys[key as usize];
        let until = state.held_until.filter(|until| *until > Instant::now())?;
        state.running += 1;
        Some(until)
    }

    pub fn end(&self, key: u32) {
        self.keys.lock().unwrap()[key as usize].running -= 1;
        self.work_ended.notify_all();
    }
}
