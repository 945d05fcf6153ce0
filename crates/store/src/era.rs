//! Eras of a table: how often it has returned from an earlier copy of itself.
//!
//! Each return loses the writes since the copy, and their versions are given out
//! again. So a version counts only together with the era in which it was given
//! out: clients return versions that hold both, which rise across eras, and never
//! send a condition of an earlier era, which a later row might satisfy by chance.

use crate::{Commit, Condition, Transaction};
use ibiscove_types::RowVersion;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of an era; rises with each return from an earlier copy.
pub type Era = u64;

/// Low bits of a version, which hold the number that the table assigned.
const NUMBER_BITS: u32 = 40;
/// Highest era that fits into a version which is also sent as a signed integer.
pub const MAX_ERA: Era = (1 << (63 - NUMBER_BITS)) - 1;

/// Returns the era in which a version was given out.
pub fn era_of(version: RowVersion) -> Era {
    version >> NUMBER_BITS
}

/// Returns the number that the table assigned to a version.
pub fn number_of(version: RowVersion) -> u64 {
    version & ((1 << NUMBER_BITS) - 1)
}

/// Returns the version for a number that was given out in an era; none if either is
/// too large.
pub fn version_in(era: Era, number: u64) -> Option<RowVersion> {
    let fits = era <= MAX_ERA && number < (1 << NUMBER_BITS);
    fits.then_some((era << NUMBER_BITS) | number)
}

/// Returns the conflict of a transaction whose first condition is of another era,
/// and so does not hold.
pub fn conflict_across_eras(txn: &Transaction, era: Era) -> Option<Commit> {
    let is_of_other_era =
        |condition: &&Condition| condition.version.is_some_and(|v| era_of(v) != era);
    let failed = txn.conditions.iter().find(is_of_other_era)?;
    Some(Commit::Conflict(failed.key.clone()))
}

/// The newest era that answers have shown. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct EraTracker {
    newest: Arc<Mutex<Option<Era>>>,
}

/// An answer that is of another era than its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer is of era {answered}, the call of era {called}")]
pub struct EraMismatch {
    /// The newest known era when the call was sent.
    pub called: Era,
    /// The era of the answer.
    pub answered: Era,
}

impl EraTracker {
    /// Returns the newest known era; none before the first answer.
    pub fn newest(&self) -> Option<Era> {
        *self.lock()
    }

    /// Records the era of an answer to a call that was sent when `called` was the
    /// newest known era. An answer of another era, earlier or later, proves nothing
    /// about the rows of this one. Returns the era in which the answer counts.
    pub fn observe(&self, called: Option<Era>, answered: Era) -> Result<Era, EraMismatch> {
        let mut newest = self.lock();
        *newest = Some(newest.unwrap_or(answered).max(answered));
        let called = called.or(*newest).unwrap_or(answered);
        match called == answered {
            true => Ok(answered),
            false => Err(EraMismatch { called, answered }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Era>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
