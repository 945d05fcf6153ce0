//! Whether an upstream has stopped answering.
//!
//! One that hangs takes requests and keeps them until their deadlines, while
//! its health check may well pass. Its slots fill, and whatever waits for them
//! is lost too. So a gate that sees no answer any more sends one request at a
//! time, as a probe, and refuses the others at once: callers try elsewhere.

use std::time::{Duration, Instant};

/// Requests in a row that must have ended without an answer. A few are lost
/// when a connection is reset.
const MIN_UNANSWERED: u32 = 4;
/// Time since the last answer. Long requests take that long at a healthy
/// upstream, but not several in a row until their deadlines.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// What came of the requests sent to one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct HangDetector {
    unanswered: u32,
    last_answer: Option<Instant>,
}

impl HangDetector {
    /// The upstream answered.
    pub fn record_response(&mut self, now: Instant) {
        self.unanswered = 0;
        self.last_answer = Some(now);
    }

    /// A request that was sent ended without an answer.
    pub fn record_timeout(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Whether the upstream counts as silent.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let is_recent = self
            .last_answer
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_SILENCE);
        self.unanswered >= MIN_UNANSWERED && !is_recent
    }
}
