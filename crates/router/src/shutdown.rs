//! Graceful shutdown of a node, without interrupting requests.

use crate::Router;
use ibiscove_ranges::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two checks for requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the minimum shutdown duration after which idle connections are
/// closed, so that callers connect to other nodes.
const CLOSE_IDLE_SHARE: f64 = 0.5;
/// Time before the earliest exit at which other nodes are asked to stop sending
/// requests to an upstream of a shared service. Most requests take less; the
/// others have until the latest exit.
const WITHDRAW_BEFORE_EXIT: Duration = Duration::from_millis(800);

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Shuts the node down: notifies callers and other nodes, transfers its keys
    /// and waits for requests in flight.
    pub async fn shut_down(&self) {
        let inner = &self.inner;
        log::info!("leaving");
        inner.is_shutting_down.store(true, Ordering::Release);
        if let Some(controller) = inner.range_controller.get() {
            controller.leave();
            // No node may transfer keys to it any more.
            self.withdraw();
        }
        let started_at = inner.clock.now();
        let elapsed = || inner.clock.now().saturating_duration_since(started_at);
        let close_idle_after = inner
            .settings
            .min_shutdown_duration
            .mul_f64(CLOSE_IDLE_SHARE);
        let withdraw_after = inner
            .settings
            .min_shutdown_duration
            .saturating_sub(WITHDRAW_BEFORE_EXIT);
        let mut is_closing_idle = false;
        while elapsed() < inner.settings.max_shutdown_duration {
            if !is_closing_idle && elapsed() >= close_idle_after {
                inner.callers.drain();
                is_closing_idle = true;
            }
            if elapsed() >= withdraw_after {
                self.withdraw();
            }
            if elapsed() >= inner.settings.min_shutdown_duration {
                // A request that still arrives, for instance for keys that the
                // table prevents from moving, could not end before the exit.
                inner.gate.close();
            }
            let has_in_flight = inner.callers.in_flight() + inner.peer_server.in_flight() > 0;
            let owns_ranges = inner
                .range_controller
                .get()
                .is_some_and(|controller| controller.owns_any_range());
            if !has_in_flight && !owns_ranges && elapsed() >= inner.settings.min_shutdown_duration {
                break;
            }
            inner.clock.sleep(CHECK_INTERVAL).await;
        }
        let uptime = inner.clock.now().saturating_duration_since(inner.started);
        log::info!(took_ms = elapsed().as_millis() as u64, lived_s = uptime.as_secs(),
            left = inner.callers.in_flight() + inner.peer_server.in_flight(); "left");
    }

    /// Asks other nodes, by an immediate heartbeat, to send no more requests here.
    fn withdraw(&self) {
        if !self.inner.is_withdrawn.swap(true, Ordering::AcqRel) {
            self.inner.heartbeat_due.notify(usize::MAX);
        }
    }
}
