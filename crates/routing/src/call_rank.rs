//! Ranks of requests that compete for one upstream: orders of callers, and calls
//! that other upstreams make while they run an order.
//!
//! The work of the order that waits for a call is already spent, and is lost with
//! the call. A call therefore ranks with its order: after orders of more urgent
//! kinds, before new orders of its order's kind and of less urgent ones. Neither
//! calls nor orders are shut out while the other compete with them.

use crate::admission::{NESTED_CALLS, Priority};

/// Rank of a request in the queue of an upstream; the order of ranks is that of the
/// queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Priority,
    /// Calls come before orders of the same priority.
    is_order: bool,
}

impl Rank {
    /// Returns the rank of an order, or of a call whose order is not known if the
    /// priority is [`NESTED_CALLS`].
    pub fn of(priority: Priority) -> Self {
        Self {
            priority,
            is_order: priority != NESTED_CALLS,
        }
    }

    /// Returns the rank of a call by the priority of the order that waits for it.
    pub fn of_call(parent: Priority) -> Self {
        Self {
            priority: parent,
            is_order: false,
        }
    }

    /// Returns whether it is the rank of a call whose order is not known.
    pub(crate) fn is_unknown_call(self) -> bool {
        self.priority == NESTED_CALLS && !self.is_order
    }

    /// Returns how much work of the less urgent of a call and an order is done for each
    /// unit of work of the more urgent one while both wait.
    pub(crate) fn min_ratio(self, other: Self) -> f64 {
        match self.is_unknown_call() || other.is_unknown_call() {
            true => 1.0,
            false => MIN_RATIO,
        }
    }

    /// Returns whether it is the rank of an order.
    pub fn is_order(self) -> bool {
        self.is_order
    }
}

/// Largest share of an upstream that calls take while orders wait, if it is not known
/// which orders wait for the calls.
pub(crate) const MAX_UNKNOWN_SHARE: f64 = 0.5;
/// Least share of an upstream that goes to the less urgent while calls and orders wait
/// for it: to calls that more urgent orders overtake, since all the work on the orders
/// behind the calls is lost if none is served, and to orders behind urgent calls.
pub(crate) const MIN_SHARE: f64 = 0.2;
/// Work of the less urgent for each unit of work of the more urgent at that share.
const MIN_RATIO: f64 = MIN_SHARE / (1.0 - MIN_SHARE);

/// Balance between the work of calls and of orders that were dequeued while both
/// waited.
#[derive(Debug, Default)]
pub(crate) struct CallBalance {
    /// Work due to orders that more urgent calls have overtaken, in seconds.
    due_to_orders: f64,
    /// Work due to calls that more urgent orders have overtaken, in seconds.
    due_to_calls: f64,
}

impl CallBalance {
    /// Returns the rank to dequeue next among those that wait, in their order.
    pub(crate) fn next<I>(
        &self,
        waiting: impl Iterator<Item = I> + Clone,
        rank: fn(&I) -> Rank,
    ) -> Option<I> {
        let first = waiting.clone().next()?;
        let is_order = rank(&first).is_order;
        let due = match is_order {
            true => self.due_to_calls,
            false => self.due_to_orders,
        };
        let mut others = waiting.filter(|item| rank(item).is_order != is_order);
        let other = others.next().filter(|_| due > 0.0);
        Some(other.unwrap_or(first))
    }

    /// Records the work of a dequeued request. The balance starts anew when only one
    /// of the two waits.
    pub(crate) fn record(&mut self, rank: Rank, work: f64, waiting: impl Iterator<Item = Rank>) {
        let (mut more_urgent, mut less_urgent) = (None, None);
        for other in waiting.filter(|other| other.is_order != rank.is_order) {
            match other < rank {
                true => more_urgent = Some(other),
                false => less_urgent = less_urgent.or(Some(other)),
            }
        }
        if more_urgent.is_none() && less_urgent.is_none() {
            *self = Self::default();
            return;
        }
        let (own_due, others_due) = match rank.is_order {
            true => (&mut self.due_to_orders, &mut self.due_to_calls),
            false => (&mut self.due_to_calls, &mut self.due_to_orders),
        };
        if more_urgent.is_some() {
            *own_due -= work;
        }
        if let Some(other) = less_urgent {
            *others_due += work * rank.min_ratio(other);
        }
    }
}
