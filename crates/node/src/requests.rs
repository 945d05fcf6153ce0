//! What a gate knows of requests: outcomes and the deduplication window.
//!
//! It lives as long as the node. Locks are held for one look-up or change,
//! never across a wait.

use crate::request_id::IdParts;
use ibiscove_ownership::{Acquisition, Admission, MoveHooks};
use ibiscove_routing::dedup::{
    Decision, DedupSettings, DedupWindow, HandoverEntry, KeyedRequest, OwnershipTerm,
    StoredResponse, TermOrigin,
};
use ibiscove_routing::outcomes::{OutcomeTable, OutcomeTableSettings, RecordedOutcome};
use ibiscove_types::{Clock, Incarnation, Outcome, Reason, RequestId, Slot};
use ibiscove_wire::messages::{DedupEntry, Handover, OutcomeAnswer, OutcomeQuery};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a gate knows of requests.
#[derive(Debug)]
pub(crate) struct Requests {
    outcomes: Mutex<OutcomeTable>,
    window: Mutex<DedupWindow>,
}

impl Requests {
    pub(crate) fn new(outcomes: OutcomeTableSettings, window: DedupSettings) -> Self {
        Self {
            outcomes: Mutex::new(OutcomeTable::new(outcomes)),
            window: Mutex::new(DedupWindow::new(window)),
        }
    }

    /// Decides on a keyed request, see [`DedupWindow::begin`].
    pub(crate) fn begin_keyed(
        &self,
        keyed: &KeyedRequest,
        term: OwnershipTerm,
        now: Instant,
    ) -> Decision {
        self.window().begin(keyed, term, now)
    }

    /// Ends a keyed request that [`Requests::begin_keyed`] let run.
    pub(crate) fn end_keyed(&self, keyed: &KeyedRequest, outcome: Outcome, answer: StoredResponse) {
        self.window().end(keyed.slot, &keyed.key, outcome, answer);
    }

    /// Notes that a request is about to start, see [`OutcomeTable::begin`].
    pub(crate) fn begin(&self, id: &RequestId, now: Instant) -> Result<(), Reason> {
        self.outcomes().begin(id, now)
    }

    /// Notes what became of a request.
    pub(crate) fn end(
        &self,
        id: &str,
        outcome: Outcome,
        reason: Option<Reason>,
        status: Option<u16>,
    ) {
        self.outcomes().end(id, outcome, reason, status);
    }

    /// Tells what became of a request, and seals it if it has not started.
    ///
    /// Only the gate that the id names can know that an absent id has not
    /// started. `own` is this node's incarnation: an earlier one at the same
    /// address may have run what this one has never heard of.
    pub(crate) fn ask(
        &self,
        id: &RequestId,
        age: Option<Duration>,
        own: Incarnation,
        now: Instant,
    ) -> RecordedOutcome {
        let is_ours = IdParts::parse(id).is_some_and(|parts| parts.gate == own);
        let sent = age.and_then(|age| now.checked_sub(age));
        let sent = sent.filter(|_| is_ours);
        let known = self.outcomes().query(id, sent, is_ours, now);
        metrics::counter!("ibiscove_outcome_queries_total", "outcome" => known.outcome.as_str())
            .increment(1);
        known
    }

    /// Answers a peer that lost an answer of this gate.
    pub(crate) fn answer(
        &self,
        query: &OutcomeQuery,
        own: Incarnation,
        now: Instant,
    ) -> OutcomeAnswer {
        let age = u64::try_from(query.age_ms).ok().map(Duration::from_millis);
        let id = query.request_id.as_str().into();
        let known = self.ask(&id, age, own, now);
        OutcomeAnswer {
            outcome: known.outcome.as_str().to_owned(),
            reason: known.reason.map_or("", Reason::as_str).to_owned(),
            status: known.status.unwrap_or(0) as i16,
        }
    }

    /// Takes the window that a slot's owner before handed over.
    pub(crate) fn import(&self, handover: Handover, now: Instant) {
        let entries = handover.entries.into_iter().map(from_message);
        let (slot, fence) = (handover.slot as Slot, handover.fence as u64);
        self.window().import(slot, fence, entries, now);
    }

    fn outcomes(&self) -> MutexGuard<'_, OutcomeTable> {
        // A panic elsewhere leaves the tables whole: each change is one call.
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn window(&self) -> MutexGuard<'_, DedupWindow> {
        self.window.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The term under which an admitted request runs.
pub(crate) fn term(admission: &Admission) -> OwnershipTerm {
    let (acquired, since) = admission.acquired;
    OwnershipTerm {
        fence: admission.fence,
        origin: match acquired {
            Acquisition::Claimed => TermOrigin::Fresh,
            Acquisition::Moved => TermOrigin::HandedOver,
            Acquisition::Takeover => TermOrigin::Lost,
        },
        since,
    }
}

/// Hands the deduplication window of a slot to its next owner.
#[derive(Clone, Debug)]
pub struct DedupHandoverHooks<C> {
    pub(crate) requests: Arc<Requests>,
    pub(crate) clock: C,
}

impl<C: Clock> MoveHooks for DedupHandoverHooks<C> {
    fn export_dedup_window(&self, _service: &str, slot: Slot) -> Vec<DedupEntry> {
        let entries = self.requests.window().export(slot, self.clock.now());
        entries.into_iter().map(to_message).collect()
    }
}

fn to_message(entry: HandoverEntry) -> DedupEntry {
    let answer = entry.response.unwrap_or_default();
    DedupEntry {
        idempotency_key: entry.key.to_string(),
        fingerprint: entry.fingerprint as i64,
        age_ms: entry.age.as_millis() as i64,
        outcome: entry.outcome.as_str().to_owned(),
        status: answer.status as i16,
        answer: answer.body,
        content_type: answer.content_type,
    }
}

fn from_message(entry: DedupEntry) -> HandoverEntry {
    // A word that this version does not know is no proof of anything.
    let outcome = Outcome::parse(&entry.outcome).unwrap_or(Outcome::Unknown);
    let answer = StoredResponse {
        status: entry.status as u16,
        content_type: entry.content_type,
        body: entry.answer,
    };
    HandoverEntry {
        key: entry.idempotency_key.into(),
        fingerprint: entry.fingerprint as u64,
        age: Duration::from_millis(entry.age_ms.max(0) as u64),
        outcome,
        response: (outcome == Outcome::Ran).then_some(answer),
    }
}
