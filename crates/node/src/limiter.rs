//! The requests that run at the upstream beside this node, and those that wait.
//!
//! Every entry's requests pass here, so that all together respect the
//! upstream's slots and connections. A permit is one slot and one connection;
//! it lives until the answer has been read or given up.

use ibiscove_routing::limit::{Completion, ConcurrencyLimit};
use ibiscove_routing::queue::{Class, FairQueue, ServiceRate};
use ibiscove_types::{Reason, UpstreamSpec};
use smol::channel::{Receiver, Sender, bounded};
use smol::future::FutureExt;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time of a request that is expected before the first answer.
const FIRST_GUESS: Duration = Duration::from_millis(2);

/// A slot and a connection of the upstream.
#[derive(Debug)]
pub(crate) struct Permit {
    limiter: Option<Arc<Limiter>>,
}

impl Permit {
    /// Takes the end of the permit's request for the limit.
    pub(crate) fn note(&self, ended: Completion, took: Duration, now: Instant) {
        if let Some(limiter) = &self.limiter {
            limiter.state().limit.record(ended, took, now);
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
struct State {
    limit: ConcurrencyLimit,
    in_flight: u32,
    queue: FairQueue<Sender<Permit>>,
}

impl State {
    fn has_room(&self) -> bool {
        self.in_flight < self.limit.get()
    }

    fn pace(&self) -> ServiceRate {
        ServiceRate {
            service_time: self.limit.typical_latency().unwrap_or(FIRST_GUESS),
            concurrency: self.limit.get(),
        }
    }
}

/// How much an upstream has to do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests that run.
    pub(crate) in_flight: u32,
    /// Requests that wait.
    pub(crate) queued: u32,
    /// Requests that may run at a time.
    pub(crate) limit: u32,
    /// Whether the upstream's caches are still cold.
    pub(crate) warming: bool,
}

impl Load {
    /// Requests that run or wait, for each that may run at a time.
    pub(crate) fn per_slot(self) -> f64 {
        f64::from(self.in_flight + self.queued) / f64::from(self.limit.max(1))
    }
}

/// The limiter of one upstream.
#[derive(Debug)]
pub(crate) struct Limiter {
    state: Mutex<State>,
}

/// What a request tells when it asks for a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask {
    /// What it shares its turns with.
    pub(crate) class: Class,
    pub(crate) deadline: Instant,
    pub(crate) now: Instant,
    /// Requests that may wait at a time.
    pub(crate) queue: u32,
}

impl Limiter {
    /// The limiter of an upstream, whose caches are `cold` or not.
    pub(crate) fn new(spec: &UpstreamSpec, cold: bool) -> Self {
        let ceiling = spec.concurrency.min(spec.connections);
        let state = State {
            limit: ConcurrencyLimit::new(ceiling, cold),
            in_flight: 0,
            queue: FairQueue::default(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Takes a permit, and waits for one until `timeout`.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        ask: Ask,
        timeout: impl Future<Output = ()> + Send,
    ) -> Result<Permit, Reason> {
        let rx = match self.take_or_queue(ask)? {
            Turn::Now(permit) => return Ok(permit),
            Turn::Later(rx) => rx,
        };
        // A permit that is sent to a caller who has left is dropped with the
        // channel, which gives it back.
        let turn = async { rx.recv().await.map_err(|_| Reason::Overloaded) };
        let timeout = async {
            timeout.await;
            Err(Reason::Overloaded)
        };
        turn.or(timeout).await
    }

    /// How much the upstream has to do.
    pub(crate) fn load(&self) -> Load {
        let state = self.state();
        Load {
            in_flight: state.in_flight,
            queued: state.queue.len() as u32,
            limit: state.limit.get(),
            warming: state.limit.is_warming(),
        }
    }

    fn take_or_queue(self: &Arc<Self>, ask: Ask) -> Result<Turn, Reason> {
        let mut state = self.state();
        if state.queue.is_empty() && state.has_room() {
            state.in_flight += 1;
            return Ok(Turn::Now(self.permit()));
        }
        let (tx, rx) = bounded(1);
        let pace = state.pace();
        state.queue.set_capacity(ask.queue as usize);
        let dropped = state.queue.push(ask.class, ask.deadline, ask.now, pace, tx);
        drop(state);
        // Dropping the sender of one that made room tells it so.
        drop(dropped.map_err(|_| Reason::Overloaded)?);
        Ok(Turn::Later(rx))
    }

    fn permit(self: &Arc<Self>) -> Permit {
        Permit {
            limiter: Some(Arc::clone(self)),
        }
    }

    /// Gives a permit back, and to whoever waits.
    fn release(self: Arc<Self>) {
        self.state().in_flight -= 1;
        while let Some(tx) = self.next() {
            if let Err(refused) = tx.try_send(self.permit()) {
                // It has stopped waiting. The count is put right here, since
                // dropping the permit would come back to this function.
                refused.into_inner().limiter = None;
                self.state().in_flight -= 1;
            }
        }
    }

    /// Counts the next one that waits as running, if there is room.
    fn next(&self) -> Option<Sender<Permit>> {
        let mut state = self.state();
        while state.has_room() {
            let tx = state.queue.pop()?;
            if !tx.is_closed() {
                state.in_flight += 1;
                return Some(tx);
            }
        }
        None
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Turn {
    Now(Permit),
    Later(Receiver<Permit>),
}
