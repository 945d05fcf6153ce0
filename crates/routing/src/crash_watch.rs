//! Which requests were at an upstream when it crashed.
//!
//! A connection that breaks ends one request; the crash of the upstream is known
//! only later, when its address refuses connections or its successor announces
//! itself. Requests that were lost shortly before count as at work then.

use ibiscove_types::UpstreamIncarnation;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time before an upstream is known to have crashed in which its requests were lost.
/// Its successor announces itself some seconds after it.
const LOSS_WINDOW: Duration = Duration::from_secs(5);

/// Number of a request that was sent to the upstream.
pub type SendId = u64;

/// Requests that were sent to the upstream beside this node and were not answered.
/// `S` describes a request.
#[derive(Debug)]
pub struct CrashWatch<S> {
    next: SendId,
    sent: HashMap<SendId, Sent<S>>,
    /// The incarnation that crashed last.
    crashed: Option<UpstreamIncarnation>,
}

#[derive(Debug)]
struct Sent<S> {
    request: S,
    upstream: UpstreamIncarnation,
    /// When its connection broke or it was abandoned.
    lost_at: Option<Instant>,
}

impl<S> Default for CrashWatch<S> {
    fn default() -> Self {
        Self {
            next: 0,
            sent: HashMap::new(),
            crashed: None,
        }
    }
}

impl<S> CrashWatch<S> {
    /// Records that a request is sent to an incarnation of the upstream.
    pub fn begin(&mut self, request: S, upstream: UpstreamIncarnation) -> SendId {
        let id = self.next;
        self.next += 1;
        let sent = Sent {
            request,
            upstream,
            lost_at: None,
        };
        self.sent.insert(id, sent);
        id
    }

    /// Records that a request was answered, or did not reach the upstream.
    pub fn settle(&mut self, id: SendId) {
        self.sent.remove(&id);
    }

    /// Records that a request got no answer. Returns it, and its upstream, if that is
    /// known to have crashed.
    pub fn lose(&mut self, id: SendId, now: Instant) -> Option<(S, UpstreamIncarnation)> {
        self.sent.retain(|_, sent| !has_passed(sent.lost_at, now));
        let sent = self.sent.get_mut(&id)?;
        if self.crashed.as_ref() == Some(&sent.upstream) {
            let sent = self.sent.remove(&id);
            return sent.map(|sent| (sent.request, sent.upstream));
        }
        sent.lost_at.get_or_insert(now);
        None
    }

    /// Records that an incarnation of the upstream has crashed. Returns the requests
    /// that it had lost before; those that wait for an answer follow by
    /// [`CrashWatch::lose`].
    pub fn record_crash(&mut self, upstream: &UpstreamIncarnation, now: Instant) -> Vec<S> {
        self.crashed = Some(upstream.clone());
        let lost: Vec<SendId> = self
            .sent
            .iter()
            .filter(|(_, sent)| sent.upstream == *upstream && sent.lost_at.is_some())
            .map(|(id, _)| *id)
            .collect();
        lost.into_iter()
            .filter_map(|id| self.sent.remove(&id))
            .filter(|sent| !has_passed(sent.lost_at, now))
            .map(|sent| sent.request)
            .collect()
    }

    /// Returns whether an incarnation is the one that crashed last.
    pub fn has_crashed(&self, upstream: &UpstreamIncarnation) -> bool {
        self.crashed.as_ref() == Some(upstream)
    }

    /// Returns the incarnations other than `successor` whose requests are not
    /// answered: they have ended, because only one runs at a time.
    pub fn predecessors(&self, successor: &UpstreamIncarnation) -> Vec<UpstreamIncarnation> {
        let mut ended: Vec<UpstreamIncarnation> = Vec::new();
        for sent in self.sent.values() {
            if sent.upstream != *successor && !ended.contains(&sent.upstream) {
                ended.push(sent.upstream.clone());
            }
        }
        ended
    }
}

fn has_passed(lost_at: Option<Instant>, now: Instant) -> bool {
    lost_at.is_some_and(|at| now.saturating_duration_since(at) > LOSS_WINDOW)
}
