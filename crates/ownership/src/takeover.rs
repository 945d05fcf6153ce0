//! Failure detection and takeover.
//!
//! A witness seals a node whose heartbeats it has missed for a lease, and
//! notifies the node's successors (`heirs` in rows and messages, where the
//! sealed node is the `ward`). A successor that has received a majority of
//! seals serves its share at once (invariant 6) and commits the reassignment
//! when the table responds. Witnesses attempt the commit later, in case the
//! successors are lost.

use crate::reassign::{ReassignOutcome, RetireReason};
use crate::seals::{self, SealSet};
use crate::{MoveHooks, Ownership};
use futures_util::future::join_all;
use ibiscove_spread::ReplicatedRow;
use ibiscove_store::Table;
use ibiscove_types::rows::takeover_key;
use ibiscove_types::{Clock, Incarnation, NodeState, SlotGrant, TakeoverRecord};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Request, Response, Seal, SealNotice, SealQuery};
use std::time::Duration;

/// Initial interval between checks of a suspect's seals and row.
const INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest interval between checks of a suspect's seals and row.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Takeover records never change, so they have one version.
const RECORD_VERSION: u64 = 1;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Seals monitored nodes whose heartbeats stop, until the task is dropped.
    pub(crate) async fn monitor_nodes(self) {
        let interval = self.inner.settings.heartbeat_interval;
        loop {
            let started_at = self.inner.clock.now();
            let expiry = self.inner.monitored.next_expiry();
            let delay = expiry.map_or(interval, |at| at.saturating_duration_since(started_at));
            let delay = delay.clamp(Duration::from_millis(1), interval);
            self.inner.clock.sleep(delay).await;
            let now = self.inner.clock.now();
            if now.duration_since(started_at) > delay + interval {
                // This process was suspended: heartbeats received meanwhile are
                // unread.
                self.inner.monitored.restart_timers(now);
                continue;
            }
            self.review_monitored_nodes();
            for node in self.inner.monitored.seal_expired(now) {
                log::warn!(ward = node; "sealed a node that sent no heartbeat for a lease");
                metrics::counter!("ibiscove_ownership_sealed_total").increment(1);
                self.add_suspect(node);
            }
        }
    }

    /// Drops monitored nodes that are retired or name other witnesses.
    fn review_monitored_nodes(&self) {
        let map = self.inner.replica.map();
        let now = self.inner.clock.now();
        for (witness, monitored) in self.inner.monitored.pairs() {
            let Some(node) = map.node(monitored) else {
                continue;
            };
            let pair = (witness, monitored);
            if node.row.state == NodeState::Retired {
                self.inner.monitored.retire(pair);
            } else if node.row.witnesses.contains(&witness) {
                self.inner.monitored.set_released(pair, false);
            } else if !self.inner.monitored.has_recent_heartbeat(pair, now) {
                self.inner.monitored.set_released(pair, true);
            }
        }
    }

    /// Starts the takeover task of a node that may be lost.
    pub(crate) fn add_suspect(&self, suspect: Incarnation) {
        self.suspects().entry(suspect).or_default();
        self.inner.suspects_changed.notify(usize::MAX);
    }

    /// Records a witness's notice that it has sealed a node.
    pub(crate) fn record_seal_notice(&self, notice: &SealNotice) {
        let suspect = notice.ward as Incarnation;
        let mut suspects = self.suspects();
        let seals = suspects.entry(suspect).or_default();
        seals.record(notice.witness as Incarnation, notice.seal.clone());
        drop(suspects);
        self.inner.suspects_changed.notify(usize::MAX);
    }

    /// Collects the seals of one suspect, serves its slots and reassigns them,
    /// until its row is retired or this node has no role in the takeover left.
    pub(crate) async fn take_over(self, suspect: Incarnation) {
        let started_at = self.inner.clock.now();
        let reassign_delay = self.reassign_delay(suspect);
        let mut delay = INITIAL_CHECK_INTERVAL;
        let mut notified = false;
        while self.is_relevant_suspect(suspect) {
            let suspects_changed = self.inner.suspects_changed.listen();
            self.collect_seals(suspect).await;
            let seals = self.suspects().get(&suspect).cloned().unwrap_or_default();
            self.serve_as_successor(suspect, &seals);
            if !notified && let Some(witness) = seals.find_witness(|w| self.is_own_incarnation(w)) {
                self.notify_successors(suspect, witness, &seals).await;
                notified = true;
            }
            if self.inner.clock.now() >= started_at + reassign_delay
                && self.try_reassign(suspect, &seals).await
            {
                break;
            }
            let timer = self.inner.clock.sleep(self.jittered(delay));
            smol::future::or(timer, suspects_changed).await;
            delay = (delay * 2).min(MAX_CHECK_INTERVAL);
        }
        self.suspects().remove(&suspect);
        // Apply at once the grants that the commit added to this node's row.
        if let Err(err) = self.adopt_own_row().await {
            log::warn!("slots of a lost node are not applied yet: {err}");
        }
    }

    /// Returns whether this node still has a role in the takeover of a suspect.
    fn is_relevant_suspect(&self, suspect: Incarnation) -> bool {
        let map = self.inner.replica.map();
        let Some(node) = map.node(suspect) else {
            return true;
        };
        let mut named = node.row.witnesses.iter().chain(&node.row.heirs);
        let is_named = named.any(|node| self.is_own_incarnation(*node));
        let is_served = self.provisional_grants().contains_key(&suspect);
        node.row.state != NodeState::Retired && (is_named || is_served)
    }

    /// Queries the witnesses that have not sealed yet.
    pub(crate) async fn collect_seals(&self, suspect: Incarnation) {
        let mut witnesses: Vec<Incarnation> = Vec::new();
        let map = self.inner.replica.map();
        if let Some(node) = map.node(suspect) {
            witnesses.extend(&node.row.witnesses);
        }
        {
            let suspects = self.suspects();
            let seals = suspects.get(&suspect).cloned().unwrap_or_default();
            witnesses.extend(
                seals
                    .newest_holding()
                    .into_iter()
                    .flat_map(seals::witnesses_of),
            );
            witnesses.retain(|witness| !seals.contains(*witness));
        }
        witnesses.sort_unstable();
        witnesses.dedup();
        let queries = witnesses
            .into_iter()
            .map(|witness| async move { (witness, self.query_seal(suspect, witness).await) });
        for (witness, seal) in join_all(queries).await {
            if let Some(seal) = seal {
                self.suspects()
                    .entry(suspect)
                    .or_default()
                    .record(witness, seal);
            }
        }
    }

    async fn query_seal(&self, suspect: Incarnation, witness: Incarnation) -> Option<Seal> {
        if self.is_own_incarnation(witness) {
            return Some(
                self.inner
                    .monitored
                    .seal(witness, suspect, self.inner.clock.now()),
            );
        }
        let query = SealQuery {
            ward: suspect as i64,
            witness: witness as i64,
            claimant: self.incarnation() as i64,
        };
        match self
            .call_peer(self.peer_addr(witness)?, Request::SealQuery(query))
            .await
        {
            Some(Response::Seal(seal)) => Some(seal),
            _ => None,
        }
    }

    /// Notifies the successors of a suspect that this node has sealed it.
    async fn notify_successors(&self, suspect: Incarnation, witness: Incarnation, seals: &SealSet) {
        let now = self.inner.clock.now();
        let seal = self.inner.monitored.seal(witness, suspect, now);
        let successors: Vec<Incarnation> = match seals.newest_holding() {
            Some(holding) => holding.heirs.iter().map(|h| *h as Incarnation).collect(),
            None => return,
        };
        let notice = SealNotice {
            ward: suspect as i64,
            witness: witness as i64,
            seal,
        };
        let calls = successors.into_iter().filter_map(|successor| {
            let addr = self.peer_addr(successor)?;
            Some(self.call_peer(addr, Request::SealNotice(notice.clone())))
        });
        join_all(calls).await;
    }

    /// Serves this node's share of a sealed node's slots before the table
    /// records it, when invariant 6 permits.
    fn serve_as_successor(&self, suspect: Incarnation, seals: &SealSet) {
        let own = self.own_row().row.clone();
        let Some(holding) = seals.valid_holding() else {
            return;
        };
        let is_same_service = own.service().is_some_and(|s| **s == *holding.service_name);
        // Invariant 8: reassigned rows take precedence over older seals.
        let is_live = own.state != NodeState::Retired;
        if !is_live
            || !is_same_service
            || own.absorbed.contains(&suspect)
            || self.provisional_grants().contains_key(&suspect)
        {
            return;
        }
        let grants = seals::grants_for_successor(holding, own.incarnation);
        if grants.is_empty() {
            return;
        }
        log::info!(
            ward = suspect, slots = grants.len();
            "serving the slots of a sealed node as its successor"
        );
        metrics::counter!("ibiscove_ownership_heir_total").increment(1);
        self.publish_takeover_record(&own, suspect, &grants);
        self.provisional_grants().insert(suspect, grants);
        self.refresh_held_slots();
    }

    fn publish_takeover_record(
        &self,
        own: &ibiscove_types::NodeRow,
        suspect: Incarnation,
        grants: &[SlotGrant],
    ) {
        let Some(service) = own.service().cloned() else {
            return;
        };
        let record = TakeoverRecord {
            service,
            ward: suspect,
            heir: own.incarnation,
            slots: grants.iter().map(|g| (g.slot, g.fence)).collect(),
        };
        let body = serde_json::to_vec(&record).expect("a takeover record is always serialisable");
        self.publish(vec![ReplicatedRow {
            key: takeover_key(suspect, own.incarnation),
            version: RECORD_VERSION,
            body: body.into(),
        }]);
    }

    /// Attempts to commit the reassignment; returns whether the row is retired.
    async fn try_reassign(&self, suspect: Incarnation, seals: &SealSet) -> bool {
        match self
            .retire_and_reassign(suspect, RetireReason::Sealed(seals))
            .await
        {
            Ok(outcome) => outcome == ReassignOutcome::Done,
            Err(err) => {
                metrics::counter!("ibiscove_ownership_waiting_total").increment(1);
                log::warn!(ward = suspect; "a takeover cannot be committed, retrying: {err}");
                false
            }
        }
    }

    /// Returns the delay of this node's first attempt. Successors attempt
    /// first, one after another, and witnesses after them, so that most
    /// takeovers cost one transaction.
    fn reassign_delay(&self, suspect: Incarnation) -> Duration {
        let step = self.inner.settings.takeover_stagger;
        let map = self.inner.replica.map();
        let successors = map.node(suspect).map_or(&[][..], |node| &node.row.heirs);
        let own = self.incarnation();
        let rank = successors.iter().position(|successor| *successor == own);
        let rank = rank.unwrap_or(successors.len()) as u32;
        step * rank + self.jittered(step)
    }
}
