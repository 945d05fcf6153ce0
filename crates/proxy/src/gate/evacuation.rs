//! Whether a gate serves an upstream in an evacuated data centre.

use ibiscove_types::Reason;
use std::time::Instant;

/// What a gate knows of the evacuation of its data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evacuation {
    /// Nothing yet: the node has started, and its data centre may be evacuated.
    Unknown,
    /// The data centre is not evacuated.
    #[default]
    None,
    /// Nothing more is to be sent to the upstream. Until `handover_ends` it serves the
    /// keys that it has not handed over.
    Evacuated {
        /// End of the handover.
        handover_ends: Instant,
    },
}

impl Evacuation {
    /// Returns why a request is refused at `now`, if it is. Another node will own the
    /// keys of a divided service; other requests are for other upstreams at once. While
    /// nothing is known, this upstream may serve them soon, so that they are retried.
    pub fn refusal(self, is_divided: bool, now: Instant) -> Option<Reason> {
        match self {
            Self::None => None,
            Self::Evacuated { handover_ends } if is_divided && now < handover_ends => None,
            Self::Unknown | Self::Evacuated { .. } if is_divided => Some(Reason::Moving),
            Self::Unknown => Some(Reason::NoUpstream),
            Self::Evacuated { .. } => Some(Reason::Evacuated),
        }
    }
}
