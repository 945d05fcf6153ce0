//! The concurrency limiter and the queue of the local upstream.
//!
//! Requests of all entries pass here, so that together they respect the
//! upstream's concurrency and connection limits. A permit is the right to one
//! running request and one connection; it lives until the response has been
//! read or given up.

use ibiscove_routing::limit::{Completion, ConcurrencyLimit};
use ibiscove_routing::queue::{Class, FairQueue, ServiceRate};
use ibiscove_types::{Reason, UpstreamSpec};
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Assumed service time before the first response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(2);

/// The right to one running request and one connection of the upstream.
#[derive(Debug)]
pub(crate) struct Permit {
    limiter: Option<Arc<Limiter>>,
}

impl Permit {
    /// Records how the permit's request completed, from which the limit is
    /// adapted.
    pub(crate) fn record(&self, completion: Completion, elapsed: Duration, now: Instant) {
        if let Some(limiter) = &self.limiter {
            limiter.state().limit.record(completion, elapsed, now);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limiter) = self.limiter.take() {
            limiter.release();
        }
    }
}

#[derive(Debug)]
struct LimiterState {
    limit: ConcurrencyLimit,
    in_flight: u32,
    queue: FairQueue<Sender<Permit>>,
}

impl LimiterState {
    fn has_capacity(&self) -> bool {
        self.in_flight < self.limit.get()
    }

    fn service_rate(&self) -> ServiceRate {
        ServiceRate {
            service_time: self.limit.typical_latency().unwrap_or(INITIAL_SERVICE_TIME),
            concurrency: self.limit.get(),
        }
    }
}

/// The load of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Running requests.
    pub(crate) in_flight: u32,
    /// Queued requests.
    pub(crate) queued: u32,
    /// Concurrency limit.
    pub(crate) limit: u32,
    /// Whether the upstream's caches are still cold.
    pub(crate) warming: bool,
}

impl Load {
    /// Returns the running and queued requests for each unit of the concurrency
    /// limit.
    pub(crate) fn relative_to_limit(self) -> f64 {
        f64::from(self.in_flight + self.queued) / f64::from(self.limit.max(1))
    }
}

/// The concurrency limiter of one upstream.
#[derive(Debug)]
pub(crate) struct Limiter {
    state: Mutex<LimiterState>,
}

/// A request for a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitRequest {
    /// The class whose requests share a turn in the fair queue.
    pub(crate) class: Class,
    pub(crate) deadline: Instant,
    pub(crate) now: Instant,
    /// Capacity of the queue, in requests.
    pub(crate) queue_capacity: u32,
}

impl Limiter {
    /// Creates the limiter of an upstream, whose caches are `cold` or not.
    pub(crate) fn new(spec: &UpstreamSpec, cold: bool) -> Self {
        let max_concurrency = spec.concurrency.min(spec.connections);
        let state = LimiterState {
            limit: ConcurrencyLimit::new(max_concurrency, cold),
            in_flight: 0,
            queue: FairQueue::default(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Acquires a permit, waiting for it until `timeout`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        req: PermitRequest,
        timeout: impl Future<Output = ()> + Send,
    ) -> Result<Permit, Reason> {
        let rx = match self.acquire_or_queue(req)? {
            AcquireResult::Granted(permit) => return Ok(permit),
            AcquireResult::Queued(rx) => rx,
        };
        // A permit sent to a request that has stopped waiting is dropped with
        // the channel, which releases it.
        let granted = async { rx.recv().await.map_err(|_| Reason::Overloaded) };
        let timeout = async {
            timeout.await;
            Err(Reason::Overloaded)
        };
        granted.or(timeout).await
    }

    /// Returns the load of the upstream.
    pub(crate) fn load(&self) -> Load {
        let state = self.state();
        Load {
            in_flight: state.in_flight,
            queued: state.queue.len() as u32,
            limit: state.limit.get(),
            warming: state.limit.is_warming(),
        }
    }

    fn acquire_or_queue(self: &Arc<Self>, req: PermitRequest) -> Result<AcquireResult, Reason> {
        let mut state = self.state();
        if state.queue.is_empty() && state.has_capacity() {
            state.in_flight += 1;
            return Ok(AcquireResult::Granted(self.permit()));
        }
        let (tx, rx) = bounded(1);
        let service_rate = state.service_rate();
        state.queue.set_capacity(req.queue_capacity as usize);
        let displaced = state
            .queue
            .push(req.class, req.deadline, req.now, service_rate, tx);
        drop(state);
        // Dropping the sender of a displaced request notifies it.
        drop(displaced.map_err(|_| Reason::Overloaded)?);
        Ok(AcquireResult::Queued(rx))
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            limiter: Some(Arc::clone(self)),
        }
    }

    /// Releases a permit, and grants it to the next queued request.
    fn release(self: Arc<Self>) {
        self.state().in_flight -= 1;
        while let Some(tx) = self.dequeue() {
            if let Err(undelivered) = tx.try_send(self.permit()) {
                // The request has stopped waiting. The count is corrected here,
                // since dropping the permit would re-enter this function.
                undelivered.into_inner().limiter = None;
                self.state().in_flight -= 1;
            }
        }
    }

    /// Dequeues the next waiting request and counts it as running, if there is
    /// free capacity.
    fn dequeue(&self) -> Option<Sender<Permit>> {
        let mut state = self.state();
        while state.has_capacity() {
            let tx = state.queue.pop()?;
            if !tx.is_closed() {
                state.in_flight += 1;
                return Some(tx);
            }
        }
        None
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum AcquireResult {
    Granted(Permit),
    Queued(Receiver<Permit>),
}
