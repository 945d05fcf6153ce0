//! How much of an upstream the calls of an order may take beside more urgent orders.
//!
//! A call that waits holds a slot of the upstream that makes it, so calls run first
//! and either soon or not at all. What competes with more urgent orders is the room
//! for calls: calls get what the orders more urgent than theirs leave, and a least
//! share where these would leave nothing.

use crate::admission::Priority;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Exponentially decaying rate of work, in slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkRate {
    slots: f64,
    updated: Instant,
}

impl WorkRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            slots: 0.0,
            updated: now,
        }
    }

    pub(crate) fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.slots * (-age.div_duration_f64(ARRIVAL_WINDOW)).exp()
    }

    pub(crate) fn add(&mut self, work: Duration, now: Instant) {
        self.slots = self.at(now) + work.div_duration_f64(ARRIVAL_WINDOW);
        self.updated = now;
    }
}

/// Work of calls that were admitted, by the priority of the orders that wait for them.
#[derive(Debug, Default)]
pub(crate) struct CallRoom {
    admitted: BTreeMap<Priority, WorkRate>,
}

impl CallRoom {
    /// Returns whether the calls of orders of a priority have taken their room, beside
    /// the calls of more urgent orders. `urgent` is the share of the upstream that more
    /// urgent orders need.
    pub(crate) fn is_taken(
        &self,
        parent: Priority,
        urgent: f64,
        concurrency: f64,
        now: Instant,
    ) -> bool {
        let admitted = self.admitted.range(..=parent);
        let taken: f64 = admitted.map(|(_, rate)| rate.at(now)).sum();
        taken >= (1.0 - urgent).max(MIN_SHARE) * concurrency
    }

    /// Records a call that was admitted.
    pub(crate) fn record(&mut self, parent: Priority, work: Duration, now: Instant) {
        let rate = self.admitted.entry(parent);
        rate.or_insert(WorkRate::new(now)).add(work, now);
    }
}

/// Time over which the rate of arrivals is averaged: several service times, and
/// less than the time that callers commonly have.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(500);
/// Least share of an upstream that calls get beside more urgent orders. The orders
/// behind the calls have been worked on, and all of that is lost if none of their calls
/// is served.
const MIN_SHARE: f64 = 0.2;
