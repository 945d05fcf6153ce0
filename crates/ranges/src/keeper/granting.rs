//! Grants the upstream its ranges and renews the grants.

use super::Keeper;
use crate::grants::{GrantCall, GrantReply, Grantee};
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, SinceBoot};
use smol::future::FutureExt;
use std::time::Duration;

/// Time between two looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

impl<T: Table, G: Grantee, C: Clock + BootClock> Keeper<T, G, C> {
    pub(super) async fn keep_grants(self) {
        loop {
            let woken = self.inner.wake.listen();
            let changed = self.inner.maps.changed();
            let (calls, sent) = self.due_grants();
            let calls = calls.into_iter().map(|call| self.grant(call, sent));
            let mut tasks: Vec<_> = calls.map(smol::spawn).collect();
            for task in tasks.drain(..) {
                task.await;
            }
            let look = self.inner.clock.sleep(LOOK_INTERVAL);
            look.or(woken).or(changed).await;
        }
    }

    fn due_grants(&self) -> (Vec<GrantCall>, SinceBoot) {
        let now = self.inner.clock.since_boot();
        let mut state = self.state();
        let (Some(owner), Some(known)) = (self.owner(&state), self.map()) else {
            return (Vec::new(), now);
        };
        state.grants.follow(known.map.owned_by(&owner));
        let Some(lease_end) = self.lease_end(&state) else {
            return (Vec::new(), now);
        };
        let settings = &self.inner.settings.grants;
        (state.grants.due(settings, lease_end, now), now)
    }

    fn grant(
        &self,
        call: GrantCall,
        sent: SinceBoot,
    ) -> impl Future<Output = ()> + Send + use<T, G, C> {
        let keeper = self.clone();
        async move {
            let settings = keeper.inner.settings.grants;
            let timeout = async {
                keeper.inner.clock.sleep(settings.call_timeout).await;
                GrantReply::Unanswered
            };
            let reply = keeper.inner.grantee.grant(call.clone()).or(timeout).await;
            keeper.state().grants.answered(&call, reply, sent);
            if reply != GrantReply::Granted {
                metrics::counter!("ibiscove_grant_failures_total").increment(1);
                log::warn!(
                    service = &*keeper.inner.service, first = call.range.first,
                    last = call.range.last, fence = call.fence, reply:? = reply;
                    "a grant failed"
                );
            }
            if reply == GrantReply::FenceSeen {
                // Somebody else owned these keys since: the map is behind.
                if let Err(err) = keeper.read_rows().await {
                    log::warn!("the map cannot be read again: {err}");
                }
            }
        }
    }
}
