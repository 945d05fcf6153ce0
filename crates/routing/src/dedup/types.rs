//! Inputs and outputs of the deduplication window.

use ibiscove_types::{Fence, Outcome, Reason, Slot};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bounds of the window and time margins.
#[derive(Clone, Copy, Debug)]
pub struct DedupSettings {
    /// How long a key is kept after its request started.
    pub window: Duration,
    /// Maximum bytes in use.
    pub max_bytes: usize,
    /// Maximum time by which a caller's clock may be ahead of this node's.
    pub clock_margin: Duration,
    /// How long a new owner refuses requests while it waits for the window of the
    /// previous owner.
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

/// How this gate became the owner of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermOrigin {
    /// No previous owner ran requests that matter.
    Fresh,
    /// The previous owner hands its window over.
    HandedOver,
    /// The previous owner was lost, and its window with it.
    Lost,
}

/// The term during which a gate owns a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipTerm {
    /// Fence of the slot, which numbers its terms; none for a shared service, whose
    /// requests any upstream may run.
    pub fence: Option<Fence>,
    /// How the gate became the owner.
    pub origin: TermOrigin,
    /// Start of the term.
    pub since: Instant,
}

/// A request with an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    /// Slot of the request's routing key; none for a shared service.
    pub slot: Option<Slot>,
    /// The idempotency key.
    pub key: Arc<str>,
    /// Hash of method, target and body.
    pub fingerprint: u64,
    /// When the caller first sent the request, if known.
    pub first_sent: Option<Instant>,
}

/// A response of the upstream, stored for duplicate requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`; empty if there was none.
    pub content_type: String,
    /// The body; none if it was too long to store, incomplete, or dropped.
    pub body: Option<Vec<u8>>,
}

/// What the window decided on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it; [`DedupWindow::end`](super::DedupWindow::end) must follow.
    Run,
    /// It has already run; return this stored response.
    Replay(StoredResponse),
    /// Refuse it with this outcome and reason.
    Refuse(Outcome, Reason),
}

/// An entry of the window, handed over to the next owner of its slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverEntry {
    /// The idempotency key.
    pub key: Arc<str>,
    /// Hash of method, target and body.
    pub fingerprint: u64,
    /// Time since the request started.
    pub age: Duration,
    /// Whether it ran; never [`Outcome::NotRun`].
    pub outcome: Outcome,
    /// The response, if it ran.
    pub response: Option<StoredResponse>,
}
