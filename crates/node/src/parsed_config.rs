//! The parsed form of configuration rows.
//!
//! The text of a row is parsed once, when its version first appears in the map,
//! and not for each request. If a text cannot be parsed, the previous version
//! stays in force: a node never falls back to defaults because of an invalid
//! row.

use ibiscove_types::{ClusterMap, ConfigRow, RowVersion};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The parsed form of the newest valid version of a row.
#[derive(Debug)]
pub(crate) struct ParsedConfig<T> {
    config_name: &'static str,
    newest: Mutex<Newest<T>>,
}

#[derive(Debug)]
struct Newest<T> {
    /// The last version that was parsed, valid or not.
    last_parsed: Option<RowVersion>,
    value: Arc<T>,
}

impl<T: Default> ParsedConfig<T> {
    /// Creates one with the default value, until the row `config_name` appears
    /// in the map.
    pub(crate) fn new(config_name: &'static str) -> Self {
        let newest = Newest {
            last_parsed: None,
            value: Arc::default(),
        };
        Self {
            config_name,
            newest: Mutex::new(newest),
        }
    }

    /// Returns the value in force under `map`.
    pub(crate) fn get<E: std::fmt::Display>(
        &self,
        map: &ClusterMap,
        parse: impl FnOnce(&ConfigRow) -> Result<T, E>,
    ) -> Arc<T> {
        let mut newest = self.newest();
        if let Some(row) = map.config(self.config_name)
            && newest
                .last_parsed
                .is_none_or(|last_parsed| last_parsed < row.version)
        {
            newest.last_parsed = Some(row.version);
            match parse(&row.row) {
                Ok(value) => newest.value = Arc::new(value),
                Err(err) => {
                    log::error!(
                        what = self.config_name, version = row.version;
                        "unreadable configuration row, the previous version stays in force: {err}"
                    );
                }
            }
        }
        Arc::clone(&newest.value)
    }

    fn newest(&self) -> MutexGuard<'_, Newest<T>> {
        // Every step leaves a consistent value, so a panic elsewhere does no
        // harm.
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
