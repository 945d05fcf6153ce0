//! Timing of leases, takeovers and planned moves.

use std::time::Duration;

/// Timing of leases, takeovers and planned moves.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// Time for which a witness's acknowledgement binds it.
    pub lease: Duration,
    /// Interval between heartbeats to a witness.
    pub heartbeat_interval: Duration,
    /// Time that a holder subtracts from its lease to allow for clock drift.
    pub drift_margin: Duration,
    /// Longest interval between checks for vacant slots.
    pub claim_interval: Duration,
    /// How long after its upstream announced itself a node leaves vacant slots
    /// to members that the inventory lists and that have not joined yet.
    pub expected_members_timeout: Duration,
    /// Longest interval between checks of the witnesses and successors in this
    /// node's row.
    pub review_interval: Duration,
    /// Longest interval between reads of this node's row and the service's row
    /// from the table.
    pub refresh_interval: Duration,
    /// Delay between the attempts of one successor and of the next to commit a
    /// takeover. All successors of a lost data centre's nodes start within one
    /// such delay, so the table first receives one transaction per lost node in
    /// that time.
    pub takeover_stagger: Duration,
    /// How long a node without a lease waits before it rejoins as another
    /// incarnation. A sealed node does not wait.
    pub rejoin_after: Duration,
    /// How long an upstream's announcement waits for the node's row to contain
    /// it.
    pub announce_timeout: Duration,
    /// How long a move waits for requests in flight while admission to its
    /// slots is suspended.
    pub hold_timeout: Duration,
    /// How long a node that has released its slots continues as a witness of
    /// nodes that have not selected another.
    pub witness_replacement_timeout: Duration,
    /// How long a leaving node waits for requests in flight.
    pub drain_timeout: Duration,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2_000),
            heartbeat_interval: Duration::from_millis(500),
            drift_margin: Duration::from_millis(100),
            claim_interval: Duration::from_millis(800),
            expected_members_timeout: Duration::from_secs(5),
            review_interval: Duration::from_millis(500),
            refresh_interval: Duration::from_secs(10),
            takeover_stagger: Duration::from_millis(400),
            rejoin_after: Duration::from_secs(4),
            announce_timeout: Duration::from_secs(2),
            hold_timeout: Duration::from_secs(2),
            witness_replacement_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(20),
        }
    }
}
