//! Withdrawals of upstreams from service.
//!
//! A withdrawal is a tombstone: an announcement that arrives after it, late or from
//! before it, does not bring the upstream back into use. It covers the upstream's
//! earlier lives too, but not a later one under the same id.

use ibiscove_types::UpstreamIncarnation;
use std::sync::Arc;
use std::time::Instant;

/// Most withdrawals that are kept. A node serves one upstream at a time, so that more
/// than those of the present one and its predecessor come from misdirected calls.
pub const MAX_WITHDRAWALS: usize = 8;

/// An upstream that has left service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The upstream's id.
    pub id: Arc<str>,
    /// Latest start of a life that it covers, in milliseconds since the Unix epoch.
    pub born_until_ms: i64,
    /// Since when the upstream has been leaving.
    pub since: Instant,
}

impl Withdrawal {
    fn covers(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.id == incarnation.id && incarnation.born_ms <= self.born_until_ms
    }
}

/// The newest withdrawals that a node knows of, at most one for each id.
#[derive(Debug, Default)]
pub struct Withdrawals {
    /// In the order in which they were recorded.
    entries: Vec<Withdrawal>,
}

impl Withdrawals {
    /// Records a withdrawal. Returns whether it covers a life that none covered before.
    pub fn record(&mut self, withdrawal: Withdrawal) -> bool {
        let known = self
            .entries
            .iter()
            .position(|entry| entry.id == withdrawal.id);
        if let Some(known) = known {
            if self.entries[known].born_until_ms >= withdrawal.born_until_ms {
                return false;
            }
            self.entries.remove(known);
        }
        if self.entries.len() >= MAX_WITHDRAWALS {
            self.entries.remove(0);
        }
        self.entries.push(withdrawal);
        true
    }

    /// Returns since when an incarnation has been leaving; none if it has not withdrawn.
    pub fn since(&self, incarnation: &UpstreamIncarnation) -> Option<Instant> {
        let entry = self.entries.iter().find(|entry| entry.covers(incarnation));
        entry.map(|entry| entry.since)
    }
}
