//! The rows that one node keeps, and the map made from them.
//!
//! Rows of retired nodes are kept, so that a late copy of an earlier version
//! is not taken for news, but no digest counts them: a node that has already
//! forgotten one is not told of it again. [`Replica::reconcile`] forgets what
//! the table no longer has.

use crate::digests::{Digests, bucket_of};
use crate::entry::TEXT_PREFIX;
use crate::texts::Texts;
use crate::{ReplicatedRow, SpreadSettings, metrics};
use ibiscove_types::map::Row;
use ibiscove_types::rows::{NODE_PREFIX, TAKEOVER_PREFIX};
use ibiscove_types::{ClusterMap, Incarnation, RowVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

#[derive(Clone, Debug)]
struct Kept {
    entry: ReplicatedRow,
    /// The node of a retired row, which no digest counts.
    retired: Option<Incarnation>,
    incarnation: Option<Incarnation>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Kept>,
    digests: Digests,
    map: Arc<ClusterMap>,
    texts: Texts,
    /// Rows that the table no longer has, found by the last two reconciles.
    forgotten: [HashMap<String, RowVersion>; 2],
    age: Duration,
    suspect: bool,
    /// The peers to choose from; none until the first comparison.
    view: Vec<Incarnation>,
}

/// The rows that one node keeps. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    state: Arc<Mutex<State>>,
}

impl Replica {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// The current map. A request takes it once and keeps to it.
    pub fn map(&self) -> Arc<ClusterMap> {
        Arc::clone(&self.state().map)
    }

    /// Takes rows that are newer than those kept; gives back just these.
    ///
    /// A configuration row whose text is kept elsewhere is held back until
    /// [`Self::supply_text`] brings the text, so that a version is in force
    /// whole or not at all.
    pub fn apply(&self, entries: impl IntoIterator<Item = ReplicatedRow>) -> Vec<ReplicatedRow> {
        let mut state = self.state();
        let entries = entries.into_iter();
        let newer: Vec<_> = entries.filter(|entry| state.is_news(entry)).collect();
        state.take(newer)
    }

    /// Digests of texts that configuration rows wait for.
    pub fn missing_texts(&self) -> Vec<String> {
        self.state().texts.wanted()
    }

    /// Takes a text that was waited for; gives back the rows that it completed.
    pub fn supply_text(&self, text: Vec<u8>) -> Vec<ReplicatedRow> {
        let mut state = self.state();
        let completed = state.texts.supply(text);
        let newer = completed
            .into_iter()
            .filter(|entry| state.is_news(entry))
            .collect();
        state.take(newer)
    }

    /// A number that two replicas share when they keep the same versions.
    pub fn digest(&self) -> u64 {
        self.state().digests.total()
    }

    pub(crate) fn digests(&self) -> Digests {
        self.state().digests
    }

    /// Key and version of each row.
    pub fn versions(&self) -> Vec<(String, RowVersion)> {
        let state = self.state();
        let rows = state.rows.values();
        rows.map(|row| (row.entry.key.clone(), row.entry.version))
            .collect()
    }

    /// Key and version of each row in some buckets.
    pub(crate) fn versions_in(&self, buckets: &[i16]) -> BTreeMap<String, RowVersion> {
        let buckets: BTreeSet<usize> = buckets.iter().map(|bucket| *bucket as usize).collect();
        let state = self.state();
        let rows = state.rows.values().map(|row| &row.entry);
        rows.filter(|entry| buckets.contains(&bucket_of(&entry.key)))
            .map(|entry| (entry.key.clone(), entry.version))
            .collect()
    }

    /// The rows of some keys, and the texts of some digests, as far as they
    /// are kept.
    pub fn rows(&self, keys: impl IntoIterator<Item = impl AsRef<str>>) -> Vec<ReplicatedRow> {
        let state = self.state();
        keys.into_iter()
            .filter_map(|key| {
                let key = key.as_ref();
                match key.strip_prefix(TEXT_PREFIX) {
                    Some(digest) => state.texts.entry(digest),
                    None => state.rows.get(key).map(|row| row.entry.clone()),
                }
            })
            .collect()
    }

    /// How many node rows are kept.
    pub fn node_count(&self) -> usize {
        let state = self.state();
        let nodes = state.rows.keys().filter(|key| key.starts_with(NODE_PREFIX));
        nodes.count()
    }

