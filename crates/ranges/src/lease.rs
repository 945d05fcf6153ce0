//! The lease under which a node may grant ranges, as its holder tracks it.

use ibiscove_types::{RowVersion, SinceBoot};
use std::time::Duration;

/// Timing of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long a confirmed renewal is valid, from when it was sent. Longer
    /// than the table outages of an ordinary month.
    pub term: Duration,
    /// Interval between two renewals. A quarter of the term, so that three
    /// consecutive ones may fail.
    pub renew_interval: Duration,
    /// Delay of a takeover beyond the term, for clock drift between nodes.
    pub takeover_margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(10),
            renew_interval: Duration::from_millis(2_500),
            takeover_margin: Duration::from_millis(300),
        }
    }
}

/// A lease from the holder's point of view.
///
/// Invariant 2: the holder counts the term from when it sent the renewal, a node
/// that takes its ranges over from when it first observed the row's version,
/// which is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// Version of the lease row; none while there is no row.
    pub version: Option<RowVersion>,
    /// When the last confirmed renewal was sent.
    last_confirmed: Option<SinceBoot>,
}

impl Lease {
    /// Records that the table confirmed a renewal that was sent at `sent`.
    pub fn record_renewal(&mut self, version: RowVersion, sent: SinceBoot) {
        self.version = Some(version);
        self.last_confirmed = Some(sent);
    }

    /// Records the version of a row that is still this node's, after a renewal
    /// with unknown outcome.
    pub fn record_version(&mut self, version: RowVersion) {
        self.version = Some(version);
    }

    /// Records that the row was removed or belongs to an earlier upstream
    /// incarnation.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns when the lease ends or ended; none when no renewal was confirmed.
    pub fn end(&self, settings: &LeaseSettings) -> Option<SinceBoot> {
        self.last_confirmed.map(|sent| sent + settings.term)
    }

    /// Returns whether a renewal is due.
    pub fn is_renewal_due(&self, settings: &LeaseSettings, now: SinceBoot) -> bool {
        self.last_confirmed
            .is_none_or(|sent| now.saturating_sub(sent) >= settings.renew_interval)
    }
}
