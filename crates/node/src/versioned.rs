//! What lives for one version of a configuration row.
//!
//! A row's text is parsed once, when its version first shows in the map, and
//! never for a request. A text that cannot be read leaves the version before
//! it in force: a node never falls back to defaults because of a bad row.

use ibiscove_types::{ClusterMap, ConfigRow, RowVersion};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The parsed form of the newest readable version of a row.
#[derive(Debug)]
pub(crate) struct Parsed<T> {
    what: &'static str,
    newest: Mutex<Newest<T>>,
}

#[derive(Debug)]
struct Newest<T> {
    /// The last version looked at, readable or not.
    seen: Option<RowVersion>,
    value: Arc<T>,
}

impl<T: Default> Parsed<T> {
    /// The default, until a row with the name `what` shows in the map.
    pub(crate) fn new(what: &'static str) -> Self {
        let newest = Newest {
            seen: None,
            value: Arc::default(),
        };
        Self {
            what,
            newest: Mutex::new(newest),
        }
    }

    /// The value in force under `map`.
    pub(crate) fn get<E: std::fmt::Display>(
        &self,
        map: &ClusterMap,
        parse: impl FnOnce(&ConfigRow) -> Result<T, E>,
    ) -> Arc<T> {
        let mut newest = self.newest();
        if let Some(row) = map.config(self.what)
            && newest.seen.is_none_or(|seen| seen < row.version)
        {
            newest.seen = Some(row.version);
            match parse(&row.row) {
                Ok(value) => newest.value = Arc::new(value),
                Err(err) => {
                    log::error!(what = self.what, version = row.version; "unreadable row: {err}");
                }
            }
        }
        Arc::clone(&newest.value)
    }

    fn newest(&self) -> MutexGuard<'_, Newest<T>> {
        // Every step leaves a whole value, so a panic elsewhere spoils nothing.
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
