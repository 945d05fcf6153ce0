//! One upstream of the model: servers behind a queue, with the gate's limits.

use ibiscove_routing::limit::{Completion, ConcurrencyLimit};
use ibiscove_routing::queue::{FairQueue, ServiceRate};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time of a request that is expected before the first answer.
const FIRST_GUESS: Duration = Duration::from_millis(2);

/// A request of the model.
#[derive(Clone, Copy, Debug)]
pub struct Req {
    /// When it came.
    pub came: Instant,
    /// When its answer is too late.
    pub deadline: Instant,
    /// The entry that sent it.
    pub entry: usize,
    /// Hash of its key.
    pub key: u64,
    /// Work that it takes, in seconds at an upstream of usual speed.
    pub work: f64,
}

/// How requests wait.
pub enum Waiting {
    /// As at a gate: bounded, fair and aware of deadlines.
    Fair(FairQueue<Req>),
    /// Baseline: first come, first served, without bound.
    Fifo(VecDeque<Req>),
}

/// One upstream of the model.
pub struct Upstream {
    servers: u32,
    limit: ConcurrencyLimit,
    waiting: Waiting,
    in_flight: u32,
    /// How many times longer than usual it takes.
    pub slowness: f64,
    /// Busy time of its servers, in seconds.
    pub busy: f64,
}

impl Upstream {
    /// An idle upstream.
    pub fn new(servers: u32, waiting: Waiting) -> Self {
        Self {
            servers,
            limit: ConcurrencyLimit::new(servers, false),
            waiting,
            in_flight: 0,
            slowness: 1.0,
            busy: 0.0,
        }
    }

    /// Requests that run or wait, for each server.
    pub fn load(&self) -> f64 {
        let queued = match &self.waiting {
            Waiting::Fair(queue) => queue.len(),
            Waiting::Fifo(queue) => queue.len(),
        };
        (f64::from(self.in_flight) + queued as f64) / f64::from(self.servers)
    }

    /// Takes a request to run or wait; requests that are refused come back.
    pub fn arrive(&mut self, req: Req, now: Instant) -> Vec<Req> {
        let rate = ServiceRate {
            service_time: self.limit.typical_latency().unwrap_or(FIRST_GUESS),
            concurrency: self.limit.get(),
        };
        match &mut self.waiting {
            Waiting::Fifo(queue) => {
                queue.push_back(req);
                Vec::new()
            }
            Waiting::Fair(queue) => match queue.push(req.key, req.deadline, now, rate, req) {
                Ok(dropped) => dropped.into_iter().collect(),
                Err(_) => vec![req],
            },
        }
    }

    /// Starts the next request if there is room; with it the time it takes.
    pub fn start(&mut self) -> Option<(Req, Duration)> {
        let room = match &self.waiting {
            Waiting::Fair(_) => self.limit.get(),
            Waiting::Fifo(_) => self.servers,
        };
        if self.in_flight >= room {
            return None;
        }
        let req = match &mut self.waiting {
            Waiting::Fair(queue) => queue.pop()?,
            Waiting::Fifo(queue) => queue.pop_front()?,
        };
        self.in_flight += 1;
        let took = req.work * self.slowness;
        self.busy += took;
        Some((req, Duration::from_secs_f64(took)))
    }

    /// Takes the end of a request that took `took`.
    pub fn end(&mut self, took: Duration, now: Instant) {
        self.in_flight -= 1;
        self.limit.record(Completion::Responded, took, now);
    }
}
