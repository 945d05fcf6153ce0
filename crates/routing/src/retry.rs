//! Whether a refused or lost attempt is made again, and when.
//!
//! Non-idempotent work goes out again only when its attempt certainly did not
//! run and never will. What failed for want of an owner waits for the map and
//! costs nobody anything; every other retry is paid from a budget that is a
//! share of the requests, so that retries cannot multiply an overload.

use ibiscove_types::{Outcome, Reason};
use std::time::Duration;

/// First wait before another attempt.
const FIRST_WAIT: Duration = Duration::from_millis(4);
/// Longest wait before another attempt. A move of keys takes some tens of
/// milliseconds, and each attempt costs two nodes their processor time.
const MAX_WAIT: Duration = Duration::from_millis(64);
/// Attempts in all that are paid from the budget.
const MAX_CHARGED_ATTEMPTS: u32 = 4;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether it ran.
    pub outcome: Outcome,
    /// Why it failed.
    pub reason: Reason,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Attempts made, this one included.
    pub attempts: u32,
    /// Time left.
    pub remaining: Duration,
    /// Time since the request came.
    pub elapsed: Duration,
    /// How long it may wait in all for an owner to be found.
    pub max_owner_wait: Duration,
    /// Whether another upstream, not tried yet, may take the request.
    pub has_alternative: bool,
}

/// What to do after an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Tell the caller.
    Stop,
    /// Try again after a wait.
    Retry {
        /// How long to wait.
        delay: Duration,
        /// Whether the budget must pay for it.
        charged: bool,
    },
}

/// Decides whether an attempt is made again.
pub fn decide(failure: FailedAttempt, rng: &mut fastrand::Rng) -> RetryDecision {
    let safe = match failure.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => failure.idempotent,
        Outcome::Ran => false,
    };
    if !safe {
        return RetryDecision::Stop;
    }
    if failure.reason == Reason::Overloaded && failure.has_alternative {
        // The gate refused before the upstream saw anything, and the next one
        // may have room.
        return RetryDecision::Retry {
            delay: Duration::ZERO,
            charged: false,
        };
    }
    let charged = match failure.reason {
        reason if awaits_owner(reason) => false,
        Reason::PeerUnreachable
        | Reason::PeerLost
        | Reason::UpstreamUnreachable
        | Reason::UpstreamLost
        | Reason::UpstreamRefused
        | Reason::NoUpstream
        | Reason::Sealed => true,
        _ => return RetryDecision::Stop,
    };
    if charged && failure.attempts >= MAX_CHARGED_ATTEMPTS {
        return RetryDecision::Stop;
    }
    if !charged && failure.elapsed >= failure.max_owner_wait {
        // Others have found out that nobody serves the key for now.
        return RetryDecision::Stop;
    }
    let delay = backoff(failure.attempts, MAX_WAIT, rng);
    if delay >= failure.remaining {
        return RetryDecision::Stop;
    }
    RetryDecision::Retry { delay, charged }
}

/// Whether a request was refused for want of an owner, which the next map names.
pub fn awaits_owner(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NotOwner
            | Reason::Moving
            | Reason::NoOwner
            | Reason::LeaseExpired
            | Reason::Draining
    )
}

/// A wait that doubles with each attempt, the upper half of it by chance so
/// that callers who failed together do not come back together.
fn backoff(attempts: u32, max_wait: Duration, rng: &mut fastrand::Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(u16::BITS);
    let wait = FIRST_WAIT.saturating_mul(1 << doublings).min(max_wait);
    wait.mul_f64(0.5 + rng.f64() / 2.0)
}

/// Retries and hedges allowed, as a share of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    max_balance: f64,
}

impl RetryBudget {
    /// Retries that may be saved up, so that few requests can retry at all.
    pub const MAX_BALANCE: f64 = 10.0;

    /// Sets how many retries may be saved up, at least one. Nodes that share one
    /// budget share what they save too.
    pub fn limit_balance(&mut self, max_balance: f64) {
        self.max_balance = max_balance.clamp(1.0, Self::MAX_BALANCE);
        self.tokens = self.tokens.min(self.max_balance);
    }

    /// Counts a request, which earns `share` of a retry.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.max_balance);
    }

    /// Pays for one retry; false when there is not enough.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Self::MAX_BALANCE,
            max_balance: Self::MAX_BALANCE,
        }
    }
}
