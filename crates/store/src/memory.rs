//! In-memory platform, shared by the nodes of one process.

use crate::{Commit, Objects, RawRow, Table, TableError, Transaction};
use ibiscove_types::RowVersion;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Clone, Debug, Default)]
struct State {
    /// Version of the latest write. One counter for all rows makes versions
    /// increase even when a row is deleted and created again.
    last_version: RowVersion,
    rows: BTreeMap<String, RawRow>,
    objects: BTreeMap<String, Vec<u8>>,
}

/// A copy of the content of a [`MemoryPlatform`].
#[derive(Clone, Debug)]
pub struct PlatformCopy(State);

/// An in-memory table and object store. Clones share their content.
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
}

impl MemoryPlatform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Returns a copy of the present content, for [`MemoryPlatform::restore`].
    pub fn copy(&self) -> PlatformCopy {
        PlatformCopy(self.state().clone())
    }

    /// Replaces the content by that of a copy, its versions included, as a platform
    /// does that has lost what it acknowledged since.
    pub fn restore(&self, copy: &PlatformCopy) {
        *self.state() = copy.0.clone();
    }

    /// Commits a transaction synchronously, for simulated tables in tests.
    pub fn commit_now(&self, txn: &Transaction) -> Commit {
        let mut state = self.state();
        for condition in &txn.conditions {
            let version = state.rows.get(&condition.key).map(|row| row.version);
            if version != condition.version {
                return Commit::Conflict(condition.key.clone());
            }
        }
        let mut versions = Vec::with_capacity(txn.writes.len());
        for write in &txn.writes {
            state.last_version += 1;
            let version = state.last_version;
            versions.push(version);
            match &write.body {
                Some(body) => {
                    let row = RawRow {
                        version,
                        body: body.as_slice().into(),
                    };
                    state.rows.insert(write.key.clone(), row);
                }
                None => {
                    state.rows.remove(&write.key);
                }
            }
        }
        Commit::Done(versions)
    }
}

impl Table for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        Ok(self.state().rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        let state = self.state();
        let rows = state.rows.range(prefix.to_owned()..);
        Ok(rows
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect())
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        Ok(self.commit_now(&txn))
    }
}

impl Objects for MemoryPlatform {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), TableError> {
        self.state().objects.insert(name.to_owned(), body);
        Ok(())
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        Ok(self.state().objects.get(name).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, TableError> {
        let state = self.state();
        let names = state.objects.keys().filter(|name| name.starts_with(prefix));
        Ok(names.cloned().collect())
    }
}
