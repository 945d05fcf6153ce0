//! What a node does of its own accord: name witnesses and heirs, register its
//! upstream, and begin again when it has been taken for lost.

use crate::pacing::RepairPacer;
use crate::settle::{Cause, Settled};
use crate::store::Backoff;
use crate::{MoveHooks, OwnRow, Ownership, OwnershipError, choose, lock};
use ibiscove_store::Table;
use ibiscove_types::{Clock, Incarnation, NodeRow, NodeState};
use ibiscove_wire::Peers;
use std::time::Instant;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Looks after the own row until the task is dropped.
    pub(crate) async fn look_after_row(self) {
        let mut without_lease = None;
        let mut pace = RepairPacer::default();
        loop {
            if let Err(err) = self.look_once(&mut without_lease, &mut pace).await {
                metrics::counter!("ibiscove_ownership_waiting_total").increment(1);
                log::warn!("a change of the own row waits: {err}");
            }
            let pause = self.jittered(self.inner.settings.review_interval);
            let timer = self.inner.clock.sleep(pause);
            smol::future::or(timer, self.inner.asked.listen()).await;
        }
    }

    async fn look_once(
        &self,
        without_lease: &mut Option<Instant>,
        pace: &mut RepairPacer,
    ) -> Result<(), OwnershipError> {
        let now = self.inner.clock.now();
        if self.has_left() {
            return Ok(());
        }
        if self.own().version.is_none() {
            // The first incarnation is registered by whoever started the node.
            let is_first = lock(&self.inner.former).is_empty();
            return if is_first {
                Ok(())
            } else {
                self.register().await
            };
        }
        if self.own().row.state == NodeState::Retired {
            self.begin_again().await?;
        }
        if self.has_lease(now) {
            *without_lease = None;
        } else if self.is_lost_for_good(*without_lease.get_or_insert(now)) {
            self.begin_again().await?;
            *without_lease = None;
        }
        match self.improve_row(pace).await {
            Err(OwnershipError::Retired) => self.begin_again().await,
            other => other,
        }
    }

    /// Whether no lease can come any more, or none has for long.
    fn is_lost_for_good(&self, since: Instant) -> bool {
        let waited = self.inner.clock.now().duration_since(since);
        let own = self.own();
        own.row.state == NodeState::Retired
            || self.inner.lease.is_sealed()
            || waited > self.inner.settings.rejoin_after
    }

    /// Names better witnesses and heirs, and the upstream that has announced
    /// itself.
    async fn improve_row(&self, pace: &mut RepairPacer) -> Result<(), OwnershipError> {
        let map = self.inner.replica.map();
        let wanted = self.wanted().clone();
        if !self.has_lease(self.inner.clock.now()) {
            // Without a majority of the witnesses nothing may change.
            return Err(OwnershipError::TooFewWitnesses);
        }
        let own = self.own().row.clone();
        let (witnesses, heirs) = choose::review(&own, &map, |node| self.inner.lease.has_lost(node));
        let names_lost = |named: &[Incarnation], chosen: &[Incarnation]| {
            named.iter().any(|node| !chosen.contains(node))
        };
        let needed = names_lost(&own.witnesses, &witnesses) || names_lost(&own.heirs, &heirs);
        let may_repair = {
            let retired = map.nodes().filter(|n| n.row.state == NodeState::Retired);
            let (retired, now) = (retired.count(), self.inner.clock.now());
            pace.may_repair(needed, retired, now, &mut self.rng())
        };
        self.change_own_row(|row| {
            if wanted.is_some() {
                row.upstream.clone_from(&wanted);
            }
            if may_repair || !needed {
                row.witnesses.clone_from(&witnesses);
                name_heirs(row, &heirs);
            }
        })
        .await
    }

    /// Retires what is left of this incarnation and registers as another, with
    /// no grants. Its slots go where their heirs are (invariant 7), as if its
    /// witnesses had found it lost.
    async fn begin_again(&self) -> Result<(), OwnershipError> {
        let _one_at_a_time = self.inner.changing.lock().await;
        let lost = self.incarnation();
        self.retire_own_row().await?;
        if self.is_leaving() {
            return Ok(());
        }
        let incarnation: Incarnation = self.rng().u64(1..=i64::MAX as u64);
        let row = NodeRow {
            incarnation,
            state: NodeState::Live,
            witnesses: Vec::new(),
            heirs: Vec::new(),
            grants: Vec::new(),
            absorbed: Vec::new(),
            ..self.own().row.clone()
        };
        log::warn!(lost, incarnation; "taken for lost; joining as another incarnation");
        metrics::counter!("ibiscove_ownership_rejoined_total").increment(1);
        lock(&self.inner.former).push(lost);
        *self.own() = OwnRow { row, version: None };
        self.refresh_held();
        self.inner.lease.reset();
        drop(_one_at_a_time);
        self.register().await
    }

    /// Stops to serve and gives the slots to their heirs. The lease must have
    /// ended, or nothing must have been admitted for a lease. The caller holds
    /// `changing`.
    pub(crate) async fn retire_own_row(&self) -> Result<(), OwnershipError> {
        let before = self.own().clone();
        // Acknowledgements that come late must not bring the slots back while
        // the row is being retired.
        self.inner.lease.renounce(true);
        self.serve_nothing();
        let mut backoff = Backoff::default();
        loop {
            match self.settle(before.row.incarnation, Cause::Own).await {
                Ok(Settled::Done) => return Ok(()),
                Ok(_) => self.pause(&mut backoff).await,
                Err(err) => {
                    // The row is as it was, so the lease may still come back.
                    *self.own() = before;
                    self.inner.lease.renounce(false);
                    self.refresh_held();
                    return Err(err);
                }
            }
        }
    }
}

/// Names heirs, and shares the grants among them.
fn name_heirs(row: &mut NodeRow, heirs: &[Incarnation]) {
    let has_heirs = row.grants.iter().all(|grant| grant.heir.is_some());
    if row.heirs == heirs && (has_heirs || heirs.is_empty()) {
        return;
    }
    row.heirs = heirs.to_vec();
    for (index, grant) in row.grants.iter_mut().enumerate() {
        let heir = index.checked_rem(heirs.len());
        grant.heir = heir.and_then(|i| u8::try_from(i).ok());
    }
}
