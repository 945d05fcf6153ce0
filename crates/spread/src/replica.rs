//! One node's replica of the rows, and the cluster map built from them.
//!
//! Rows of retired nodes remain stored, so that a delayed copy of an earlier
//! version does not count as newer. They are left out of the digests, so that
//! comparisons do not bring them back to nodes that have deleted them.
//! [`Replica::reconcile`] deletes the rows that the table no longer has.

use crate::digests::{Digests, bucket_of};
use crate::row::TEXT_PREFIX;
use crate::texts::Texts;
use crate::{ReplicatedRow, SpreadSettings, metrics};
use ibiscove_types::map::Row;
use ibiscove_types::rows::{NODE_PREFIX, TAKEOVER_PREFIX};
use ibiscove_types::{ClusterMap, Incarnation, RowVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

#[derive(Clone, Debug)]
struct StoredRow {
    row: ReplicatedRow,
    /// Set for the row of a retired node, which is left out of the digests.
    retired_node: Option<Incarnation>,
    /// The node whose row this is; none for other rows.
    incarnation: Option<Incarnation>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, StoredRow>,
    digests: Digests,
    map: Arc<ClusterMap>,
    texts: Texts,
    /// Versions of the rows deleted by the last two calls of
    /// [`Replica::reconcile`], the latest call first. Copies from peers in these
    /// or lower versions are rejected.
    tombstones: [HashMap<String, RowVersion>; 2],
    age: Duration,
    may_be_stale: bool,
    /// Peers that pushes and comparisons choose from; empty until the first
    /// comparison.
    view: Vec<Incarnation>,
}

/// One node's replica of the rows. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    state: Arc<Mutex<State>>,
}

impl Replica {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Returns the current cluster map. A request reads it once, so that it uses
    /// one consistent map throughout.
    pub fn map(&self) -> Arc<ClusterMap> {
        Arc::clone(&self.state().map)
    }

    /// Applies the rows that are newer than the stored ones, and returns these.
    ///
    /// A configuration row without its text stays pending until
    /// [`Self::supply_text`] provides the text, so that a version takes effect
    /// whole or not at all.
    pub fn apply(&self, rows: impl IntoIterator<Item = ReplicatedRow>) -> Vec<ReplicatedRow> {
        let mut state = self.state();
        let rows = rows.into_iter();
        let newer: Vec<_> = rows.filter(|row| state.is_newer(row)).collect();
        state.accept(newer)
    }

    /// Returns the digests of the texts that pending configuration rows need.
    pub fn missing_texts(&self) -> Vec<String> {
        self.state().texts.missing()
    }

    /// Starts to fetch the missing texts that are not yet fetched often enough.
    pub(crate) fn start_text_fetches(&self) -> TextFetches {
        TextFetches {
            replica: self.clone(),
            digests: self.state().texts.start_fetches(),
        }
    }

    /// Stores a missing text, applies the rows that it completes, and returns
    /// those that were newer.
    pub fn supply_text(&self, text: Vec<u8>) -> Vec<ReplicatedRow> {
        let mut state = self.state();
        let completed = state.texts.supply(text);
        let newer = completed
            .into_iter()
            .filter(|row| state.is_newer(row))
            .collect();
        state.accept(newer)
    }

    /// Returns the digest of all rows, equal for replicas with the same versions.
    pub fn digest(&self) -> u64 {
        self.state().digests.total()
    }

    pub(crate) fn digests(&self) -> Digests {
        self.state().digests
    }

    /// Returns the key and version of each row.
    pub fn versions(&self) -> Vec<(String, RowVersion)> {
        let state = self.state();
        let rows = state.rows.values();
        rows.map(|stored| (stored.row.key.clone(), stored.row.version))
            .collect()
    }

    /// Returns the key and version of each row in the given buckets.
    pub(crate) fn versions_in(&self, buckets: &[i16]) -> BTreeMap<String, RowVersion> {
        let buckets: BTreeSet<usize> = buckets.iter().map(|bucket| *bucket as usize).collect();
        let state = self.state();
        let rows = state.rows.values().map(|stored| &stored.row);
        rows.filter(|row| buckets.contains(&bucket_of(&row.key)))
            .map(|row| (row.key.clone(), row.version))
            .collect()
    }

    /// Returns the stored rows with the given keys. A key `text/DIGEST` selects
    /// the configuration text with that digest.
    pub fn rows(&self, keys: impl IntoIterator<Item = impl AsRef<str>>) -> Vec<ReplicatedRow> {
        let state = self.state();
        keys.into_iter()
            .filter_map(|key| {
                let key = key.as_ref();
                match key.strip_prefix(TEXT_PREFIX) {
                    Some(digest) => state.texts.as_row(digest),
                    None => state.rows.get(key).map(|stored| stored.row.clone()),
                }
            })
            .collect()
    }

    /// Returns the number of stored node rows.
    pub fn node_count(&self) -> usize {
        let state = self.state();
        let nodes = state.rows.keys().filter(|key| key.starts_with(NODE_PREFIX));
        nodes.count()
    }

