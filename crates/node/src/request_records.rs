//! Records of the requests of a gate: outcomes and the deduplication window.
//!
//! They live as long as the node. Locks are held for one lookup or change,
//! never across a wait.

use crate::request_id::RequestIdParts;
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

/// Records of the requests of a gate.
#[derive(Debug)]
pub(crate) struct RequestRecords {
    outcomes: Mutex<OutcomeTable>,
    dedup_window: Mutex<DedupWindow>,
}

impl RequestRecords {
    pub(crate) fn new(outcomes: OutcomeTableSettings, dedup_window: DedupSettings) -> Self {
        Self {
            outcomes: Mutex::new(OutcomeTable::new(outcomes)),
            dedup_window: Mutex::new(DedupWindow::new(dedup_window)),
        }
    }

    /// Decides whether a keyed request may run, see [`DedupWindow::begin`].
    pub(crate) fn begin_keyed(
        &self,
        keyed: &KeyedRequest,
        term: OwnershipTerm,
        now: Instant,
    ) -> Decision {
        self.dedup_window().begin(keyed, term, now)
    }

    /// Records the end of a keyed request that [`RequestRecords::begin_keyed`]
    /// admitted.
    pub(crate) fn end_keyed(
        &self,
        keyed: &KeyedRequest,
        outcome: Outcome,
        response: StoredResponse,
    ) {
        self.dedup_window()
            .end(keyed.slot, &keyed.key, outcome, response);
    }

    /// Records that a request is about to be sent, see [`OutcomeTable::begin`].
    pub(crate) fn begin(&self, id: &RequestId, now: Instant) -> Result<(), Reason> {
        self.outcomes().begin(id, now)
    }

    /// Records the outcome of a request.
    pub(crate) fn end(
        &self,
        id: &str,
        outcome: Outcome,
        reason: Option<Reason>,
        status: Option<u16>,
    ) {
        self.outcomes().end(id, outcome, reason, status);
    }

    /// Returns the outcome of a request, and seals its id if it has not
    /// started, so that it never will.
    ///
    /// Only the gate that the id names can decide that an unrecorded id has not
    /// started. `own` is this node's incarnation: an earlier one at the same
    /// address may have run requests of which this one has no record.
    pub(crate) fn query(
        &self,
        id: &RequestId,
        age: Option<Duration>,
        own: Incarnation,
        now: Instant,
    ) -> RecordedOutcome {
        let is_own = RequestIdParts::parse(id).is_some_and(|parts| parts.gate == own);
        let sent_at = age.and_then(|age| now.checked_sub(age));
        let sent_at = sent_at.filter(|_| is_own);
        let recorded = self.outcomes().query(id, sent_at, is_own, now);
        metrics::counter!("ibiscove_outcome_queries_total", "outcome" => recorded.outcome.as_str())
            .increment(1);
        recorded
    }

    /// Responds to a peer that lost a response of this gate.
    pub(crate) fn respond(
        &self,
        query: &OutcomeQuery,
        own: Incarnation,
        now: Instant,
    ) -> OutcomeAnswer {
        let age = u64::try_from(query.age_ms).ok().map(Duration::from_millis);
        let id = query.request_id.as_str().into();
        let recorded = self.query(&id, age, own, now);
        OutcomeAnswer {
            outcome: recorded.outcome.as_str().to_owned(),
            reason: recorded.reason.map_or("", Reason::as_str).to_owned(),
            status: recorded.status.unwrap_or(0) as i16,
        }
    }

    /// Imports the deduplication window that a slot's previous owner handed
    /// over.
    pub(crate) fn import(&self, handover: Handover, now: Instant) {
        let entries = handover.entries.into_iter().map(from_message);
        let (slot, fence) = (handover.slot as Slot, handover.fence as u64);
        self.dedup_window().import(slot, fence, entries, now);
    }

    fn outcomes(&self) -> MutexGuard<'_, OutcomeTable> {
        // A panic elsewhere leaves the tables consistent: each change is one
        // call.
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn dedup_window(&self) -> MutexGuard<'_, DedupWindow> {
        self.dedup_window
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the ownership term under which an admitted request runs.
pub(crate) fn ownership_term(admission: &Admission) -> OwnershipTerm {
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

/// Exports the deduplication window of a slot to its next owner.
#[derive(Clone, Debug)]
pub struct DedupHandoverHooks<C> {
    pub(crate) records: Arc<RequestRecords>,
    pub(crate) clock: C,
}

impl<C: Clock> MoveHooks for DedupHandoverHooks<C> {
    fn export_dedup_window(&self, _service: &str, slot: Slot) -> Vec<DedupEntry> {
        let entries = self.records.dedup_window().export(slot, self.clock.now());
        entries.into_iter().map(to_message).collect()
    }
}

fn to_message(entry: HandoverEntry) -> DedupEntry {
    let response = entry.response.unwrap_or_default();
    DedupEntry {
        idempotency_key: entry.key.to_string(),
        fingerprint: entry.fingerprint as i64,
        age_ms: entry.age.as_millis() as i64,
        outcome: entry.outcome.as_str().to_owned(),
        status: response.status as i16,
        answer: response.body,
        content_type: response.content_type,
    }
}

fn from_message(entry: DedupEntry) -> HandoverEntry {
    // An outcome that this version does not know proves nothing.
    let outcome = Outcome::parse(&entry.outcome).unwrap_or(Outcome::Unknown);
    let response = StoredResponse {
        status: entry.status as u16,
        content_type: entry.content_type,
        body: entry.answer,
    };
    HandoverEntry {
        key: entry.idempotency_key.into(),
        fingerprint: entry.fingerprint as u64,
        age: Duration::from_millis(entry.age_ms.max(0) as u64),
        outcome,
        response: (outcome == Outcome::Ran).then_some(response),
    }
}
