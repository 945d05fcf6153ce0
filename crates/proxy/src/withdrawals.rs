//! Withdrawals of upstreams from service.
//!
//! A withdrawal is a tombstone: an announcement that arrives after it, late or from
//! before it, does not bring the upstream back into use. It covers the upstream's
//! earlier lives too, but not a later one under the same id.
//!
//! An acknowledged withdrawal must outlive all processes, so it is acknowledged only
//! once it is stored. See `docs/request-path.md`.

use event_listener::{Event, EventListener};
use ibiscove_types::UpstreamIncarnation;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Most withdrawals that are kept. A node serves one upstream at a time, so that more
/// than those of the present one and its predecessor come from misdirected calls.
pub const MAX_WITHDRAWALS: usize = 8;

/// An upstream that has left service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The upstream's id.
    pub id: Arc<str>,
    /// Latest start of a life that it covers, in milliseconds since the Unix epoch.
    pub born_until_ms: i64,
    /// Since when the upstream has been leaving.
    pub since: Instant,
}

impl Withdrawal {
    fn covers(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.id == incarnation.id && incarnation.born_ms <= self.born_until_ms
    }
}

/// Number of changes to the withdrawals that a node knows of.
pub type Generation = u64;

/// The newest withdrawals that a node knows of, at most one for each id. Clones share
/// them.
#[derive(Clone, Default)]
pub struct Withdrawals {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    /// Notified when there are withdrawals to store.
    changed: Event,
    /// Notified when withdrawals have been stored.
    stored: Event,
}

#[derive(Default)]
struct State {
    /// In the order in which they were recorded.
    entries: Vec<Withdrawal>,
    generation: Generation,
    /// The generation that was stored last.
    stored: Generation,
}

impl State {
    fn record(&mut self, withdrawal: Withdrawal) -> bool {
        let known = self
            .entries
            .iter()
            .position(|entry| entry.id == withdrawal.id);
        if let Some(known) = known {
            if self.entries[known].born_until_ms >= withdrawal.born_until_ms {
                return false;
            }
            self.entries.remove(known);
        }
        if self.entries.len() >= MAX_WITHDRAWALS {
            self.entries.remove(0);
        }
        self.entries.push(withdrawal);
        true
    }
}

impl Withdrawals {
    /// Records a withdrawal. Returns whether it covers a life that none covered before.
    pub fn record(&self, withdrawal: Withdrawal) -> bool {
        let mut state = self.lock();
        let is_new = state.record(withdrawal);
        if is_new {
            state.generation += 1;
            drop(state);
            self.inner.changed.notify(usize::MAX);
        }
        is_new
    }

    /// Returns since when an incarnation has been leaving; none if it has not withdrawn.
    pub fn since(&self, incarnation: &UpstreamIncarnation) -> Option<Instant> {
        let state = self.lock();
        let entry = state.entries.iter().find(|entry| entry.covers(incarnation));
        entry.map(|entry| entry.since)
    }

    /// Adds withdrawals that were read from the store, where `stored` is all that there
    /// is. Those that it lacks are to be stored again.
    pub fn merge_stored(&self, stored: Vec<Withdrawal>) {
        let mut state = self.lock();
        let is_known = |entry: &Withdrawal| {
            let known = |other: &Withdrawal| {
                entry.id == other.id && entry.born_until_ms <= other.born_until_ms
            };
            stored.iter().any(known)
        };
        let is_complete = state.entries.iter().all(is_known);
        // Those of this process are newer, so that a full row loses the oldest.
        let own = std::mem::take(&mut state.entries);
        for withdrawal in stored.into_iter().chain(own) {
            state.record(withdrawal);
        }
        match is_complete {
            true => {
                state.stored = state.generation;
                drop(state);
                self.inner.stored.notify(usize::MAX);
            }
            false => {
                state.generation += 1;
                drop(state);
                self.inner.changed.notify(usize::MAX);
            }
        }
    }

    /// Records that the store may have lost what was stored.
    pub fn mark_lost(&self) {
        let mut state = self.lock();
        if !state.entries.is_empty() {
            state.generation += 1;
            drop(state);
            self.inner.changed.notify(usize::MAX);
        }
    }

    /// Returns all withdrawals and their generation, if that is not stored.
    pub fn unstored(&self) -> Option<(Generation, Vec<Withdrawal>)> {
        let state = self.lock();
        (state.stored < state.generation).then(|| (state.generation, state.entries.clone()))
    }

    /// Records that a generation is stored.
    pub fn mark_stored(&self, generation: Generation) {
        let mut state = self.lock();
        state.stored = state.stored.max(generation);
        drop(state);
        self.inner.stored.notify(usize::MAX);
    }

    /// Returns a listener for the next withdrawal that is to be stored.
    pub fn changed(&self) -> EventListener {
        self.inner.changed.listen()
    }

    /// Waits until all withdrawals that have been recorded are stored.
    pub async fn wait_until_stored(&self) {
        let due = self.lock().generation;
        loop {
            let stored = self.inner.stored.listen();
            if self.lock().stored >= due {
                return;
            }
            stored.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
