//! Who runs at an upstream now, who waits and who is refused.
//!
//! The gate is the only way to its upstream, so it knows everything that runs
//! and waits there. A request waits only while it can still end within its
//! deadline; what cannot is refused at once, with the time after which there is
//! room. The more urgent priority goes first; within one, those that can still
//! meet their target go before those that cannot, and the earlier target goes
//! before the later.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Rank of a request: 0 is the most urgent.
pub type Priority = u8;

/// Rank of calls that running requests make. They go before all others, for the
/// work of their requests is spent already, but they take half of the upstream
/// at most while others wait: what calls them may be the least urgent of all.
pub const NESTED_CALLS: Priority = 0;

/// A request at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its rank.
    pub priority: Priority,
    /// When it is answered in full worth to its caller.
    pub target: Instant,
    /// When nobody waits for it any more.
    pub deadline: Instant,
    /// How long it usually takes at the upstream.
    pub estimate: Duration,
    /// How long it most upper_estimate takes at most; a target is met by most requests
    /// when this fits into it.
    pub upper_estimate: Duration,
    /// Whether it may wait although it will probably miss its target. Not where
    /// another upstream may still meet it.
    pub may_be_late: bool,
}

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: Priority,
    misses_target: bool,
    target: Instant,
    number: u64,
}

/// What becomes of a request that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits under this ticket.
    Wait(Ticket),
    /// It cannot be served in time.
    Refuse {
        /// When there is room again.
        retry_after: Duration,
    },
}

/// A request that left the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// It runs now.
    Run(T),
    /// It can no longer be served in time.
    Refuse(T, Duration),
}

/// Requests that run or wait at one upstream.
#[derive(Debug)]
pub struct AdmissionController<T> {
    concurrency: usize,
    running: usize,
    /// Estimated work of all that run, each counted whole.
    running_work: Duration,
    waiting: BTreeMap<Ticket, (AdmissionRequest, T)>,
    next_number: u64,
    /// Work of calls less that of others, started while both waited, in seconds.
    calls_ahead: f64,
    /// The upstream is silent and gets one request at a time.
    is_probing: bool,
    /// Share of the late that were served lately, by priority; all where none
    /// is noted.
    late_served: BTreeMap<Priority, f64>,
}

impl<T> AdmissionController<T> {
    /// An upstream that works on `concurrency` requests at a time.
    pub fn new(concurrency: usize) -> Self {
        Self {
            concurrency: concurrency.max(1),
            running: 0,
            running_work: Duration::ZERO,
            waiting: BTreeMap::new(),
            next_number: 0,
            calls_ahead: 0.0,
            is_probing: false,
            late_served: BTreeMap::new(),
        }
    }

    /// Sets how many requests the upstream works on at a time.
    pub fn set_concurrency(&mut self, concurrency: usize) {
        self.concurrency = concurrency.max(1);
    }

    /// Whether the upstream gets only one request at a time, since it is silent
    /// ([`crate::hang_detector`]). Gives those that waited, which are refused.
    pub fn set_probing(&mut self, is_probing: bool) -> Vec<Dequeued<T>> {
        let begins = is_probing && !self.is_probing;
        self.is_probing = is_probing;
        if !begins {
            return Vec::new();
        }
        let retry_after = self.drain_time();
        let waiting = std::mem::take(&mut self.waiting).into_values();
        waiting
            .map(|(_, item)| Dequeued::Refuse(item, retry_after))
            .collect()
    }

