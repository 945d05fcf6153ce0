//! What became of each non-idempotent request that reached this gate.
//!
//! An id is in the table from the moment just before its first byte may go to
//! the upstream. An id that is absent, and was sent after everything that the
//! table has forgotten, has therefore not started; [`OutcomeTable::query`] can seal
//! it, after which [`OutcomeTable::begin`] refuses it. This is the only way in
//! which an entry that lost an answer may call a request `not-run`.

use ibiscove_types::{Outcome, Reason, RequestId};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How much the table keeps.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeTableSettings {
    /// Ids kept at most.
    pub capacity: usize,
    /// How long an ended request is remembered.
    pub retention: Duration,
    /// How long a sealed id is refused. It must outlast any request that is
    /// still on its way, so it is above TCP's longest retransmission.
    pub seal_retention: Duration,
    /// How long a question about an id may be on its way.
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

/// What the table can tell of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// Whether it ran.
    pub outcome: Outcome,
    /// Why, when it did not run or that cannot be told.
    pub reason: Option<Reason>,
    /// The HTTP status of the upstream's answer, when there was one.
    pub status: Option<u16>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Running,
    Ended(Outcome, Option<Reason>, Option<u16>),
    Sealed,
}

#[derive(Debug)]
struct Entry {
    progress: Progress,
    since: Instant,
}

/// The table. One per gate.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    settings: OutcomeTableSettings,
    entries: HashMap<RequestId, Entry>,
    /// Ids by the time they came in.
    order: VecDeque<RequestId>,
    /// When the youngest forgotten id came in.
    forgotten: Option<Instant>,
}

impl OutcomeTable {
    /// An empty table.
    pub fn new(settings: OutcomeTableSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that a request is about to start; an error says that it must not.
    pub fn begin(&mut self, id: &RequestId, now: Instant) -> Result<(), Reason> {
        match self.entries.get(id).map(|entry| entry.progress) {
            Some(Progress::Sealed) => Err(Reason::Sealed),
            Some(_) => Err(Reason::InProgress),
            None if self.insert(id, Progress::Running, now) => Ok(()),
            None => Err(Reason::Overloaded),
        }
    }

    /// Notes what became of a request that [`OutcomeTable::begin`] let start.
    pub fn end(&mut self, id: &str, outcome: Outcome, reason: Option<Reason>, status: Option<u16>) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.progress = Progress::Ended(outcome, reason, status);
        }
    }

    /// Tells what became of a request; with `seal`, also makes sure that it
    /// never starts if it has not.
    ///
    /// `sent` is when its entry first sent it, if that is known: without it an
    /// absent id may be a forgotten one, and nothing is certain.
    pub fn query(
        &mut self,
        id: &RequestId,
        sent: Option<Instant>,
        seal: bool,
        now: Instant,
    ) -> RecordedOutcome {
        let progress = self.entries.get(id).map(|entry| entry.progress);
        match progress {
            Some(Progress::Running) => unknown(Reason::InProgress),
            Some(Progress::Ended(outcome, reason, status)) => RecordedOutcome {
                outcome,
                reason,
                status,
            },
            Some(Progress::Sealed) => sealed(),
            None => {
                self.trim(now);
                let complete = match (self.forgotten, sent) {
                    (_, None) => false,
                    (None, Some(_)) => true,
                    // The age was told when the question left, so `sent` is late by
                    // as long as the question took.
                    (Some(forgotten), Some(sent)) => {
                        forgotten + self.settings.transit_margin < sent
                    }
                };
                if complete && seal && self.insert(id, Progress::Sealed, now) {
                    return sealed();
                }
                unknown(Reason::NoRecord)
            }
        }
    }

    /// Ids in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table holds no id.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an id; false when the table is full of what must not be forgotten.
    fn insert(&mut self, id: &RequestId, progress: Progress, now: Instant) -> bool {
        self.trim(now);
        if self.entries.len() >= self.settings.capacity {
            return false;
        }
        let entry = Entry {
            progress,
            since: now,
        };
        self.entries.insert(id.clone(), entry);
        self.order.push_back(id.clone());
        true
    }

    /// Forgets what is past its time, and ended requests when the table is full.
    fn trim(&mut self, now: Instant) {
        for _ in 0..self.order.len() {
            let full = self.entries.len() >= self.settings.capacity;
            let Some(id) = self.order.front() else { return };
            let Some(entry) = self.entries.get(id) else {
                self.order.pop_front();
                continue;
            };
            let age = now.saturating_duration_since(entry.since);
            let (past, may_go) = match entry.progress {
                Progress::Running => (true, false),
                Progress::Ended(..) => (age >= self.settings.retention, true),
                Progress::Sealed => {
                    let past = age >= self.settings.seal_retention;
                    (past || age >= self.settings.retention, past)
                }
            };
            if !past && !full {
                return;
            }
            let id = self.order.pop_front().expect("the front was just seen");
            if may_go {
                let since = entry.since;
                self.forgotten = self.forgotten.max(Some(since));
                self.entries.remove(&id);
            } else {
                // It must stay, and must not retention what came after it.
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
