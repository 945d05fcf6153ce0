//! Ends a node without cutting a request.

use crate::Router;
use ibiscove_ranges::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two looks at what still runs.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the least time after which idle connections are closed, so that
/// callers come back elsewhere.
const CLOSE_IDLE_AFTER: f64 = 0.5;

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Leaves: callers and other nodes are told, keys are given away, and
    /// requests in flight end.
    pub async fn leave(&self) {
        let inner = &self.inner;
        log::info!("leaving");
        inner.leaving.store(true, Ordering::Release);
        if let Some(keeper) = inner.keeper.get() {
            keeper.leave();
        }
        inner.pushed.notify(usize::MAX);
        let began = inner.clock.now();
        let elapsed = || inner.clock.now().saturating_duration_since(began);
        let close_idle = inner.settings.leave_at_least.mul_f64(CLOSE_IDLE_AFTER);
        let mut is_closing = false;
        while elapsed() < inner.settings.leave_at_most {
            if !is_closing && elapsed() >= close_idle {
                inner.callers.drain();
                is_closing = true;
            }
            let is_busy = inner.callers.busy() + inner.peer_server.busy() > 0;
            let owns = inner.keeper.get().is_some_and(|keeper| keeper.owns_any());
            if !is_busy && !owns && elapsed() >= inner.settings.leave_at_least {
                break;
            }
            inner.clock.sleep(LOOK_INTERVAL).await;
        }
        let lived = inner.clock.now().saturating_duration_since(inner.started);
        log::info!(took_ms = elapsed().as_millis() as u64, lived_s = lived.as_secs(),
            left = inner.callers.busy() + inner.peer_server.busy(); "left");
    }
}
