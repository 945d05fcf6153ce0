//! Outcomes and refusal reasons reported to callers.

use std::fmt;

/// Whether the request ran at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The upstream responded.
    Ran,
    /// The upstream certainly did not start it and never will.
    NotRun,
    /// It may have run; only the upstream's own records can show whether.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Ibiscove-Outcome` response header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the value that [`Outcome::as_str`] returns.
    pub fn parse(word: &str) -> Option<Self> {
        [Outcome::Ran, Outcome::NotRun, Outcome::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == word)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $word:literal, $status:literal;)*) => {
        /// Why a request was refused or retried. Each is also a metric label.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, to initialise counters at zero and for documentation.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// Returns the value of the `Ibiscove-Reason` response header.
            pub fn as_str(self) -> &'static str {
                match self { $(Reason::$name => $word,)* }
            }

            /// Returns the HTTP status of a response with this reason.
            pub fn status(self) -> u16 {
                match self { $(Reason::$name => $status,)* }
            }

            /// Parses the value that [`Reason::as_str`] returns.
            pub fn parse(word: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.as_str() == word)
            }
        }
    };
}

reasons! {
    /// No route of any service matches.
    NoRoute => "no-route", 404;
    /// The request lacks the key that its route requires.
    NoKey => "no-key", 400;
    /// The request violates HTTP or is ambiguous.
    MalformedRequest => "malformed-request", 400;
    /// The request head is too long or has too many headers.
    HeadTooLarge => "head-too-large", 431;
    /// The listener has reached its connection limit.
    TooManyConnections => "too-many-connections", 503;
    /// A header that ibiscove defines is malformed.
    BadHeader => "bad-header", 400;
    /// No live node owns the key's slot.
    NoOwner => "no-owner", 503;
    /// No upstream of the service can accept the request.
    NoUpstream => "no-upstream", 503;
    /// The node reached is not, or no longer, the owner.
    NotOwner => "not-owner", 503;
    /// The owner's lease has expired or is not fresh enough for this request.
    LeaseExpired => "lease-expired", 503;
    /// The slot is being handed over to another node.
    Moving => "moving", 503;
    /// The upstream is draining and accepts no new work.
    Draining => "draining", 503;
    /// The upstream's data centre is evacuated, so nothing is sent to it.
    Evacuated => "evacuated", 503;
    /// The queue is full, or the deadline would pass while queued.
    Overloaded => "overloaded", 429;
    /// The deadline passed.
    DeadlineExceeded => "deadline-exceeded", 504;
    /// The owner's node could not be reached.
    PeerUnreachable => "peer-unreachable", 502;
    /// The response of the owner's node was lost.
    PeerLost => "peer-lost", 502;
    /// The upstream could not be reached.
    UpstreamUnreachable => "upstream-unreachable", 502;
    /// The upstream's response was lost.
    UpstreamLost => "upstream-lost", 502;
    /// The upstream reported that it did not run the request.
    UpstreamRefused => "upstream-refused", 503;
    /// This node has no configuration yet.
    NoConfiguration => "no-configuration", 503;
    /// This node's configuration denies the request, and a newer one is known to exist.
    ConfigurationBehind => "configuration-behind", 503;
    /// The request's body is longer than the limit.
    BodyTooLarge => "body-too-large", 413;
    /// The upstream rejected the fence.
    FenceRefused => "fence-refused", 409;
    /// A duplicate of a request whose outcome this node does not know.
    DuplicateUnknown => "repeat-unknown", 409;
    /// A duplicate of a request that is still running.
    InProgress => "in-progress", 409;
    /// The idempotency key was already used with a different request.
    KeyReused => "idempotency-key-reused", 422;
    /// The request id was sealed, so that it never runs, before the request
    /// arrived.
    Sealed => "sealed", 409;
    /// The request ran before; its response was not retained.
    AlreadyRan => "already-ran", 409;
    /// No record of this request id exists.
    NoRecord => "no-record", 404;
    /// The caller closed the connection.
    CallerGone => "caller-gone", 400;
    /// The caller sent too slowly or stopped midway.
    CallerStalled => "caller-stalled", 408;
    /// A fault of this node itself ended the request.
    Internal => "internal", 502;
    /// The retry budget is exhausted.
    RetryBudget => "retry-budget", 503;
    /// Earlier copies of the request have crashed the upstreams that ran them.
    Quarantined => "quarantined", 503;
    /// The peer failed to prove that it holds the shared key.
    Unauthenticated => "unauthenticated", 401;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
