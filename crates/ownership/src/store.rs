//! Table access: reads rows and commits transactions.
//!
//! Invariant 9: a commit whose response was lost counts as neither done nor
//! undone until its rows have been read back. [`Ownership::commit`] does not
//! return before that. Where a row is unchanged it first writes the row once
//! more to raise its version, so that the lost commit can never take effect
//! later.

use crate::MoveHooks;
use crate::{Ownership, OwnershipError};
use ibiscove_spread::ReplicatedRow;
use ibiscove_store::{Commit, Condition, RawRow, Table, TableError, Transaction};
use ibiscove_types::rows::service_key;
use ibiscove_types::{Clock, RowVersion, ServiceName, ServiceRow};
use ibiscove_wire::Peers;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

use crate::ServiceSpec;

/// Conflicting attempts after which a change is abandoned.
pub(crate) const MAX_ATTEMPTS: u32 = 8;
/// Initial backoff after the table gave no response.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after the table gave no response.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommitOutcome {
    /// It was committed.
    Done,
    /// Rows have changed, by this transaction or by others: the rows show
    /// which, and the transaction has no effect from now on.
    Changed,
}

/// Exponential backoff with jitter, up to [`MAX_BACKOFF`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(INITIAL_BACKOFF)
    }
}

pub(crate) fn encode_row(key: &str, row: &impl Serialize) -> Result<Vec<u8>, OwnershipError> {
    serde_json::to_vec(row).map_err(|cause| OwnershipError::Row {
        key: key.to_owned(),
        cause,
    })
}

fn decode_row<R: DeserializeOwned>(key: &str, body: &[u8]) -> Result<R, OwnershipError> {
    serde_json::from_slice(body).map_err(|cause| OwnershipError::Row {
        key: key.to_owned(),
        cause,
    })
}

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Reads a row of the table; none when it does not exist.
    pub(crate) async fn read_row<R: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(RowVersion, R)>, OwnershipError> {
        let Some(raw) = self.inner.table.get(key).await? else {
            return Ok(None);
        };
        Ok(Some((raw.version, decode_row(key, &raw.body)?)))
    }

    /// Reads a row of the table and applies it to the replica.
    pub(crate) async fn read_into_replica<R: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(RowVersion, R)>, OwnershipError> {
        let Some(raw) = self.inner.table.get(key).await? else {
            return Ok(None);
        };
        let row = decode_row(key, &raw.body)?;
        self.publish(vec![ReplicatedRow {
            key: key.to_owned(),
            version: raw.version,
            body: raw.body,
        }]);
        Ok(Some((raw.version, row)))
    }

    /// Commits a transaction and publishes its rows.
    pub(crate) async fn commit(&self, txn: Transaction) -> Result<CommitOutcome, OwnershipError> {
        let bodies: Vec<_> = txn
            .writes
            .iter()
            .map(|write| (write.key.clone(), write.body.clone()))
            .collect();
        let conditions = txn.conditions.clone();
        let versions = match self.inner.table.commit(txn).await {
            Ok(Commit::Done(versions)) => versions,
            Ok(Commit::Conflict(_)) => {
                metrics::counter!("ibiscove_ownership_conflicts_total").increment(1);
                return Ok(CommitOutcome::Changed);
            }
            Err(TableError::Unanswered(text)) => {
                log::warn!("no response to a commit, reading its rows back: {text}");
                metrics::counter!("ibiscove_ownership_unanswered_total").increment(1);
                self.resolve_lost_commit(&conditions).await;
                return Ok(CommitOutcome::Changed);
            }
            Err(err) => return Err(err.into()),
        };
        let rows = bodies.into_iter().zip(versions);
        let entries = rows.filter_map(|((key, body), version)| {
            Some(ReplicatedRow {
                key,
                version,
                body: body?.into(),
            })
        });
        self.publish(entries.collect());
        Ok(CommitOutcome::Done)
    }

    /// Waits until a commit with these conditions can have no further effect
    /// that a read would not show.
    async fn resolve_lost_commit(&self, conditions: &[Condition]) {
        let mut backoff = Backoff::default();
        let Some(versioned) = conditions.iter().find(|c| c.version.is_some()) else {
            // The commit was to create rows: whoever creates them next
            // conflicts with the lost commit or finds its rows.
            return;
        };
        loop {
            match self.advance_row_version(versioned).await {
                Ok(()) => return,
                Err(err) => log::warn!(
                    key:% = versioned.key;
                    "the outcome of a commit is still unknown, retrying: {err}"
                ),
            }
            self.back_off(&mut backoff).await;
        }
    }

    /// Raises a row's version if it is still that of the condition.
    async fn advance_row_version(&self, condition: &Condition) -> Result<(), TableError> {
        let Some(RawRow { version, body }) = self.inner.table.get(&condition.key).await? else {
            return Ok(());
        };
        if Some(version) != condition.version {
            return Ok(());
        }
        let mut bump = Transaction::default();
        bump.replace(&condition.key, Some(version), body.to_vec());
        self.inner.table.commit(bump).await.map(drop)
    }

    /// Waits for the current backoff, then doubles it.
    pub(crate) async fn back_off(&self, backoff: &mut Backoff) {
        let delay = self.jittered(backoff.0);
        backoff.0 = (backoff.0 * 2).min(MAX_BACKOFF);
        self.inner.clock.sleep(delay).await;
    }

    /// Returns a random duration between half of `duration` and the whole.
    pub(crate) fn jittered(&self, duration: Duration) -> Duration {
        let fraction = self.rng().f64();
        duration / 2 + duration.mul_f64(fraction / 2.0)
    }

    /// Creates the row of a service unless it exists.
    pub(crate) async fn ensure_service_row(
        &self,
        name: &ServiceName,
        spec: ServiceSpec,
    ) -> Result<(), OwnershipError> {
        let key = service_key(name);
        if self.read_into_replica::<ServiceRow>(&key).await?.is_some() {
            return Ok(());
        }
        let row = ServiceRow::new(name.clone(), spec.kind, spec.slot_count);
        let mut txn = Transaction::default();
        txn.replace(&key, None, encode_row(&key, &row)?);
        // A conflict means that another node has just created it.
        self.commit(txn).await.map(drop)
    }
}
