//! Upstream selection for shared services, by the load that nodes report in
//! heartbeats and responses, and by this node's own observations.

use ibiscove_mesh::{Member, Members};
use ibiscove_routing::placement::{self, Candidate, Distance, FailureRate};
use ibiscove_types::{DataCentre, Fingerprint, NodeName, checksum};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Estimated network round trips between nodes.
#[derive(Clone, Copy, Debug)]
pub struct RoundTripEstimates {
    /// Within a data centre.
    pub same_data_centre: Duration,
    /// Between data centres.
    pub other_data_centre: Duration,
}

impl Default for RoundTripEstimates {
    fn default() -> Self {
        Self {
            same_data_centre: Duration::from_micros(500),
            other_data_centre: Duration::from_millis(3),
        }
    }
}

/// The node that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The node's name.
    pub node: NodeName,
    /// Address of its gate; none for the gate of this node.
    pub gate: Option<SocketAddr>,
}

/// What this node has observed about one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeObservations {
    in_flight: u32,
    failures: FailureRate,
}

/// Selects upstreams by reported loads and by own observations, which clones share.
#[derive(Clone, Default)]
pub struct UpstreamSelector {
    observations: Arc<Mutex<HashMap<NodeName, NodeObservations>>>,
}

/// A request that was sent to a node. Dropping it without a result means that
/// it was abandoned, which does not affect the node's failure rate.
pub struct InFlightRequest {
    selector: UpstreamSelector,
    node: NodeName,
}

impl InFlightRequest {
    /// Records whether the request failed at the node.
    pub fn finish(self, failed: bool) {
        if let Some(observed) = self.selector.lock().get_mut(&self.node) {
            observed.failures.record(failed);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some(observed) = self.selector.lock().get_mut(&self.node) {
            observed.in_flight = observed.in_flight.saturating_sub(1);
        }
    }
}

/// Upstreams of a service that may serve a request.
#[derive(Default)]
pub struct CandidateSet {
    targets: Vec<Target>,
    candidates: Vec<Candidate>,
}

impl CandidateSet {
    /// Adds the upstream of another node unless it drains.
    pub fn add(
        &mut self,
        member: &Member,
        own_data_centre: &DataCentre,
        round_trips: &RoundTripEstimates,
        attempted: &[NodeName],
    ) {
        let Some(upstream) = member
            .upstream
            .as_ref()
            .filter(|upstream| !upstream.draining)
        else {
            return;
        };
        let (distance, round_trip) = match member.data_centre == *own_data_centre {
            true => (Distance::SameDataCentre, round_trips.same_data_centre),
            false => (Distance::OtherDataCentre, round_trips.other_data_centre),
        };
        self.targets.push(Target {
            node: Arc::clone(&member.name),
            gate: Some(member.gate),
        });
        self.candidates.push(Candidate {
            distance,
            round_trip,
            load: f64::from(upstream.load),
            concurrency: f64::from(upstream.concurrency),
            service_time: upstream.service_time,
            failure_rate: 0.0,
            is_cold: !upstream.warm_up_remaining.is_zero(),
            was_attempted: attempted.contains(&member.name),
        });
    }

    /// Adds the local upstream.
    pub fn add_local(&mut self, node: &NodeName, candidate: Candidate) {
        self.targets.push(Target {
            node: Arc::clone(node),
            gate: None,
        });
        self.candidates.push(candidate);
    }

    /// Selects the upstream with the highest hash for a request, among those that it
    /// was not sent to yet (rendezvous hashing).
    pub fn choose_by_hash(&self, fingerprint: Fingerprint) -> Option<Target> {
        let targets = self.targets.iter().zip(&self.candidates);
        let hash = |target: &Target| {
            let mut bytes = fingerprint.to_be_bytes().to_vec();
            bytes.extend_from_slice(target.node.as_bytes());
            checksum(&bytes)
        };
        targets
            .max_by_key(|(target, candidate)| (!candidate.was_attempted, hash(target)))
            .map(|(target, _)| target.clone())
    }

    /// Returns whether the request has not been sent to some upstream yet.
    pub fn has_unattempted(&self) -> bool {
        self.candidates
            .iter()
            .any(|candidate| !candidate.was_attempted)
    }
}

impl UpstreamSelector {
    /// Selects one of the candidates.
    pub fn choose(&self, candidate_set: &CandidateSet, rng: &mut fastrand::Rng) -> Option<Target> {
        let observations = self.lock();
        let mut candidates = candidate_set.candidates.clone();
        for (candidate, target) in candidates.iter_mut().zip(&candidate_set.targets) {
            if let Some(observed) = observations.get(&target.node) {
                candidate.failure_rate = observed.failures.get();
                // Reported loads are delayed; the count of own requests is not.
                candidate.load = candidate.load.max(f64::from(observed.in_flight));
            }
        }
        drop(observations);
        let index = placement::choose(&candidates, rng)?;
        candidate_set.targets.get(index).cloned()
    }

    /// Counts a request that is sent to a node.
    pub fn begin(&self, node: &NodeName) -> InFlightRequest {
        self.lock().entry(Arc::clone(node)).or_default().in_flight += 1;
        InFlightRequest {
            selector: self.clone(),
            node: Arc::clone(node),
        }
    }

    /// Removes the observations of nodes that are no longer members.
    pub fn prune(&self, members: &Members) {
        self.lock()
            .retain(|node, observed| observed.in_flight > 0 || members.get(node).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeName, NodeObservations>> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
