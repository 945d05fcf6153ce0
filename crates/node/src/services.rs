//! What an entry keeps for each service.
//!
//! It lives as long as the node. Each lock is held for one look-up or change.

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

/// Requests that an entry holds at a time.
const ENTRY_CAPACITY: u32 = 4_096;

/// What an entry keeps for one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    budget: Mutex<RetryBudget>,
    latencies: Mutex<LatencyHistogram>,
    upstreams: Mutex<HashMap<Incarnation, UpstreamHealth>>,
    in_flight: AtomicU32,
}

impl ServiceState {
    /// What retries and hedges of the service are paid from.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// Chooses an upstream of a shared service, and one that was tried already
    /// only when there is no other.
    pub(crate) fn choose(
        &self,
        map: &ClusterMap,
        service: &str,
        choice: &Choice<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<Incarnation> {
        let mut upstreams = lock(&self.upstreams);
        // A service's upstreams that are all new were there before this entry.
        let warm = upstreams.is_empty();
        let members = map.members(service);
        upstreams.retain(|node, _| members.contains(node));
        let mut candidates: Vec<_> = members
            .iter()
            .filter_map(|node| candidate(map, &mut upstreams, *node, warm, choice))
            .collect();
        if candidates
            .iter()
            .any(|known| !choice.tried.contains(&known.id))
        {
            candidates.retain(|known| !choice.tried.contains(&known.id));
        }
        let mut policy = TwoChoices {
            prefer_own_data_centre: choice.prefer_near,
        };
        let index = policy.choose(&candidates, 0, rng)?;
        Some(candidates[index].id)
    }

    /// Counts a request that goes to `gate`.
    pub(crate) fn begin(self: &Arc<Self>, gate: Incarnation, now: Instant) -> InFlight {
        let mut upstreams = lock(&self.upstreams);
        if let Some(observed) = upstreams.get_mut(&gate) {
            observed.begin();
        }
        InFlight {
            service: Arc::clone(self),
            gate,
            began: now,
            ended: false,
        }
    }

    /// Takes what a gate reported with an answer.
    pub(crate) fn report(&self, gate: Incarnation, load: f64, now: Instant) {
        if let Some(observed) = lock(&self.upstreams).get_mut(&gate) {
            observed.record_report(LoadReport { load, at: now });
        }
    }

    /// How long to wait before a hedge; none when there should be none.
    pub(crate) fn hedge_delay(&self, remaining: Duration) -> Option<Duration> {
        hedge_delay(&lock(&self.latencies), remaining)
    }
}

/// What a choice depends on beside the observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice<'a> {
    pub(crate) tried: &'a [Incarnation],
    pub(crate) data_centre: &'a DataCentre,
    pub(crate) prefer_near: bool,
    pub(crate) now: Instant,
}

fn candidate(
    map: &ClusterMap,
    upstreams: &mut HashMap<Incarnation, UpstreamHealth>,
    id: Incarnation,
    warm: bool,
    choice: &Choice<'_>,
) -> Option<Candidate> {
    let row = &map.node(id)?.row;
    if row.state != NodeState::Live {
        return None;
    }
    let concurrency = row.upstream.as_ref()?.concurrency;
    let observed = upstreams
        .entry(id)
        .or_insert_with(|| UpstreamHealth::new(choice.now, warm));
    Some(Candidate {
        id,
        in_own_data_centre: row.data_centre == *choice.data_centre,
        cost: observed.cost(choice.now),
        reported_load: 0.0,
        is_ejected: observed.is_ejected(choice.now),
        has_capacity: observed.in_flight() < concurrency,
    })
}

/// A request of a service on its way to a gate. Dropping it says that the
/// request was given up, from which nothing is learnt.
pub(crate) struct InFlight {
    service: Arc<ServiceState>,
    gate: Incarnation,
    began: Instant,
    ended: bool,
}

impl InFlight {
    /// The gate answered or failed.
    pub(crate) fn end(mut self, answered: bool, now: Instant) {
        self.ended = true;
        let took = now.saturating_duration_since(self.began);
        if answered {
            lock(&self.service.latencies).record(took);
        }
        if let Some(observed) = lock(&self.service.upstreams).get_mut(&self.gate) {
            observed.end(answered.then_some(took), now);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.ended
            && let Some(observed) = lock(&self.service.upstreams).get_mut(&self.gate)
        {
            observed.abandon();
        }
    }
}

/// What an entry keeps for all services. Only services of the map are kept, so
/// callers cannot make it grow.
#[derive(Debug, Default)]
pub(crate) struct Services {
    states: Mutex<HashMap<ServiceName, Arc<ServiceState>>>,
    /// Requests that this entry holds.
    total: Arc<AtomicU32>,
    /// Services that have any of them.
    active: Arc<AtomicU32>,
}

impl Services {
    /// The state of a service that stands in the map.
    pub(crate) fn get(&self, service: &ServiceName) -> Arc<ServiceState> {
        let mut states = lock(&self.states);
        if let Some(state) = states.get(service) {
            return Arc::clone(state);
        }
        Arc::clone(states.entry(service.clone()).or_default())
    }

    /// Lets a request of a service in, unless the service has its share of
    /// this entry and others need the rest.
    pub(crate) fn enter(&self, service: &Arc<ServiceState>) -> Option<Entered> {
        let own = service.in_flight.fetch_add(1, Ordering::Relaxed);
        let total = self.total.fetch_add(1, Ordering::Relaxed);
        if own == 0 {
            self.active.fetch_add(1, Ordering::Relaxed);
        }
        let entered = Entered {
            service: Arc::clone(service),
            total: Arc::clone(&self.total),
            active: Arc::clone(&self.active),
        };
        let active = self.active.load(Ordering::Relaxed);
        may_admit(own, total, active, ENTRY_CAPACITY).then_some(entered)
    }
}

/// A request that an entry holds.
pub(crate) struct Entered {
    service: Arc<ServiceState>,
    total: Arc<AtomicU32>,
    active: Arc<AtomicU32>,
}

impl Drop for Entered {
    fn drop(&mut self) {
        if self.service.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.active.fetch_sub(1, Ordering::Relaxed);
        }
        self.total.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Every change is whole before its lock is given back.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
