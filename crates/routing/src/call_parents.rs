//! Finds the order that waits for a nested call.
//!
//! The upstream that makes a call sends it to the entry on its own machine, beside
//! the gate that knows which requests run there. The order is one of these, and the
//! call expires at its deadline. Where several running requests have about that
//! deadline, those of the route that was running at most earlier calls are the
//! likeliest.

use crate::admission::Priority;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Name of a route.
pub type RouteName = Arc<str>;

/// A request that runs at the local upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Its route.
    pub route: RouteName,
    /// Its priority; that of the order that waits for it if it is a call.
    pub priority: Priority,
    /// Whether it is a call itself.
    pub is_call: bool,
    /// The deadline that the upstream was given.
    pub deadline: Instant,
}

/// The order that waits for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Its route.
    pub route: RouteName,
    /// Its priority.
    pub priority: Priority,
}

/// Learns on which routes the orders are that make the calls of a route.
#[derive(Debug, Default)]
pub struct CallParents {
    /// For each route of calls, the share of its recent calls for which a request of
    /// another route may have been the parent.
    shares: HashMap<RouteName, HashMap<RouteName, f64>>,
}

impl CallParents {
    /// Returns the likeliest parent of a call with `deadline` among the requests that
    /// run; none if they explain too few of the route's calls.
    pub fn find(
        &mut self,
        call_route: &RouteName,
        deadline: Instant,
        running: &[RunningRequest],
    ) -> Option<Parent> {
        let may_be_parent = |req: &&RunningRequest| req.route != *call_route;
        let matches = |req: &&RunningRequest| {
            let early = req.deadline.saturating_duration_since(deadline);
            let late = deadline.saturating_duration_since(req.deadline);
            early <= MAX_EARLY && late <= MAX_LATE
        };
        let candidates = running.iter().filter(may_be_parent);
        let mut eligible: Vec<&RunningRequest> = candidates.clone().filter(matches).collect();
        if eligible.is_empty() {
            // The upstream may give its calls less time than it has.
            eligible = candidates.collect();
        }
        let shares = self.shares.entry(Arc::clone(call_route)).or_default();
        for req in &eligible {
            shares.entry(Arc::clone(&req.route)).or_insert(1.0);
        }
        for (route, share) in shares.iter_mut() {
            let sample = f64::from(u8::from(eligible.iter().any(|req| req.route == *route)));
            *share += (sample - *share) * SAMPLE_WEIGHT;
        }
        let share_of = |req: &RunningRequest| shares.get(&req.route).copied().unwrap_or(0.0);
        let likeliest = eligible.into_iter().max_by(|a, b| {
            let by_share = share_of(a).total_cmp(&share_of(b));
            // Few upstreams make calls while they run one.
            let by_kind = b.is_call.cmp(&a.is_call);
            let by_urgency = b.priority.cmp(&a.priority);
            by_share.then(by_kind).then(by_urgency)
        })?;
        (share_of(likeliest) >= MIN_SHARE).then(|| Parent {
            route: Arc::clone(&likeliest.route),
            priority: likeliest.priority,
        })
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain(&mut self, has_route: impl Fn(&str) -> bool) {
        self.shares.retain(|route, _| has_route(route));
        for shares in self.shares.values_mut() {
            shares.retain(|route, _| has_route(route));
        }
    }
}

/// How much earlier than its parent a call may expire: rounding to milliseconds.
const MAX_EARLY: Duration = Duration::from_millis(5);
/// How much later a call may seem to expire, since it states the time that is left
/// and that is read some time after it was sent.
const MAX_LATE: Duration = Duration::from_millis(50);
/// Weight of one call in the shares.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Least share of calls that a parent's route explains.
const MIN_SHARE: f64 = 0.5;
