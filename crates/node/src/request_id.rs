//! Request ids: by which node, to which gate and when an attempt was sent.
//!
//! An id names the gate that alone may start the attempt, so that a node that
//! later has the gate's address never does; the entry that created it; and the
//! entry's own time, so that the entry can compute its age without comparing
//! clocks. Each attempt has its own id.

use ibiscove_types::{Incarnation, RequestId};
use std::time::{Duration, Instant};

/// The parts of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestIdParts {
    /// The gate that may start the attempt.
    pub(crate) gate: Incarnation,
    /// The entry that sent it.
    pub(crate) entry: Incarnation,
    /// Time since the entry's start when it sent the attempt.
    pub(crate) sent_at: Duration,
}

impl RequestIdParts {
    /// Creates an id that no other attempt has.
    pub(crate) fn into_request_id(self, rng: &mut fastrand::Rng) -> RequestId {
        let Self {
            gate,
            entry,
            sent_at,
        } = self;
        let sent_at = sent_at.as_millis();
        let random = rng.u64(..);
        format!("{gate:x}-{entry:x}-{sent_at:x}-{random:x}").into()
    }

    /// Parses an id; none if no entry created it.
    pub(crate) fn parse(id: &str) -> Option<Self> {
        let mut fields = id.split('-').map(|field| u64::from_str_radix(field, 16));
        let mut next = || fields.next()?.ok();
        let (gate, entry, sent_at) = (next()?, next()?, next()?);
        next()?;
        fields.next().is_none().then_some(Self {
            gate,
            entry,
            sent_at: Duration::from_millis(sent_at),
        })
    }

    /// Returns the time since the attempt was sent, if the entry
    /// `own_incarnation`, started at `started_at`, created the id; none otherwise.
    pub(crate) fn age(
        &self,
        own_incarnation: Incarnation,
        started_at: Instant,
        now: Instant,
    ) -> Option<Duration> {
        let sent_at = started_at.checked_add(self.sent_at)?;
        (self.entry == own_incarnation).then(|| now.saturating_duration_since(sent_at))
    }
}
