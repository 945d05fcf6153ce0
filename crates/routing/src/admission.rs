//! Admission control for one upstream: a concurrency limit, a priority queue and
//! load shedding.
//!
//! A gate, the role of a node that admits requests to its own upstream, is the
//! only path to that upstream, so it sees every request that runs or waits
//! there. A request is queued only while it can still finish before its
//! deadline; otherwise it is refused immediately with a retry delay. The queue
//! is ordered by priority, then requests that can still meet their latency
//! target before late requests, which cannot, then by earliest target.

use crate::pacing::Pacer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Priority of a request; 0 is the most urgent.
pub type Priority = u8;

/// Priority of nested calls, which running requests make. They run first, since
/// the work of their parent requests is already spent, but get at most half of
/// the upstream while other requests wait: their parents may be the least urgent
/// of all.
pub const NESTED_CALLS: Priority = 0;

/// Priority, time limits and estimates of a request that arrives at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Priority of the request.
    pub priority: Priority,
    /// Time by which the response meets the latency target.
    pub target: Instant,
    /// Time after which no caller waits for the response.
    pub deadline: Instant,
    /// Mean service time of such requests at the upstream.
    pub estimate: Duration,
    /// Service time that most such requests stay within; decides whether a request
    /// can meet its target.
    pub upper_estimate: Duration,
    /// Whether it may be queued although it will probably miss its target; false
    /// where another upstream may still meet it.
    pub may_miss_target: bool,
}

/// Identifies a queued request; the order of tickets is the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: Priority,
    misses_target: bool,
    target: Instant,
    sequence: u64,
}

/// What the controller decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Run it now.
    Run,
    /// It is queued under this ticket.
    Wait(Ticket),
    /// It cannot finish before its deadline, or should run at another upstream.
    Refuse {
        /// Time until the current load has drained.
        retry_after: Duration,
    },
}

/// A request that was removed from the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// Run it now.
    Run(T),
    /// Refuse it, with a retry delay.
    Refuse(T, Duration),
}

/// Controls which requests run, wait or are refused at one upstream.
#[derive(Debug)]
pub struct AdmissionController<T> {
    /// Number of slots, each of which runs one request.
    concurrency: usize,
    running: usize,
    /// Sum of the estimates of all running requests, elapsed time not deducted.
    running_work: Duration,
    waiting: BTreeMap<Ticket, (AdmissionRequest, T)>,
    next_sequence: u64,
    /// Work of nested calls minus that of other requests, dequeued while both
    /// waited, in seconds.
    nested_surplus: f64,
    /// The upstream is unresponsive and gets one request at a time.
    is_probing: bool,
    /// Spaces the starts of requests while the upstream names a limit.
    pacer: Option<Pacer>,
    /// Moving average of the estimates of all requests, in seconds.
    mean_estimate: Option<f64>,
    /// Moving average of the share of late requests that ran, by priority; 1 where
    /// there is no entry.
    late_run_share: BTreeMap<Priority, f64>,
    /// Work that arrives, by priority.
    arrivals: BTreeMap<Priority, WorkRate>,
}

/// Exponentially decaying rate of work, in slots.
#[derive(Clone, Copy, Debug)]
struct WorkRate {
    slots: f64,
    updated: Instant,
}

impl WorkRate {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        self.slots * (-age.div_duration_f64(ARRIVAL_WINDOW)).exp()
    }

    fn add(&mut self, work: Duration, now: Instant) {
        self.slots = self.at(now) + work.div_duration_f64(ARRIVAL_WINDOW);
        self.updated = now;
    }
}

