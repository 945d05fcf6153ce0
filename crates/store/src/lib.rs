//! The platform's table service and object store.
//!
//! All that must be agreed or must last goes through the two traits here; the
//! product keeps no store of its own. [`memory`] is the embedded default, and
//! [`http`] speaks to a platform over HTTP with conditional requests.
//!
//! What the callers rely on: a transaction is done whole or not at all, its
//! conditions are checked in the same step as its writes, and the version of a
//! row rises with each write. An [`TableError::Unanswered`] commit is neither
//! done nor undone until the rows have been read back (`docs/ownership.md`).

pub mod http;
pub mod memory;

use ibiscove_types::RowVersion;
use std::future::Future;
use std::sync::Arc;

pub use memory::MemoryPlatform;

/// A row as the table returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRow {
    /// The table's version of the row.
    pub version: RowVersion,
    /// The row's bytes.
    pub body: Arc<[u8]>,
}

/// What a transaction demands of one row before it is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// The version that it must have; none: it must not exist.
    pub version: Option<RowVersion>,
}

/// What a transaction does to one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// The new bytes; none deletes the row.
    pub body: Option<Vec<u8>>,
}

/// Conditions and writes that are done whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// All are done, in one step with the check.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the replacement of a row, conditional on its version.
    pub fn replace(&mut self, key: &str, version: Option<RowVersion>, body: Vec<u8>) {
        self.require(key, version);
        self.writes.push(Write {
            key: key.to_owned(),
            body: Some(body),
        });
    }

    /// Adds a condition on a row that the transaction leaves as it is.
    pub fn require(&mut self, key: &str, version: Option<RowVersion>) {
        self.conditions.push(Condition {
            key: key.to_owned(),
            version,
        });
    }
}

/// What came of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It was done; the new version of each written row, in order of writes.
    Done(Vec<RowVersion>),
    /// A condition did not hold, so nothing was done; the first such key.
    Conflict(String),
}

/// Why the table gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// The call certainly had no effect.
    #[error("table unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost: a write may have been done, or may yet be.
    #[error("table did not answer: {0}")]
    Unanswered(String),
}

/// The platform's transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads one row; none when it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<RawRow>, TableError>> + Send;

    /// Reads all rows whose key starts with `prefix`, in order of keys.
    fn scan(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(String, RawRow)>, TableError>> + Send;

    /// Carries out a transaction.
    fn commit(&self, txn: Transaction) -> impl Future<Output = Result<Commit, TableError>> + Send;
}

/// The platform's object store.
pub trait Objects: Clone + Send + Sync + 'static {
    /// Stores an object whole under `name`, in place of any earlier one.
    fn put(&self, name: &str, body: Vec<u8>)
    -> impl Future<Output = Result<(), TableError>> + Send;

    /// Reads an object; none when it does not exist.
    fn fetch(&self, name: &str)
    -> impl Future<Output = Result<Option<Vec<u8>>, TableError>> + Send;

    /// Names of the objects that start with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, TableError>> + Send;
}
