//! A short queue that sheds early and shares fairly.
//!
//! Requests wait by class, and classes take turns, so that one hot key cannot
//! hold up the rest. What would miss its deadline is refused when it comes,
//! not after it has waited. A full queue makes room by dropping the newest of
//! the longest class, never of a class within its fair share.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// What shares a turn: the hash of a key, for example.
pub type Class = u64;

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushError {
    /// The queue is full and its class has its share already.
    Full,
    /// Its deadline would pass before its turn.
    TooLate,
}

/// What the queue expects of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRate {
    /// Usual time of one request.
    pub service_time: Duration,
    /// Requests that run at a time.
    pub concurrency: u32,
}

/// Requests that wait, by class.
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    len: usize,
    classes: HashMap<Class, VecDeque<T>>,
    /// Classes in the order of their turns; each that waits stands here once.
    turns: VecDeque<Class>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new(0)
    }
}

impl<T> FairQueue<T> {
    /// A queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            len: 0,
            classes: HashMap::new(),
            turns: VecDeque::new(),
        }
    }

    /// Sets how many requests may wait. Those beyond it stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Lets a request wait; gives one that had to make room for it, if any.
    pub fn push(
        &mut self,
        class: Class,
        deadline: Instant,
        now: Instant,
        rate: ServiceRate,
        item: T,
    ) -> Result<Option<T>, PushError> {
        let done = now + self.wait(class, rate) + rate.service_time;
        if done > deadline {
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
            self.turns.push_back(class);
        }
        waiting.push_back(item);
        self.len += 1;
        Ok(dropped)
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let class = self.turns.pop_front()?;
        let waiting = self.classes.get_mut(&class)?;
        let next = waiting.pop_front()?;
        self.len -= 1;
        if waiting.is_empty() {
            self.classes.remove(&class);
        } else {
            self.turns.push_back(class);
        }
        Some(next)
    }

    /// How long a request of `class` would wait if it came now.
    pub fn wait(&self, class: Class, rate: ServiceRate) -> Duration {
        // Every class gets a turn for each request of this one before it.
        let own = self.class_len(class) + 1;
        let ahead = self.classes.values().map(|other| other.len().min(own));
        let ahead: usize = ahead.sum();
        let rounds = ahead as f64 / f64::from(rate.concurrency.max(1));
        rate.service_time.mul_f64(rounds)
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
            self.turns.retain(|turn| *turn != class);
        }
        Some(newest)
    }
}

/// Whether a service may have one more request in an entry that can hold
/// `capacity`, of which `total` are taken, `own` by this service, among
/// `active` services that have any.
///
/// A service may fill what the others leave, but the even share of one more
/// service stays free of those above theirs: a slow service cannot shut the
/// others out.
pub fn may_admit(own: u32, total: u32, active: u32, capacity: u32) -> bool {
    let share = capacity / (active + 1);
    own < share || total + share < capacity
}