    /// Takes the table's whole content; rows in `known_before` that it lacks
    /// have been deleted there and are forgotten. `known_before` are the
    /// [`Self::versions`] from before the table was read.
    pub fn reconcile(
        &self,
        known_before: &[(String, RowVersion)],
        scanned: Vec<ReplicatedRow>,
    ) -> Vec<ReplicatedRow> {
        let present: BTreeSet<String> = scanned.iter().map(|entry| entry.key.clone()).collect();
        let newer = self.apply(scanned);
        let mut state = self.state();
        state.forgotten.swap(0, 1);
        state.forgotten[0].clear();
        let mut nodes = Vec::new();
        for (key, version) in known_before {
            let unchanged = state
                .rows
                .get(key)
                .is_some_and(|r| r.entry.version == *version);
            // Records of takeovers never stand in the table.
            let is_record = key.starts_with(TAKEOVER_PREFIX);
            if unchanged && !is_record && !present.contains(key) {
                nodes.extend(state.forget(key));
            }
        }
        if !nodes.is_empty() {
            state.map = Arc::new(state.map.without_nodes(nodes));
        }
        state.suspect = false;
        newer
    }

    /// The peers to choose from; none before the first comparison.
    pub(crate) fn view(&self) -> Vec<Incarnation> {
        self.state().view.clone()
    }

    /// Drops peers that are gone from the view, one more if it is to rotate,
    /// and fills it up with others.
    pub(crate) fn renew_view(
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
        let room = settings.view_size.saturating_sub(view.len());
        if room == 0 {
            return;
        }
        let others = map.live_nodes().map(|node| node.row.incarnation);
        let others = others.filter(|other| *other != settings.incarnation && !view.contains(other));
        let mut others: Vec<_> = others.collect();
        rng.shuffle(&mut others);
        view.extend(others.into_iter().take(room));
    }

    /// Time since these rows were last compared with another's.
    pub fn age(&self) -> Duration {
        self.state().age
    }

    pub(crate) fn set_age(&self, age: Duration) {
        metrics::age(age);
        self.state().age = age;
    }

    /// Whether these rows may be so old that they must not be offered to
    /// others: a node that wakes from a long freeze could bring back rows that
    /// were deleted meanwhile.
    pub fn may_be_stale(&self) -> bool {
        self.state().suspect
    }

    pub(crate) fn set_may_be_stale(&self, suspect: bool) {
        self.state().suspect = suspect;
    }
}

impl State {
    fn is_news(&self, entry: &ReplicatedRow) -> bool {
        let known = self.rows.get(&entry.key).map(|row| row.entry.version);
        let forgotten = self
            .forgotten
            .iter()
            .filter_map(|rows| rows.get(&entry.key));
        known
            .into_iter()
            .chain(forgotten.copied())
            .all(|version| version < entry.version)
    }

    /// Takes rows that are news, the last of each key if it comes twice.
    fn take(&mut self, newer: Vec<ReplicatedRow>) -> Vec<ReplicatedRow> {
        let mut parsed = Vec::with_capacity(newer.len());
        let mut taken = Vec::with_capacity(newer.len());
        for entry in newer {
            // The same key may come twice in one message.
            if !self.is_news(&entry) {
                continue;
            }
            let row = match Row::parse(&entry.key, &entry.body) {
                Ok(row) => row,
                Err(err) => {
                    metrics::rejected("unreadable");
                    log::warn!(key = entry.key, version = entry.version; "unreadable row: {err}");
                    None
                }
            };
            let row = match row {
                Some(Row::Config(what, config)) => match self.texts.complete(&entry, config) {
                    Some(config) => Some(Row::Config(what, config)),
                    None => continue,
                },
                row => row,
            };
            self.keep(&entry, row.as_ref());
            parsed.extend(row.map(|row| (entry.version, row)));
            taken.push(entry);
        }
        if !parsed.is_empty() {
            self.map = Arc::new(self.map.with_rows(parsed));
        }
        taken
    }

    fn keep(&mut self, entry: &ReplicatedRow, row: Option<&Row>) {
        let incarnation = match row {
            Some(Row::Node(row)) => Some(row.incarnation),
            _ => None,
        };
        let retired = row.filter(|row| row.is_retired()).and(incarnation);
        let kept = Kept {
            entry: entry.clone(),
            retired,
            incarnation,
        };
        if retired.is_none() {
            self.digests.toggle(&entry.key, entry.version);
        }
        if let Some(before) = self.rows.insert(entry.key.clone(), kept) {
            self.uncount(&before);
        }
    }

    fn uncount(&mut self, row: &Kept) {
        if row.retired.is_none() {
            self.digests.toggle(&row.entry.key, row.entry.version);
        }
    }

    /// Forgets a row; gives the node that it was of.
    fn forget(&mut self, key: &str) -> Option<Incarnation> {
        let row = self.rows.remove(key)?;
        self.uncount(&row);
        self.forgotten[0].insert(key.to_owned(), row.entry.version);
        row.incarnation
    }
}
