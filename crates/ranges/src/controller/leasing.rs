//! Keeps this node's lease row.

use super::{RETRY_PAUSE, RangeController};
use crate::grants::Grantee;
use crate::rows::{self, LeaseRow};
use futures_lite::FutureExt;
use ibiscove_store::{Commit, Table, TableError, Transaction};
use ibiscove_types::{BootClock, Clock, NodeName, RowVersion, SinceBoot, UpstreamIncarnation};

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn keep_lease(&self) {
        loop {
            let woken = self.inner.wake.listen();
            let now = self.inner.parts.clock.since_boot();
            let (life, lease) = {
                let state = self.state();
                (state.life.clone(), state.lease)
            };
            let settings = &self.inner.parts.settings.lease;
            match life {
                Some(life) if lease.is_due(settings, now) => {
                    if let Err(err) = self.renew(&life, lease.version).await {
                        metrics::counter!("ibiscove_lease_failures_total").increment(1);
                        log::warn!("the lease was not renewed: {err}");
                        self.pause().await;
                    }
                }
                _ => {
                    let look = self.inner.parts.clock.sleep(RETRY_PAUSE);
                    look.or(woken).await;
                }
            }
        }
    }

    /// Renews the lease, or takes one when there is none.
    async fn renew(
        &self,
        life: &UpstreamIncarnation,
        version: Option<RowVersion>,
    ) -> Result<(), TableError> {
        // Invariant 5: without a lease the map is read before the row is
        // written. A takeover ends the row, so when the write succeeds, nobody
        // has taken ranges since the map was read.
        let version = match version {
            Some(version) => Some(version),
            None => self.read_rows().await?.lease_of(&self.inner.parts.node),
        };
        let sent = self.inner.parts.clock.since_boot();
        let key = rows::lease_key(&self.inner.parts.service, &self.inner.parts.node);
        let row = LeaseRow {
            node: NodeName::clone(&self.inner.parts.node),
            incarnation: self.inner.parts.incarnation,
            life: life.clone(),
        };
        let body = serde_json::to_vec(&row)
            .map_err(|err| TableError::Unavailable(format!("lease not written: {err}")))?;
        let mut txn = Transaction::default();
        txn.replace(&key, version, body);
        match self.inner.parts.table.commit(txn).await {
            Ok(Commit::Done(versions)) => {
                let version = versions.first().copied().unwrap_or_default();
                self.renewed(life, version, sent);
                Ok(())
            }
            Ok(Commit::Conflict(_)) => {
                self.look_again(&key).await;
                Ok(())
            }
            Err(err) => {
                if matches!(err, TableError::Unanswered(_)) {
                    self.look_again(&key).await;
                }
                Err(err)
            }
        }
    }

    fn renewed(&self, life: &UpstreamIncarnation, version: RowVersion, sent: SinceBoot) {
        let mut state = self.state();
        if state.life.as_ref() != Some(life) {
            return;
        }
        let is_new = state.lease.end(&self.inner.parts.settings.lease).is_none();
        state.lease.renewed(version, sent);
        drop(state);
        if is_new {
            log::info!(service = &*self.inner.parts.service, version; "lease held");
            self.inner.wake.notify(usize::MAX);
            self.inner.parts.push_heartbeat.notify(usize::MAX);
        }
    }

    /// Reads the row whose renewal failed or was not answered. A row that is
    /// still there is this node's: only it writes the row, others remove it.
    async fn look_again(&self, key: &str) {
        let found = self.inner.parts.table.get(key).await;
        let mut state = self.state();
        match found {
            Ok(Some(row)) => state.lease.found(row.version),
            Ok(None) => {
                log::warn!(service = &*self.inner.parts.service; "lease lost: its row was removed");
                state.lease.lost();
                state.grants = Default::default();
            }
            Err(err) => log::warn!("the lease row cannot be read: {err}"),
        }
    }
}
