//! Places in the admission queue and permits to run requests at the upstream.

use super::Inner;
use ibiscove_routing::admission::{Dequeued, Ticket};
use smol::channel::{Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Item of the admission queue. Its channel delivers the permit of the request,
/// or a time after which there may be free capacity.
pub(super) struct Waiter<K, C> {
    pub(super) tx: Sender<Result<Permit<K, C>, Duration>>,
    pub(super) estimate: Duration,
}

/// Permission to run one request at the upstream. Dropping it admits the next.
pub struct Permit<K, C> {
    pub(super) gate: Arc<Inner<K, C>>,
    pub(super) estimate: Duration,
}

impl<K, C> Drop for Permit<K, C> {
    fn drop(&mut self) {
        // Dequeued requests are notified without the lock: the permit of one that
        // was abandoned meanwhile is dropped, which re-enters this function.
        let dequeued = self.gate.admission().finish(self.estimate, Instant::now());
        Inner::notify(&self.gate, dequeued);
        // The freed slot may be one for which the next request must be paced.
        self.gate.pacing_due.notify(1);
    }
}

/// A request's place in the queue. Dropping it removes the request.
pub(super) struct QueueGuard<K, C> {
    pub(super) gate: Arc<Inner<K, C>>,
    pub(super) ticket: Ticket,
    pub(super) rx: Receiver<Result<Permit<K, C>, Duration>>,
}

impl<K, C> Drop for QueueGuard<K, C> {
    fn drop(&mut self) {
        drop(self.gate.admission().cancel(&self.ticket));
    }
}

impl<K, C> Inner<K, C> {
    /// Delivers permits and refusals to dequeued requests.
    pub(super) fn notify(gate: &Arc<Self>, dequeued: Vec<Dequeued<Waiter<K, C>>>) {
        for request in dequeued {
            match request {
                Dequeued::Run(waiter) => {
                    let permit = Permit {
                        gate: Arc::clone(gate),
                        estimate: waiter.estimate,
                    };
                    drop(waiter.tx.try_send(Ok(permit)));
                }
                Dequeued::Refuse(waiter, retry_after) => {
                    drop(waiter.tx.try_send(Err(retry_after)));
                }
            }
        }
    }
}
