//! What a node's part in ownership depends on.

use std::time::Duration;

/// What a node's part in ownership depends on.
#[derive(Clone, Debug)]
pub struct OwnershipSettings {
    /// How long a witness's acknowledgement binds it.
    pub lease: Duration,
    /// Time between two heartbeats to a witness.
    pub heartbeat_interval: Duration,
    /// What a holder takes off its lease for clocks that run apart.
    pub drift_margin: Duration,
    /// Longest time between two looks at what there is to claim.
    pub claim_interval: Duration,
    /// How long after its upstream announced itself a node leaves vacant slots
    /// to members that the inventory lists and that have not come yet.
    pub expected_members_timeout: Duration,
    /// Longest time between two looks at the own row's witnesses and heirs.
    pub review_interval: Duration,
    /// Longest time between two reads of the own row and the service's row
    /// from the table.
    pub refresh_interval: Duration,
    /// Time between the settling of a takeover by one heir and by the next.
    /// All heirs of a lost data centre's nodes begin within one step, so the
    /// first settles come at one per lost node and step.
    pub settle_stagger: Duration,
    /// How long a node without a lease waits before it joins again as another
    /// incarnation. A sealed node does not wait.
    pub rejoin_after: Duration,
    /// How long an upstream that announces itself waits to be registered.
    pub announce_timeout: Duration,
    /// How long a move waits for work in flight, while it holds the slots.
    pub hold_timeout: Duration,
    /// How long a node that has given its slots up goes on as a witness of
    /// nodes that have not chosen another yet.
    pub witness_replacement_timeout: Duration,
    /// How long a leaving node waits for work in flight.
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
            settle_stagger: Duration::from_millis(400),
            rejoin_after: Duration::from_secs(4),
            announce_timeout: Duration::from_secs(2),
            hold_timeout: Duration::from_secs(2),
            witness_replacement_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(20),
        }
    }
}
