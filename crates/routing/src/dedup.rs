//! The deduplication window: keyed requests that a gate has let start.
//!
//! While a key is in the window its request never starts again: a repeat gets
//! the first answer, or is told that the first is running or lost. A key that
//! is absent may run only when the window is complete for the time of its
//! first sending, which a takeover and a full window break; the rules for
//! that stand in `docs/requests.md`. Memory is bounded in bytes, age in time.

mod types;

pub use types::{
    Decision, DedupSettings, HandoverEntry, KeyedRequest, OwnershipTerm, StoredResponse, TermOrigin,
};

use ibiscove_types::{Fence, Outcome, Reason, Slot};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

/// Bytes that an entry takes beside its key and its answer.
const ENTRY_OVERHEAD: usize = 192;
/// Bytes of answers in one handover, so that it fits a peer message.
const MAX_HANDOVER_ANSWERS: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Running,
    Unknown,
    Ran(StoredResponse),
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    began: Instant,
    state: State,
}

impl Entry {
    fn has_body(&self) -> bool {
        matches!(&self.state, State::Ran(stored) if stored.body.is_some())
    }
}

type WindowKey = (Option<Slot>, Arc<str>);

/// The window of all slots of one gate.
#[derive(Debug, Default)]
pub struct DedupWindow {
    settings: DedupSettings,
    entries: HashMap<WindowKey, Entry>,
    /// Keys by the time they came in.
    order: VecDeque<(Instant, WindowKey)>,
    /// Keys whose answers are kept, by the time the answers came.
    answered: VecDeque<WindowKey>,
    bytes: usize,
    /// When the youngest key came that was dropped for its age.
    expired: Option<Instant>,
    /// When the youngest key came that was dropped for want of room.
    crowded_out: Option<Instant>,
    /// The fence with which each slot's window was handed over.
    handed: HashMap<Slot, Fence>,
}

