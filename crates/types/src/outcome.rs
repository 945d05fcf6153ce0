//! What a caller is told about its request.

use std::fmt;

/// Whether the request ran at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The upstream answered.
    Ran,
    /// The upstream certainly did not start it, and it never will.
    NotRun,
    /// It may have run; only the upstream's own records can tell.
    Unknown,
}

impl Outcome {
    /// The word that answers carry in `Ibiscove-Outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Reads the word that [`Outcome::as_str`] writes.
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
        /// Why a request was refused or retried. Each is also the label of a
        /// counter.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, for counters that start at zero and for docs.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// The word that answers carry in `Ibiscove-Reason`.
            pub fn as_str(self) -> &'static str {
                match self { $(Reason::$name => $word,)* }
            }

            /// The HTTP status of an answer refused for this reason.
            pub fn status(self) -> u16 {
                match self { $(Reason::$name => $status,)* }
            }

            /// Reads the word that [`Reason::as_str`] writes.
            pub fn parse(word: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.as_str() == word)
            }
        }
    };
}

reasons! {
    /// No service has this route.
    NoRoute => "no-route", 404;
    /// The request lacks the key that the rule asks for.
    NoKey => "no-key", 400;
    /// The request is not one that HTTP allows, or could be read in two ways.
    MalformedRequest => "malformed-request", 400;
    /// The request's head is too long or has too many headers.
    HeadTooLarge => "head-too-large", 431;
    /// The address has as many connections as it takes.
    TooManyConnections => "too-many-connections", 503;
    /// A header of ours could not be read.
    BadHeader => "bad-header", 400;
    /// No live node owns the key's slot.
    NoOwner => "no-owner", 503;
    /// No upstream of the service can take the request.
    NoUpstream => "no-upstream", 503;
    /// The node reached is not the owner (any more).
    NotOwner => "not-owner", 503;
    /// The owner's lease is not fresh enough for this request.
    LeaseExpired => "lease-expired", 503;
    /// The slot is being handed to another node.
    Moving => "moving", 503;
    /// The upstream is leaving and takes no new work.
    Draining => "draining", 503;
    /// The queue is full, or the deadline would pass in it.
    Overloaded => "overloaded", 429;
    /// The deadline passed.
    DeadlineExceeded => "deadline-exceeded", 504;
    /// The owner's node could not be reached.
    PeerUnreachable => "peer-unreachable", 502;
    /// The answer of the owner's node was lost.
    PeerLost => "peer-lost", 502;
    /// The upstream could not be reached.
    UpstreamUnreachable => "upstream-unreachable", 502;
    /// The upstream's answer was lost.
    UpstreamLost => "upstream-lost", 502;
    /// The upstream said that it did not run the request.
    UpstreamRefused => "upstream-refused", 503;
    /// This node has no configuration yet.
    NoConfiguration => "no-configuration", 503;
    /// The request's body is longer than the limit.
    BodyTooLarge => "body-too-large", 413;
    /// The upstream refused the fence.
    FenceRefused => "fence-refused", 409;
    /// A repeat of a request whose outcome is not known here.
    DuplicateUnknown => "repeat-unknown", 409;
    /// A repeat of a request that is still running.
    InProgress => "in-progress", 409;
    /// The same idempotency key came with another request.
    KeyReused => "idempotency-key-reused", 422;
    /// The request id was sealed before the request arrived.
    Sealed => "sealed", 409;
    /// It ran before; its answer was not kept.
    AlreadyRan => "already-ran", 409;
    /// Nothing is recorded of this request id.
    NoRecord => "no-record", 404;
    /// The caller hung up.
    CallerGone => "caller-gone", 400;
    /// The caller sent too slowly or stopped in the middle.
    CallerStalled => "caller-stalled", 408;
    /// The retry budget is spent.
    RetryBudget => "retry-budget", 503;
    /// The peer could not prove that it holds the shared key.
    Unauthenticated => "unauthenticated", 401;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
