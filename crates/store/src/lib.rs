//! Interface to the platform's transactional table service and object store.
//!
//! All state that needs consensus or durability goes through these two traits;
//! ibiscove has no storage of its own. [`memory`] is the embedded default, and
//! [`http`] reaches a platform over HTTP with conditional requests.
//!
//! Guarantees of an implementation: a transaction is atomic, its conditions are
//! checked in the same step as its writes, and the version of a row increases
//! with each write, also across [`era`]s. After [`TableError::Unanswered`] a commit counts as neither
//! done nor undone until its rows have been read back (`docs/ownership.md`).

pub mod era;
pub mod http;
pub mod memory;

use era::Era;
use ibiscove_types::RowVersion;
use std::future::Future;
use std::sync::Arc;

pub use memory::{MemoryPlatform, PlatformCopy};

/// A row as the table returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRow {
    /// The version that the table assigned to the row.
    pub version: RowVersion,
    /// The row's bytes.
    pub body: Arc<[u8]>,
}

/// A precondition of a transaction on the version of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// The required version; none if the row must not exist.
    pub version: Option<RowVersion>,
}

/// A transaction's write to one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// The new content; none deletes the row.
    pub body: Option<Vec<u8>>,
}

/// Writes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes, applied in one step with the check of the conditions.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write to a row, conditional on its version.
    pub fn replace(&mut self, key: &str, version: Option<RowVersion>, body: Vec<u8>) {
        self.require(key, version);
        self.writes.push(Write {
            key: key.to_owned(),
            body: Some(body),
        });
    }

    /// Adds a condition on a row that the transaction does not write.
    pub fn require(&mut self, key: &str, version: Option<RowVersion>) {
        self.conditions.push(Condition {
            key: key.to_owned(),
            version,
        });
    }
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It was committed. Holds the new version of each written row, in order of
    /// writes.
    Done(Vec<RowVersion>),
    /// A condition did not hold, so nothing was written. Holds the key of the
    /// first such condition.
    Conflict(String),
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The call certainly had no effect.
    #[error("table unavailable: {0}")]
    Unavailable(String),
    /// The response was lost: a write may have been applied, or may still be.
    #[error("no response from the table: {0}")]
    Unanswered(String),
}

/// The platform's transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Returns the newest era that an answer has shown; none before the first one. A
    /// call that is answered in another era than it was sent in fails with
    /// [`TableError::Unanswered`].
    fn era(&self) -> Option<Era> {
        Some(0)
    }

    /// Reads one row; none when it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<RawRow>, TableError>> + Send;

    /// Reads all rows whose key starts with `prefix`, in order of keys.
    fn scan(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(String, RawRow)>, TableError>> + Send;

    /// Commits a transaction.
    fn commit(&self, txn: Transaction) -> impl Future<Output = Result<Commit, TableError>> + Send;
}

/// The platform's object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Stores an object under `name` atomically, replacing any earlier one.
    fn put(&self, name: &str, body: Vec<u8>)
    -> impl Future<Output = Result<(), TableError>> + Send;

    /// Reads an object; none when it does not exist.
    fn fetch(&self, name: &str)
    -> impl Future<Output = Result<Option<Vec<u8>>, TableError>> + Send;

    /// Lists the names of objects that start with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, TableError>> + Send;
}
