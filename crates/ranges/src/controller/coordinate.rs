//! Assigns ranges that have no live owner.
//!
//! One coordinator per service does this: the first by name of the members that
//! hold a lease. When two members consider themselves the coordinator, one of
//! their transactions fails.

use super::RangeController;
use super::map_updates::{TransferReason, changed_sections, log_unanswered_change};
use crate::balance::assign_ranges;
use crate::grants::Grantee;
use crate::map::{Assignment, KeyRange, Owner, RangeMap, Transfer, section_of};
use crate::rows;
use ibiscove_mesh::Member;
use ibiscove_store::era::{Era, era_of};
use ibiscove_store::{Commit, Condition, Table, TableError, Transaction, Write};
use ibiscove_types::{BootClock, Clock, NodeName, RowVersion};
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between two checks for ranges without a live owner.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time that members have to join before keys are divided for the first time.
const JOIN_PERIOD: Duration = Duration::from_millis(2_500);
/// Time that members have to claim what they hold, after an era of the table began,
/// before the claims are written into the map. A member learns of an era with its
/// next renewal at the latest.
const CLAIM_PERIOD: Duration = Duration::from_millis(2_500);
/// Most nodes whose ranges one transaction takes over. With a condition and a
/// removal for each, and a condition and a write for each section of the map, it
/// stays below the hundred entries that a table accepts.
const MAX_TAKEOVERS: usize = 32;

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn coordinate(&self) {
        loop {
            self.inner.deps.clock.sleep(POLL_INTERVAL).await;
            if !self.is_coordinator() {
                continue;
            }
            if let Err(err) = self.assign_unowned().await {
                log::warn!("ranges without an owner are not assigned yet, retrying: {err}");
                self.wait_before_retry().await;
            }
        }
    }

    fn is_coordinator(&self) -> bool {
        let state = self.state();
        let is_leased_in_era = state.lease.version.map(era_of) == self.inner.deps.table.era();
        if state.is_leaving()
            || state.evacuated_from.is_some()
            || state.incarnation.is_none()
            || !self.holds_lease(&state)
            || !is_leased_in_era
        {
            return false;
        }
        let is_join_period_over = state.joined_at.is_some_and(|joined| {
            self.inner
                .deps
                .clock
                .now()
                .saturating_duration_since(joined)
                >= JOIN_PERIOD
        });
        drop(state);
        let is_first = self
            .eligible_members()
            .iter()
            .all(|other| self.inner.deps.node < other.name);
        is_first && (is_join_period_over || self.current_map().is_some())
    }

    async fn assign_unowned(&self) -> Result<(), TableError> {
        let era = self.known_era().await?;
        // Claims are read after this, so that none that counts is missed.
        let may_assign_unclaimed = self.may_assign_unclaimed();
        if !self.state().unreadable.is_empty() {
            self.wait_before_retry().await;
            self.read_rows().await?;
        }
        let mut map = self.current_map_or_unowned().in_era(era);
        if map.assignments().any(Assignment::is_unassigned) {
            let may_wait = !may_assign_unclaimed;
            if !self.write_claims(era, may_wait).await? {
                return Ok(());
            }
            map = self.current_map_or_unowned().in_era(era);
        }
        let unresponsive = self.unresponsive_owners(&map);
        let unreadable = self.state().unreadable.clone();
        let is_readable = |a: &Assignment| !unreadable.contains(&section_of(a.range.first));
        let is_free = |a: &Assignment| {
            is_readable(a) && a.owner.is_none() && (may_assign_unclaimed || !a.is_unassigned())
        };
        let has_unowned = map.assignments().any(is_free);
        if unresponsive.is_empty() && !has_unowned {
            return Ok(());
        }
        let mut expired = Vec::new();
        if !unresponsive.is_empty() {
            let snapshot = self.read_rows().await?;
            let now = self.inner.deps.clock.since_boot();
            let state = self.state();
            for node in unresponsive {
                if expired.len() == MAX_TAKEOVERS {
                    break;
                }
                match snapshot.lease_version_of(&node) {
                    None => expired.push((node, None)),
                    Some(version) => {
                        let settings = &self.inner.deps.settings.lease;
                        if state
                            .lease_observations
                            .has_expired(&node, version, settings, now)
                        {
                            expired.push((node, Some(version)));
                        }
                    }
                }
            }
        }
        if expired.is_empty() && !has_unowned {
            // Leases that have not expired are read again at a later poll.
            self.wait_before_retry().await;
            return Ok(());
        }
        for (node, version) in &expired {
            log::warn!(node = &**node, service = &*self.inner.deps.service, version:? = version;
                "takes over the ranges of a lost node");
        }
        let owners = self.eligible_owners();
        let nodes: BTreeSet<&NodeName> = expired.iter().map(|(node, _)| node).collect();
        let Some(transfers) = plan_takeover(&map, is_free, is_readable, &nodes, &owners) else {
            return Ok(());
        };
        // Invariant 5: the leases end and their ranges move in one transaction.
        let removals = lease_removals(&self.inner.deps.service, era, &expired);
        let _guard = self.inner.map_update.lock().await;
        let next = map.with_transfers(&transfers);
        let changed = changed_sections(&map, &next);
        let commit = self.commit_sections(era, &changed, removals).await;
        if let Err(err) = &commit {
            let service = &self.inner.deps.service;
            log_unanswered_change(service, TransferReason::NoLiveOwner, &transfers, err);
        }
        match commit? {
            Commit::Done(_) => {
                self.record_transfers(TransferReason::NoLiveOwner, &changed, &transfers)
            }
            // The next poll plans anew.
            Commit::Conflict(key) => self.reread_after_conflict(&key, changed.len()).await?,
        }
        Ok(())
    }

    /// Writes into the map what lease rows claim of the keys that were not assigned in
    /// this era. Returns whether all claims of the rows are in the map. Claims are
    /// gathered for a moment, so that the sections don't change for each of them.
    async fn write_claims(&self, era: Era, may_wait: bool) -> Result<bool, TableError> {
        if may_wait && self.awaits_leases(era) {
            return Ok(false);
        }
        let snapshot = self.read_rows().await?;
        let map = self.current_map_or_unowned().in_era(era);
        let next = map.with_claims(&snapshot.claims);
        let mut changed = changed_sections(&map, &next);
        let unreadable = self.state().unreadable.clone();
        changed.retain(|changed| !unreadable.contains(&changed.section.index()));
        if changed.is_empty() {
            return Ok(true);
        }
        let _guard = self.inner.map_update.lock().await;
        let commit = self.commit_sections(era, &changed, Transaction::default());
        match commit.await? {
            Commit::Done(_) => {
                let claims: usize = snapshot.claims.iter().map(|(_, claims)| claims.len()).sum();
                metrics::counter!("ibiscove_range_claims_total").increment(claims as u64);
                log::warn!(service = &*self.inner.deps.service, era, claims,
                    sections = changed.len(); "claimed ranges are written into the map");
                Ok(true)
            }
            Commit::Conflict(key) => {
                self.reread_after_conflict(&key, changed.len()).await?;
                Ok(false)
            }
        }
    }

    /// Returns whether a live member has not acquired its lease of this era yet, and
    /// it may still do so soon.
    fn awaits_leases(&self, era: Era) -> bool {
        let now = self.inner.deps.clock.now();
        let since_boot = self.inner.deps.clock.since_boot();
        let is_recent = self
            .state()
            .era
            .is_some_and(|seen| since_boot.saturating_sub(seen.since) < CLAIM_PERIOD);
        let mut is_awaited = false;
        let members = &self.inner.deps.members;
        members.for_each_alive_of(&self.inner.deps.service, now, |member| {
            let version = member.lease_version;
            is_awaited |= version > 0 && era_of(version) != era;
        });
        is_recent && is_awaited
    }

    /// Returns the other nodes that own ranges and are leaving or sent no
    /// recent heartbeat.
    fn unresponsive_owners(&self, map: &RangeMap) -> Vec<NodeName> {
        let now = self.inner.deps.clock.now();
        let owners = map.assignments().filter_map(|a| a.owner.as_ref());
        let nodes: BTreeSet<&NodeName> = owners.map(|owner| &owner.node).collect();
        let is_unresponsive = |node: &&&NodeName| {
            let member = self.inner.deps.members.get(node);
            **node != &self.inner.deps.node
                && !member.is_some_and(|member| self.inner.deps.members.is_alive(&member, now))
        };
        nodes
            .iter()
            .filter(is_unresponsive)
            .map(|node| NodeName::clone(node))
            .collect()
    }

    /// Returns the owners that ranges may be assigned to, this node's included.
    fn eligible_owners(&self) -> Vec<Owner> {
        let own = {
            let state = self.state();
            let is_eligible = state.evacuated_from.is_none();
            self.local_owner(&state).filter(|_| is_eligible)
        };
        let others = self.eligible_members();
        own.into_iter()
            .chain(others.iter().filter_map(owner_of))
            .collect()
    }
}

