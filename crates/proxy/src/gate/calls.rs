//! Calls that the local upstream makes while it runs requests: which request waits
//! for a call, and what becomes of orders whose calls are turned away elsewhere.

use super::{Gate, Inner, KeyOwnership};
use crate::forward::RequestMetadata;
use crate::refusal::Refusal;
use ibiscove_routing::admission::{NESTED_CALLS, Priority};
use ibiscove_routing::call_parents::{CallParents, Parent, RouteName, RunningRequest};
use ibiscove_routing::call_pressure::CallPressure;
use ibiscove_routing::caller_services::{CallerServices, Origin};
use ibiscove_types::{Clock, Reason};
use std::collections::HashMap;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a gate knows of the calls of its upstream.
#[derive(Default)]
pub(super) struct Calls {
    running: HashMap<u64, RunningRequest>,
    next_id: u64,
    parents: CallParents,
    pressure: CallPressure,
    callers: CallerServices,
}

/// How a request competes at the gate.
#[derive(Clone, Copy)]
pub(super) struct Competitor {
    /// Its priority in the queue.
    pub(super) priority: Priority,
    /// The priority of the order that waits for it.
    pub(super) parent: Option<Priority>,
}

impl Competitor {
    /// Returns the reason of a refusal for lack of room.
    pub(super) fn no_room(self) -> Reason {
        match self.parent {
            Some(_) => Reason::NoRoomForCall,
            None => Reason::Overloaded,
        }
    }
}

/// A request that runs at the upstream and may make calls until this is dropped.
pub(super) struct RunGuard<K, C> {
    gate: Arc<Inner<K, C>>,
    id: u64,
}

impl<K, C> Drop for RunGuard<K, C> {
    fn drop(&mut self) {
        self.gate.calls().running.remove(&self.id);
    }
}

impl<K, C> Inner<K, C> {
    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: KeyOwnership, C: Clock> Gate<K, C> {
    /// Returns the order that waits for a call of the local upstream; none if that is
    /// not known.
    pub fn parent_of_call(&self, route: &RouteName, deadline: Instant) -> Option<Parent> {
        let mut calls = self.inner.calls();
        let running: Vec<RunningRequest> = calls.running.values().cloned().collect();
        calls.parents.find(route, deadline, &running)
    }

    /// Records whether a call of one of the local upstream's orders was served, or
    /// turned away before it ran.
    pub fn record_call(&self, parent: &Parent, is_served: bool) {
        if !is_served {
            let priority = parent.priority.to_string();
            metrics::counter!("ibiscove_calls_turned_away_total", "parent_priority" => priority)
                .increment(1);
        }
        let now = self.inner.clock.now();
        let mut calls = self.inner.calls();
        let before = calls.pressure.share(&parent.route);
        calls.pressure.record_call(&parent.route, is_served, now);
        let share = calls.pressure.share(&parent.route);
        drop(calls);
        if (before < 1.0) != (share < 1.0) {
            log::info!(route = &*parent.route, share;
                "whether orders are refused for lack of room for their calls has changed");
        }
    }

    /// Returns how a request competes: a supposed call whose route begins beside the
    /// upstreams of several services is an order.
    pub(super) fn competitor(&self, metadata: &RequestMetadata) -> Competitor {
        let mut calls = self.inner.calls();
        let origin = match &metadata.caller_service {
            Some(service) => calls.callers.record(&metadata.route, service),
            None => Origin::Unknown,
        };
        let priority = metadata.priority;
        let (priority, parent) = match origin {
            Origin::Unknown => (priority, None),
            Origin::OneService => (priority, metadata.parent_priority),
            Origin::SeveralServices => (metadata.order_priority.unwrap_or(priority), None),
        };
        Competitor { priority, parent }
    }

    /// Refuses an order whose calls would probably be turned away.
    pub(super) fn check_calls(&self, metadata: &RequestMetadata) -> Result<(), Refusal> {
        let now = self.inner.clock.now();
        // A route without orders that make calls has no share.
        if self.inner.calls().pressure.admits(&metadata.route, now) {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::CallsTurnedAway).with_retry_after(CALLS_RETRY_AFTER))
    }

    /// Records that a request runs, until the guard is dropped.
    pub(super) fn begin_run(
        &self,
        metadata: &RequestMetadata,
        competitor: Competitor,
    ) -> Option<RunGuard<K, C>> {
        let priority = competitor.parent.unwrap_or(competitor.priority);
        let request = RunningRequest {
            route: Arc::clone(&metadata.route),
            // A call without a known order says nothing of its own calls.
            priority: configured_priority(priority)?,
            is_call: competitor.parent.is_some(),
            deadline: metadata.deadline,
        };
        let mut calls = self.inner.calls();
        let id = calls.next_id;
        calls.next_id += 1;
        calls.running.insert(id, request);
        Some(RunGuard {
            gate: Arc::clone(&self.inner),
            id,
        })
    }

    /// Forgets routes that the configuration no longer has.
    pub fn prune_calls(&self, has_route: impl Fn(&str) -> bool) {
        let mut calls = self.inner.calls();
        calls.parents.retain(&has_route);
        calls.pressure.retain(&has_route);
        calls.callers.retain(&has_route);
    }
}

/// Returns a route's priority by that of its requests in the queue, where nested calls
/// without a known order come before all others.
fn configured_priority(queued: Priority) -> Option<Priority> {
    queued.checked_sub(NESTED_CALLS + 1)
}

/// Returns the priority in the queue of the requests of a route.
pub fn queue_priority(configured: Priority) -> Priority {
    configured.saturating_add(NESTED_CALLS + 1)
}

/// Time after which a caller may return whose order was refused for its calls: about
/// that in which the share of orders that are admitted follows the room.
const CALLS_RETRY_AFTER: Duration = Duration::from_millis(300);