impl<T> AdmissionController<T> {
    /// Creates a controller that runs at most `concurrency` requests at a time.
    pub fn new(concurrency: usize) -> Self {
        Self {
            concurrency: concurrency.max(1),
            running: 0,
            running_work: Duration::ZERO,
            waiting: BTreeMap::new(),
            next_sequence: 0,
            nested_surplus: 0.0,
            is_probing: false,
            pacer: None,
            mean_estimate: None,
            late_run_share: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    /// Sets how many requests run at a time.
    pub fn set_concurrency(&mut self, concurrency: usize) {
        self.concurrency = concurrency.max(1);
    }

    /// Sets whether the upstream gets only one request at a time, because it is
    /// unresponsive ([`crate::hang_detector`]). Returns the queued requests, which
    /// are refused when probing starts.
    pub fn set_probing(&mut self, is_probing: bool) -> Vec<Dequeued<T>> {
        let starts_probing = is_probing && !self.is_probing;
        self.is_probing = is_probing;
        if !starts_probing {
            return Vec::new();
        }
        let retry_after = self.drain_time();
        let waiting = std::mem::take(&mut self.waiting).into_values();
        waiting
            .map(|(_, item)| Dequeued::Refuse(item, retry_after))
            .collect()
    }

    /// Sets the rate that the upstream takes, in requests a second; none without a
    /// limit. Returns the queued requests that may start without one.
    pub fn set_max_rate(&mut self, max_rate: Option<f64>, now: Instant) -> Vec<Dequeued<T>> {
        match (max_rate, &mut self.pacer) {
            (Some(rate), Some(pacer)) => pacer.set_rate(rate),
            (Some(rate), None) => self.pacer = Some(Pacer::new(rate, now)),
            (None, None) => return Vec::new(),
            (None, Some(_)) => self.pacer = None,
        }
        self.dequeue(now)
    }

    /// Returns the time after which [`Self::dequeue`] starts a queued request; none
    /// unless the limit of the upstream is what it waits for.
    pub fn pacing_delay(&self, now: Instant) -> Option<Duration> {
        let has_free_slot = self.running < self.concurrency && !self.waiting.is_empty();
        let pacer = self.pacer.as_ref().filter(|_| has_free_slot)?;
        Some(pacer.delay(now))
    }

    /// Returns the number of requests that the upstream runs at a time at most: its
    /// slots, or fewer if its limit cannot keep them busy.
    pub fn capacity(&self) -> f64 {
        let slots = self.concurrency as f64;
        match (&self.pacer, self.mean_estimate) {
            (Some(pacer), Some(estimate)) => slots.min(pacer.rate() * estimate).max(MIN_CAPACITY),
            _ => slots,
        }
    }

    /// Returns whether the upstream gets only one request at a time.
    pub fn is_probing(&self) -> bool {
        self.is_probing
    }

    /// Returns the number of requests that run or wait.
    pub fn load(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Decides on a request; `item` is stored while it is queued.
    pub fn offer(
        &mut self,
        req: AdmissionRequest,
        item: impl FnOnce() -> T,
        now: Instant,
    ) -> AdmissionDecision {
        self.record_arrival(&req, now);
        if self.is_probing && self.running > 0 {
            return AdmissionDecision::Refuse {
                retry_after: self.drain_time(),
            };
        }
        if self.running < self.concurrency && self.waiting.is_empty() && self.is_paced(now) {
            // A free slot is always used, whatever the estimate: a wrong estimate is
            // only corrected by running requests.
            self.start(&req, now);
            return AdmissionDecision::Run;
        }
        let ticket = self.ticket_for(&req, now);
        let wait = self.expected_wait(&ticket, now);
        let required = match ticket.misses_target {
            true => (wait + req.upper_estimate).mul_f64(LATE_DEADLINE_FACTOR),
            false => wait + req.estimate,
        };
        let is_starved = ticket.misses_target && self.is_late_starved(req.priority);
        let should_run_elsewhere = ticket.misses_target && !req.may_miss_target;
        if is_starved || should_run_elsewhere || now + required > req.deadline {
            return AdmissionDecision::Refuse {
                retry_after: self.drain_time(),
            };
        }
        self.next_sequence += 1;
        self.waiting.insert(ticket, (req, item()));
        AdmissionDecision::Wait(ticket)
    }

    /// Removes a queued request that its caller abandoned.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let late_ticket = Ticket {
            misses_target: true,
            ..*ticket
        };
        let removed = self
            .waiting
            .remove(ticket)
            .map(|removed| (*ticket, removed));
        let (ticket, (_, item)) =
            removed.or_else(|| Some((late_ticket, self.waiting.remove(&late_ticket)?)))?;
        self.record_late_result(&ticket, false);
        Some(item)
    }

    /// Updates the share of late requests that ran.
    fn record_late_result(&mut self, ticket: &Ticket, has_run: bool) {
        if ticket.misses_target {
            let sample = if has_run { 1.0 } else { 0.0 };
            let run_share = self.late_run_share.entry(ticket.priority).or_insert(1.0);
            *run_share += (sample - *run_share) * LATE_SAMPLE_WEIGHT;
        }
    }

    /// Returns whether most late requests of a priority were overtaken until they
    /// could no longer run.
    fn is_late_starved(&mut self, priority: Priority) -> bool {
        let Some(run_share) = self.late_run_share.get_mut(&priority) else {
            return false;
        };
        let is_starved = *run_share < MIN_LATE_RUN_SHARE;
        if is_starved {
            *run_share += LATE_SHARE_RECOVERY;
        }
        is_starved
    }

    /// Releases the slot of a finished request; returns the requests that leave the
    /// queue.
    pub fn finish(&mut self, estimate: Duration, now: Instant) -> Vec<Dequeued<T>> {
        self.running = self.running.saturating_sub(1);
        self.running_work = self.running_work.saturating_sub(estimate);
        self.dequeue(now)
    }

    /// Starts queued requests while slots are free and the limit allows it; returns
    /// the requests that leave the queue.
    pub fn dequeue(&mut self, now: Instant) -> Vec<Dequeued<T>> {
        let mut dequeued = Vec::new();
        while self.running < self.concurrency && self.is_paced(now) {
            let Some((ticket, (req, item))) = self.pop_next() else {
                break;
            };
            let cannot_finish = now + req.estimate.mul_f64(MIN_REMAINING_SHARE) > req.deadline;
            if !cannot_finish && self.should_demote(&ticket, &req, now) {
                let late_ticket = Ticket {
                    misses_target: true,
                    ..ticket
                };
                self.waiting.insert(late_ticket, (req, item));
                continue;
            }
            self.record_late_result(&ticket, !cannot_finish);
            if cannot_finish {
                dequeued.push(Dequeued::Refuse(item, self.drain_time()));
                continue;
            }
            self.record_nested_share(&req);
            self.start(&req, now);
            dequeued.push(Dequeued::Run(item));
        }
        let mut all = self.refuse_hopeless(now);
        all.append(&mut dequeued);
        all
    }

    /// Removes the queued requests that will not run before their deadlines, since
    /// more urgent ones keep overtaking them: their callers can still go elsewhere.
    fn refuse_hopeless(&mut self, now: Instant) -> Vec<Dequeued<T>> {
        let mut ahead = self.mean_running_work();
        let mut hopeless = Vec::new();
        // Tickets are in order of priority, so the share is computed once for each.
        let mut last_share = None;
        for (ticket, (req, _)) in &self.waiting {
            let share = match last_share {
                Some((priority, share)) if priority == ticket.priority => share,
                _ => self.urgent_share(ticket.priority, now),
            };
            last_share = Some((ticket.priority, share));
            let wait = self.per_slot(ahead).div_f64(1.0 - share);
            let required = wait.mul_f64(HOPELESS_WAIT_SHARE) + req.estimate;
            match now + required > req.deadline {
                true => hopeless.push(*ticket),
                false => ahead += req.estimate,
            }
        }
        if hopeless.is_empty() {
            return Vec::new();
        }
        let retry_after = self.drain_time();
        let mut refused = Vec::with_capacity(hopeless.len());
        for ticket in hopeless {
            if let Some((_, item)) = self.waiting.remove(&ticket) {
                self.record_late_result(&ticket, false);
                refused.push(Dequeued::Refuse(item, retry_after));
            }
        }
        refused
    }

    fn record_arrival(&mut self, req: &AdmissionRequest, now: Instant) {
        let none = WorkRate {
            slots: 0.0,
            updated: now,
        };
        let rate = self.arrivals.entry(req.priority).or_insert(none);
        rate.add(req.estimate, now);
        let estimate = req.estimate.as_secs_f64();
        let mean = self.mean_estimate.get_or_insert(estimate);
        *mean += (estimate - *mean) * ESTIMATE_SAMPLE_WEIGHT;
    }

    /// Returns the share of the slots that more urgent requests take at the rate at
    /// which they arrive.
    fn urgent_share(&self, priority: Priority, now: Instant) -> f64 {
        let concurrency = self.capacity();
        let more_urgent = self.arrivals.range(..priority);
        let shares = more_urgent.map(|(urgent, rate)| {
            let share = rate.at(now) / concurrency;
            match *urgent == NESTED_CALLS {
                true => share.min(MAX_NESTED_SHARE),
                false => share,
            }
        });
        shares.sum::<f64>().min(MAX_URGENT_SHARE)
    }

    /// Removes the next request from the queue: the first, or the first that is not
    /// a nested call while nested calls have received more than half.
    fn pop_next(&mut self) -> Option<(Ticket, (AdmissionRequest, T))> {
        let first_other = self
            .waiting
            .keys()
            .find(|ticket| ticket.priority != NESTED_CALLS);
        match first_other.copied().filter(|_| self.nested_surplus > 0.0) {
            Some(ticket) => self.waiting.remove_entry(&ticket),
            None => self.waiting.pop_first(),
        }
    }

    /// Adds the work of a dequeued request to the surplus, or subtracts it, if both
    /// kinds wait; resets the surplus if only one does.
    fn record_nested_share(&mut self, req: &AdmissionRequest) {
        let is_nested = req.priority == NESTED_CALLS;
        let mut waiting = self.waiting.keys();
        let is_contended = waiting.any(|ticket| (ticket.priority == NESTED_CALLS) != is_nested);
        let work = req.estimate.as_secs_f64();
        match (is_contended, is_nested) {
            (true, true) => self.nested_surplus += work,
            (true, false) => self.nested_surplus -= work,
            (false, _) => self.nested_surplus = 0.0,
        }
    }

    /// Returns whether a request that is about to run can no longer meet its target
    /// while others of its priority can still meet theirs.
    fn should_demote(&self, ticket: &Ticket, req: &AdmissionRequest, now: Instant) -> bool {
        let next = self.waiting.first_key_value().map(|(next, _)| next);
        let others_meet_target =
            next.is_some_and(|next| next.priority == ticket.priority && !next.misses_target);
        !ticket.misses_target && now + req.estimate > req.target && others_meet_target
    }

    /// Returns the expected time until all running and queued requests have ended.
    pub fn drain_time(&self) -> Duration {
        let waiting: Duration = self.waiting.values().map(|(req, _)| req.estimate).sum();
        self.per_slot(waiting + self.running_work / 2)
    }

    /// Returns whether the limit of the upstream allows a request to start.
    fn is_paced(&self, now: Instant) -> bool {
        self.pacer.is_none_or(|pacer| pacer.delay(now).is_zero())
    }

    fn start(&mut self, req: &AdmissionRequest, now: Instant) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record_start(now);
        }
        self.running += 1;
        self.running_work += req.estimate;
    }

    fn ticket_for(&self, req: &AdmissionRequest, now: Instant) -> Ticket {
        let ticket = Ticket {
            priority: req.priority,
            misses_target: false,
            target: req.target,
            sequence: self.next_sequence,
        };
        let expected_end = now + self.expected_wait(&ticket, now) + req.upper_estimate;
        Ticket {
            misses_target: expected_end > req.target,
            ..ticket
        }
    }

    /// Returns how long a request with this ticket would wait.
    fn expected_wait(&self, ticket: &Ticket, now: Instant) -> Duration {
        let is_nested = ticket.priority == NESTED_CALLS;
        let (mut same_kind, mut other_kind) = (Duration::ZERO, Duration::ZERO);
        for (waiting, (req, _)) in &self.waiting {
            match (waiting.priority == NESTED_CALLS) == is_nested {
                true if waiting < ticket => same_kind += req.estimate,
                true => {}
                false => other_kind += req.estimate,
            }
        }
        // Neither kind gets more than half while the other waits.
        let work_ahead = same_kind + other_kind.min(same_kind.max(self.mean_running_work()));
        // Slots become free one after the other: the first after the mean running
        // time divided by the number of slots.
        let wait = self.per_slot(work_ahead + self.mean_running_work());
        match &self.pacer {
            Some(pacer) => wait.max(pacer.delay(now) + self.per_slot(work_ahead)),
            None => wait,
        }
    }

    /// Returns the mean estimate of the running requests.
    fn mean_running_work(&self) -> Duration {
        self.running_work / u32::try_from(self.running.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the time that the upstream needs for `work` with all slots in use, or
    /// at its limit.
    fn per_slot(&self, work: Duration) -> Duration {
        work.div_f64(self.capacity())
    }
}

/// Share of recent late requests that must have run for more to be queued. Under
/// sustained overload, requests that meet their targets overtake late ones until
/// their deadlines, and an immediate refusal is better for the callers.
const MIN_LATE_RUN_SHARE: f64 = 0.5;
/// Weight of one late request in that share.
const LATE_SAMPLE_WEIGHT: f64 = 0.1;
/// What each refusal adds to the share, so that late requests are queued again
/// from time to time.
const LATE_SHARE_RECOVERY: f64 = 0.005;
/// A late request is queued only if this many times its expected wait plus upper
/// service time estimate fit before its deadline. Requests that can meet their
/// targets keep overtaking it, and one that runs close to its deadline takes the
/// slot of a new request and may finish too late.
const LATE_DEADLINE_FACTOR: f64 = 2.0;

/// Weight of one request in the mean estimate.
const ESTIMATE_SAMPLE_WEIGHT: f64 = 0.05;
/// Least capacity, in slots, at a limit or an estimate close to 0.
const MIN_CAPACITY: f64 = 0.01;
/// Time over which the rate of arrivals is averaged: several service times, and
/// less than the time that callers commonly have.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(500);
/// Largest share of the slots that nested calls take while other requests wait.
const MAX_NESTED_SHARE: f64 = 0.5;
/// Upper limit of the share of the slots that counts as taken by more urgent
/// requests; bursts end.
const MAX_URGENT_SHARE: f64 = 0.8;
/// A queued request counts as hopeless only if this share of its expected wait is
/// too long already, since the expectation varies.
const HOPELESS_WAIT_SHARE: f64 = 0.85;

/// A queued request is refused when less than this share of its estimate is left
/// before its deadline. About half of all requests take less than the estimate.
const MIN_REMAINING_SHARE: f64 = 0.6;
