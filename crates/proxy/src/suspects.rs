//! The requests beside which upstreams have crashed, as all components of a node
//! share them: the gate blames, isolates and clears, the entry refuses, and the mesh
//! tells other nodes. [`ibiscove_routing::quarantine`] decides.

use crate::headers::{self, CRASH_RECORD};
use event_listener::{Event, EventListener};
use hyper::HeaderMap;
use ibiscove_routing::quarantine::{CrashRecord, Quarantine, Suspicion, WallMillis};
use ibiscove_types::{Fingerprint, UpstreamIncarnation, format_fingerprint};
use std::collections::{BTreeSet, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Most changes that wait to be passed on; other nodes find the rest by the digest.
const MAX_NEWS: usize = 128;

/// A copy of a request at the upstream.
#[derive(Clone, Copy, Debug)]
pub struct SentCopy {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was known of it when it was sent.
    pub when_sent: Suspicion,
}

/// Why a copy of a request is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("earlier copies of the request have crashed their upstreams")]
pub struct Quarantined;

/// The suspects that a node knows of. Clones share them.
#[derive(Clone)]
pub struct Suspects {
    inner: Arc<Inner>,
}

struct Inner {
    /// Wall-clock time at [`Inner::started`]; steps of the clock since then do not
    /// change the age of records.
    started_wall: WallMillis,
    started: Instant,
    state: Mutex<State>,
    /// Number of records, so that requests need no lock while there are none.
    count: AtomicUsize,
    /// Notified when there are changes to pass on or to store.
    changed: Event,
    /// Notified when a suspect has ended at the upstream, or is judged anew.
    turn_ended: Event,
}

#[derive(Default)]
struct State {
    quarantine: Quarantine,
    /// Changes that other nodes may not know.
    news: Vec<CrashRecord>,
    /// Requests whose quarantine began or ended here and is not stored yet.
    unstored: BTreeSet<Fingerprint>,
    /// Suspects that run at the upstream.
    running: HashSet<Fingerprint>,
    /// Digests of another node and of this one whose records were compared last.
    compared: Option<(u64, u64)>,
}

/// The only copy of a suspect at the upstream. Dropping it lets the next one run.
pub struct Turn {
    suspects: Suspects,
    fingerprint: Fingerprint,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.suspects.lock().running.remove(&self.fingerprint);
        self.suspects.inner.turn_ended.notify(usize::MAX);
    }
}

