//! A simulated upstream: servers behind a queue, with the production queue and
//! concurrency limit of a gate, the role of a node that admits requests to its own
//! upstream.

use ibiscove_routing::limit::{Completion, ConcurrencyLimit};
use ibiscove_routing::queue::{FairQueue, ServiceRate};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Service time assumed before the first response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(2);

/// A simulated request.
#[derive(Clone, Copy, Debug)]
pub struct Req {
    /// Arrival time.
    pub arrived_at: Instant,
    /// Time after which its response is useless.
    pub deadline: Instant,
    /// Index of the entry, the node that took it from a caller.
    pub entry: usize,
    /// Hash of its key.
    pub key: u64,
    /// Service time at an upstream that is not slowed down, in seconds.
    pub work_s: f64,
}

/// Queue of an upstream.
pub enum Queue {
    /// As at a gate: bounded, fair and deadline-aware.
    Fair(FairQueue<Req>),
    /// Baseline: unbounded, first come, first served.
    Fifo(VecDeque<Req>),
}

/// A simulated upstream.
pub struct Upstream {
    servers: u32,
    limit: ConcurrencyLimit,
    queue: Queue,
    in_flight: u32,
    /// Factor by which service times are longer.
    pub slowdown: f64,
    /// Busy time of its servers, in seconds.
    pub busy_s: f64,
}

impl Upstream {
    /// Creates an idle upstream.
    pub fn new(servers: u32, queue: Queue) -> Self {
        Self {
            servers,
            limit: ConcurrencyLimit::new(servers, false),
            queue,
            in_flight: 0,
            slowdown: 1.0,
            busy_s: 0.0,
        }
    }

    /// Returns running and queued requests per server.
    pub fn load(&self) -> f64 {
        let queued = match &self.queue {
            Queue::Fair(queue) => queue.len(),
            Queue::Fifo(queue) => queue.len(),
        };
        (f64::from(self.in_flight) + queued as f64) / f64::from(self.servers)
    }

    /// Queues a request; returns the requests that were refused or dropped.
    pub fn offer(&mut self, req: Req, now: Instant) -> Vec<Req> {
        let rate = ServiceRate {
            service_time: self.limit.typical_latency().unwrap_or(INITIAL_SERVICE_TIME),
            concurrency: self.limit.get(),
        };
        match &mut self.queue {
            Queue::Fifo(queue) => {
                queue.push_back(req);
                Vec::new()
            }
            Queue::Fair(queue) => match queue.push(req.key, req.deadline, now, rate, req) {
                Ok(dropped) => dropped.into_iter().collect(),
                Err(_) => vec![req],
            },
        }
    }

    /// Starts the next request if a server is free; returns it with its service time.
    pub fn start(&mut self) -> Option<(Req, Duration)> {
        let limit = match &self.queue {
            Queue::Fair(_) => self.limit.get(),
            Queue::Fifo(_) => self.servers,
        };
        if self.in_flight >= limit {
            return None;
        }
        let req = match &mut self.queue {
            Queue::Fair(queue) => queue.pop()?,
            Queue::Fifo(queue) => queue.pop_front()?,
        };
        self.in_flight += 1;
        let service_time_s = req.work_s * self.slowdown;
        self.busy_s += service_time_s;
        Some((req, Duration::from_secs_f64(service_time_s)))
    }

    /// Completes a request that took `service_time`.
    pub fn end(&mut self, service_time: Duration, now: Instant) {
        self.in_flight -= 1;
        self.limit.record(Completion::Responded, service_time, now);
    }
}
