//! What goes into the deduplication window and what comes out.

use ibiscove_types::{Fence, Outcome, Reason, Slot};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How much the window keeps.
#[derive(Clone, Copy, Debug)]
pub struct DedupSettings {
    /// How long a key is kept after its request came.
    pub window: Duration,
    /// Bytes kept at most.
    pub max_bytes: usize,
    /// By how much a caller's clock may run ahead of ours.
    pub clock_margin: Duration,
    /// How long a new owner holds off repeats while the window is on its way.
    pub handover_wait: Duration,
}

impl Default for DedupSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(300),
            max_bytes: 16 << 20,
            clock_margin: Duration::from_secs(2),
            handover_wait: Duration::from_secs(1),
        }
    }
}

/// How this gate came to own a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermOrigin {
    /// No owner before ran requests that matter.
    Fresh,
    /// The owner before hands its window over.
    HandedOver,
    /// The owner before was lost, with its window.
    Lost,
}

/// The term under which a gate serves a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipTerm {
    /// The slot's fence; none for a shared service.
    pub fence: Option<Fence>,
    /// How the term began.
    pub origin: TermOrigin,
    /// When it began.
    pub since: Instant,
}

/// A request with an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// The key's slot; none for a shared service.
    pub slot: Option<Slot>,
    /// The idempotency key.
    pub key: Arc<str>,
    /// Hash of method, target and body.
    pub fingerprint: u64,
    /// When the caller first sent it, if that can be told.
    pub first_sent: Option<Instant>,
}

/// The upstream's answer, kept for repeats.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty when there was none.
    pub content_type: String,
    /// The body; none when it was too long to keep or broke off.
    pub body: Option<Vec<u8>>,
}

/// What to do with a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it; [`DedupWindow::end`](super::DedupWindow::end) must follow.
    Run,
    /// It has run; this was the answer.
    Replay(StoredResponse),
    /// Refuse it.
    Refuse(Outcome, Reason),
}

/// An entry on its way to a slot's next owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverEntry {
    /// The idempotency key.
    pub key: Arc<str>,
    /// Hash of method, target and body.
    pub fingerprint: u64,
    /// Time since the request came.
    pub age: Duration,
    /// Whether it ran; never [`Outcome::NotRun`].
    pub outcome: Outcome,
    /// The answer, when it ran.
    pub response: Option<StoredResponse>,
}
