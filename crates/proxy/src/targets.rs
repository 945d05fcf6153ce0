//! What an entry knows of the upstreams that it may send requests to.

use ibiscove_mesh::{Member, Members};
use ibiscove_routing::placement::{self, Candidate, Distance, FailureRate};
use ibiscove_types::{DataCentre, NodeName};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Ways between nodes.
#[derive(Clone, Copy, Debug)]
pub struct Distances {
    /// There and back within a data centre.
    pub within: Duration,
    /// There and back between data centres.
    pub across: Duration,
}

impl Default for Distances {
    fn default() -> Self {
        Self {
            within: Duration::from_micros(500),
            across: Duration::from_millis(3),
        }
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The node whose gate takes it.
    pub node: NodeName,
    /// Its gate; none for the gate of this node.
    pub gate: Option<SocketAddr>,
}

/// What this entry has seen of one node.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    in_flight: u32,
    failures: FailureRate,
}

/// Own observations of the nodes. Clones share them.
#[derive(Clone, Default)]
pub struct Targets {
    seen: Arc<Mutex<HashMap<NodeName, Seen>>>,
}

/// A request on its way to a node. Dropping it says that it was given up, from
/// which nothing is learnt.
pub struct InFlight {
    targets: Targets,
    node: NodeName,
}

impl InFlight {
    /// The node answered, or failed.
    pub fn end(self, failed: bool) {
        if let Some(seen) = self.targets.lock().get_mut(&self.node) {
            seen.failures.record(failed);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(seen) = self.targets.lock().get_mut(&self.node) {
            seen.in_flight = seen.in_flight.saturating_sub(1);
        }
    }
}

/// Upstreams of a service that may take a request.
#[derive(Default)]
pub struct Choices {
    targets: Vec<Target>,
    candidates: Vec<Candidate>,
}

impl Choices {
    /// Adds the upstream of another node.
    pub fn add(
        &mut self,
        member: &Member,
        own: &DataCentre,
        distances: &Distances,
        tried: &[NodeName],
    ) {
        let Some(upstream) = member
            .upstream
            .as_ref()
            .filter(|upstream| !upstream.draining)
        else {
            return;
        };
        let (distance, round_trip) = match member.data_centre == *own {
            true => (Distance::SameDataCentre, distances.within),
            false => (Distance::OtherDataCentre, distances.across),
        };
        self.targets.push(Target {
            node: Arc::clone(&member.name),
            gate: Some(member.gate),
        });
        self.candidates.push(Candidate {
            distance,
            round_trip,
            load: f64::from(upstream.load),
            slots: f64::from(upstream.slots),
            service_time: upstream.service_time,
            failure_rate: 0.0,
            is_cold: !upstream.warm_up_remaining.is_zero(),
            was_attempted: tried.contains(&member.name),
        });
    }

    /// Adds the upstream beside this node.
    pub fn add_own(&mut self, node: &NodeName, candidate: Candidate) {
        self.targets.push(Target {
            node: Arc::clone(node),
            gate: None,
        });
        self.candidates.push(candidate);
    }

    /// Whether any upstream has not been tried.
    pub fn has_untried(&self) -> bool {
        self.candidates
            .iter()
            .any(|candidate| !candidate.was_attempted)
    }
}

impl Targets {
    /// Chooses among upstreams of a service by what was told of them and what
    /// was seen here.
    pub fn choose(&self, choices: &Choices, rng: &mut fastrand::Rng) -> Option<Target> {
        let seen = self.lock();
        let mut candidates = choices.candidates.clone();
        for (candidate, target) in candidates.iter_mut().zip(&choices.targets) {
            if let Some(seen) = seen.get(&target.node) {
                candidate.failure_rate = seen.failures.get();
                // What was told is late; what this entry sent itself is not.
                candidate.load = candidate.load.max(f64::from(seen.in_flight));
            }
        }
        drop(seen);
        let index = placement::choose(&candidates, rng)?;
        choices.targets.get(index).cloned()
    }

    /// Counts a request that goes to a node.
    pub fn begin(&self, node: &NodeName) -> InFlight {
        self.lock().entry(Arc::clone(node)).or_default().in_flight += 1;
        InFlight {
            targets: self.clone(),
            node: Arc::clone(node),
        }
    }

    /// Forgets nodes that are no longer members.
    pub fn prune(&self, members: &Members) {
        self.lock()
            .retain(|node, seen| seen.in_flight > 0 || members.get(node).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeName, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
