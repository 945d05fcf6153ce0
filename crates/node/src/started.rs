//! A request that a gate let start, until its end is known.

use crate::exchange::Keep;
use crate::limiter::Permit;
use crate::requests::Requests;
use ibiscove_ownership::Admission;
use ibiscove_routing::dedup::{KeyedRequest, StoredResponse};
use ibiscove_routing::limit::Completion;
use ibiscove_types::{Fence, Outcome, Reason, RequestId};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest answer that is kept for repeats, in bytes.
const MAX_KEPT_ANSWER: usize = 4 << 10;

/// A request that may have reached the upstream.
///
/// Dropping it before its end was told leaves its outcome unknown: whatever
/// cuts a request short, nothing ever claims more than is certain.
pub(crate) struct Started {
    requests: Arc<Requests>,
    /// None for idempotent work, of which no record is kept.
    id: Option<RequestId>,
    keyed: Option<KeyedRequest>,
    /// The answer so far; none once it is too long to keep.
    answer: Option<Vec<u8>>,
    stored: StoredResponse,
    ended: bool,
    fence: Option<Fence>,
    /// What the request holds at the upstream; none once its answer is whole.
    held: Option<Held>,
    began: Instant,
}

/// What a request holds while it is at the upstream.
struct Held {
    permit: Permit,
    _admission: Admission,
}

impl Started {
    pub(crate) fn new(
        requests: Arc<Requests>,
        id: Option<RequestId>,
        keyed: Option<KeyedRequest>,
        admission: Admission,
        permit: Permit,
        began: Instant,
    ) -> Self {
        Self {
            requests,
            id,
            keyed,
            answer: Some(Vec::new()),
            stored: StoredResponse::default(),
            ended: false,
            fence: admission.fence,
            held: Some(Held {
                permit,
                _admission: admission,
            }),
            began,
        }
    }

    /// The fence to pass to the upstream; none for a shared service.
    pub(crate) fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// The upstream answered with this head.
    pub(crate) fn ran(&mut self, status: u16, content_type: &str, now: Instant) {
        let took = now.saturating_duration_since(self.began);
        metrics::histogram!("ibiscove_upstream_seconds").record(took);
        let ended = match status {
            429 | 503 => Completion::Overloaded,
            _ => Completion::Responded,
        };
        self.note(ended, took, now);
        self.stored.status = status;
        self.stored.content_type = content_type.to_owned();
        self.end(Outcome::Ran, None, Some(status));
    }

    /// The upstream gave no answer.
    pub(crate) fn failed(mut self, outcome: Outcome, reason: Reason, now: Instant) {
        let took = now.saturating_duration_since(self.began);
        match reason {
            Reason::UpstreamLost | Reason::UpstreamUnreachable => {
                self.note(Completion::Failed, took, now);
            }
            Reason::DeadlineExceeded => self.note(Completion::TimedOut, took, now),
            _ => {}
        }
        self.end(outcome, Some(reason), None);
    }

    /// Takes the end at the upstream for its limit.
    fn note(&self, ended: Completion, took: Duration, now: Instant) {
        if let Some(held) = &self.held {
            held.permit.note(ended, took, now);
        }
    }

    fn end(&mut self, outcome: Outcome, reason: Option<Reason>, status: Option<u16>) {
        self.ended = true;
        if let Some(id) = &self.id {
            self.requests.end(id, outcome, reason, status);
        }
        if let Some(keyed) = &self.keyed {
            self.requests.end_keyed(keyed, outcome, self.stored.clone());
        }
    }
}

impl Keep for Started {
    fn bytes(&mut self, bytes: &[u8]) {
        if self.keyed.is_none() {
            return;
        }
        let room = |kept: &Vec<u8>| kept.len() + bytes.len() <= MAX_KEPT_ANSWER;
        self.answer = self.answer.take().filter(room).map(|mut kept| {
            kept.extend_from_slice(bytes);
            kept
        });
    }

    fn whole(&mut self) {
        // The upstream is free from here on, however slowly the caller reads.
        self.held = None;
        if let Some(keyed) = &self.keyed
            && let Some(answer) = self.answer.take()
        {
            self.stored.body = Some(answer);
            self.requests
                .end_keyed(keyed, Outcome::Ran, self.stored.clone());
        }
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Outcome::Unknown, Some(Reason::UpstreamLost), None);
        }
    }
}