impl Suspects {
    /// Returns an empty set at a moment of both clocks.
    pub fn new(now: Instant, wall: SystemTime) -> Self {
        let since_epoch = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            inner: Arc::new(Inner {
                started_wall: millis(since_epoch),
                started: now,
                state: Mutex::default(),
                count: AtomicUsize::new(0),
                changed: Event::new(),
                turn_ended: Event::new(),
            }),
        }
    }

    /// Returns how strongly a request is suspected.
    pub fn suspicion(&self, fingerprint: Option<Fingerprint>) -> Suspicion {
        self.record(fingerprint)
            .map_or(Suspicion::default(), |record| record.suspicion)
    }

    /// Returns what is known of a request; none if no upstream has crashed beside it.
    pub fn record(&self, fingerprint: Option<Fingerprint>) -> Option<CrashRecord> {
        if self.inner.count.load(Ordering::Acquire) == 0 {
            return None;
        }
        self.lock().quarantine.record(fingerprint?)
    }

    /// Waits until no other copy of a suspect runs at the upstream. Requests that are
    /// not suspected need no turn.
    pub async fn take_turn(
        &self,
        fingerprint: Option<Fingerprint>,
    ) -> Result<Option<Turn>, Quarantined> {
        loop {
            let ended = self.inner.turn_ended.listen();
            let suspicion = self.suspicion(fingerprint);
            if suspicion.is_quarantined() {
                return Err(Quarantined);
            }
            let Some(fingerprint) = fingerprint.filter(|_| suspicion.is_suspect()) else {
                return Ok(None);
            };
            if self.lock().running.insert(fingerprint) {
                return Ok(Some(Turn {
                    suspects: self.clone(),
                    fingerprint,
                }));
            }
            ended.await;
        }
    }

    /// Records that an upstream crashed beside a copy of a request.
    pub fn record_crash(&self, copy: SentCopy, upstream: &UpstreamIncarnation, now: Instant) {
        let mut state = self.lock();
        let wall = self.wall(now);
        let Some(record) = state
            .quarantine
            .record_crash(copy.fingerprint, copy.when_sent, wall)
        else {
            return;
        };
        state.push_news(record);
        if record.suspicion.is_quarantined() {
            state.unstored.insert(record.fingerprint);
        }
        self.publish(state);
        let fingerprint = format_fingerprint(record.fingerprint);
        log::warn!(fingerprint = &*fingerprint, crashes = record.suspicion.crashes,
            upstream = &*upstream.id, quarantined = record.suspicion.is_quarantined();
            "an upstream crashed beside a request");
    }

    /// Records that an upstream ran a copy of a request to its end.
    pub fn record_success(&self, fingerprint: Option<Fingerprint>) {
        let Some(before) = self.record(fingerprint) else {
            return;
        };
        let mut state = self.lock();
        let Some(record) = state.quarantine.record_success(before.fingerprint) else {
            return;
        };
        state.push_news(record);
        if before.suspicion.is_quarantined() {
            state.unstored.insert(record.fingerprint);
        }
        self.publish(state);
        metrics::counter!("ibiscove_suspects_cleared_total").increment(1);
        let fingerprint = format_fingerprint(record.fingerprint);
        log::info!(fingerprint = &*fingerprint, crashes = before.suspicion.crashes;
            "a suspected request ended well and is cleared");
    }

    /// Takes over records of another node or of the table, named by `source` in the
    /// log. Returns whether any of them was new.
    pub fn merge(
        &self,
        records: impl IntoIterator<Item = CrashRecord>,
        source: &str,
        now: Instant,
    ) -> bool {
        let wall = self.wall(now);
        let mut records = records.into_iter().peekable();
        if records.peek().is_none() {
            return false;
        }
        let mut state = self.lock();
        let mut is_new = false;
        for record in records {
            let was_quarantined = state
                .quarantine
                .suspicion(record.fingerprint)
                .is_quarantined();
            if !state.quarantine.merge(record, wall) {
                continue;
            }
            is_new = true;
            // As it was taken over, which others can take too.
            let known = state.quarantine.record(record.fingerprint);
            state.push_news(known.unwrap_or(record));
            if record.suspicion.is_quarantined() && !was_quarantined {
                let fingerprint = format_fingerprint(record.fingerprint);
                log::warn!(fingerprint = &*fingerprint, source = source;
                    "a request is in quarantine, as another node has found");
            }
        }
        if is_new {
            self.publish(state);
        }
        is_new
    }

    /// Takes over the record in another node's response.
    pub fn merge_header(&self, from: &HeaderMap, source: &str, now: Instant) {
        let Some(value) = from.get(CRASH_RECORD) else {
            return;
        };
        match serde_json::from_slice::<CrashRecord>(value.as_bytes()) {
            Ok(record) => {
                self.merge([record], source, now);
            }
            Err(err) => {
                metrics::counter!("ibiscove_crash_records_malformed_total").increment(1);
                log::debug!(source = source; "a crash record is malformed and ignored: {err}");
            }
        }
    }

    /// Adds what is known of a suspect to a response for another node.
    pub fn write_header(&self, fingerprint: Option<Fingerprint>, to: &mut HeaderMap) {
        let Some(record) = self.record(fingerprint) else {
            return;
        };
        match serde_json::to_string(&record) {
            Ok(text) => {
                to.insert(CRASH_RECORD, headers::value(&text));
            }
            Err(err) => log::error!("a crash record is not sent: {err}"),
        }
    }

    /// Returns all records, for a node that has others.
    pub fn records(&self) -> Vec<CrashRecord> {
        self.lock().quarantine.records().copied().collect()
    }

    /// Returns the records of fingerprints above `after` in their order, or all of them,
    /// for a node that fetches them in pages.
    pub fn records_after(&self, after: Option<Fingerprint>) -> Vec<CrashRecord> {
        let mut records = self.records();
        records.retain(|record| after.is_none_or(|after| record.fingerprint > after));
        records.sort_unstable_by_key(|record| record.fingerprint);
        records
    }

    /// Returns a number by which nodes find out that their records differ; 0 without
    /// records.
    pub fn digest(&self) -> u64 {
        self.lock().quarantine.digest()
    }

    /// Returns whether the records of a node with this digest are to be fetched. Each
    /// pair of digests is compared once.
    pub fn begin_comparison(&self, other: u64) -> bool {
        let mut state = self.lock();
        let pair = (other, state.quarantine.digest());
        if other == 0 || pair.0 == pair.1 || state.compared == Some(pair) {
            return false;
        }
        state.compared = Some(pair);
        true
    }

    /// Lets the last comparison be made again, because it failed.
    pub fn forget_comparison(&self) {
        self.lock().compared = None;
    }

    /// Takes the changes that other nodes may not know.
    pub fn take_news(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut self.lock().news)
    }

    /// Returns up to `limit` records that are to be stored.
    pub fn unstored(&self, limit: usize) -> Vec<CrashRecord> {
        let mut state = self.lock();
        let State {
            quarantine,
            unstored,
            ..
        } = &mut *state;
        unstored.retain(|fingerprint| quarantine.record(*fingerprint).is_some());
        let records = unstored.iter().filter_map(|it| quarantine.record(*it));
        records.take(limit).collect()
    }

    /// Records that these are stored, unless they have changed since.
    pub fn mark_stored(&self, records: &[CrashRecord]) {
        let mut state = self.lock();
        for record in records {
            let current = state.quarantine.record(record.fingerprint);
            if current.is_none_or(|current| current.suspicion == record.suspicion) {
                state.unstored.remove(&record.fingerprint);
            }
        }
    }

    /// Returns a listener for further changes.
    pub fn changed(&self) -> EventListener {
        self.inner.changed.listen()
    }

    /// Removes the records that have expired.
    pub fn prune(&self, now: Instant) {
        if self.inner.count.load(Ordering::Acquire) == 0 {
            return;
        }
        let wall = self.wall(now);
        let mut state = self.lock();
        state.quarantine.prune(wall);
        self.update_count(&state);
    }

    fn publish(&self, state: MutexGuard<'_, State>) {
        self.update_count(&state);
        drop(state);
        self.inner.changed.notify(usize::MAX);
        self.inner.turn_ended.notify(usize::MAX);
    }

    fn update_count(&self, state: &State) {
        let quarantine = &state.quarantine;
        self.inner.count.store(quarantine.len(), Ordering::Release);
        let quarantined = quarantine
            .records()
            .filter(|record| record.suspicion.is_quarantined())
            .count();
        metrics::gauge!("ibiscove_quarantined_requests").set(quarantined as f64);
    }

    fn wall(&self, now: Instant) -> WallMillis {
        let elapsed = now.saturating_duration_since(self.inner.started);
        self.inner.started_wall.saturating_add(millis(elapsed))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn push_news(&mut self, record: CrashRecord) {
        if self.news.len() < MAX_NEWS {
            self.news.push(record);
        }
    }
}

fn millis(duration: Duration) -> WallMillis {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
