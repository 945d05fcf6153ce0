//! Per-service state of an entry: retry budget, latencies and upstream health.
//!
//! It lives as long as the node. Each lock is held for one lookup or change.

use ibiscove_routing::choice::{Candidate, Policy, TwoChoices};
use ibiscove_routing::health::{LoadReport, UpstreamHealth};
use ibiscove_routing::latency::{LatencyHistogram, hedge_delay};
use ibiscove_routing::queue::may_admit;
use ibiscove_routing::retry::RetryBudget;
use ibiscove_types::{ClusterMap, DataCentre, Incarnation, NodeState, ServiceName};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Largest number of requests in flight at an entry, of all services.
const MAX_REQUESTS_IN_FLIGHT: u32 = 4_096;

/// State of an entry for one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    budget: Mutex<RetryBudget>,
    latencies: Mutex<LatencyHistogram>,
    upstreams: Mutex<HashMap<Incarnation, UpstreamHealth>>,
    in_flight: AtomicU32,
}

impl ServiceState {
    /// Returns the budget of retries and hedges of the service.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Selects an upstream of a shared service. Prefers those that were not
    /// attempted yet.
    pub(crate) fn select_upstream(
        &self,
        map: &ClusterMap,
        service: &str,
        criteria: &SelectionCriteria<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        let mut upstreams = lock(&self.upstreams);
        // If no upstream of the service is known yet, they have probably run
        // since before this entry started, so none is treated as cold.
        let is_warm = upstreams.is_empty();
        let members = map.members(service);
        upstreams.retain(|node, _| members.contains(node));
        let mut candidates: Vec<_> = members
            .iter()
            .filter_map(|node| candidate(map, &mut upstreams, *node, is_warm, criteria))
            .collect();
        if candidates
            .iter()
            .any(|candidate| !criteria.attempted.contains(&candidate.id))
        {
            candidates.retain(|candidate| !criteria.attempted.contains(&candidate.id));
        }
        let mut policy = TwoChoices {
            prefer_own_data_centre: criteria.prefer_own_data_centre,
        };
        let index = policy.choose(&candidates, 0, rng)?;
        Some(candidates[index].id)
    }

    /// Counts a request sent to `gate` as in flight.
    pub(crate) fn begin(self: &Arc<Self>, gate: Incarnation, now: Instant) -> InFlightRequest {
        let mut upstreams = lock(&self.upstreams);
        if let Some(observed) = upstreams.get_mut(&gate) {
            observed.begin();
        }
        InFlightRequest {
            service: Arc::clone(self),
            gate,
            sent_at: now,
            is_done: false,
        }
    }

    /// Records the load that a gate reported with a response.
    pub(crate) fn record_report(&self, gate: Incarnation, load: f64, now: Instant) {
        if let Some(observed) = lock(&self.upstreams).get_mut(&gate) {
            observed.record_report(LoadReport { load, at: now });
        }
    }

    /// Returns the delay before a hedge; none if there should be none.
    pub(crate) fn hedge_delay(&self, remaining: Duration) -> Option<Duration> {
        hedge_delay(&lock(&self.latencies), remaining)
    }
}

/// Inputs of the selection of an upstream besides the observed health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelectionCriteria<'a> {
    pub(crate) attempted: &'a [Incarnation],
    pub(crate) data_centre: &'a DataCentre,
    pub(crate) prefer_own_data_centre: bool,
    pub(crate) now: Instant,
}

fn candidate(
    map: &ClusterMap,
    upstreams: &mut HashMap<Incarnation, UpstreamHealth>,
    id: Incarnation,
    is_warm: bool,
    criteria: &SelectionCriteria<'_>,
) -> Option<Candidate> {
    let row = &map.node(id)?.row;
    if row.state != NodeState::Live {
        return None;
    }
    let concurrency = row.upstream.as_ref()?.concurrency;
    let observed = upstreams
        .entry(id)
        .or_insert_with(|| UpstreamHealth::new(criteria.now, is_warm));
    Some(Candidate {
        id,
        in_own_data_centre: row.data_centre == *criteria.data_centre,
        cost: observed.cost(criteria.now),
        reported_load: 0.0,
        is_ejected: observed.is_ejected(criteria.now),
        has_capacity: observed.in_flight() < concurrency,
    })
}

/// A request in flight to a gate. Dropping it records it as abandoned, which
/// does not affect the health of the upstream.
pub(crate) struct InFlightRequest {
    service: Arc<ServiceState>,
    gate: Incarnation,
    sent_at: Instant,
    is_done: bool,
}

impl InFlightRequest {
    /// Records whether the upstream responded without a server error.
    pub(crate) fn end(mut self, has_succeeded: bool, now: Instant) {
        self.is_done = true;
        let elapsed = now.saturating_duration_since(self.sent_at);
        if has_succeeded {
            lock(&self.service.latencies).record(elapsed);
        }
        if let Some(observed) = lock(&self.service.upstreams).get_mut(&self.gate) {
            observed.end(has_succeeded.then_some(elapsed), now);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if !self.is_done
            && let Some(observed) = lock(&self.service.upstreams).get_mut(&self.gate)
        {
            observed.abandon();
        }
    }
}

/// State of an entry for all services. Only services of the map have state, so
/// callers cannot make it grow.
#[derive(Debug, Default)]
pub(crate) struct Services {
    states: Mutex<HashMap<ServiceName, Arc<ServiceState>>>,
    /// Requests in flight at this entry.
    total_in_flight: Arc<AtomicU32>,
    /// Services with requests in flight at this entry.
    active_services: Arc<AtomicU32>,
}

impl Services {
    /// Returns the state of a service that is in the map.
    pub(crate) fn get(&self, service: &ServiceName) -> Arc<ServiceState> {
        let mut states = lock(&self.states);
        if let Some(state) = states.get(service) {
            return Arc::clone(state);
        }
        Arc::clone(states.entry(service.clone()).or_default())
    }

    /// Admits a request of a service, unless the service has used its share of
    /// the capacity of this entry and other services need the rest.
    pub(crate) fn admit(&self, service: &Arc<ServiceState>) -> Option<AdmittedRequest> {
        let service_in_flight = service.in_flight.fetch_add(1, Ordering::Relaxed);
        let total_in_flight = self.total_in_flight.fetch_add(1, Ordering::Relaxed);
        if service_in_flight == 0 {
            self.active_services.fetch_add(1, Ordering::Relaxed);
        }
        let admitted = AdmittedRequest {
            service: Arc::clone(service),
            total_in_flight: Arc::clone(&self.total_in_flight),
            active_services: Arc::clone(&self.active_services),
        };
        let active_services = self.active_services.load(Ordering::Relaxed);
        may_admit(
            service_in_flight,
            total_in_flight,
            active_services,
            MAX_REQUESTS_IN_FLIGHT,
        )
        .then_some(admitted)
    }
}

/// A request in flight at an entry.
pub(crate) struct AdmittedRequest {
    service: Arc<ServiceState>,
    total_in_flight: Arc<AtomicU32>,
    active_services: Arc<AtomicU32>,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if self.service.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.active_services.fetch_sub(1, Ordering::Relaxed);
        }
        self.total_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Every change is complete before its lock is released.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
