//! How far the configuration in force is behind the newest one that is known.
//!
//! Heartbeats of other nodes tell which version each of them has. Until this node has
//! it, too, what its own configuration lacks may exist all the same.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most newer versions that are told apart. Beyond them the last is replaced, and the
/// lag that is reported may be too long, never too short.
const MAX_KNOWN: usize = 64;

/// What is known of newer configurations. Clones share it.
#[derive(Clone, Default)]
pub struct ConfigLag(Arc<Mutex<State>>);

/// That a node has an older configuration than another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// The newest version that is known.
    pub newest: u64,
    /// Time since it has been known that a newer version exists than the one in force.
    pub behind: Duration,
    /// Why the last attempt to get it failed; none before the first failure.
    pub last_failure: Option<&'static str>,
}

#[derive(Default)]
struct State {
    /// Versions not in force yet, in ascending order.
    known: VecDeque<KnownVersion>,
    newest: u64,
    /// Set while the node is behind.
    fell_behind: Option<Instant>,
    last_failure: Option<&'static str>,
}

struct KnownVersion {
    version: u64,
    since: Instant,
}

impl ConfigLag {
    /// Records the version that a peer has.
    pub fn observe(&self, version: u64, peer: &str, in_force: u64, now: Instant) {
        if version <= in_force {
            return;
        }
        let mut state = self.lock();
        if version <= state.newest {
            return;
        }
        state.newest = version;
        let is_full = state.known.len() >= MAX_KNOWN;
        match state.known.back_mut() {
            Some(last) if is_full => last.version = version,
            _ => state.known.push_back(KnownVersion {
                version,
                since: now,
            }),
        }
        if state.fell_behind.is_none() {
            state.fell_behind = Some(now);
            log::info!(config = in_force, newest_config = version, peer = peer;
                "a newer configuration is known than the one in force");
        }
    }

    /// Records why the newer configuration could not be got. The metric's label has
    /// `cause`, of which there must be few.
    pub fn record_failure(&self, cause: &'static str) {
        metrics::counter!("ibiscove_config_fetch_failures_total", "cause" => cause).increment(1);
        self.lock().last_failure = Some(cause);
    }

    /// Returns how far a node with the version `in_force` is behind; none when no newer
    /// one is known.
    pub fn lag(&self, in_force: u64, now: Instant) -> Option<Lag> {
        let state = self.lock();
        let mut known = state.known.iter();
        let first = known.find(|known| known.version > in_force)?;
        Some(Lag {
            newest: state.newest,
            behind: now.saturating_duration_since(first.since),
            last_failure: state.last_failure,
        })
    }

    /// Records the version in force, and updates the metrics. To be called after each
    /// change and from time to time.
    pub fn update(&self, in_force: u64, now: Instant) {
        let mut state = self.lock();
        while let Some(first) = state.known.front()
            && first.version <= in_force
        {
            state.known.pop_front();
        }
        if state.known.is_empty()
            && let Some(fell_behind) = state.fell_behind.take()
        {
            let behind = now.saturating_duration_since(fell_behind);
            log::info!(config = in_force, behind_ms = behind.as_millis() as u64,
                last_failure = state.last_failure.unwrap_or_default();
                "the newest configuration that is known is in force");
            state.last_failure = None;
        }
        let behind = state.known.front().map_or(Duration::ZERO, |first| {
            now.saturating_duration_since(first.since)
        });
        metrics::gauge!("ibiscove_config_version").set(in_force as f64);
        metrics::gauge!("ibiscove_config_newest_known").set(state.newest.max(in_force) as f64);
        metrics::gauge!("ibiscove_config_behind_seconds").set(behind);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change leaves the state consistent even if it panics.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
