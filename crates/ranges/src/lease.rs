//! How long this node may grant ranges.

use ibiscove_types::{RowVersion, SinceBoot};
use std::time::Duration;

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How long a confirmed renewal lasts, from when it was sent. Longer than
    /// the outages of the table that an ordinary month brings.
    pub term: Duration,
    /// Time between two renewals. A quarter of the term, so that three may
    /// fail in a row.
    pub renew_interval: Duration,
    /// What a taker waits beyond the term, for clocks that run apart.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(10),
            renew_interval: Duration::from_millis(2_500),
            margin: Duration::from_millis(300),
        }
    }
}

/// A lease as its holder knows it.
///
/// Invariant 2: the holder counts from when it sent the renewal, a taker from
/// when it first knew of the row's version, which is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// The row's version; none while there is no row.
    pub version: Option<RowVersion>,
    /// When the last confirmed renewal was sent.
    confirmed: Option<SinceBoot>,
}

impl Lease {
    /// The table confirmed a renewal that was sent at `sent`.
    pub fn renewed(&mut self, version: RowVersion, sent: SinceBoot) {
        self.version = Some(version);
        self.confirmed = Some(sent);
    }

    /// The row was read and is still this node's, though what became of the
    /// last renewal is not known.
    pub fn found(&mut self, version: RowVersion) {
        self.version = Some(version);
    }

    /// The row is gone or another's.
    pub fn lost(&mut self) {
        *self = Self::default();
    }

    /// When the lease ends; none while none is held.
    pub fn end(&self, settings: &LeaseSettings) -> Option<SinceBoot> {
        self.confirmed.map(|sent| sent + settings.term)
    }

    /// Whether the lease should be renewed now.
    pub fn is_due(&self, settings: &LeaseSettings, now: SinceBoot) -> bool {
        self.confirmed
            .is_none_or(|sent| now.saturating_sub(sent) >= settings.renew_interval)
    }
}
