//! Deduplication window: requests with idempotency keys that a gate, the role of a
//! node that admits requests to its own upstream, has started.
//!
//! While a key is in the window its request never starts again: a duplicate
//! request gets the stored response, or an error if the first one is running or
//! its outcome is unknown. A request whose key is absent may run only if the window
//! is complete since the request was first sent. A takeover and evictions break
//! that; `docs/requests.md` has the rules. The window is bounded in bytes and keys
//! are bounded in age.

mod types;

pub use types::{
    Decision, DedupSettings, HandoverEntry, KeyedRequest, OwnershipTerm, StoredResponse, TermOrigin,
};

use ibiscove_types::{Fence, Outcome, Reason, Slot};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

/// Bytes that an entry takes in addition to its key and response.
const ENTRY_OVERHEAD_BYTES: usize = 192;
/// Maximum bytes of responses in one handover, so that it fits in a peer message.
const MAX_HANDOVER_RESPONSE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Eq)]
enum EntryState {
    Running,
    Unknown,
    Ran(StoredResponse),
}

#[derive(Clone, Debug)]
struct WindowEntry {
    fingerprint: u64,
    started_at: Instant,
    state: EntryState,
}

impl WindowEntry {
    fn has_body(&self) -> bool {
        matches!(&self.state, EntryState::Ran(stored) if stored.body.is_some())
    }
}

type WindowKey = (Option<Slot>, Arc<str>);

/// Deduplication window of all hash slots of one gate.
#[derive(Debug, Default)]
pub struct DedupWindow {
    settings: DedupSettings,
    entries: HashMap<WindowKey, WindowEntry>,
    /// Keys with their start times, in the order of eviction.
    eviction_order: VecDeque<(Instant, WindowKey)>,
    /// Keys whose response bodies are stored, in the order of the responses.
    with_body: VecDeque<WindowKey>,
    bytes: usize,
    /// Start time of the newest key that was removed for its age.
    newest_expired: Option<Instant>,
    /// Start time of the newest key that was evicted to free memory.
    newest_evicted: Option<Instant>,
    /// Fence with which each slot's window was handed over. A fence numbers the
    /// ownership terms of a slot.
    handed_over: HashMap<Slot, Fence>,
}

