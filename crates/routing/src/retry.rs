//! Retry policy and retry budget: whether a failed attempt is retried, and when.
//!
//! A non-idempotent request is retried only if its attempt certainly did not run
//! and never will. An attempt that failed because its key had no owner is retried
//! without charge while the request waits for a newer ownership map, and so is one
//! that a gate refused as overloaded, or by another configuration, while another
//! upstream may run it. Every other retry is charged to a budget that is a share of the
//! requests, so that retries cannot amplify an overload.

use ibiscove_types::{Outcome, Reason};
use std::time::Duration;

/// Delay before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(4);
/// Longest delay before a retry. A move of keys takes some tens of milliseconds,
/// and each attempt costs processor time on two nodes.
const MAX_BACKOFF: Duration = Duration::from_millis(64);
/// Number of attempts after which no retry is charged to the budget.
const MAX_CHARGED_ATTEMPTS: u32 = 4;

/// A failed attempt, and the remaining limits of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the attempt ran.
    pub outcome: Outcome,
    /// Why it failed.
    pub reason: Reason,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Maximum total time to wait for an owner of the key.
    pub max_owner_wait: Duration,
    /// Whether an upstream that was not attempted yet may run the request.
    pub has_alternative: bool,
}

/// What to do after an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Give up and return the failure to the caller.
    Stop,
    /// Retry after a delay.
    Retry {
        /// Delay before the retry.
        delay: Duration,
        /// Whether the retry is charged to the budget.
        charged: bool,
    },
}

/// Decides whether a failed attempt is retried.
pub fn decide(failure: FailedAttempt, rng: &mut fastrand::Rng) -> RetryDecision {
    let may_retry = match failure.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => failure.idempotent,
        Outcome::Ran => false,
    };
    if !may_retry {
        return RetryDecision::Stop;
    }
    let is_refused_by_gate = matches!(
        failure.reason,
        Reason::Overloaded | Reason::Evacuated | Reason::NodesDisagree
    );
    if is_refused_by_gate && failure.has_alternative {
        // The gate refused before the upstream received anything, and another
        // upstream may have free capacity, or its node the entry's configuration.
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
        | Reason::NodesDisagree
        | Reason::NoUpstream
        | Reason::Sealed => true,
        _ => return RetryDecision::Stop,
    };
    if charged && failure.attempts >= MAX_CHARGED_ATTEMPTS {
        return RetryDecision::Stop;
    }
    if !charged && failure.elapsed >= failure.max_owner_wait {
        // Earlier requests found that no owner serves the key at present.
        return RetryDecision::Stop;
    }
    let delay = backoff(failure.attempts, MAX_BACKOFF, rng);
    if delay >= failure.remaining {
        return RetryDecision::Stop;
    }
    RetryDecision::Retry { delay, charged }
}

/// Returns whether an attempt was refused because it did not reach a serving owner
/// of the key, which a newer ownership map names.
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

/// Returns an exponential backoff with random jitter on its upper half, so that
/// requests that failed together are not retried together.
fn backoff(attempts: u32, max_backoff: Duration, rng: &mut fastrand::Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(u16::BITS);
    let base = INITIAL_BACKOFF
        .saturating_mul(1 << doublings)
        .min(max_backoff);
    base.mul_f64(0.5 + rng.f64() / 2.0)
}

/// Token bucket of retries and hedges, filled by a share of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    max_balance: f64,
}

impl RetryBudget {
    /// Largest balance, in retries. It lets services with few requests retry at all.
    pub const MAX_BALANCE: f64 = 10.0;

    /// Limits the balance to `max_balance` retries, at least one. Nodes that share
    /// one budget also share its largest balance.
    pub fn limit_balance(&mut self, max_balance: f64) {
        self.max_balance = max_balance.clamp(1.0, Self::MAX_BALANCE);
        self.tokens = self.tokens.min(self.max_balance);
    }

    /// Adds a fraction of a retry for one request.
    pub fn deposit(&mut self, fraction: f64) {
        self.tokens = (self.tokens + fraction).min(self.max_balance);
    }

    /// Spends one retry; false when the balance is below one.
    pub fn try_spend(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
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
