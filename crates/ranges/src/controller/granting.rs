//! Issues and renews the grants of the local upstream's ranges.

use super::RangeController;
use super::eras::sync_grants;
use crate::grants::{GrantCall, GrantDelivery, GrantReply, Grantee};
use futures_lite::FutureExt;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, SinceBoot};
use std::time::Duration;

/// Interval between two checks for grants that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn maintain_grants(&self) {
        loop {
            let state_changed = self.inner.state_changed.listen();
            let map_changed = self.inner.deps.maps.changed();
            match self.inner.deps.settings.grants.delivery {
                GrantDelivery::Calls => self.send_due_grants().await,
                GrantDelivery::Reports => self.reread_doubted_map().await,
            }
            let poll = self.inner.deps.clock.sleep(POLL_INTERVAL);
            poll.or(state_changed).or(map_changed).await;
        }
    }

    /// Sends the grants that are due, one call at a time, since a saturated
    /// upstream accepts few connections. Stops at the first call that fails.
    async fn send_due_grants(&self) {
        while let Some((call, sent)) = self.next_grant() {
            let reply = self.grant(&call, sent).await;
            match reply {
                GrantReply::Granted => continue,
                // The keys have had another owner since: this node's map is out
                // of date.
                GrantReply::FenceSeen => self.reread_map().await,
                GrantReply::Refused | GrantReply::NotSent | GrantReply::Unanswered => {}
            }
            return;
        }
    }

    /// Reads the map again after the upstream has rejected a range.
    async fn reread_doubted_map(&self) {
        let is_doubted = std::mem::take(&mut self.state().is_map_doubted);
        if is_doubted {
            self.reread_map().await;
        }
    }

    async fn reread_map(&self) {
        if let Err(err) = self.read_rows().await {
            log::warn!("the range map cannot be read, the old one stays in use: {err}");
        }
    }

    fn next_grant(&self) -> Option<(GrantCall, SinceBoot)> {
        let now = self.inner.deps.clock.since_boot();
        let mut state = self.state();
        let owner = self.local_owner(&state)?;
        let map = self.current_map()?;
        sync_grants(
            &mut state.grants,
            &map,
            self.inner.deps.table.era()?,
            &owner,
        );
        let lease_end = self.lease_end(&state)?;
        let settings = &self.inner.deps.settings.grants;
        let call = state
            .grants
            .next_due_call(settings, &owner.life, lease_end, now)?;
        Some((call, now))
    }

    async fn grant(&self, call: &GrantCall, sent: SinceBoot) -> GrantReply {
        let timeout = async {
            self.inner
                .deps
                .clock
                .sleep(self.inner.deps.settings.grants.call_timeout)
                .await;
            GrantReply::Unanswered
        };
        let reply = self
            .inner
            .deps
            .grantee
            .grant(call.clone())
            .or(timeout)
            .await;
        let answered = self.inner.deps.clock.since_boot();
        let mut state = self.state();
        let is_first = state.grants.apply_reply(call, reply, sent, answered);
        drop(state);
        if is_first {
            log::info!(
                service = &*self.inner.deps.service, first = call.range.first,
                last = call.range.last, fence = call.fence,
                upstream = &*call.incarnation.id, born_ms = call.incarnation.born_ms,
                duration_ms = call.duration.as_millis() as u64;
                "keys are granted"
            );
        }
        if reply != GrantReply::Granted {
            metrics::counter!("ibiscove_grant_failures_total").increment(1);
            log::warn!(
                service = &*self.inner.deps.service, first = call.range.first,
                last = call.range.last, fence = call.fence, reply:? = reply;
                "a grant failed"
            );
        }
        reply
    }
}
