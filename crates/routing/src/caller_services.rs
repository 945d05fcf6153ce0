//! Tells calls of upstreams from orders of callers by where they begin.
//!
//! Callers send their orders to the nodes beside the upstreams of all services; the
//! calls of an upstream begin at its own node only. Timeouts alone do not tell: those
//! of callers may vary as much as what is left for a call.

use crate::call_parents::RouteName;
use ibiscove_types::ServiceName;
use std::collections::HashMap;
use std::sync::Arc;

/// Where the requests of a route begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Too few requests have come, or their origins are not clear.
    Unknown,
    /// Beside the upstreams of one service, which may call.
    OneService,
    /// Beside those of several services: its requests are orders.
    SeveralServices,
}

/// Services beside whose upstreams the requests of each route begin.
#[derive(Debug, Default)]
pub struct CallerServices {
    by_route: HashMap<RouteName, Callers>,
}

#[derive(Debug, Default)]
struct Callers {
    count: u32,
    /// Moving average of the share of each service.
    shares: HashMap<ServiceName, f64>,
}

impl CallerServices {
    /// Records a request that began beside an upstream of `service`. Returns where
    /// those of its route begin.
    pub fn record(&mut self, route: &RouteName, service: &ServiceName) -> Origin {
        let callers = self.by_route.entry(Arc::clone(route)).or_default();
        callers.count = callers.count.saturating_add(1);
        callers.shares.entry(Arc::clone(service)).or_default();
        let weight = (1.0 / f64::from(callers.count)).max(SAMPLE_WEIGHT);
        let mut largest = 0.0_f64;
        for (other, share) in &mut callers.shares {
            let sample = f64::from(u8::from(other == service));
            *share += (sample - *share) * weight;
            largest = largest.max(*share);
        }
        match largest {
            _ if callers.count < MIN_COUNT => Origin::Unknown,
            share if share >= ONE_SERVICE_SHARE => Origin::OneService,
            share if share <= SEVERAL_SERVICES_SHARE => Origin::SeveralServices,
            _ => Origin::Unknown,
        }
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain(&mut self, has_route: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| has_route(route));
    }
}

/// Weight of one request in the shares.
const SAMPLE_WEIGHT: f64 = 0.01;
/// Number of requests from which on the shares count.
const MIN_COUNT: u32 = 30;
/// Share of one service from which on a route counts as that of its calls.
const ONE_SERVICE_SHARE: f64 = 0.98;
/// Share of one service up to which a route counts as that of orders.
const SEVERAL_SERVICES_SHARE: f64 = 0.92;
