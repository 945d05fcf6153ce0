//! A request that a gate has sent to the upstream, until its outcome is
//! recorded.

use crate::exchange::ResponseBodyObserver;
use crate::limiter::Permit;
use crate::request_records::RequestRecords;
use ibiscove_ownership::Admission;
use ibiscove_routing::dedup::{KeyedRequest, StoredResponse};
use ibiscove_routing::limit::Completion;
use ibiscove_types::{Fence, Outcome, Reason, RequestId};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest response that is stored for duplicates, in bytes.
const MAX_STORED_RESPONSE_BYTES: usize = 4 << 10;

/// A request that may have reached the upstream.
///
/// Dropping it before its end is recorded leaves its outcome unknown: whatever
/// interrupts a request, no outcome is recorded that is not certain.
pub(crate) struct SentRequest {
    records: Arc<RequestRecords>,
    /// None for idempotent requests, whose outcomes are not recorded.
    id: Option<RequestId>,
    keyed: Option<KeyedRequest>,
    /// The response body so far; none once it is too long to store.
    body: Option<Vec<u8>>,
    stored: StoredResponse,
    is_done: bool,
    fence: Option<Fence>,
    /// Resources held at the upstream; none once the response is complete.
    held: Option<HeldResources>,
    sent_at: Instant,
}

/// Resources that a request holds while it is at the upstream.
struct HeldResources {
    permit: Permit,
    _admission: Admission,
}

impl SentRequest {
    pub(crate) fn new(
        records: Arc<RequestRecords>,
        id: Option<RequestId>,
        keyed: Option<KeyedRequest>,
        admission: Admission,
        permit: Permit,
        sent_at: Instant,
    ) -> Self {
        Self {
            records,
            id,
            keyed,
            body: Some(Vec::new()),
            stored: StoredResponse::default(),
            is_done: false,
            fence: admission.fence,
            held: Some(HeldResources {
                permit,
                _admission: admission,
            }),
            sent_at,
        }
    }

    /// Returns the fence to send to the upstream; none for a shared service.
    pub(crate) fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Records the head of the upstream's response.
    pub(crate) fn record_response(&mut self, status: u16, content_type: &str, now: Instant) {
        let elapsed = now.saturating_duration_since(self.sent_at);
        metrics::histogram!("ibiscove_upstream_seconds").record(elapsed);
        let completion = match status {
            429 | 503 => Completion::Overloaded,
            _ => Completion::Responded,
        };
        self.record_completion(completion, elapsed, now);
        self.stored.status = status;
        self.stored.content_type = content_type.to_owned();
        self.end(Outcome::Ran, None, Some(status));
    }

    /// Records that the upstream did not respond.
    pub(crate) fn record_failure(mut self, outcome: Outcome, reason: Reason, now: Instant) {
        let elapsed = now.saturating_duration_since(self.sent_at);
        match reason {
            Reason::UpstreamLost | Reason::UpstreamUnreachable => {
                self.record_completion(Completion::Failed, elapsed, now);
            }
            Reason::DeadlineExceeded => self.record_completion(Completion::TimedOut, elapsed, now),
            _ => {}
        }
        self.end(outcome, Some(reason), None);
    }

    /// Records the completion for the concurrency limit.
    fn record_completion(&self, completion: Completion, elapsed: Duration, now: Instant) {
        if let Some(held) = &self.held {
            held.permit.record(completion, elapsed, now);
        }
    }

    fn end(&mut self, outcome: Outcome, reason: Option<Reason>, status: Option<u16>) {
        self.is_done = true;
        if let Some(id) = &self.id {
            self.records.end(id, outcome, reason, status);
        }
        if let Some(keyed) = &self.keyed {
            self.records.end_keyed(keyed, outcome, self.stored.clone());
        }
    }
}

impl ResponseBodyObserver for SentRequest {
    fn observe(&mut self, bytes: &[u8]) {
        if self.keyed.is_none() {
            return;
        }
        let fits = |buffered: &Vec<u8>| buffered.len() + bytes.len() <= MAX_STORED_RESPONSE_BYTES;
        self.body = self.body.take().filter(fits).map(|mut buffered| {
            buffered.extend_from_slice(bytes);
            buffered
        });
    }

    fn complete(&mut self) {
        // The upstream has free capacity from here on, however slowly the
        // caller reads.
        self.held = None;
        if let Some(keyed) = &self.keyed
            && let Some(body) = self.body.take()
        {
            self.stored.body = Some(body);
            self.records
                .end_keyed(keyed, Outcome::Ran, self.stored.clone());
        }
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        if !self.is_done {
            self.end(Outcome::Unknown, Some(Reason::UpstreamLost), None);
        }
    }
}
