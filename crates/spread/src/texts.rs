//! Configuration texts that are too long for their rows.
//!
//! Such a row carries only the digest of its text. It takes effect once the
//! text has been fetched and matches that digest.

use crate::row::TEXT_PREFIX;
use crate::{ReplicatedRow, metrics};
use ibiscove_types::ConfigRow;
use ibiscove_types::hash::content_digest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of texts stored for peers to fetch. Older ones serve nodes that lag.
const MAX_STORED_TEXTS: usize = 4;

/// Fetches of one text at a time. Each of many pushes and comparisons may find that it is
/// missing, and fetches of the same text share the link; one peer may be slow.
const MAX_FETCHES_PER_TEXT: usize = 2;

/// Texts by digest, and the rows whose text is missing.
#[derive(Debug, Default)]
pub(crate) struct Texts {
    /// Digest and text, newest last.
    stored: Vec<(String, Arc<[u8]>)>,
    /// By row key: the digest of the missing text, and the row.
    pending: BTreeMap<String, (String, ReplicatedRow)>,
    /// Digests of the texts that are being fetched, once for each fetch.
    fetching: Vec<String>,
}

impl Texts {
    /// Returns the configuration with its text, or none if the text is missing
    /// or does not match its digest. A row without its text becomes pending.
    pub(crate) fn complete(&mut self, row: &ReplicatedRow, config: ConfigRow) -> Option<ConfigRow> {
        if content_digest(config.body.as_bytes()) == config.digest {
            self.pending.remove(&row.key);
            return Some(config);
        }
        if !config.body.is_empty() {
            metrics::count_rejected("text-digest");
            log::warn!(
                key = row.key, version = config.version;
                "replication: configuration row rejected: its text does not match its digest"
            );
            return None;
        }
        if let Some(text) = self.text(&config.digest) {
            let body = String::from_utf8(text.to_vec()).ok()?;
            self.pending.remove(&row.key);
            return Some(ConfigRow { body, ..config });
        }
        self.add_pending(row, config.digest);
        None
    }

    /// Makes a row pending unless the same or a newer version of it already is.
    fn add_pending(&mut self, row: &ReplicatedRow, digest: String) {
        let known = self.pending.get(&row.key);
        if known.is_none_or(|(_, known)| known.version < row.version) {
            self.pending.insert(row.key.clone(), (digest, row.clone()));
        }
    }

    /// Returns the digests of the missing texts.
    pub(crate) fn missing(&self) -> Vec<String> {
        let pending = self.pending.values();
        pending.map(|(digest, _)| digest.clone()).collect()
    }

    /// Returns the digests of the missing texts that may be fetched once more, and counts
    /// these fetches until [`Self::end_fetches`].
    pub(crate) fn start_fetches(&mut self) -> Vec<String> {
        let mut digests = self.missing();
        digests.retain(|digest| {
            let fetches = self.fetching.iter().filter(|other| *other == digest);
            fetches.count() < MAX_FETCHES_PER_TEXT
        });
        self.fetching.extend_from_slice(&digests);
        digests
    }

    pub(crate) fn end_fetches(&mut self, digests: &[String]) {
        for digest in digests {
            if let Some(index) = self.fetching.iter().position(|other| other == digest) {
                self.fetching.swap_remove(index);
            }
        }
    }

    /// Stores a text that pending rows need, and returns those rows.
    pub(crate) fn supply(&mut self, text: Vec<u8>) -> Vec<ReplicatedRow> {
        let digest = content_digest(&text);
        let pending = self.pending.values();
        let rows: Vec<_> = pending
            .filter(|(missing, _)| *missing == digest)
            .map(|(_, row)| row.clone())
            .collect();
        if rows.is_empty() {
            metrics::count_rejected("unwanted-text");
            return rows;
        }
        if self.stored.len() == MAX_STORED_TEXTS {
            self.stored.remove(0);
        }
        self.stored.push((digest, text.into()));
        rows
    }

    fn text(&self, digest: &str) -> Option<&Arc<[u8]>> {
        let stored = self.stored.iter().rev();
        stored
            .clone()
            .find(|(known, _)| known == digest)
            .map(|(_, text)| text)
    }

    /// Returns a stored text in the form in which peers fetch it.
    pub(crate) fn as_row(&self, digest: &str) -> Option<ReplicatedRow> {
        Some(ReplicatedRow {
            key: format!("{TEXT_PREFIX}{digest}"),
            version: 0,
            body: Arc::clone(self.text(digest)?),
        })
    }
}