    /// Applies the table's whole content, deletes the rows that it lacks, and
    /// returns the rows that were newer.
    ///
    /// `versions_before` holds the [`Self::versions`] from before the table was
    /// read. Only rows unchanged since then are deleted.
    pub fn reconcile(
        &self,
        versions_before: &[(String, RowVersion)],
        scanned: Vec<ReplicatedRow>,
    ) -> Vec<ReplicatedRow> {
        let present: BTreeSet<String> = scanned.iter().map(|row| row.key.clone()).collect();
        let newer = self.apply(scanned);
        let mut state = self.state();
        state.tombstones.swap(0, 1);
        state.tombstones[0].clear();
        let mut nodes = Vec::new();
        for (key, version) in versions_before {
            let unchanged = state
                .rows
                .get(key)
                .is_some_and(|stored| stored.row.version == *version);
            // Takeover records are never in the table.
            let is_takeover = key.starts_with(TAKEOVER_PREFIX);
            if unchanged && !is_takeover && !present.contains(key) {
                nodes.extend(state.delete(key));
            }
        }
        if !nodes.is_empty() {
            state.map = Arc::new(state.map.without_nodes(nodes));
        }
        state.may_be_stale = false;
        newer
    }

    /// Returns the peers that pushes and comparisons choose from; none before
    /// the first comparison.
    pub(crate) fn view(&self) -> Vec<Incarnation> {
        self.state().view.clone()
    }

    /// Removes peers that are no longer live from the view, and one random peer
    /// of a full view if `rotate` is set; then fills it with random others.
    pub(crate) fn refresh_view(
        &self,
        settings: &SpreadSettings,
        rng: &mut fastrand::Rng,
        rotate: bool,
    ) {
        let mut state = self.state();
        let map = Arc::clone(&state.map);
        let view = &mut state.view;
        view.retain(|incarnation| map.is_live(*incarnation));
        if rotate && !view.is_empty() && view.len() == settings.view_size {
            view.swap_remove(rng.usize(..view.len()));
        }
        let free = settings.view_size.saturating_sub(view.len());
        if free == 0 {
            return;
        }
        let others = map.live_nodes().map(|node| node.row.incarnation);
        let others = others.filter(|other| *other != settings.incarnation && !view.contains(other));
        let mut others: Vec<_> = others.collect();
        rng.shuffle(&mut others);
        view.extend(others.into_iter().take(free));
    }

    /// Returns the time since the last successful comparison with a peer.
    pub fn age(&self) -> Duration {
        self.state().age
    }

    pub(crate) fn set_age(&self, age: Duration) {
        metrics::set_age(age);
        self.state().age = age;
    }

    /// Returns whether the rows may be so old that peers must not receive them:
    /// a process that resumes after a long pause could bring back rows that were
    /// deleted meanwhile.
    pub fn may_be_stale(&self) -> bool {
        self.state().may_be_stale
    }

    pub(crate) fn set_may_be_stale(&self, may_be_stale: bool) {
        self.state().may_be_stale = may_be_stale;
    }
}

/// Fetches of missing texts, which count until this is dropped.
pub(crate) struct TextFetches {
    replica: Replica,
    pub(crate) digests: Vec<String>,
}

impl Drop for TextFetches {
    fn drop(&mut self) {
        self.replica.state().texts.end_fetches(&self.digests);
    }
}

impl State {
    fn is_newer(&self, row: &ReplicatedRow) -> bool {
        let stored = self.rows.get(&row.key).map(|stored| stored.row.version);
        let tombstones = self.tombstones.iter().filter_map(|rows| rows.get(&row.key));
        stored
            .into_iter()
            .chain(tombstones.copied())
            .all(|version| version < row.version)
    }

    /// Stores newer rows and updates the map; returns the rows accepted.
    fn accept(&mut self, newer: Vec<ReplicatedRow>) -> Vec<ReplicatedRow> {
        let mut parsed_rows = Vec::with_capacity(newer.len());
        let mut accepted = Vec::with_capacity(newer.len());
        for row in newer {
            // One message may hold a key twice.
            if !self.is_newer(&row) {
                continue;
            }
            let parsed = match Row::parse(&row.key, &row.body) {
                Ok(parsed) => parsed,
                Err(err) => {
                    metrics::count_rejected("unreadable");
                    log::warn!(
                        key = row.key, version = row.version;
                        "replication: unreadable row left out of the cluster map: {err}"
                    );
                    None
                }
            };
            let parsed = match parsed {
                Some(Row::Config(kind, config)) => match self.texts.complete(&row, config) {
                    Some(config) => Some(Row::Config(kind, config)),
                    None => continue,
                },
                parsed => parsed,
            };
            self.insert(&row, parsed.as_ref());
            parsed_rows.extend(parsed.map(|parsed| (row.version, parsed)));
            accepted.push(row);
        }
        if !parsed_rows.is_empty() {
            self.map = Arc::new(self.map.with_rows(parsed_rows));
        }
        accepted
    }

    fn insert(&mut self, row: &ReplicatedRow, parsed: Option<&Row>) {
        let incarnation = match parsed {
            Some(Row::Node(parsed)) => Some(parsed.incarnation),
            _ => None,
        };
        let retired_node = parsed.filter(|parsed| parsed.is_retired()).and(incarnation);
        let stored = StoredRow {
            row: row.clone(),
            retired_node,
            incarnation,
        };
        if retired_node.is_none() {
            self.digests.toggle(&row.key, row.version);
        }
        if let Some(replaced) = self.rows.insert(row.key.clone(), stored) {
            self.remove_from_digests(&replaced);
        }
    }

    fn remove_from_digests(&mut self, stored: &StoredRow) {
        if stored.retired_node.is_none() {
            self.digests.toggle(&stored.row.key, stored.row.version);
        }
    }

    /// Deletes a row, keeps its version as a tombstone, and returns the node
    /// whose row it was.
    fn delete(&mut self, key: &str) -> Option<Incarnation> {
        let stored = self.rows.remove(key)?;
        self.remove_from_digests(&stored);
        self.tombstones[0].insert(key.to_owned(), stored.row.version);
        stored.incarnation
    }
}
