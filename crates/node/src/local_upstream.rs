//! The local upstream, as it last announced itself.
//!
//! It lives as long as the node and is read for every request: a reader takes a
//! reference to the last announcement and copies nothing.

use crate::limiter::{Limiter, Load};
use ibiscove_types::{ServiceName, UpstreamSpec};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The local upstream and its last announcement.
#[derive(Clone, Debug)]
pub(crate) struct ObservedUpstream {
    /// What the upstream announced, with its capacities capped by the
    /// inventory.
    pub(crate) spec: Arc<UpstreamSpec>,
    /// When it last announced itself.
    pub(crate) last_announced: Instant,
    /// Limits and queues its requests.
    pub(crate) limiter: Arc<Limiter>,
    /// Whether it asked for no new requests.
    pub(crate) draining: bool,
}

/// The local upstream of a node.
#[derive(Debug, Default)]
pub(crate) struct LocalUpstream {
    observed: Mutex<Option<ObservedUpstream>>,
}

impl LocalUpstream {
    /// Applies an announcement. One that repeats the last leaves a drain in
    /// force: the heartbeats of a leaving upstream do not cancel it.
    pub(crate) fn apply_announcement(&self, spec: UpstreamSpec, cold: bool, now: Instant) {
        let mut observed = self.lock();
        let upstream = observed.take().filter(|upstream| *upstream.spec == spec);
        *observed = Some(match upstream {
            Some(upstream) => ObservedUpstream {
                last_announced: now,
                ..upstream
            },
            None => ObservedUpstream {
                limiter: Arc::new(Limiter::new(&spec, cold)),
                spec: Arc::new(spec),
                last_announced: now,
                draining: false,
            },
        });
    }

    /// Refuses new requests until another upstream announces itself.
    pub(crate) fn begin_draining(&self) {
        if let Some(observed) = self.lock().as_mut() {
            observed.draining = true;
        }
    }

    /// Returns the upstream, unless its last announcement is `timeout` or
    /// longer ago.
    pub(crate) fn current(&self, now: Instant, timeout: Duration) -> Option<ObservedUpstream> {
        let observed = self.lock();
        let is_responsive = |upstream: &&ObservedUpstream| {
            now.saturating_duration_since(upstream.last_announced) < timeout
        };
        observed.as_ref().filter(is_responsive).cloned()
    }

    /// Returns the load of the upstream; none before its first announcement.
    pub(crate) fn load(&self) -> Option<Load> {
        let observed = self.lock();
        observed.as_ref().map(|upstream| upstream.limiter.load())
    }

    /// Returns the upstream's service and load; none while it is draining.
    pub(crate) fn service_and_load(&self) -> Option<(ServiceName, Load)> {
        let observed = self.lock();
        let upstream = observed.as_ref().filter(|upstream| !upstream.draining)?;
        Some((upstream.spec.service.clone(), upstream.limiter.load()))
    }

    fn lock(&self) -> MutexGuard<'_, Option<ObservedUpstream>> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
