//! What an entry learns from the requests that it sees.

use crate::routes::RouteTable;
use ibiscove_routing::caller_timeouts::CallerTimeouts;
use ibiscove_routing::retry::RetryBudget;
use ibiscove_routing::unserved::UnservedRanges;
use ibiscove_types::{Fence, ServiceName};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Retries that each service's requests have earned.
#[derive(Default)]
pub(super) struct Budgets(Mutex<HashMap<ServiceName, RetryBudget>>);

impl Budgets {
    /// Counts a request, which earns `share` of a retry, of which `max_saved`
    /// may be saved up.
    pub(super) fn earn(&self, service: &ServiceName, share: f64, max_saved: f64) {
        let mut budgets = lock(&self.0);
        let budget = budgets.entry(Arc::clone(service)).or_default();
        budget.limit_balance(max_saved);
        budget.deposit(share);
    }

    /// Pays for one retry; false when there is not enough.
    pub(super) fn pay(&self, service: &ServiceName) -> bool {
        let mut budgets = lock(&self.0);
        budgets.entry(Arc::clone(service)).or_default().try_spend()
    }
}

/// How long the callers of each route are willing to wait.
#[derive(Default)]
pub(super) struct Callers(Mutex<HashMap<Arc<str>, CallerTimeouts>>);

impl Callers {
    /// A caller of a route waits for `wants`. Gives what that tells of its
    /// request.
    pub(super) fn note(&self, route: &Arc<str>, wants: Duration) -> CallerTimeouts {
        let mut all = lock(&self.0);
        let known = all.entry(Arc::clone(route)).or_default();
        known.record(wants);
        *known
    }

    /// Forgets routes that the configuration no longer has.
    pub(super) fn prune(&self, table: &RouteTable) {
        lock(&self.0).retain(|route, _| table.has_route(route));
    }
}

/// Ranges of each service that nobody serves.
#[derive(Default)]
pub(super) struct StuckRanges(Mutex<HashMap<ServiceName, UnservedRanges>>);

impl StuckRanges {
    /// A request has waited in vain for the owner of a range.
    pub(super) fn note(&self, service: &ServiceName, fence: Fence, now: Instant) {
        let mut all = lock(&self.0);
        all.entry(Arc::clone(service))
            .or_default()
            .record(fence, now);
    }

    /// The owner of a range has answered.
    pub(super) fn clear(&self, service: &ServiceName, fence: Fence) {
        if let Some(stuck) = lock(&self.0).get_mut(service) {
            stuck.clear(fence);
        }
    }

    /// Whether a request should not wait for the owner of a range as long as it
    /// could.
    pub(super) fn is_stuck(&self, service: &ServiceName, fence: Fence, arrived: Instant) -> bool {
        let all = lock(&self.0);
        all.get(service)
            .is_some_and(|stuck| stuck.is_unserved(fence, arrived))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each lock is held for one look-up or change, which leaves the state whole
    // even when it panics.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
