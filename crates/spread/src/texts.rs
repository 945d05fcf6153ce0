//! Texts of the configuration that are too long for their rows.

use crate::entry::TEXT_PREFIX;
use crate::{ReplicatedRow, metrics};
use ibiscove_types::ConfigRow;
use ibiscove_types::hash::content_digest;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Texts kept for peers that ask; the older ones serve nodes that lag.
const MAX_TEXTS: usize = 4;

/// Texts by digest, and the rows that wait for one.
#[derive(Debug, Default)]
pub(crate) struct Texts {
    /// Newest last.
    kept: Vec<(String, Arc<[u8]>)>,
    waiting: BTreeMap<String, (String, ReplicatedRow)>,
}

impl Texts {
    /// The row with its text; none when the text is not here yet, or is not
    /// what the row says it is.
    pub(crate) fn complete(&mut self, entry: &ReplicatedRow, row: ConfigRow) -> Option<ConfigRow> {
        if content_digest(row.body.as_bytes()) == row.digest {
            self.waiting.remove(&entry.key);
            return Some(row);
        }
        if !row.body.is_empty() {
            metrics::rejected("text-digest");
            log::warn!(key = entry.key, version = row.version; "text does not match its digest");
            return None;
        }
        if let Some(text) = self.text(&row.digest) {
            let body = String::from_utf8(text.to_vec()).ok()?;
            self.waiting.remove(&entry.key);
            return Some(ConfigRow { body, ..row });
        }
        self.wait(entry, row.digest);
        None
    }

    /// Only the newest version of a row is worth waiting for.
    fn wait(&mut self, entry: &ReplicatedRow, digest: String) {
        let known = self.waiting.get(&entry.key);
        if known.is_none_or(|(_, known)| known.version < entry.version) {
            self.waiting
                .insert(entry.key.clone(), (digest, entry.clone()));
        }
    }

    pub(crate) fn wanted(&self) -> Vec<String> {
        let waiting = self.waiting.values();
        waiting.map(|(digest, _)| digest.clone()).collect()
    }

    /// Keeps a text if a row waits for it; gives the rows that did.
    pub(crate) fn supply(&mut self, text: Vec<u8>) -> Vec<ReplicatedRow> {
        let digest = content_digest(&text);
        let waiting = self.waiting.values();
        let rows: Vec<_> = waiting
            .filter(|(wanted, _)| *wanted == digest)
            .map(|(_, entry)| entry.clone())
            .collect();
        if rows.is_empty() {
            metrics::rejected("unwanted-text");
            return rows;
        }
        if self.kept.len() == MAX_TEXTS {
            self.kept.remove(0);
        }
        self.kept.push((digest, text.into()));
        rows
    }

    fn text(&self, digest: &str) -> Option<&Arc<[u8]>> {
        let kept = self.kept.iter().rev();
        kept.clone()
            .find(|(known, _)| known == digest)
            .map(|(_, text)| text)
    }

    /// A text as it is passed on.
    pub(crate) fn entry(&self, digest: &str) -> Option<ReplicatedRow> {
        Some(ReplicatedRow {
            key: format!("{TEXT_PREFIX}{digest}"),
            version: 0,
            body: Arc::clone(self.text(digest)?),
        })
    }
}