impl DedupWindow {
    /// An empty window.
    pub fn new(settings: DedupSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Decides on a keyed request, and notes it when it is to run.
    pub fn begin(&mut self, req: &KeyedRequest, term: OwnershipTerm, now: Instant) -> Decision {
        self.trim(now);
        let key = (req.slot, req.key.clone());
        if let Some(entry) = self.entries.get(&key) {
            return repeat(entry, req.fingerprint);
        }
        if let Err((outcome, reason)) = self.check_unseen(req, term, now) {
            return Decision::Refuse(outcome, reason);
        }
        let entry = Entry {
            fingerprint: req.fingerprint,
            began: now,
            state: State::Running,
        };
        if self.insert(key, entry, now) {
            Decision::Run
        } else {
            Decision::Refuse(Outcome::NotRun, Reason::Overloaded)
        }
    }

    /// Notes what became of a request that was let run.
    pub fn end(
        &mut self,
        slot: Option<Slot>,
        key: &Arc<str>,
        outcome: Outcome,
        answer: StoredResponse,
    ) {
        let key = (slot, key.clone());
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let before = size(&key, &entry.state);
        match outcome {
            Outcome::Ran => entry.state = State::Ran(answer),
            Outcome::Unknown => entry.state = State::Unknown,
            Outcome::NotRun => {
                // It may be tried again: nothing of it ran.
                self.entries.remove(&key);
                self.bytes -= before;
                return;
            }
        }
        self.bytes = self.bytes - before + size(&key, &entry.state);
        if entry.has_body() {
            self.answered.push_back(key);
        }
    }

    /// The entries of a slot, for its next owner.
    pub fn export(&self, slot: Slot, now: Instant) -> Vec<HandoverEntry> {
        let mut room = MAX_HANDOVER_ANSWERS;
        let of_slot = self.entries.iter().filter(|(key, _)| key.0 == Some(slot));
        of_slot
            .map(|((_, key), entry)| HandoverEntry {
                key: key.clone(),
                fingerprint: entry.fingerprint,
                age: now.saturating_duration_since(entry.began),
                outcome: match entry.state {
                    State::Ran(_) => Outcome::Ran,
                    State::Running | State::Unknown => Outcome::Unknown,
                },
                response: match &entry.state {
                    State::Ran(stored) => Some(fit(stored, &mut room)),
                    State::Running | State::Unknown => None,
                },
            })
            .collect()
    }

    /// Takes the window of a slot from the owner before.
    pub fn import(
        &mut self,
        slot: Slot,
        fence: Fence,
        entries: impl IntoIterator<Item = HandoverEntry>,
        now: Instant,
    ) {
        for handed in entries {
            let state = match (handed.outcome, handed.response) {
                (Outcome::Ran, Some(stored)) => State::Ran(stored),
                (Outcome::NotRun, _) => continue,
                _ => State::Unknown,
            };
            let entry = Entry {
                fingerprint: handed.fingerprint,
                began: now.checked_sub(handed.age).unwrap_or(now),
                state,
            };
            self.insert((Some(slot), handed.key), entry, now);
        }
        let known = self.handed.entry(slot).or_insert(fence);
        *known = fence.max(*known);
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Decides on a key that is absent.
    fn check_unseen(
        &self,
        req: &KeyedRequest,
        term: OwnershipTerm,
        now: Instant,
    ) -> Result<(), (Outcome, Reason)> {
        let handed = match (req.slot, term.fence) {
            (Some(slot), Some(fence)) => self.handed.get(&slot) == Some(&fence),
            _ => false,
        };
        let blind_until = match term.origin {
            TermOrigin::Fresh => None,
            TermOrigin::HandedOver if handed => None,
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
            Some(sent) => {
                // The margin covers a caller's clock that runs ahead. What this
                // gate itself dropped needs it no less.
                let gap = blind_until.max(self.expired).max(self.crowded_out);
                gap.is_none_or(|gap| sent > gap + self.settings.clock_margin)
            }
            // Nothing tells its age, so it is young enough only once every
            // repeat within the window's promise would be known here.
            None => {
                let gap = blind_until.max(self.crowded_out);
                gap.is_none_or(|gap| now >= gap + self.settings.window)
            }
        };
        if may_run {
            Ok(())
        } else {
            Err((Outcome::Unknown, Reason::DuplicateUnknown))
        }
    }

    /// Adds an entry; false when running requests leave no room.
    fn insert(&mut self, key: WindowKey, entry: Entry, now: Instant) -> bool {
        let added = size(&key, &entry.state);
        self.make_room(added, now);
        if entry.has_body() {
            self.answered.push_back(key.clone());
        }
        if self.bytes + added > self.settings.max_bytes {
            return false;
        }
        self.bytes += added;
        self.order.push_back((entry.began, key.clone()));
        if let Some(old) = self.entries.insert(key.clone(), entry) {
            self.bytes -= size(&key, &old.state);
        }
        true
    }

    /// Drops keys past their age.
    fn trim(&mut self, now: Instant) {
        let is_old = |began: &Instant, window| now.saturating_duration_since(*began) >= window;
        for _ in 0..self.order.len() {
            match self.order.front() {
                Some((began, _)) if is_old(began, self.settings.window) => {}
                _ => return,
            }
            if let Some(began) = self.drop_oldest() {
                self.expired = self.expired.max(Some(began));
            }
        }
    }

    /// Drops the oldest answers, and then the oldest keys, until there is room
    /// for `added` bytes. Without its answer a key still keeps its request from
    /// running again.
    fn make_room(&mut self, added: usize, now: Instant) {
        self.trim(now);
        while self.bytes + added > self.settings.max_bytes && self.drop_oldest_answer() {}
        for _ in 0..self.order.len() {
            if self.bytes + added <= self.settings.max_bytes {
                return;
            }
            if let Some(began) = self.drop_oldest() {
                self.crowded_out = self.crowded_out.max(Some(began));
            }
        }
    }

    /// Drops the oldest answer; false when none is kept.
    fn drop_oldest_answer(&mut self) -> bool {
        let Some(key) = self.answered.pop_front() else {
            return false;
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            let before = size(&key, &entry.state);
            if let State::Ran(stored) = &mut entry.state {
                stored.body = None;
            }
            self.bytes = self.bytes - before + size(&key, &entry.state);
        }
        true
    }

    /// Drops the oldest key that is not running; gives when it came.
    fn drop_oldest(&mut self) -> Option<Instant> {
        let (began, key) = self.order.pop_front()?;
        let entry = self.entries.get(&key)?;
        if entry.began != began {
            // The key was removed and came again: a later place stands for it.
            return None;
        }
        if entry.state == State::Running {
            self.order.push_back((began, key));
            return None;
        }
        self.bytes -= size(&key, &entry.state);
        self.entries.remove(&key);
        Some(began)
    }
}

fn repeat(entry: &Entry, fingerprint: u64) -> Decision {
    if entry.fingerprint != fingerprint {
        return Decision::Refuse(Outcome::NotRun, Reason::KeyReused);
    }
    match &entry.state {
        // The repeat did not start, but its first sending may yet run: told as
        // `not-run` a caller would take it for the fate of the booking.
        State::Running => Decision::Refuse(Outcome::Unknown, Reason::InProgress),
        State::Unknown => Decision::Refuse(Outcome::Unknown, Reason::DuplicateUnknown),
        State::Ran(stored) => Decision::Replay(stored.clone()),
    }
}

fn size(key: &WindowKey, state: &State) -> usize {
    let answer = match state {
        State::Ran(stored) => stored.body.as_ref().map_or(0, Vec::len) + stored.content_type.len(),
        State::Running | State::Unknown => 0,
    };
    ENTRY_OVERHEAD + key.1.len() + answer
}

/// The answer, without its body when the handover has no room for it.
fn fit(stored: &StoredResponse, room: &mut usize) -> StoredResponse {
    let len = stored.body.as_ref().map_or(0, Vec::len);
    let body = stored.body.clone().filter(|_| len <= *room);
    *room = room.saturating_sub(len);
    StoredResponse {
        body,
        ..stored.clone()
    }
}
