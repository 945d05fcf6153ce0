//! Writes of the range map by this node: each is conditional on the sections from which
//! it was computed, and gives way to those of other owners
//! ([`crate::contention`]).

use super::RangeController;
use crate::contention::backoff_window;
use crate::grants::Grantee;
use crate::map::{MapSection, RangeMap, SECTION_COUNT, Transfer, section_span};
use crate::rows;
use ibiscove_store::era::Era;
use ibiscove_store::{Commit, Table, TableError, Transaction};
use ibiscove_types::{BootClock, Clock, RowVersion};
use std::sync::Arc;

/// Failed attempts at a map update before it is left to the next poll.
const MAX_UPDATE_FAILURES: usize = 12;
/// Failed attempts at an update of several sections of the map in one transaction
/// before they are written one by one.
const WHOLE_UPDATE_FAILURES: usize = 8;

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    /// Updates the map with the transfers of this node's ranges that `plan` computes
    /// from the newest map. A plan of `None` means that there is nothing left to change.
    ///
    /// Each write is conditional on this node's lease row (invariant 9), so that none
    /// takes effect once a later process of this node may grant the ranges again.
    ///
    /// The sections that change are written in one transaction, which is repeated after
    /// a random pause if another node was ahead. After several conflicts each is written
    /// on its own, so that one section that others change often does not hold up the
    /// rest. When the response to a write was lost, the map is read again and the plan is
    /// computed anew from it.
    pub(super) async fn update_map(
        &self,
        reason: TransferReason,
        plan: impl Fn(&RangeMap) -> Option<Vec<Transfer>>,
    ) -> Result<(), TableError> {
        let _guard = self.inner.map_update.lock().await;
        let service = &self.inner.deps.service;
        let mut failures = 0;
        let mut is_lease_row_known = true;
        loop {
            let map = self.current_map_or_unowned();
            let Some(transfers) = plan(&map) else {
                return Ok(());
            };
            let era = self.known_era().await?;
            if transfers.iter().any(|t| !map.is_assigned_in(era, t.range)) {
                return Err(TableError::Unavailable(
                    "the range map of the present era is not written yet".to_owned(),
                ));
            }
            let next = map.with_transfers(&transfers);
            let mut changed = changed_sections(&map, &next);
            let is_whole = failures < WHOLE_UPDATE_FAILURES;
            if !is_whole {
                changed = vec![changed.swap_remove(fastrand::usize(..changed.len()))];
            }
            let base = self.condition_on_own_lease(era, is_lease_row_known).await?;
            let err = match self.commit_sections(era, &changed, base).await {
                Ok(Commit::Done(_)) => {
                    self.record_transfers(reason, &changed, &transfers);
                    if is_whole {
                        return Ok(());
                    }
                    continue;
                }
                Ok(Commit::Conflict(key))
                    if key == rows::lease_key(service, era, &self.inner.deps.node) =>
                {
                    is_lease_row_known = false;
                    None
                }
                Ok(Commit::Conflict(key)) => {
                    self.wait_after_conflict(failures + 1).await;
                    self.reread_after_conflict(&key, changed.len()).await.err()
                }
                Err(err) => {
                    log_unanswered_change(service, reason, &transfers, &err);
                    self.wait_before_retry().await;
                    self.read_rows().await.err().or(Some(err))
                }
            };
            failures += 1;
            if failures == MAX_UPDATE_FAILURES {
                return Err(err.unwrap_or_else(conflict_error));
            }
        }
    }

    /// Writes sections of the map together with `base`, conditional on the
    /// versions that the sections were computed from.
    pub(super) async fn commit_sections(
        &self,
        era: Era,
        changed: &[ChangedSection],
        base: Transaction,
    ) -> Result<Commit, TableError> {
        let mut txn = Transaction::default();
        let service = &self.inner.deps.service;
        for ChangedSection { section, base } in changed {
            let body = serde_json::to_vec(&**section).map_err(|err| {
                TableError::Unavailable(format!("the range map cannot be serialised: {err}"))
            })?;
            let key = rows::section_key(service, era, section.index());
            txn.replace(&key, *base, body);
        }
        // The sections come first, so that their versions are the first returned.
        txn.conditions.extend(base.conditions);
        txn.writes.extend(base.writes);
        let commit = self.commit_in(era, txn).await?;
        if let Commit::Done(versions) = &commit {
            for (ChangedSection { section, .. }, version) in changed.iter().zip(versions) {
                self.accept_section(*version, Arc::clone(section));
            }
        }
        Ok(commit)
    }

    pub(super) fn record_transfers(
        &self,
        reason: TransferReason,
        changed: &[ChangedSection],
        transfers: &[Transfer],
    ) {
        let mut count = 0;
        for ChangedSection { section, .. } in changed {
            let span = section_span(section.index());
            for transfer in transfers.iter().filter(|t| t.range.overlaps(&span)) {
                count += 1;
                log_transfer(&self.inner.deps.service, reason, transfer, section);
            }
        }
        metrics::counter!("ibiscove_range_transfers_total").increment(count);
    }

    /// Waits before an update is repeated that has lost against others `conflicts`
    /// times.
    async fn wait_after_conflict(&self, conflicts: usize) {
        metrics::counter!("ibiscove_map_update_backoffs_total").increment(1);
        let now = self.inner.deps.clock.now();
        let mut owners = 1;
        let members = &self.inner.deps.members;
        members.for_each_alive_of(&self.inner.deps.service, now, |_| owners += 1);
        let window = backoff_window(conflicts, owners);
        let delay = window.mul_f64(fastrand::f64());
        self.inner.deps.clock.sleep(delay).await;
    }

    /// Reads the row that another node has changed; all rows, unless it is the only
    /// section of the map that is to be written.
    pub(super) async fn reread_after_conflict(
        &self,
        key: &str,
        sections: usize,
    ) -> Result<(), TableError> {
        metrics::counter!("ibiscove_map_conflicts_total").increment(1);
        let era = self.known_era().await?;
        match rows::section_of_key(&self.inner.deps.service, era, key) {
            Some(section) if sections == 1 => self.read_section(section).await,
            _ => self.read_rows().await.map(|_| ()),
        }
    }
}

