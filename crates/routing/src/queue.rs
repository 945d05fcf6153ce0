//! Bounded fair queue with deadline-based load shedding.
//!
//! Requests are queued by class, and classes are served in round-robin order, so
//! that one hot key cannot delay the rest. A request that would miss its deadline
//! is refused on arrival instead of after waiting. A full queue drops the newest
//! request of its longest class, never one of a class within its fair share.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Class of requests that share a turn, such as the hash of a key.
pub type Class = u64;

/// Why a request was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushError {
    /// The queue is full and the request's class has its fair share.
    Full,
    /// The request would finish after its deadline.
    TooLate,
}

/// Expected service rate of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRate {
    /// Typical service time of one request.
    pub service_time: Duration,
    /// Number of requests that run at a time.
    pub concurrency: u32,
}

/// Queued requests by class.
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    len: usize,
    classes: HashMap<Class, VecDeque<T>>,
    /// Classes with queued requests, each once, in round-robin order.
    turn_order: VecDeque<Class>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new(0)
    }
}

impl<T> FairQueue<T> {
    /// Creates a queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            classes: HashMap::new(),
            turn_order: VecDeque::new(),
        }
    }

    /// Sets the capacity. Requests already queued beyond it stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request; returns the request that was dropped for it, if any.
    pub fn push(
        &mut self,
        class: Class,
        deadline: Instant,
        now: Instant,
        rate: ServiceRate,
        item: T,
    ) -> Result<Option<T>, PushError> {
        let expected_end = now + self.expected_wait(class, rate) + rate.service_time;
        if expected_end > deadline {
            return Err(PushError::TooLate);
        }
        let mut dropped = None;
        if self.len >= self.capacity {
            let longest = self.longest().ok_or(PushError::Full)?;
            if self.class_len(class) + 1 >= self.class_len(longest) {
                return Err(PushError::Full);
            }
            dropped = self.drop_newest(longest);
        }
        let waiting = self.classes.entry(class).or_default();
        if waiting.is_empty() {
            self.turn_order.push_back(class);
        }
        waiting.push_back(item);
        self.len += 1;
        Ok(dropped)
    }

    /// Removes the next request in round-robin order.
    pub fn pop(&mut self) -> Option<T> {
        let class = self.turn_order.pop_front()?;
        let waiting = self.classes.get_mut(&class)?;
        let next = waiting.pop_front()?;
        self.len -= 1;
        if waiting.is_empty() {
            self.classes.remove(&class);
        } else {
            self.turn_order.push_back(class);
        }
        Some(next)
    }

    /// Returns how long a request of `class` would wait if it arrived now.
    pub fn expected_wait(&self, class: Class, rate: ServiceRate) -> Duration {
        // Every class gets one turn for each earlier request of this class and
        // one for the new request.
        let own = self.class_len(class) + 1;
        let ahead = self.classes.values().map(|other| other.len().min(own));
        let ahead: usize = ahead.sum();
        let service_times = ahead as f64 / f64::from(rate.concurrency.max(1));
        rate.service_time.mul_f64(service_times)
    }

    fn class_len(&self, class: Class) -> usize {
        self.classes.get(&class).map_or(0, VecDeque::len)
    }

    fn longest(&self) -> Option<Class> {
        let longest = self.classes.iter().max_by_key(|(_, waiting)| waiting.len());
        longest.map(|(class, _)| *class)
    }

    fn drop_newest(&mut self, class: Class) -> Option<T> {
        let waiting = self.classes.get_mut(&class)?;
        let newest = waiting.pop_back()?;
        self.len -= 1;
        if waiting.is_empty() {
            self.classes.remove(&class);
            self.turn_order
                .retain(|class_in_turn| *class_in_turn != class);
        }
        Some(newest)
    }
}

/// Returns whether a service may have one more request in flight at an entry, the
/// node that takes callers' requests.
///
/// The entry holds at most `capacity` requests; `total` are in flight, `own` of
/// them of this service, and `active` services have at least one. A service may use
/// capacity that others leave free, but services above the equal share leave one
/// such share free for another service, so that a slow service cannot starve the
/// others.
pub fn may_admit(own: u32, total: u32, active: u32, capacity: u32) -> bool {
    let share = capacity / (active + 1);
    own < share || total + share < capacity
}