    /// Whether the upstream gets only one request at a time.
    pub fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// Requests that run or wait.
    pub fn load(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Asks for a request. `item` is kept while it waits.
    pub fn offer(
        &mut self,
        ask: AdmissionRequest,
        item: impl FnOnce() -> T,
        now: Instant,
    ) -> AdmissionDecision {
        if self.is_probing && self.running > 0 {
            return AdmissionDecision::Refuse {
                retry_after: self.drain_time(),
            };
        }
        if self.running < self.concurrency && self.waiting.is_empty() {
            // An estimate may be wrong, and only trying corrects it.
            self.start(&ask);
            return AdmissionDecision::Run;
        }
        let ticket = self.ticket(&ask, now);
        let wait = self.wait_before(&ticket);
        let needed = match ticket.misses_target {
            true => (wait + ask.upper_estimate).mul_f64(LATE_CAUTION),
            false => wait + ask.estimate,
        };
        let starves = ticket.misses_target && self.late_starve(ask.priority);
        let is_elsewhere = ticket.misses_target && !ask.may_be_late;
        if starves || is_elsewhere || now + needed > ask.deadline {
            return AdmissionDecision::Refuse {
                retry_after: self.drain_time(),
            };
        }
        self.next_number += 1;
        self.waiting.insert(ticket, (ask, item()));
        AdmissionDecision::Wait(ticket)
    }

    /// A request that waits was given up.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let late = Ticket {
            misses_target: true,
            ..*ticket
        };
        let found = self.waiting.remove(ticket).map(|found| (*ticket, found));
        let (ticket, (_, item)) = found.or_else(|| Some((late, self.waiting.remove(&late)?)))?;
        self.note_late(&ticket, false);
        Some(item)
    }

    fn note_late(&mut self, ticket: &Ticket, is_served: bool) {
        if ticket.misses_target {
            let sample = if is_served { 1.0 } else { 0.0 };
            let served = self.late_served.entry(ticket.priority).or_insert(1.0);
            *served += (sample - *served) * LATE_WEIGHT;
        }
    }

    /// Whether the late of a priority were mostly passed until it was too late.
    fn late_starve(&mut self, priority: Priority) -> bool {
        let Some(served) = self.late_served.get_mut(&priority) else {
            return false;
        };
        let starve = *served < LATE_SERVED;
        if starve {
            *served += LATE_RECOVERY;
        }
        starve
    }

    /// A request that ran has ended; gives those that leave the queue.
    pub fn finish(&mut self, estimate: Duration, now: Instant) -> Vec<Dequeued<T>> {
        self.running = self.running.saturating_sub(1);
        self.running_work = self.running_work.saturating_sub(estimate);
        let mut left = Vec::new();
        while self.running < self.concurrency {
            let Some((ticket, (ask, item))) = self.next_waiting() else {
                break;
            };
            let is_hopeless = now + ask.estimate.mul_f64(HOPELESS_SHARE) > ask.deadline;
            if !is_hopeless && self.is_passed(&ticket, &ask, now) {
                let late = Ticket {
                    misses_target: true,
                    ..ticket
                };
                self.waiting.insert(late, (ask, item));
                continue;
            }
            self.note_late(&ticket, !is_hopeless);
            if is_hopeless {
                left.push(Dequeued::Refuse(item, self.drain_time()));
                continue;
            }
            self.note_share(&ask);
            self.start(&ask);
            left.push(Dequeued::Run(item));
        }
        left
    }

    /// Takes the next request out of the queue: the first, or the first that is
    /// no call when calls have had their half.
    fn next_waiting(&mut self) -> Option<(Ticket, (AdmissionRequest, T))> {
        let other = self
            .waiting
            .keys()
            .find(|ticket| ticket.priority != NESTED_CALLS);
        match other.copied().filter(|_| self.calls_ahead > 0.0) {
            Some(ticket) => self.waiting.remove_entry(&ticket),
            None => self.waiting.pop_first(),
        }
    }

    /// Notes the work of a request that leaves the queue to run.
    fn note_share(&mut self, ask: &AdmissionRequest) {
        let is_call = ask.priority == NESTED_CALLS;
        let mut waiting = self.waiting.keys();
        let is_contended = waiting.any(|ticket| (ticket.priority == NESTED_CALLS) != is_call);
        let work = ask.estimate.as_secs_f64();
        match (is_contended, is_call) {
            (true, true) => self.calls_ahead += work,
            (true, false) => self.calls_ahead -= work,
            (false, _) => self.calls_ahead = 0.0,
        }
    }

    /// Whether a request that is about to run has waited too long to meet its
    /// target, while others of its priority can still meet theirs.
    fn is_passed(&self, ticket: &Ticket, ask: &AdmissionRequest, now: Instant) -> bool {
        let next = self.waiting.first_key_value().map(|(next, _)| next);
        let others_can =
            next.is_some_and(|next| next.priority == ticket.priority && !next.misses_target);
        !ticket.misses_target && now + ask.estimate > ask.target && others_can
    }

    /// How long until all that runs and waits now has ended.
    pub fn drain_time(&self) -> Duration {
        let waiting: Duration = self.waiting.values().map(|(ask, _)| ask.estimate).sum();
        self.spread(waiting + self.running_work / 2)
    }

    fn start(&mut self, ask: &AdmissionRequest) {
        self.running += 1;
        self.running_work += ask.estimate;
    }

    fn ticket(&self, ask: &AdmissionRequest, now: Instant) -> Ticket {
        let in_time = Ticket {
            priority: ask.priority,
            misses_target: false,
            target: ask.target,
            number: self.next_number,
        };
        let done = now + self.wait_before(&in_time) + ask.upper_estimate;
        Ticket {
            misses_target: done > ask.target,
            ..in_time
        }
    }

    /// How long a request with this ticket would wait.
    fn wait_before(&self, ticket: &Ticket) -> Duration {
        let is_call = ticket.priority == NESTED_CALLS;
        let (mut same, mut other) = (Duration::ZERO, Duration::ZERO);
        for (waiting, (ask, _)) in &self.waiting {
            match (waiting.priority == NESTED_CALLS) == is_call {
                true if waiting < ticket => same += ask.estimate,
                true => {}
                false => other += ask.estimate,
            }
        }
        // Of the two kinds neither gets more than half while the other waits.
        let ahead = same + other.min(same.max(self.mean_work()));
        // The slots free up one after the other, each after its share of the
        // mean time of those that run.
        self.spread(ahead + self.mean_work())
    }

    /// Mean time of the requests that run.
    fn mean_work(&self) -> Duration {
        self.running_work / u32::try_from(self.running.max(1)).unwrap_or(u32::MAX)
    }

    fn spread(&self, work: Duration) -> Duration {
        work.div_f64(self.concurrency as f64)
    }
}

/// Share of the late that must have been served lately for more to wait. Under
/// lasting overload those that meet their targets pass them until it is too
/// late, and a refusal at once serves their callers better.
const LATE_SERVED: f64 = 0.5;
/// Weight of one of the late in that share.
const LATE_WEIGHT: f64 = 0.1;
/// What each refusal adds to the share, so that it is tried again.
const LATE_RECOVERY: f64 = 0.005;
/// How many times its upper_estimate time a request must have left that misses its
/// target. Those that can meet theirs go on passing it, and one that runs close
/// to its deadline takes the place of a fresh one and may serve nobody.
const LATE_CAUTION: f64 = 2.0;

/// Share of the usual time below which a request is not worth starting. Half
/// of the requests take less than the usual time.
const HOPELESS_SHARE: f64 = 0.6;