/// A section to be written.
pub(super) struct ChangedSection {
    pub(super) section: Arc<MapSection>,
    /// Version of the row that the change was computed from; none without one.
    base: Option<RowVersion>,
}

/// Returns the sections of `next` that differ from those of `map`, from which
/// `next` was computed.
pub(super) fn changed_sections(map: &RangeMap, next: &RangeMap) -> Vec<ChangedSection> {
    (0..SECTION_COUNT)
        .filter(|index| !Arc::ptr_eq(map.section(*index), next.section(*index)))
        .map(|index| ChangedSection {
            section: Arc::clone(next.section(index)),
            base: map.known_version(index),
        })
        .collect()
}

fn conflict_error() -> TableError {
    TableError::Unavailable("the range map changed during every attempt to update it".to_owned())
}

/// Why ranges are given to another owner, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferReason {
    /// Their owner released them, or all grants of them have ended.
    Released,
    /// The upstream that held them has ended or fallen silent.
    UpstreamGone,
    /// The upstream has restarted.
    NewIncarnation,
    /// Their owner's lease has ended, or they had none.
    NoLiveOwner,
}

impl TransferReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::UpstreamGone => "upstream-gone",
            Self::NewIncarnation => "new-incarnation",
            Self::NoLiveOwner => "no-live-owner",
        }
    }
}

/// Logs a change of the map with an unknown outcome: it may take effect later.
pub(super) fn log_unanswered_change(
    service: &str,
    reason: TransferReason,
    transfers: &[Transfer],
    err: &TableError,
) {
    if !matches!(err, TableError::Unanswered(_)) {
        return;
    }
    for transfer in transfers {
        log::warn!(service = service, reason = reason.as_str(),
            first = transfer.range.first, last = transfer.range.last,
            to = transfer.to.as_ref().map_or("", |owner| &*owner.node);
            "a change of owner got no answer and may take effect later: {err}");
    }
}

fn log_transfer(service: &str, reason: TransferReason, transfer: &Transfer, section: &MapSection) {
    log::info!(
        service = service,
        reason = reason.as_str(),
        fence = section.last_fence(),
        first = transfer.range.first,
        last = transfer.range.last,
        to = transfer.to.as_ref().map_or("", |owner| &*owner.node),
        handover = transfer.handover.is_some();
        "keys change owner"
    );
}
