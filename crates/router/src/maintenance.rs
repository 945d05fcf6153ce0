//! Periodic maintenance: failure detection of the local upstream, load reports to
//! the range controller, and removal of obsolete state.

use crate::{Router, metrics_page};
use ibiscove_ranges::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock};
use std::time::Duration;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks between two removals of obsolete state.
const CHECKS_PER_PRUNE: u32 = 8;

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    pub(crate) async fn run_maintenance(self) {
        let inner = &self.inner;
        let mut checks = 0_u32;
        loop {
            inner.clock.sleep(CHECK_INTERVAL).await;
            let now = inner.clock.now();
            self.update_config_lag();
            if inner.local_upstream.expire_if_unresponsive(now)
                && let Some(controller) = inner.range_controller.get()
            {
                controller.record_upstream_gone();
            }
            if let (Some(controller), Some(_)) =
                (inner.range_controller.get(), inner.local_upstream.current())
            {
                let load = inner.gate.load();
                let concurrency = f64::from(load.concurrency.max(1));
                controller
                    .record_utilisation(f64::from(load.load) / concurrency, load.service_time);
            }
            checks += 1;
            if checks.is_multiple_of(CHECKS_PER_PRUNE) {
                inner.entry.prune();
                metrics_page::merge_samples();
            }
        }
    }
}
