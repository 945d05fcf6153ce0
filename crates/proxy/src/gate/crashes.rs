//! Crashes of the local upstream: which requests were at work, and what becomes of
//! further copies of them.

use super::{Gate, Inner, KeyOwnership, Permit, SentRequest};
use crate::forward::RequestMetadata;
use crate::local_upstream::ObservedUpstream;
use crate::refusal::Refusal;
use crate::relay::RelayedResponse;
use crate::suspects::{self, Turn};
use ibiscove_routing::crash_watch::SendId;
use ibiscove_routing::quarantine::RECORD_LIFETIME;
use ibiscove_types::{Clock, Outcome, Reason, UpstreamIncarnation};
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which the end of a process shows on all of its connections.
const CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Time for which a request that was lost waits for the upstream's address to refuse or
/// accept a connection, which takes about a millisecond on the same machine.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

impl<K, C> Inner<K, C> {
    /// Records that a request got no answer.
    pub(super) fn record_loss(&self, id: SendId, now: Instant) {
        let lost = self.crash_watch().lose(id, now);
        if let Some((copy, upstream)) = lost {
            self.blame(copy, &upstream, now);
        }
    }

    fn record_crash(&self, upstream: &UpstreamIncarnation, now: Instant) {
        // Upstreams that leave also end with requests at work.
        if self.local_upstream.has_left(upstream) {
            return;
        }
        let lost = self.crash_watch().record_crash(upstream, now);
        metrics::counter!("ibiscove_upstream_crashes_total").increment(1);
        log::warn!(upstream = &*upstream.id, lost = lost.len(); "upstream crashed");
        for copy in lost {
            self.blame(copy, upstream, now);
        }
    }

    fn blame(
        &self,
        copy: Option<suspects::SentCopy>,
        upstream: &UpstreamIncarnation,
        now: Instant,
    ) {
        if let Some(copy) = copy {
            self.suspects.record_crash(copy, upstream, now);
        }
    }
}

impl<K: KeyOwnership, C: Clock> Gate<K, C> {
    /// Records that the upstream announced itself, so that its predecessor has ended.
    pub fn record_successor(&self, upstream: &UpstreamIncarnation) {
        let predecessors = self.inner.crash_watch().predecessors(upstream);
        for predecessor in predecessors {
            self.inner
                .record_crash(&predecessor, self.inner.clock.now());
        }
    }

    /// Waits until a suspected request may run: copies of it run one at a time, so
    /// that one more copy ends one more upstream at most.
    pub(super) async fn take_turn(
        &self,
        metadata: &RequestMetadata,
    ) -> Result<Option<Turn>, Refusal> {
        let suspects = &self.inner.suspects;
        if let Some(record) = metadata.crash_record {
            suspects.merge([record], &metadata.entry_node, self.inner.clock.now());
        }
        let turn = async {
            let turn = suspects.take_turn(metadata.fingerprint).await;
            turn.map_err(|_| Refusal::quarantined())
        };
        let timeout = async {
            self.inner.clock.sleep(self.remaining(metadata)).await;
            Err(Refusal::not_run(Reason::DeadlineExceeded))
        };
        turn.or(timeout).await
    }

    /// Records that a request is sent to the upstream.
    pub(super) fn begin_send(
        &self,
        metadata: &RequestMetadata,
        upstream: &ObservedUpstream,
    ) -> SentRequest<K, C> {
        let when_sent = self.inner.suspects.suspicion(metadata.fingerprint);
        let copy = metadata.fingerprint.map(|fingerprint| suspects::SentCopy {
            fingerprint,
            when_sent,
        });
        let incarnation = upstream.announcement.incarnation.clone();
        SentRequest {
            gate: Arc::clone(&self.inner),
            id: self.inner.crash_watch().begin(copy, incarnation),
            deadline: metadata.deadline,
            is_done: false,
        }
    }

    /// Records how a request ended at the upstream. A connection that broke may mean
    /// that the upstream has crashed, which is found out before the request is sent
    /// to another one.
    pub(super) async fn record_end(
        &self,
        metadata: &RequestMetadata,
        upstream: &ObservedUpstream,
        id: SendId,
        result: &Result<RelayedResponse<Permit<K, C>>, Refusal>,
    ) {
        match result {
            Ok(response) if response.body().is_whole() => {
                self.inner.crash_watch().settle(id);
                if !response.status().is_server_error() {
                    self.inner.suspects.record_success(metadata.fingerprint);
                }
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                self.inner.crash_watch().settle(id);
            }
            // The upstream may still crash before the end of a long answer, so its request
            // is a suspect if that happens soon.
            Ok(_) => self.inner.record_loss(id, self.inner.clock.now()),
            Err(refusal) => {
                self.inner.record_loss(id, self.inner.clock.now());
                let incarnation = &upstream.announcement.incarnation;
                if refusal.reason == Reason::UpstreamLost
                    && !self.inner.crash_watch().has_crashed(incarnation)
                    && self.is_address_refused().await
                {
                    self.record_refused(incarnation).await;
                }
            }
        }
    }

    /// Returns whether the upstream's address is known to refuse connections.
    async fn is_address_refused(&self) -> bool {
        let addr = self.inner.local_upstream.addr();
        let timeout = async {
            self.inner.clock.sleep(PROBE_TIMEOUT).await;
            false
        };
        self.inner.pool.is_refused(addr).or(timeout).await
    }

    /// Records that the upstream's address refuses connections. It serves nobody if none
    /// is open either: one that stops gracefully refuses new connections first, and its
    /// last requests run on.
    pub(super) async fn record_refused(&self, upstream: &UpstreamIncarnation) {
        let addr = self.inner.local_upstream.addr();
        if !self.inner.pool.wait_until_closed(addr, CLOSE_DELAY).await {
            log::info!(upstream = &*upstream.id;
                "the upstream refuses connections while some are open: it still runs");
            return;
        }
        let now = self.inner.clock.now();
        if !self
            .inner
            .local_upstream
            .record_connection_refused(upstream, now)
        {
            return;
        }
        self.inner.record_crash(upstream, now);
        if let Some(keys) = self.inner.key_ownership.get() {
            keys.record_upstream_gone();
        }
    }
}

impl Refusal {
    /// Creates the refusal of a request whose earlier copies crashed their upstreams.
    /// Its caller is told to stay away for as long as that is remembered.
    pub fn quarantined() -> Self {
        Self::not_run(Reason::Quarantined).with_retry_after(RECORD_LIFETIME)
    }
}
