//! Outcome table: the outcomes of the non-idempotent requests that reached this
//! gate, with tombstones for requests that must never start.
//!
//! A gate is the role of a node that admits requests to its own upstream; an
//! entry is the role that takes them from callers. An id is inserted just before
//! the first byte of its request may go to the upstream. An id that is absent,
//! and was sent after every evicted id had been inserted, has therefore not
//! started. [`OutcomeTable::query`] can seal it, which inserts a tombstone, and
//! [`OutcomeTable::begin`] then refuses it. Only after this may an entry that lost
//! a response report a request as `not-run`.

use ibiscove_types::{Outcome, Reason, RequestId};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Bounds of the table and retention times.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeTableSettings {
    /// Maximum number of ids.
    pub capacity: usize,
    /// How long a finished request is kept.
    pub retention: Duration,
    /// How long a sealed id is refused. Longer than TCP's longest retransmission,
    /// since it must outlast every request still in transit.
    pub seal_retention: Duration,
    /// Maximum transit time of a query for an id.
    pub transit_margin: Duration,
}

impl Default for OutcomeTableSettings {
    fn default() -> Self {
        Self {
            capacity: 64 << 10,
            retention: Duration::from_secs(300),
            seal_retention: Duration::from_secs(1_200),
            transit_margin: Duration::from_secs(2),
        }
    }
}

/// Outcome of a request, as far as the table has recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it did not run or why its outcome is unknown.
    pub reason: Option<Reason>,
    /// HTTP status of the upstream's response, if there was one.
    pub status: Option<u16>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Running,
    Ended(Outcome, Option<Reason>, Option<u16>),
    Sealed,
}

#[derive(Debug)]
struct TableEntry {
    state: RequestState,
    inserted_at: Instant,
}

/// Outcomes by request id. Each gate has one table.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    settings: OutcomeTableSettings,
    entries: HashMap<RequestId, TableEntry>,
    /// Ids in the order in which they are considered for eviction.
    order: VecDeque<RequestId>,
    /// Insertion time of the newest evicted id.
    newest_evicted: Option<Instant>,
}

impl OutcomeTable {
    /// Creates an empty table.
    pub fn new(settings: OutcomeTableSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a request is about to start; an error means that it must not.
    pub fn begin(&mut self, id: &RequestId, now: Instant) -> Result<(), Reason> {
        match self.entries.get(id).map(|entry| entry.state) {
            Some(RequestState::Sealed) => Err(Reason::Sealed),
            Some(_) => Err(Reason::InProgress),
            None if self.insert(id, RequestState::Running, now) => Ok(()),
            None => Err(Reason::Overloaded),
        }
    }

    /// Records the outcome of a request that [`OutcomeTable::begin`] admitted.
    pub fn end(&mut self, id: &str, outcome: Outcome, reason: Option<Reason>, status: Option<u16>) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.state = RequestState::Ended(outcome, reason, status);
        }
    }

    /// Returns the outcome of a request; with `seal`, a request that has not
    /// started is also prevented from ever starting.
    ///
    /// `sent` is when the entry first sent the request, if known: without it an
    /// absent id may have been evicted, and its outcome is unknown.
    pub fn query(
        &mut self,
        id: &RequestId,
        sent: Option<Instant>,
        seal: bool,
        now: Instant,
    ) -> RecordedOutcome {
        let state = self.entries.get(id).map(|entry| entry.state);
        match state {
            Some(RequestState::Running) => unknown(Reason::InProgress),
            Some(RequestState::Ended(outcome, reason, status)) => RecordedOutcome {
                outcome,
                reason,
                status,
            },
            Some(RequestState::Sealed) => sealed(),
            None => {
                self.trim(now);
                let is_complete = match (self.newest_evicted, sent) {
                    (_, None) => false,
                    (None, Some(_)) => true,
                    // The query carries the age at its departure, so `sent` is late
                    // by the query's transit time.
                    (Some(newest_evicted), Some(sent)) => {
                        newest_evicted + self.settings.transit_margin < sent
                    }
                };
                if is_complete && seal && self.insert(id, RequestState::Sealed, now) {
                    return sealed();
                }
                unknown(Reason::NoRecord)
            }
        }
    }

    /// Returns the number of ids in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Inserts an id; false when the table is full of ids that cannot be evicted.
    fn insert(&mut self, id: &RequestId, state: RequestState, now: Instant) -> bool {
        self.trim(now);
        if self.entries.len() >= self.settings.capacity {
            return false;
        }
        let entry = TableEntry {
            state,
            inserted_at: now,
        };
        self.entries.insert(id.clone(), entry);
        self.order.push_back(id.clone());
        true
    }

    /// Evicts expired ids, and finished requests while the table is full.
    fn trim(&mut self, now: Instant) {
        for _ in 0..self.order.len() {
            let is_full = self.entries.len() >= self.settings.capacity;
            let Some(id) = self.order.front() else { return };
            let Some(entry) = self.entries.get(id) else {
                self.order.pop_front();
                continue;
            };
            let age = now.saturating_duration_since(entry.inserted_at);
            let (is_due, is_evictable) = match entry.state {
                RequestState::Running => (true, false),
                RequestState::Ended(..) => (age >= self.settings.retention, true),
                RequestState::Sealed => {
                    let is_expired = age >= self.settings.seal_retention;
                    (is_expired || age >= self.settings.retention, is_expired)
                }
            };
            if !is_due && !is_full {
                return;
            }
            let id = self.order.pop_front().expect("the front was read above");
            if is_evictable {
                let inserted_at = entry.inserted_at;
                self.newest_evicted = self.newest_evicted.max(Some(inserted_at));
                self.entries.remove(&id);
            } else {
                // It cannot be evicted and must not block eviction of later ids.
                self.order.push_back(id);
            }
        }
    }
}

fn unknown(reason: Reason) -> RecordedOutcome {
    RecordedOutcome {
        outcome: Outcome::Unknown,
        reason: Some(reason),
        status: None,
    }
}

fn sealed() -> RecordedOutcome {
    RecordedOutcome {
        outcome: Outcome::NotRun,
        reason: Some(Reason::Sealed),
        status: None,
    }
}
