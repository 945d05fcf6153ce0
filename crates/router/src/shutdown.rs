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
/// Time before the earliest end at which other nodes are told to turn away from
/// an upstream of a shared service. Most requests take less, and the others have
/// until the latest end.
const TURN_AWAY_BEFORE: Duration = Duration::from_millis(800);

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Leaves: callers and other nodes are told, keys are given away, and
    /// requests in flight end.
    pub async fn shut_down(&self) {
        let inner = &self.inner;
        log::info!("leaving");
        inner.leaving.store(true, Ordering::Release);
        if let Some(keeper) = inner.keeper.get() {
            keeper.leave();
            // Nobody must give it keys any more.
            self.turn_away();
        }
        let began = inner.clock.now();
        let elapsed = || inner.clock.now().saturating_duration_since(began);
        let close_idle = inner
            .settings
            .min_shutdown_duration
            .mul_f64(CLOSE_IDLE_AFTER);
        let turn_away = inner
            .settings
            .min_shutdown_duration
            .saturating_sub(TURN_AWAY_BEFORE);
        let mut is_closing = false;
        while elapsed() < inner.settings.max_shutdown_duration {
            if !is_closing && elapsed() >= close_idle {
                inner.callers.drain();
                is_closing = true;
            }
            if elapsed() >= turn_away {
                self.turn_away();
            }
            if elapsed() >= inner.settings.min_shutdown_duration {
                // What is still sent here, as to the owner of keys that the table
                // keeps from moving, could not end before the node does.
                inner.gate.close();
            }
            let is_busy = inner.callers.in_flight() + inner.peer_server.in_flight() > 0;
            let owns = inner
                .keeper
                .get()
                .is_some_and(|keeper| keeper.owns_any_range());
            if !is_busy && !owns && elapsed() >= inner.settings.min_shutdown_duration {
                break;
            }
            inner.clock.sleep(LOOK_INTERVAL).await;
        }
        let lived = inner.clock.now().saturating_duration_since(inner.started);
        log::info!(took_ms = elapsed().as_millis() as u64, lived_s = lived.as_secs(),
            left = inner.callers.in_flight() + inner.peer_server.in_flight(); "left");
    }

    /// Tells the other nodes to send nothing more.
    fn turn_away(&self) {
        if !self.inner.turned_away.swap(true, Ordering::AcqRel) {
            self.inner.pushed.notify(usize::MAX);
        }
    }
}
