//! Grants the upstream its ranges and renews the grants.

use super::RangeController;
use crate::grants::{GrantCall, GrantReply, Grantee};
use futures_lite::FutureExt;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, SinceBoot};
use std::time::Duration;

/// Time between two looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn keep_grants(&self) {
        loop {
            let woken = self.inner.wake.listen();
            let changed = self.inner.parts.maps.changed();
            self.send_due().await;
            let look = self.inner.parts.clock.sleep(LOOK_INTERVAL);
            look.or(woken).or(changed).await;
        }
    }

    /// Sends what is due, one call after the other: an upstream takes few
    /// connections while it is busy. Stops at the first call that fails.
    async fn send_due(&self) {
        while let Some((call, sent)) = self.next_grant() {
            let reply = self.grant(&call, sent).await;
            match reply {
                GrantReply::Granted => continue,
                // Somebody else owned these keys since: the map is behind.
                GrantReply::FenceSeen => {
                    if let Err(err) = self.read_rows().await {
                        log::warn!("the map cannot be read again: {err}");
                    }
                }
                GrantReply::Refused | GrantReply::NotSent | GrantReply::Unanswered => {}
            }
            return;
        }
    }

    fn next_grant(&self) -> Option<(GrantCall, SinceBoot)> {
        let now = self.inner.parts.clock.since_boot();
        let mut state = self.state();
        let owner = self.owner(&state)?;
        state.grants.follow(self.map()?.map.owned_by(&owner));
        let lease_end = self.lease_end(&state)?;
        let settings = &self.inner.parts.settings.grants;
        let call = state
            .grants
            .next_due(settings, &owner.life, lease_end, now)?;
        Some((call, now))
    }

    async fn grant(&self, call: &GrantCall, sent: SinceBoot) -> GrantReply {
        let timeout = async {
            self.inner
                .parts
                .clock
                .sleep(self.inner.parts.settings.grants.call_timeout)
                .await;
            GrantReply::Unanswered
        };
        let reply = self
            .inner
            .parts
            .grantee
            .grant(call.clone())
            .or(timeout)
            .await;
        self.state().grants.answered(call, reply, sent);
        if reply != GrantReply::Granted {
            metrics::counter!("ibiscove_grant_failures_total").increment(1);
            log::warn!(
                service = &*self.inner.parts.service, first = call.range.first,
                last = call.range.last, fence = call.fence, reply:? = reply;
                "a grant failed"
            );
        }
        reply
    }
}
