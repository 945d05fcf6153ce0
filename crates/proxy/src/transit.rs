//! When forwarded requests were sent, by which a gate knows how long they waited on
//! their way.

use ibiscove_routing::transit::TransitTimes;
use ibiscove_types::{NodeName, SinceBoot};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Senders above which those that sent nothing for [`MAX_AGE`] are forgotten.
const PRUNE_ABOVE: usize = 256;
/// Age at which a sender may be forgotten.
const MAX_AGE: Duration = Duration::from_secs(60);

/// When a request was sent to a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentTime {
    /// Identifies the sender's process: readings of two cannot be compared, since the
    /// machine may have started anew between them.
    pub process: u32,
    /// Microseconds since its machine's boot.
    pub us: u64,
}

impl SentTime {
    /// Returns the time of a request that a process sends at `now`.
    pub fn new(process: u32, now: SinceBoot) -> Self {
        Self {
            process,
            us: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

/// The waits of all senders' requests.
#[derive(Debug, Default)]
pub struct TransitBySender(Mutex<HashMap<NodeName, Sender>>);

#[derive(Debug)]
struct Sender {
    process: u32,
    times: TransitTimes,
    last: SinceBoot,
}

impl TransitBySender {
    /// Records a request of a node that is received at `now`. Returns how long it waited
    /// on its way.
    pub fn record(&self, node: &NodeName, sent: SentTime, now: SinceBoot) -> Duration {
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if senders.len() > PRUNE_ABOVE {
            senders.retain(|_, sender| now.saturating_sub(sender.last) < MAX_AGE);
        }
        let new = || Sender {
            process: sent.process,
            times: TransitTimes::new(now),
            last: now,
        };
        let sender = senders.entry(Arc::clone(node)).or_insert_with(new);
        if sender.process != sent.process {
            *sender = new();
        }
        sender.last = now;
        sender.times.record(Duration::from_micros(sent.us), now)
    }
}
