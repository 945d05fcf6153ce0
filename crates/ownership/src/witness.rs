//! Witness state: the nodes that this node monitors.
//!
//! On the wire a monitored node is a `ward`, and its successors are `heirs`.
//!
//! Invariant 3: an acknowledgement promises not to seal the monitored node for
//! a lease from its receipt; a seal is permanent. Both are kept only in this
//! process's memory: heartbeats name the witness's incarnation, so that a
//! restarted witness, which has lost both, is refused and refuses. A process
//! that rejoins as another incarnation still has both, so it remains a witness
//! under the earlier one until the monitored nodes have named others.

use ibiscove_types::Incarnation;
use ibiscove_wire::messages::{Heartbeat, HeartbeatAck, Holding, Seal};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Debug)]
struct MonitoredNode {
    last_heartbeat: Instant,
    sealed: bool,
    /// The node's row names other witnesses: missing heartbeats do not count.
    released: bool,
    sequence: i64,
    heirs_void: bool,
    holding: Option<Holding>,
}

impl MonitoredNode {
    fn new(now: Instant) -> Self {
        Self {
            last_heartbeat: now,
            sealed: false,
            released: false,
            sequence: 0,
            heirs_void: false,
            holding: None,
        }
    }

    fn seal(&self) -> Seal {
        Seal {
            sealed: self.sealed,
            sequence: self.sequence,
            heirs_void: self.heirs_void,
            holding: self.holding.clone(),
        }
    }
}

/// Nodes that this node monitors.
#[derive(Debug)]
pub(crate) struct MonitoredNodes {
    lease: Duration,
    nodes: Mutex<HashMap<MonitoringPair, MonitoredNode>>,
}

/// An incarnation of this node, as the witness, and the monitored one.
type MonitoringPair = (Incarnation, Incarnation);

impl MonitoredNodes {
    /// Creates the state without monitored nodes. `lease` is how long an
    /// acknowledgement binds.
    pub(crate) fn new(lease: Duration) -> Self {
        Self {
            lease,
            nodes: Mutex::default(),
        }
    }

    fn nodes(&self) -> MutexGuard<'_, HashMap<MonitoringPair, MonitoredNode>> {
        self.nodes.lock().expect("a holder of the lock panicked")
    }

    /// Responds to a heartbeat that names the right incarnation of this
    /// witness.
    pub(crate) fn acknowledge(&self, heartbeat: &Heartbeat, now: Instant) -> HeartbeatAck {
        let mut nodes = self.nodes();
        let pair = (
            heartbeat.witness as Incarnation,
            heartbeat.ward as Incarnation,
        );
        let node = nodes.entry(pair);
        let node = node.or_insert_with(|| MonitoredNode::new(now));
        if node.sealed {
            return refusal();
        }
        node.last_heartbeat = now;
        node.released = false;
        if heartbeat.sequence > node.sequence {
            node.apply_change(heartbeat);
        }
        HeartbeatAck {
            granted: true,
            held_sequence: node.sequence,
        }
    }

    /// Returns whether a node is sealed, with its holding; seals it if its
    /// lease has expired. A node that never sent a heartbeat gets a full lease
    /// from the first query on.
    pub(crate) fn seal(&self, witness: Incarnation, monitored: Incarnation, now: Instant) -> Seal {
        let mut nodes = self.nodes();
        let node = nodes
            .entry((witness, monitored))
            .or_insert_with(|| MonitoredNode::new(now));
        if node.is_expired(now, self.lease) {
            node.sealed = true;
        }
        node.seal()
    }

    /// Seals the nodes that sent no heartbeat for a lease; returns those just
    /// sealed.
    pub(crate) fn seal_expired(&self, now: Instant) -> Vec<Incarnation> {
        let mut sealed = Vec::new();
        for ((_, incarnation), node) in self.nodes().iter_mut() {
            if !node.sealed && node.is_expired(now, self.lease) {
                node.sealed = true;
                sealed.push(*incarnation);
            }
        }
        sealed.sort_unstable();
        sealed
    }

    /// Returns when the next node's lease expires without a heartbeat.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        let nodes = self.nodes();
        let active = nodes.values().filter(|n| !n.sealed && !n.released);
        let last_heartbeats = active.map(|n| n.last_heartbeat);
        Some(last_heartbeats.min()? + self.lease)
    }

    /// Restarts the lease of every unsealed node: this process was suspended,
    /// and heartbeats that it received meanwhile are unread.
    pub(crate) fn restart_timers(&self, now: Instant) {
        for node in self.nodes().values_mut() {
            node.last_heartbeat = now;
        }
    }

    /// Sets whether the node's row names other witnesses, so that missing
    /// heartbeats do not count. The void flag of its successors is kept: void
    /// ones must never be treated as valid.
    pub(crate) fn set_released(&self, pair: MonitoringPair, released: bool) {
        if let Some(node) = self.nodes().get_mut(&pair) {
            node.released = released;
        }
    }

    /// Returns whether a node sent a heartbeat within a lease.
    pub(crate) fn has_recent_heartbeat(&self, pair: MonitoringPair, now: Instant) -> bool {
        let nodes = self.nodes();
        let node = nodes.get(&pair);
        node.is_some_and(|node| now < node.last_heartbeat + self.lease)
    }

    /// Seals a node whose row is retired, and discards its holding.
    pub(crate) fn retire(&self, pair: MonitoringPair) {
        if let Some(node) = self.nodes().get_mut(&pair) {
            node.sealed = true;
            node.holding = None;
        }
    }

    /// Returns the monitored pairs, in order of incarnations.
    pub(crate) fn pairs(&self) -> Vec<MonitoringPair> {
        let mut pairs: Vec<_> = self.nodes().keys().copied().collect();
        pairs.sort_unstable();
        pairs
    }
}

impl MonitoredNode {
    fn is_expired(&self, now: Instant, lease: Duration) -> bool {
        !self.released && now >= self.last_heartbeat + lease
    }

    fn apply_change(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.heirs_void {
            self.heirs_void = true;
        } else if let Some(holding) = &heartbeat.holding {
            self.heirs_void = false;
            self.holding = Some(holding.clone());
        } else {
            // The node assumes that this witness holds a newer state than it
            // does.
            return;
        }
        self.sequence = heartbeat.sequence;
    }
}

/// Returns the response to a node that is sealed, or that addresses another
/// incarnation.
pub(crate) fn refusal() -> HeartbeatAck {
    HeartbeatAck {
        granted: false,
        held_sequence: 0,
    }
}
