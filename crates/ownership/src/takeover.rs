//! Taking over from a node that its witnesses have sealed.
//!
//! A witness that seals tells the heirs; an heir that knows of a majority of
//! seals serves its share at once (invariant 6) and settles the rows when the
//! table answers. Witnesses settle as well, later, in case the heirs are gone.

use crate::evidence::{self, Evidence};
use crate::settle::{Cause, Settled};
use crate::{MoveHooks, Ownership};
use futures_util::future::join_all;
use ibiscove_spread::Entry;
use ibiscove_store::Table;
use ibiscove_types::rows::takeover_key;
use ibiscove_types::{Clock, Incarnation, NodeState, SlotGrant, TakeoverRecord};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Request, Response, Seal, SealNotice, SealQuery};
use std::time::Duration;

/// First pause between two looks at a lost node's seals and row.
const FIRST_LOOK: Duration = Duration::from_millis(50);
/// Longest pause between two looks at a lost node's seals and row.
const LONGEST_LOOK: Duration = Duration::from_secs(2);
/// Records of takeovers never change, so they have one version.
const RECORD_VERSION: u64 = 1;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Seals silent wards until the task is dropped.
    pub(crate) async fn watch_wards(self) {
        let interval = self.inner.settings.heartbeat_interval;
        loop {
            let began = self.inner.clock.now();
            let expiry = self.inner.wards.next_expiry();
            let pause = expiry.map_or(interval, |at| at.saturating_duration_since(began));
            let pause = pause.clamp(Duration::from_millis(1), interval);
            self.inner.clock.sleep(pause).await;
            let now = self.inner.clock.now();
            if now.duration_since(began) > pause + interval {
                // This process was stopped: what its wards sent waits unread.
                self.inner.wards.excuse_silence(now);
                continue;
            }
            self.review_wards();
            for ward in self.inner.wards.seal_silent(now) {
                log::warn!(ward; "sealed a ward that was silent for a lease");
                metrics::counter!("ibiscove_ownership_sealed_total").increment(1);
                self.suspect(ward);
            }
        }
    }

    /// Drops wards that are retired or have other witnesses.
    fn review_wards(&self) {
        let map = self.inner.replica.map();
        let now = self.inner.clock.now();
        for (witness, ward) in self.inner.wards.all() {
            let Some(node) = map.node(ward) else {
                continue;
            };
            let pair = (witness, ward);
            if node.row.state == NodeState::Retired {
                self.inner.wards.close(pair);
            } else if node.row.witnesses.contains(&witness) {
                self.inner.wards.release(pair, false);
            } else if !self.inner.wards.is_fresh(pair, now) {
                self.inner.wards.release(pair, true);
            }
        }
    }

    /// Begins to look after a node that may be lost.
    pub(crate) fn suspect(&self, ward: Incarnation) {
        self.reports().entry(ward).or_default();
        self.inner.reported.notify(usize::MAX);
    }

    /// Takes a witness's word that it has sealed a node.
    pub(crate) fn take_notice(&self, notice: &SealNotice) {
        let ward = notice.ward as Incarnation;
        let mut reports = self.reports();
        let evidence = reports.entry(ward).or_default();
        evidence.add(notice.witness as Incarnation, notice.seal.clone());
        drop(reports);
        self.inner.reported.notify(usize::MAX);
    }

    /// Looks after one suspected node until its row is retired, or it turns
    /// out to live.
    pub(crate) async fn take_over(self, ward: Incarnation) {
        let began = self.inner.clock.now();
        let delay = self.settle_delay(ward);
        let mut pause = FIRST_LOOK;
        let mut told = false;
        while self.is_concerned(ward) {
            let reported = self.inner.reported.listen();
            self.gather_seals(ward).await;
            let evidence = self.reports().get(&ward).cloned().unwrap_or_default();
            self.serve_as_heir(ward, &evidence);
            if !told && let Some(witness) = evidence.witness(|w| self.was_me(w)) {
                self.tell_heirs(ward, witness, &evidence).await;
                told = true;
            }
            if self.inner.clock.now() >= began + delay && self.settles(ward, &evidence).await {
                break;
            }
            let timer = self.inner.clock.sleep(self.jittered(pause));
            smol::future::or(timer, reported).await;
            pause = (pause * 2).min(LONGEST_LOOK);
        }
        self.reports().remove(&ward);
        // What the settled rows add to this node's row is read at once.
        if let Err(err) = self.adopt().await {
            log::warn!("taking over slots: {err}");
        }
    }

    /// Whether a suspected node is still this node's business.
    fn is_concerned(&self, ward: Incarnation) -> bool {
        let map = self.inner.replica.map();
        let Some(node) = map.node(ward) else {
            return true;
        };
        let mut named = node.row.witnesses.iter().chain(&node.row.heirs);
        let named = named.any(|node| self.was_me(*node));
        let served = self.provisional().contains_key(&ward);
        node.row.state != NodeState::Retired && (named || served)
    }

    /// Asks the witnesses that have not sealed yet.
    pub(crate) async fn gather_seals(&self, ward: Incarnation) {
        let mut witnesses: Vec<Incarnation> = Vec::new();
        let map = self.inner.replica.map();
        if let Some(node) = map.node(ward) {
            witnesses.extend(&node.row.witnesses);
        }
        {
            let reports = self.reports();
            let evidence = reports.get(&ward).cloned().unwrap_or_default();
            witnesses.extend(evidence.newest().into_iter().flat_map(evidence::witnesses));
            witnesses.retain(|witness| !evidence.has(*witness));
        }
        witnesses.sort_unstable();
        witnesses.dedup();
        let asked = witnesses
            .into_iter()
            .map(|witness| async move { (witness, self.ask_for_seal(ward, witness).await) });
        for (witness, seal) in join_all(asked).await {
            if let Some(seal) = seal {
                self.reports().entry(ward).or_default().add(witness, seal);
            }
        }
    }

    async fn ask_for_seal(&self, ward: Incarnation, witness: Incarnation) -> Option<Seal> {
        if self.was_me(witness) {
            return Some(self.inner.wards.seal(witness, ward, self.inner.clock.now()));
        }
        let query = SealQuery {
            ward: ward as i64,
            witness: witness as i64,
            claimant: self.incarnation() as i64,
        };
        match self
            .call(self.addr(witness)?, Request::SealQuery(query))
            .await
        {
            Some(Response::Seal(seal)) => Some(seal),
            _ => None,
        }
    }

    /// Tells the heirs of a ward that this node has sealed it.
    async fn tell_heirs(&self, ward: Incarnation, witness: Incarnation, evidence: &Evidence) {
        let now = self.inner.clock.now();
        let seal = self.inner.wards.seal(witness, ward, now);
        let heirs: Vec<Incarnation> = match evidence.newest() {
            Some(holding) => holding.heirs.iter().map(|h| *h as Incarnation).collect(),
            None => return,
        };
        let notice = SealNotice {
            ward: ward as i64,
            witness: witness as i64,
            seal,
        };
        let calls = heirs.into_iter().filter_map(|heir| {
            let addr = self.addr(heir)?;
            Some(self.call(addr, Request::SealNotice(notice.clone())))
        });
        join_all(calls).await;
    }

    /// Serves this node's share of a sealed node's slots before the table
    /// says so, when invariant 6 permits.
    fn serve_as_heir(&self, ward: Incarnation, evidence: &Evidence) {
        let own = self.own().row.clone();
        let Some(holding) = evidence.valid_holding() else {
            return;
        };
        let is_service = own.service().is_some_and(|s| **s == *holding.service_name);
        // Invariant 8: rows already settled say more than old seals.
        let is_live = own.state != NodeState::Retired;
        if !is_live
            || !is_service
            || own.absorbed.contains(&ward)
            || self.provisional().contains_key(&ward)
        {
            return;
        }
        let grants = evidence::grants_of(holding, own.incarnation);
        if grants.is_empty() {
            return;
        }
        log::info!(ward, slots = grants.len(); "serving as heir of a sealed node");
        metrics::counter!("ibiscove_ownership_heir_total").increment(1);
        self.publish_record(&own, ward, &grants);
        self.provisional().insert(ward, grants);
        self.refresh_held();
    }

    fn publish_record(
        &self,
        own: &ibiscove_types::NodeRow,
        ward: Incarnation,
        grants: &[SlotGrant],
    ) {
        let Some(service) = own.service().cloned() else {
            return;
        };
        let record = TakeoverRecord {
            service,
            ward,
            heir: own.incarnation,
            slots: grants.iter().map(|g| (g.slot, g.fence)).collect(),
        };
        let body = serde_json::to_vec(&record).expect("a record is plain data");
        self.publish(vec![Entry {
            key: takeover_key(ward, own.incarnation),
            version: RECORD_VERSION,
            body: body.into(),
        }]);
    }

    /// Tries to settle; gives whether the row is retired.
    async fn settles(&self, ward: Incarnation, evidence: &Evidence) -> bool {
        match self.settle(ward, Cause::Sealed(evidence)).await {
            Ok(settled) => settled == Settled::Done,
            Err(err) => {
                metrics::counter!("ibiscove_ownership_waiting_total").increment(1);
                log::warn!(ward; "settling a takeover waits: {err}");
                false
            }
        }
    }

    /// Heirs settle first, one after the other, and witnesses after them, so
    /// that most takeovers cost one transaction.
    fn settle_delay(&self, ward: Incarnation) -> Duration {
        let step = self.inner.settings.settle_stagger;
        let map = self.inner.replica.map();
        let heirs = map.node(ward).map_or(&[][..], |node| &node.row.heirs);
        let own = self.incarnation();
        let rank = heirs.iter().position(|heir| *heir == own);
        let rank = rank.unwrap_or(heirs.len()) as u32;
        step * rank + self.jittered(step)
    }
}
