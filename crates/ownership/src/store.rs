//! Reading rows and committing transactions.
//!
//! Invariant 9: a commit whose answer was lost is neither done nor undone until
//! its rows have been read back. [`Ownership::commit`] does not return before
//! that, and where the rows stand as they were it moves one on first, so that
//! the lost commit can never take effect later.

use crate::MoveHooks;
use crate::{Ownership, OwnershipError};
use ibiscove_spread::Entry;
use ibiscove_store::{Commit, Condition, RawRow, Table, TableError, Transaction};
use ibiscove_types::rows::service_key;
use ibiscove_types::{Clock, RowVersion, ServiceName, ServiceRow};
use ibiscove_wire::Peers;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

use crate::ServiceSpec;

/// Conflicts in a row after which a change is given up for now.
pub(crate) const MAX_ATTEMPTS: u32 = 8;
/// First pause before a table that gave no answer is asked again.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a table that gave no answer is asked again.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What came of a transaction, once it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Committed {
    /// It was done.
    Done,
    /// Rows have changed, by this transaction or by others: the rows tell, and
    /// the transaction has no effect from now on.
    Changed,
}

/// Pauses that double, with jitter, up to [`LONGEST_PAUSE`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_PAUSE)
    }
}

pub(crate) fn to_body(key: &str, row: &impl Serialize) -> Result<Vec<u8>, OwnershipError> {
    serde_json::to_vec(row).map_err(|cause| OwnershipError::Row {
        key: key.to_owned(),
        cause,
    })
}

fn from_body<R: DeserializeOwned>(key: &str, body: &[u8]) -> Result<R, OwnershipError> {
    serde_json::from_slice(body).map_err(|cause| OwnershipError::Row {
        key: key.to_owned(),
        cause,
    })
}

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Reads a row of the table; none when it does not exist.
    pub(crate) async fn read<R: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(RowVersion, R)>, OwnershipError> {
        let Some(raw) = self.inner.table.get(key).await? else {
            return Ok(None);
        };
        Ok(Some((raw.version, from_body(key, &raw.body)?)))
    }

    /// Reads a row and takes it into the replica as well.
    pub(crate) async fn read_and_keep<R: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(RowVersion, R)>, OwnershipError> {
        let Some(raw) = self.inner.table.get(key).await? else {
            return Ok(None);
        };
        let row = from_body(key, &raw.body)?;
        self.publish(vec![Entry {
            key: key.to_owned(),
            version: raw.version,
            body: raw.body,
        }]);
        Ok(Some((raw.version, row)))
    }

    /// Commits and publishes.
    pub(crate) async fn commit(&self, txn: Transaction) -> Result<Committed, OwnershipError> {
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
                return Ok(Committed::Changed);
            }
            Err(TableError::Unanswered(text)) => {
                log::warn!("a commit's answer was lost: {text}");
                metrics::counter!("ibiscove_ownership_unanswered_total").increment(1);
                self.resolve(&conditions).await;
                return Ok(Committed::Changed);
            }
            Err(err) => return Err(err.into()),
        };
        let rows = bodies.into_iter().zip(versions);
        let entries = rows.filter_map(|((key, body), version)| {
            Some(Entry {
                key,
                version,
                body: body?.into(),
            })
        });
        self.publish(entries.collect());
        Ok(Committed::Done)
    }

    /// Returns once a commit with these conditions can have no effect any more
    /// that a read would not show.
    async fn resolve(&self, conditions: &[Condition]) {
        let mut backoff = Backoff::default();
        let Some(fixed) = conditions.iter().find(|c| c.version.is_some()) else {
            // Rows that were to be made: whoever makes them next conflicts
            // with the lost commit or finds its rows.
            return;
        };
        loop {
            match self.move_on(fixed).await {
                Ok(()) => return,
                Err(err) => log::warn!(key:% = fixed.key; "reading back a lost commit: {err}"),
            }
            self.pause(&mut backoff).await;
        }
    }

    /// Makes sure that a row no longer has the version of a condition.
    async fn move_on(&self, condition: &Condition) -> Result<(), TableError> {
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

    /// Waits, each time longer.
    pub(crate) async fn pause(&self, backoff: &mut Backoff) {
        let length = self.jittered(backoff.0);
        backoff.0 = (backoff.0 * 2).min(LONGEST_PAUSE);
        self.inner.clock.sleep(length).await;
    }

    /// Between half and the whole of a duration.
    pub(crate) fn jittered(&self, duration: Duration) -> Duration {
        let share = self.rng().f64();
        duration / 2 + duration.mul_f64(share / 2.0)
    }

    /// Makes the row of a service unless it exists.
    pub(crate) async fn ensure_service(
        &self,
        name: &ServiceName,
        shape: ServiceSpec,
    ) -> Result<(), OwnershipError> {
        let key = service_key(name);
        if self.read_and_keep::<ServiceRow>(&key).await?.is_some() {
            return Ok(());
        }
        let row = ServiceRow::new(name.clone(), shape.kind, shape.slot_count);
        let mut txn = Transaction::default();
        txn.replace(&key, None, to_body(&key, &row)?);
        // A conflict says that another node has just made it.
        self.commit(txn).await.map(drop)
    }
}
