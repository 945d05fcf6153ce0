//! State that the requests of an entry share: retry budgets, the timeouts of
//! callers, and ranges that no owner serves.

use crate::routes::RouteTable;
use ibiscove_routing::caller_timeouts::CallerTimeouts;
use ibiscove_routing::retry::RetryBudget;
use ibiscove_routing::unserved::UnservedRanges;
use ibiscove_types::{Fence, ServiceName};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The retry budget of each service.
#[derive(Default)]
pub(super) struct RetryBudgets(Mutex<HashMap<ServiceName, RetryBudget>>);

impl RetryBudgets {
    /// Adds `retries` to a service's budget for a new request, up to a balance of
    /// `max_balance`.
    pub(super) fn deposit(&self, service: &ServiceName, retries: f64, max_balance: f64) {
        let mut retry_budgets = lock(&self.0);
        let budget = retry_budgets.entry(Arc::clone(service)).or_default();
        budget.limit_balance(max_balance);
        budget.deposit(retries);
    }

    /// Spends one retry of a service's budget; false when the balance is below one.
    pub(super) fn try_spend(&self, service: &ServiceName) -> bool {
        let mut retry_budgets = lock(&self.0);
        retry_budgets
            .entry(Arc::clone(service))
            .or_default()
            .try_spend()
    }
}

/// Observed timeouts of the callers of each route.
#[derive(Default)]
pub(super) struct CallerTimeoutsByRoute(Mutex<HashMap<Arc<str>, CallerTimeouts>>);

impl CallerTimeoutsByRoute {
    /// Records the timeout of a request. Returns the timeouts observed on its route.
    pub(super) fn record(&self, route: &Arc<str>, timeout: Duration) -> CallerTimeouts {
        let mut all = lock(&self.0);
        let observed = all.entry(Arc::clone(route)).or_default();
        observed.record(timeout);
        *observed
    }

    /// Removes routes that the configuration no longer has.
    pub(super) fn prune(&self, table: &RouteTable) {
        lock(&self.0).retain(|route, _| table.has_route(route));
    }
}

/// Ranges of each service that no owner serves.
#[derive(Default)]
pub(super) struct UnservedRangesByService(Mutex<HashMap<ServiceName, UnservedRanges>>);

impl UnservedRangesByService {
    /// Records that a range had no serving owner when a request missed its latency
    /// target.
    pub(super) fn record(&self, service: &ServiceName, fence: Fence, now: Instant) {
        let mut all = lock(&self.0);
        all.entry(Arc::clone(service))
            .or_default()
            .record(fence, now);
    }

    /// Records that the owner of a range has responded.
    pub(super) fn clear(&self, service: &ServiceName, fence: Fence) {
        if let Some(ranges) = lock(&self.0).get_mut(service) {
            ranges.clear(fence);
        }
    }

    /// Returns whether a range was known to be unserved at `arrived`.
    pub(super) fn is_unserved(
        &self,
        service: &ServiceName,
        fence: Fence,
        arrived: Instant,
    ) -> bool {
        let all = lock(&self.0);
        all.get(service)
            .is_some_and(|ranges| ranges.is_unserved(fence, arrived))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Each lock is held for one look-up or change, which leaves the state
    // consistent even if it panics.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
