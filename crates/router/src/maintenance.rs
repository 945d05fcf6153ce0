//! What a node looks at again and again.

use crate::Router;
use ibiscove_ranges::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock};
use std::time::Duration;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Looks between two rounds of forgetting what is no longer needed.
const LOOKS_PER_PRUNE: u32 = 8;

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    pub(crate) async fn upkeep(self) {
        let inner = &self.inner;
        let mut looks = 0_u32;
        loop {
            inner.clock.sleep(LOOK_INTERVAL).await;
            let now = inner.clock.now();
            if inner.local_upstream.expire_if_unresponsive(now)
                && let Some(keeper) = inner.keeper.get()
            {
                // It may live on behind a partition, with its grants.
                keeper.record_upstream_gone(false);
            }
            if let (Some(keeper), Some(present)) =
                (inner.keeper.get(), inner.local_upstream.current())
            {
                let slots = f64::from(present.announcement.concurrency.max(1));
                let load = inner.gate.load();
                keeper.record_utilisation(f64::from(load.load) / slots, load.service_time);
            }
            looks += 1;
            if looks.is_multiple_of(LOOKS_PER_PRUNE) {
                inner.entry.prune();
            }
        }
    }
}
