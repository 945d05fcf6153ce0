//! Admits only as many orders as the upstreams that they call have room for.
//!
//! An order whose call is turned away fails after its work is spent. While calls of
//! a route's orders are turned away, its gate admits a smaller share of new orders
//! and refuses the others before any work is done, so that those admitted find room
//! for their calls. The share follows from the calls of each interval: it shrinks by
//! the part of them that was turned away, which is about the part of the orders that
//! found no room, and grows by a small factor, which finds out whether there is more
//! room. In a lasting overload about as many calls are turned away as the share
//! grows, however many calls a node sees.

use crate::call_parents::RouteName;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Settings of [`CallPressure`].
#[derive(Clone, Copy, Debug)]
pub struct CallPressureSettings {
    /// Time over which calls are counted; longer than an order takes to make its
    /// calls, so that the count reflects the share.
    pub interval: Duration,
    /// What each interval adds to the share, as a factor of it.
    pub growth: f64,
    /// Least share of orders that are admitted; they find out whether there is room.
    pub min_share: f64,
}

impl Default for CallPressureSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(250),
            growth: 0.1,
            min_share: 0.1,
        }
    }
}

/// Shares of orders that a gate admits, by route.
#[derive(Debug, Default)]
pub struct CallPressure {
    settings: CallPressureSettings,
    /// Only routes whose calls were turned away lately have an entry.
    routes: HashMap<RouteName, AdmittedShare>,
}

#[derive(Debug)]
struct AdmittedShare {
    share: f64,
    /// Orders due to be admitted; one is when it reaches 1.
    credit: f64,
    interval_started: Instant,
    calls: u32,
    turned_away: u32,
}

impl CallPressure {
    /// Creates the shares of a gate.
    pub fn new(settings: CallPressureSettings) -> Self {
        Self {
            settings,
            routes: HashMap::new(),
        }
    }

    /// Records whether a call of one of the route's orders was served.
    pub fn record_call(&mut self, route: &RouteName, is_served: bool, now: Instant) {
        if is_served && !self.routes.contains_key(route) {
            return;
        }
        let entry = self.routes.entry(Arc::clone(route));
        let entry = entry.or_insert_with(|| AdmittedShare::new(now));
        entry.advance(self.settings, now);
        entry.calls += 1;
        entry.turned_away += u32::from(!is_served);
    }

    /// Decides whether a new order of the route is admitted.
    pub fn admits(&mut self, route: &RouteName, now: Instant) -> bool {
        let Some(entry) = self.routes.get_mut(route) else {
            return true;
        };
        entry.advance(self.settings, now);
        if entry.share >= 1.0 && entry.turned_away == 0 {
            self.routes.remove(route);
            return true;
        }
        entry.credit += entry.share;
        let is_admitted = entry.credit >= 1.0;
        if is_admitted {
            entry.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns the share of a route's orders that are admitted.
    pub fn share(&self, route: &RouteName) -> f64 {
        self.routes.get(route).map_or(1.0, |entry| entry.share)
    }

    /// Forgets routes that the configuration no longer has.
    pub fn retain(&mut self, has_route: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| has_route(route));
    }
}

impl AdmittedShare {
    fn new(now: Instant) -> Self {
        Self {
            share: 1.0,
            credit: 0.0,
            interval_started: now,
            calls: 0,
            turned_away: 0,
        }
    }

    /// Adapts the share at the end of an interval; to several at once if nothing
    /// happened meanwhile.
    fn advance(&mut self, settings: CallPressureSettings, now: Instant) {
        let elapsed = now.saturating_duration_since(self.interval_started);
        let intervals = elapsed.div_duration_f64(settings.interval).floor();
        if intervals < 1.0 {
            return;
        }
        let turned_away = f64::from(self.turned_away) / f64::from(self.calls.max(1));
        let growth = (1.0 + settings.growth).powf(intervals.min(MAX_IDLE_INTERVALS));
        let share = self.share * (1.0 - turned_away) * growth;
        self.share = share.clamp(settings.min_share, 1.0);
        (self.calls, self.turned_away) = (0, 0);
        self.interval_started = now;
    }
}

/// Number of intervals after which any share has grown to 1.
const MAX_IDLE_INTERVALS: f64 = 1_000.0;