impl DedupWindow {
    /// Creates an empty window.
    pub fn new(settings: DedupSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Decides on a request, and records it as running if it is to run.
    pub fn begin(&mut self, req: &KeyedRequest, term: OwnershipTerm, now: Instant) -> Decision {
        self.remove_expired(now);
        let key = (req.slot, req.key.clone());
        if let Some(entry) = self.entries.get(&key) {
            return decide_duplicate(entry, req.fingerprint);
        }
        if let Err((outcome, reason)) = self.check_absent(req, term, now) {
            return Decision::Refuse(outcome, reason);
        }
        let entry = WindowEntry {
            fingerprint: req.fingerprint,
            started_at: now,
            state: EntryState::Running,
        };
        if self.insert(key, entry, now) {
            Decision::Run
        } else {
            Decision::Refuse(Outcome::NotRun, Reason::Overloaded)
        }
    }

    /// Records the outcome of a request that [`DedupWindow::begin`] let run.
    pub fn end(
        &mut self,
        slot: Option<Slot>,
        key: &Arc<str>,
        outcome: Outcome,
        response: StoredResponse,
    ) {
        let key = (slot, key.clone());
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let previous_bytes = entry_bytes(&key, &entry.state);
        match outcome {
            Outcome::Ran => entry.state = EntryState::Ran(response),
            Outcome::Unknown => entry.state = EntryState::Unknown,
            Outcome::NotRun => {
                // It may be retried: nothing of it ran.
                self.entries.remove(&key);
                self.bytes -= previous_bytes;
                return;
            }
        }
        self.bytes = self.bytes - previous_bytes + entry_bytes(&key, &entry.state);
        if entry.has_body() {
            self.with_body.push_back(key);
        }
    }

    /// Returns the entries of a slot, for its next owner.
    pub fn export(&self, slot: Slot, now: Instant) -> Vec<HandoverEntry> {
        let mut remaining_bytes = MAX_HANDOVER_RESPONSE_BYTES;
        let slot_entries = self.entries.iter().filter(|(key, _)| key.0 == Some(slot));
        slot_entries
            .map(|((_, key), entry)| HandoverEntry {
                key: key.clone(),
                fingerprint: entry.fingerprint,
                age: now.saturating_duration_since(entry.started_at),
                outcome: match entry.state {
                    EntryState::Ran(_) => Outcome::Ran,
                    EntryState::Running | EntryState::Unknown => Outcome::Unknown,
                },
                response: match &entry.state {
                    EntryState::Ran(stored) => Some(fit_response(stored, &mut remaining_bytes)),
                    EntryState::Running | EntryState::Unknown => None,
                },
            })
            .collect()
    }

    /// Imports the window of a slot from its previous owner.
    pub fn import(
        &mut self,
        slot: Slot,
        fence: Fence,
        entries: impl IntoIterator<Item = HandoverEntry>,
        now: Instant,
    ) {
        for received in entries {
            let state = match (received.outcome, received.response) {
                (Outcome::Ran, Some(stored)) => EntryState::Ran(stored),
                (Outcome::NotRun, _) => continue,
                _ => EntryState::Unknown,
            };
            let entry = WindowEntry {
                fingerprint: received.fingerprint,
                started_at: now.checked_sub(received.age).unwrap_or(now),
                state,
            };
            self.insert((Some(slot), received.key), entry, now);
        }
        let known_fence = self.handed_over.entry(slot).or_insert(fence);
        *known_fence = fence.max(*known_fence);
    }

    /// Returns the bytes in use.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Refuses a request whose key is absent unless the window is complete since
    /// the request was first sent.
    fn check_absent(
        &self,
        req: &KeyedRequest,
        term: OwnershipTerm,
        now: Instant,
    ) -> Result<(), (Outcome, Reason)> {
        let handed_over = match (req.slot, term.fence) {
            (Some(slot), Some(fence)) => self.handed_over.get(&slot) == Some(&fence),
            _ => false,
        };
        let incomplete_until = match term.origin {
            TermOrigin::Fresh => None,
            TermOrigin::HandedOver if handed_over => None,
            TermOrigin::HandedOver => {
                let waited = now.saturating_duration_since(term.since);
                if waited < self.settings.handover_wait {
                    return Err((Outcome::NotRun, Reason::Moving));
                }
                Some(term.since)
            }
            TermOrigin::Lost => Some(term.since),
        };
        let may_run = match req.first_sent {
            Some(first_sent) => {
                // The margin allows for a caller's clock that is ahead. It also
                // applies to keys that this gate itself removed.
                let newest_missing = incomplete_until
                    .max(self.newest_expired)
                    .max(self.newest_evicted);
                newest_missing.is_none_or(|newest_missing| {
                    first_sent > newest_missing + self.settings.clock_margin
                })
            }
            // The age is unknown, so the request may run only once every request
            // that was first sent within the window's time would be in the window.
            None => {
                let newest_missing = incomplete_until.max(self.newest_evicted);
                newest_missing
                    .is_none_or(|newest_missing| now >= newest_missing + self.settings.window)
            }
        };
        if may_run {
            Ok(())
        } else {
            Err((Outcome::Unknown, Reason::DuplicateUnknown))
        }
    }

    /// Inserts an entry; false when running requests leave no free memory.
    fn insert(&mut self, key: WindowKey, entry: WindowEntry, now: Instant) -> bool {
        let added_bytes = entry_bytes(&key, &entry.state);
        self.free_bytes(added_bytes, now);
        if entry.has_body() {
            self.with_body.push_back(key.clone());
        }
        if self.bytes + added_bytes > self.settings.max_bytes {
            return false;
        }
        self.bytes += added_bytes;
        self.eviction_order
            .push_back((entry.started_at, key.clone()));
        if let Some(replaced) = self.entries.insert(key.clone(), entry) {
            self.bytes -= entry_bytes(&key, &replaced.state);
        }
        true
    }

    /// Removes keys older than the window.
    fn remove_expired(&mut self, now: Instant) {
        let is_expired =
            |started_at: &Instant, window| now.saturating_duration_since(*started_at) >= window;
        for _ in 0..self.eviction_order.len() {
            match self.eviction_order.front() {
                Some((started_at, _)) if is_expired(started_at, self.settings.window) => {}
                _ => return,
            }
            if let Some(started_at) = self.evict_oldest() {
                self.newest_expired = self.newest_expired.max(Some(started_at));
            }
        }
    }

    /// Drops the oldest response bodies, and then evicts the oldest keys, until
    /// `added_bytes` are free. A key without a body still keeps its request from
    /// running again.
    fn free_bytes(&mut self, added_bytes: usize, now: Instant) {
        self.remove_expired(now);
        while self.bytes + added_bytes > self.settings.max_bytes && self.drop_oldest_body() {}
        for _ in 0..self.eviction_order.len() {
            if self.bytes + added_bytes <= self.settings.max_bytes {
                return;
            }
            if let Some(started_at) = self.evict_oldest() {
                self.newest_evicted = self.newest_evicted.max(Some(started_at));
            }
        }
    }

    /// Drops the oldest response body; false when none is stored.
    fn drop_oldest_body(&mut self) -> bool {
        let Some(key) = self.with_body.pop_front() else {
            return false;
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            let previous_bytes = entry_bytes(&key, &entry.state);
            if let EntryState::Ran(stored) = &mut entry.state {
                stored.body = None;
            }
            self.bytes = self.bytes - previous_bytes + entry_bytes(&key, &entry.state);
        }
        true
    }

    /// Evicts the oldest key unless its request is running; returns its start time.
    fn evict_oldest(&mut self) -> Option<Instant> {
        let (started_at, key) = self.eviction_order.pop_front()?;
        let entry = self.entries.get(&key)?;
        if entry.started_at != started_at {
            // The key was removed and inserted again, so a later element refers
            // to it.
            return None;
        }
        if entry.state == EntryState::Running {
            self.eviction_order.push_back((started_at, key));
            return None;
        }
        self.bytes -= entry_bytes(&key, &entry.state);
        self.entries.remove(&key);
        Some(started_at)
    }
}

fn decide_duplicate(entry: &WindowEntry, fingerprint: u64) -> Decision {
    if entry.fingerprint != fingerprint {
        return Decision::Refuse(Outcome::NotRun, Reason::KeyReused);
    }
    match &entry.state {
        // The duplicate did not start, but the first request may yet run: a caller
        // would take `not-run` for the outcome of both.
        EntryState::Running => Decision::Refuse(Outcome::Unknown, Reason::InProgress),
        EntryState::Unknown => Decision::Refuse(Outcome::Unknown, Reason::DuplicateUnknown),
        EntryState::Ran(stored) => Decision::Replay(stored.clone()),
    }
}

fn entry_bytes(key: &WindowKey, state: &EntryState) -> usize {
    let response_bytes = match state {
        EntryState::Ran(stored) => {
            stored.body.as_ref().map_or(0, Vec::len) + stored.content_type.len()
        }
        EntryState::Running | EntryState::Unknown => 0,
    };
    ENTRY_OVERHEAD_BYTES + key.1.len() + response_bytes
}

/// Returns the response, without its body if that exceeds the remaining bytes of
/// the handover.
fn fit_response(stored: &StoredResponse, remaining_bytes: &mut usize) -> StoredResponse {
    let len = stored.body.as_ref().map_or(0, Vec::len);
    let body = stored.body.clone().filter(|_| len <= *remaining_bytes);
    *remaining_bytes = remaining_bytes.saturating_sub(len);
    StoredResponse {
        body,
        ..stored.clone()
    }
}
