//! The row of a node with the upstreams that have withdrawn beside it, which outlives
//! its processes.
//!
//! The row is read at the start of a process, which uses no upstream before, and written
//! when an upstream withdraws.
//! Each write is conditional on the version that was read: one of an earlier process
//! that takes effect late replaces nothing.

use crate::Router;
use ibiscove_proxy::withdrawals::{MAX_WITHDRAWALS, Withdrawal};
use ibiscove_ranges::Grantee;
use ibiscove_store::{Commit, Table, TableError, Transaction};
use ibiscove_types::{BootClock, Clock, RowVersion};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Prefix of the keys of these rows: table and partition. A node's name follows.
const PREFIX: &str = "withdrawals/all/";
/// Delay after a failed call, half of it random jitter. An upstream waits for its
/// acknowledgement meanwhile.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);

/// A withdrawal in the row.
#[derive(Debug, Serialize, Deserialize)]
struct StoredWithdrawal {
    /// The upstream's id.
    id: String,
    /// Latest start of a life that it covers, in milliseconds since the Unix epoch.
    born_until_ms: i64,
    /// When the upstream withdrew, in milliseconds since the Unix epoch.
    withdrawn_ms: u64,
}

impl StoredWithdrawal {
    fn new(withdrawal: &Withdrawal, now: Instant, wall: SystemTime) -> Self {
        let age = now.saturating_duration_since(withdrawal.since);
        let withdrawn = wall.checked_sub(age).unwrap_or(UNIX_EPOCH);
        let since_epoch = withdrawn.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id: withdrawal.id.to_string(),
            born_until_ms: withdrawal.born_until_ms,
            withdrawn_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the withdrawal; its age is that by the wall clock.
    fn into_withdrawal(self, now: Instant, wall: SystemTime) -> Withdrawal {
        let since_epoch = Duration::from_millis(self.withdrawn_ms);
        let age = UNIX_EPOCH
            .checked_add(since_epoch)
            .and_then(|withdrawn| wall.duration_since(withdrawn).ok())
            .unwrap_or_default();
        Withdrawal {
            id: self.id.into(),
            born_until_ms: self.born_until_ms,
            since: now.checked_sub(age).unwrap_or(now),
        }
    }
}

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Reads the row, then writes changes, until the task is dropped.
    pub(crate) async fn store_withdrawals(self) {
        let withdrawals = self.inner.local_upstream.withdrawals();
        let mut version = self.read_withdrawals().await;
        loop {
            let changed = withdrawals.changed();
            let Some((generation, unstored)) = withdrawals.unstored() else {
                changed.await;
                continue;
            };
            match self.write_withdrawals(&unstored, version).await {
                Ok(Commit::Done(versions)) => {
                    version = versions.first().copied();
                    withdrawals.mark_stored(generation);
                    log::info!(withdrawals = unstored.len(); "withdrawals are stored");
                }
                Ok(Commit::Conflict(_)) => version = self.read_withdrawals().await,
                Err(err) => {
                    log::warn!("a withdrawal is not stored yet: {err}");
                    self.back_off_from_table().await;
                    version = self.read_withdrawals().await;
                }
            }
        }
    }

    /// Reads the row and applies it, as often as it takes. Returns its version.
    async fn read_withdrawals(&self) -> Option<RowVersion> {
        let inner = &self.inner;
        let row = loop {
            match inner.table.get(&self.withdrawals_key()).await {
                Ok(row) => break row,
                Err(err) => {
                    log::warn!(
                        "withdrawals cannot be read yet, the upstream is not used \
                        before: {err}"
                    );
                    self.back_off_from_table().await;
                }
            }
        };
        let body = row.as_ref().map_or(&[][..], |row| &row.body);
        let (now, wall) = (inner.clock.now(), inner.clock.wall());
        let stored = parse(body)
            .into_iter()
            .map(|stored| stored.into_withdrawal(now, wall));
        inner.local_upstream.adopt_withdrawals(stored.collect());
        inner.gate.observe_upstream();
        self.update_range_controller();
        row.map(|row| row.version)
    }

    async fn write_withdrawals(
        &self,
        withdrawals: &[Withdrawal],
        version: Option<RowVersion>,
    ) -> Result<Commit, TableError> {
        let (now, wall) = (self.inner.clock.now(), self.inner.clock.wall());
        let to_stored = |withdrawal| StoredWithdrawal::new(withdrawal, now, wall);
        let rows: Vec<_> = withdrawals.iter().map(to_stored).collect();
        let body = serde_json::to_vec(&rows).map_err(|err| {
            TableError::Unavailable(format!("withdrawals cannot be serialised: {err}"))
        })?;
        let mut txn = Transaction::default();
        txn.replace(&self.withdrawals_key(), version, body);
        self.inner.table.commit(txn).await
    }

    fn withdrawals_key(&self) -> String {
        format!("{PREFIX}{}", self.inner.settings.node)
    }

    async fn back_off_from_table(&self) {
        let jitter = 0.5 + fastrand::f64() / 2.0;
        self.inner.clock.sleep(RETRY_BACKOFF.mul_f64(jitter)).await;
    }
}

/// Parses a row; none of a malformed one. Only processes of this node write it.
fn parse(body: &[u8]) -> Vec<StoredWithdrawal> {
    if body.is_empty() {
        return Vec::new();
    }
    let parsed: Result<Vec<StoredWithdrawal>, _> = serde_json::from_slice(body);
    let mut stored = parsed.unwrap_or_else(|err| {
        metrics::counter!("ibiscove_withdrawals_malformed_total").increment(1);
        log::error!("the row of withdrawals is malformed and ignored: {err}");
        Vec::new()
    });
    stored.truncate(MAX_WITHDRAWALS);
    stored
}
