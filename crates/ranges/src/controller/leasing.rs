//! Acquires and renews this node's lease row.

use super::eras::InheritedClaims;
use super::{RETRY_DELAY, RangeController};
use crate::grants::Grantee;
use crate::lease::Lease;
use crate::map::{Claim, Owner, section_of};
use crate::rows::{self, LeaseRow, Snapshot};
use futures_lite::FutureExt;
use ibiscove_store::era::{Era, era_of};
use ibiscove_store::{Commit, Condition, RawRow, Table, TableError, Transaction};
use ibiscove_types::{BootClock, Clock, NodeName, RowVersion, SinceBoot, UpstreamIncarnation};

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn maintain_lease(&self) {
        loop {
            let state_changed = self.inner.state_changed.listen();
            let now = self.inner.deps.clock.since_boot();
            let (incarnation, lease) = {
                let state = self.state();
                (state.incarnation.clone(), state.lease)
            };
            let settings = &self.inner.deps.settings.lease;
            match incarnation {
                Some(incarnation)
                    if lease.is_renewal_due(settings, now) || self.is_of_earlier_era(&lease) =>
                {
                    if let Err(err) = self.renew(&incarnation, lease).await {
                        metrics::counter!("ibiscove_lease_failures_total").increment(1);
                        log::warn!("the lease was not renewed: {err}");
                        self.wait_before_retry().await;
                    }
                }
                _ => {
                    let poll = self.inner.deps.clock.sleep(RETRY_DELAY);
                    poll.or(state_changed).await;
                }
            }
        }
    }

    /// Renews the lease, or acquires one when there is none.
    async fn renew(
        &self,
        incarnation: &UpstreamIncarnation,
        lease: Lease,
    ) -> Result<(), TableError> {
        let is_acquired = lease.end(&self.inner.deps.settings.lease).is_none();
        let era = self.known_era().await?;
        let known_version = lease.version.filter(|version| era_of(*version) == era);
        let must_read = is_acquired || known_version.is_none();
        let mut version = known_version;
        if must_read {
            let snapshot = self.read_rows().await?;
            self.check_own_sections(incarnation)?;
            if is_acquired {
                self.inherit_claims(era, incarnation, &snapshot);
            }
            version = version.or(snapshot.lease_version_of(&self.inner.deps.node));
        }
        let sent = self.inner.deps.clock.since_boot();
        let (claims, valid_until) = self.claims_under_lease(era, sent);
        let key = rows::lease_key(&self.inner.deps.service, era, &self.inner.deps.node);
        let row = LeaseRow {
            node: NodeName::clone(&self.inner.deps.node),
            incarnation: self.inner.deps.incarnation,
            life: incarnation.clone(),
            claims,
        };
        let body = serde_json::to_vec(&row).map_err(|err| {
            TableError::Unavailable(format!("the lease row cannot be serialised: {err}"))
        })?;
        let mut txn = Transaction::default();
        txn.replace(&key, version, body);
        match self.commit_in(era, txn).await {
            Ok(Commit::Done(versions)) => {
                let version = versions.first().copied().unwrap_or_default();
                if must_read {
                    // Invariant 5: a takeover is conditional on the lease row, so
                    // none is possible between this read and the first grant.
                    self.read_rows().await?;
                    self.check_own_sections(incarnation)?;
                }
                self.drop_lapsed_claims(era, valid_until);
                self.record_renewal(incarnation, version, sent);
                Ok(())
            }
            Ok(Commit::Conflict(_)) => {
                self.reread_lease(era, &key).await;
                Ok(())
            }
            Err(err) => {
                if matches!(err, TableError::Unanswered(_)) {
                    self.reread_lease(era, &key).await;
                }
                Err(err)
            }
        }
    }

    /// Returns an error if the last good state of a section that cannot be read assigns
    /// keys to the local upstream: they may have been assigned to another one since.
    fn check_own_sections(&self, life: &UpstreamIncarnation) -> Result<(), TableError> {
        let owner = Owner {
            node: NodeName::clone(&self.inner.deps.node),
            life: life.clone(),
        };
        let map = self.current_map_or_unowned();
        let state = self.state();
        let mut owned = map.owned_by(&owner).map(|a| section_of(a.range.first));
        match owned.find(|section| state.unreadable.contains(section)) {
            None => Ok(()),
            Some(section) => Err(TableError::Unavailable(format!(
                "who owns the keys of section {section} cannot be read"
            ))),
        }
    }

    fn is_of_earlier_era(&self, lease: &Lease) -> bool {
        let era = self.observe_era();
        lease
            .version
            .is_some_and(|version| Some(era_of(version)) != era)
    }

    /// Takes over the claims in the row of an earlier process, which ran beside the
    /// same incarnation of the upstream. The upstream may still hold what they name, so
    /// this process's first row must not erase them.
    fn inherit_claims(&self, era: Era, incarnation: &UpstreamIncarnation, snapshot: &Snapshot) {
        let own = Owner {
            node: NodeName::clone(&self.inner.deps.node),
            life: incarnation.clone(),
        };
        let claims = snapshot.claims.iter().filter(|(owner, _)| *owner == own);
        let claims = claims.flat_map(|(_, claims)| claims).copied().collect();
        self.state().inherited_claims = Some(InheritedClaims {
            era,
            incarnation: incarnation.clone(),
            claims,
        });
    }

    /// Returns what this node claims in an era, and until when a confirmation of its own
    /// claims counts: while its lease runs, nobody else can have been assigned what its
    /// upstream holds.
    fn claims_under_lease(&self, era: Era, now: SinceBoot) -> (Vec<Claim>, SinceBoot) {
        let state = self.state();
        let valid_until = self.lease_end(&state).unwrap_or_default();
        let map = self.current_map_or_unowned();
        let mut claims = state.inherited_claims(&map, era);
        if now < valid_until {
            claims.extend(state.claims(&map, era));
        }
        (claims, valid_until)
    }

    /// Ends the grants of keys that were not assigned in an era, if the lease that
    /// they rest on ended before the next one was confirmed: the keys may have been
    /// assigned to others since.
    fn drop_lapsed_claims(&self, era: Era, valid_until: SinceBoot) {
        if self.inner.deps.clock.since_boot() < valid_until {
            return;
        }
        let map = self.current_map_or_unowned();
        let mut state = self.state();
        let lapsed = state.claims(&map, era);
        state.grants.drop_claimed(&lapsed);
        drop(state);
        if !lapsed.is_empty() {
            log::warn!(service = &*self.inner.deps.service, era, ranges = lapsed.len();
                "the lease ended before ranges of an earlier era were claimed, their grants end");
        }
    }

    /// Returns the condition that this node's lease row is as this process last knew
    /// it, or as it is in the table if that is out of date. The row changes when
    /// another process of this node acquires the lease.
    pub(super) async fn condition_on_own_lease(
        &self,
        era: Era,
        is_row_known: bool,
    ) -> Result<Transaction, TableError> {
        let known_version = self
            .state()
            .lease
            .version
            .filter(|version| era_of(*version) == era);
        let key = rows::lease_key(&self.inner.deps.service, era, &self.inner.deps.node);
        let version = match known_version.filter(|_| is_row_known) {
            Some(version) => Some(version),
            None => match self.get_in(era, &key).await? {
                Some(row) => {
                    if known_version.is_some() {
                        self.check_process_of_lease(&key, &row)?;
                    }
                    Some(row.version)
                }
                None => None,
            },
        };
        Ok(Transaction {
            conditions: vec![Condition { key, version }],
            writes: Vec::new(),
        })
    }

    /// Rejects the lease row of another process of this node that was written after
    /// this one held the lease: that process grants the ranges now.
    fn check_process_of_lease(&self, key: &str, row: &RawRow) -> Result<(), TableError> {
        let lease: LeaseRow = serde_json::from_slice(&row.body)
            .map_err(|err| TableError::Unavailable(format!("row {key} is malformed: {err}")))?;
        match lease.incarnation == self.inner.deps.incarnation {
            true => Ok(()),
            false => Err(TableError::Unavailable(
                "another process of this node holds its lease".to_owned(),
            )),
        }
    }

    fn record_renewal(
        &self,
        incarnation: &UpstreamIncarnation,
        version: RowVersion,
        sent: SinceBoot,
    ) {
        let mut state = self.state();
        if state.incarnation.as_ref() != Some(incarnation) {
            return;
        }
        let is_new = state.lease.end(&self.inner.deps.settings.lease).is_none();
        state.lease.record_renewal(version, sent);
        drop(state);
        if is_new {
            log::info!(service = &*self.inner.deps.service, version; "lease held");
            self.inner.state_changed.notify(usize::MAX);
            self.inner.deps.heartbeat_due.notify(usize::MAX);
        }
    }

    /// Reads the lease row after a conflict or a lost response. A row that
    /// still exists is this node's: no other node writes it, others only remove
    /// it.
    async fn reread_lease(&self, era: Era, key: &str) {
        let read = self.get_in(era, key).await;
        let mut state = self.state();
        let has_row = state
            .lease
            .version
            .is_some_and(|version| era_of(version) == era);
        match read {
            Ok(Some(row)) => state.lease.record_version(row.version),
            // The row of an earlier era ended with that era, not the lease.
            Ok(None) if !has_row => {}
            Ok(None) => {
                log::warn!(service = &*self.inner.deps.service;
                    "lease lost: its row was removed, all grants end");
                state.lease.clear();
                state.grants = Default::default();
            }
            Err(err) => log::warn!("the lease row cannot be read, retrying: {err}"),
        }
    }
}