/// Returns the owner that the map names when ranges are assigned to a member.
pub(super) fn owner_of(member: &Member) -> Option<Owner> {
    let upstream = member.upstream.as_ref()?;
    Some(Owner {
        node: NodeName::clone(&member.name),
        life: upstream.incarnation.clone(),
    })
}

fn lease_removals(
    service: &str,
    era: Era,
    expired: &[(NodeName, Option<RowVersion>)],
) -> Transaction {
    let mut txn = Transaction::default();
    for (node, version) in expired {
        let key = rows::lease_key(service, era, node);
        txn.conditions.push(Condition {
            key: key.clone(),
            version: *version,
        });
        if version.is_some() {
            txn.writes.push(Write { key, body: None });
        }
    }
    txn
}

fn plan_takeover(
    map: &RangeMap,
    is_free: impl Fn(&Assignment) -> bool,
    is_readable: impl Fn(&Assignment) -> bool,
    expired: &BTreeSet<&NodeName>,
    owners: &[Owner],
) -> Option<Vec<Transfer>> {
    let is_expired = |a: &Assignment| a.owner.as_ref().is_some_and(|o| expired.contains(&o.node));
    let available = map
        .assignments()
        .filter(|a| is_free(a) || (is_readable(a) && is_expired(a)));
    let ranges: Vec<KeyRange> = available.map(|a| a.range).collect();
    let divided = assign_ranges(map, &ranges, owners);
    if divided.is_empty() {
        return None;
    }
    let transfer = |(range, owner)| Transfer::without_handover(range, owner);
    Some(divided.into_iter().map(transfer).collect())
}
