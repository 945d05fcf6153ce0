//! Moves this node's ranges to other owners: when the upstream or the node
//! shuts down, to joining members, and when this upstream is more loaded or
//! slower than others.

use super::RangeController;
use super::coordinate::owner_of;
use super::map_updates::TransferReason;
use crate::balance::{self, Candidate, OffloadReason};
use crate::grants::{GrantDelivery, Grantee, ReleaseCall, ReleaseReply};
use crate::map::{Claim, KeyRange, Owner, RangeMap, SectionIndex, Transfer, section_of};
use futures_lite::FutureExt;
use futures_util::future::join_all;
use ibiscove_mesh::Member;
use ibiscove_store::{Table, TableError};
use ibiscove_types::{BootClock, Clock, Fence, NodeName, SinceBoot, UpstreamIncarnation};
use std::time::Duration;

/// Interval between two checks for ranges that should move.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Delay between two moves that balance load, so that the effect of the first
/// shows in the load, which is measured in windows of one second.
const LOAD_MOVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Delay between a move and the next one to a faster upstream, which matters
/// less than load.
const SPEED_MOVE_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed release is retried.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Timeout of the table check before ranges are released. A slow table responds
/// within it, and a range can wait that long for its move.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks for the response to a pending grant.
const REPLY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A transfer of a released range that is not written to the map yet.
#[derive(Clone, Debug)]
pub(super) struct PendingTransfer {
    transfer: Transfer,
    /// Fence of the grant that was released. The range may be transferred only while
    /// the map shows this node's ownership under it.
    released_fence: Fence,
}

impl PendingTransfer {
    /// Returns the transfers of those parts that the map still shows as released.
    fn remaining(&self, map: &RangeMap, node: &str) -> Vec<Transfer> {
        let released = Claim {
            range: self.transfer.range,
            fence: self.released_fence,
        };
        let parts = map.parts_owned_under(&released, node);
        parts
            .map(|range| Transfer {
                range,
                ..self.transfer.clone()
            })
            .collect()
    }
}

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn move_ranges(&self) {
        loop {
            let state_changed = self.inner.state_changed.listen();
            self.move_due_ranges().await;
            self.inner
                .deps
                .clock
                .sleep(POLL_INTERVAL)
                .or(state_changed)
                .await;
        }
    }

    async fn move_due_ranges(&self) {
        let (incarnation, is_leaving, evacuated_from) = {
            let state = self.state();
            let incarnation = state.incarnation.clone();
            (incarnation, state.is_leaving(), state.evacuated_from)
        };
        let Some(life) = incarnation else {
            self.transfer_after_upstream_exit().await;
            return;
        };
        let own = Owner {
            node: NodeName::clone(&self.inner.deps.node),
            life,
        };
        if !is_leaving && self.reassign_to_current_incarnation(&own).await {
            return;
        }
        let Some(map) = self.current_map() else {
            return;
        };
        let now = self.inner.deps.clock.now();
        let moves = match (is_leaving, evacuated_from) {
            (true, _) => self.plan_drain(&map, &own),
            (false, Some(from)) if now < from => Vec::new(),
            (false, Some(_)) => self.plan_drain(&map, &own),
            (false, None) => self.plan_balancing(&map, &own),
        };
        let Some((first, _)) = moves.first() else {
            return;
        };
        // A range is released only if its next owner can be written at once.
        if self.is_table_reachable(section_of(first.first)).await && self.shows_present_era(&moves)
        {
            self.execute_moves(&own, moves).await;
        }
    }

    /// Returns whether the map shows the owners of all these ranges in the present
    /// era of the table.
    fn shows_present_era(&self, moves: &[(KeyRange, Owner)]) -> bool {
        let map = self.current_map_or_unowned();
        self.observe_era().is_some_and(|era| {
            moves
                .iter()
                .all(|(range, _)| map.is_assigned_in(era, *range))
        })
    }

    /// Returns whether the table is reachable now, and updates a section of the
    /// map from it. A range that is released while the table is unreachable has
    /// no owner that serves it.
    async fn is_table_reachable(&self, section: SectionIndex) -> bool {
        let timeout = async {
            self.inner.deps.clock.sleep(TABLE_TIMEOUT).await;
            Err(TableError::Unanswered(
                "no response within the timeout".to_owned(),
            ))
        };
        match self.read_section(section).or(timeout).await {
            Ok(()) => true,
            Err(err) => {
                metrics::counter!("ibiscove_moves_put_off_total").increment(1);
                log::warn!(service = &*self.inner.deps.service;
                    "ranges are not moved now: {err}");
                false
            }
        }
    }

    /// Returns a move to a joining member, or away from an overloaded or slow
    /// upstream; at most one at a time.
    fn plan_balancing(&self, map: &RangeMap, own: &Owner) -> Vec<(KeyRange, Owner)> {
        let now = self.inner.deps.clock.now();
        let last_balanced = self.state().last_balanced;
        let since_balanced =
            last_balanced.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if since_balanced < LOAD_MOVE_INTERVAL {
            return Vec::new();
        }
        let members = self.eligible_members();
        let owners: Vec<Owner> = members.iter().filter_map(owner_of).collect();
        let mut chosen = balance::share_for_joining_member(map, own, &owners)
            .or_else(|| self.plan_offload(OffloadReason::Overloaded, map, own, &members));
        if chosen.is_none() && since_balanced >= SPEED_MOVE_INTERVAL {
            chosen = self.plan_offload(OffloadReason::Slow, map, own, &members);
        }
        if chosen.is_some() {
            self.state().last_balanced = Some(now);
        }
        chosen.into_iter().collect()
    }

    /// Assigns the ranges of the upstream's earlier incarnation to the current
    /// one, under new fences. Returns whether there were any.
    async fn reassign_to_current_incarnation(&self, own: &Owner) -> bool {
        let is_held = self.holds_lease(&self.state());
        let Some(current) = self.current_map().filter(|_| is_held) else {
            return false;
        };
        let plan = |map: &RangeMap| {
            let transfers: Vec<_> = map
                .owned_by_node(&own.node)
                .filter(|a| a.owner.as_ref() != Some(own))
                .map(|a| Transfer::without_handover(a.range, own.clone()))
                .collect();
            (!transfers.is_empty()).then_some(transfers)
        };
        if plan(&current).is_none() {
            return false;
        }
        if let Err(err) = self.update_map(TransferReason::NewIncarnation, plan).await {
            log::warn!(
                "ranges of the upstream's earlier incarnation are not reassigned yet: {err}"
            );
        }
        true
    }

    /// Moves the ranges of an upstream that is gone, each once every grant of it has
    /// expired. A node that has just started waits likewise for the grants that its
    /// previous process may have issued; in that time its upstream can announce itself.
    async fn transfer_after_upstream_exit(&self) {
        let Some(map) = self.current_map() else {
            return;
        };
        let state_changed = self.inner.state_changed.listen();
        let owned: Vec<KeyRange> = map
            .owned_by_node(&self.inner.deps.node)
            .map(|a| a.range)
            .collect();
        let Some(next_expiry) = owned.iter().map(|range| self.grant_expiry(*range)).min() else {
            return;
        };
        let now = self.inner.deps.clock.since_boot();
        if now < next_expiry {
            let wait = self.inner.deps.clock.sleep(next_expiry - now);
            wait.or(state_changed).await;
            return;
        }
        let expired: Vec<KeyRange> = owned
            .into_iter()
            .filter(|range| self.grant_expiry(*range) <= now)
            .collect();
        let recipients: Vec<Owner> = self
            .eligible_members()
            .iter()
            .filter_map(owner_of)
            .collect();
        let moves = balance::assign_ranges(&map, &expired, &recipients);
        let Some((first, _)) = moves.first() else {
            return;
        };
        if self.is_table_reachable(section_of(first.first)).await
            && self.shows_present_era(&moves)
            && self.withdraw_expired(moves)
        {
            self.write_pending_transfers(TransferReason::UpstreamGone)
                .await;
        }
    }

    /// Returns when every grant of a range has expired.
    fn grant_expiry(&self, range: KeyRange) -> SinceBoot {
        let state = self.state();
        state
            .grants
            .transferable_from(range, &ReleaseReply::Unanswered)
    }

    /// Makes transfers of ranges pending whose grants have all expired, and grants
    /// them no more even if the upstream returns before they are written. Returns
    /// false if it has returned.
    fn withdraw_expired(&self, moves: Vec<(KeyRange, Owner)>) -> bool {
        let map = self.current_map_or_unowned();
        let now = self.inner.deps.clock.since_boot();
        let mut state = self.state();
        if state.incarnation.is_some() {
            return false;
        }
        for (range, to) in moves {
            let expiry = state
                .grants
                .transferable_from(range, &ReleaseReply::Unanswered);
            if now < expiry {
                continue;
            }
            for assignment in map.owned_by_node(&self.inner.deps.node) {
                let Some(range) = assignment.range.intersection(&range) else {
                    continue;
                };
                let fence = assignment.fence;
                state.grants.withdraw(Claim { range, fence });
                state.pending_transfers.push(PendingTransfer {
                    transfer: Transfer::without_handover(range, to.clone()),
                    released_fence: fence,
                });
            }
        }
        true
    }

    fn plan_drain(&self, map: &RangeMap, own: &Owner) -> Vec<(KeyRange, Owner)> {
        let recipients: Vec<Owner> = self
            .eligible_members()
            .iter()
            .filter_map(owner_of)
            .collect();
        let ranges: Vec<KeyRange> = map.owned_by(own).map(|a| a.range).collect();
        balance::assign_ranges(map, &ranges, &recipients)
    }

    fn plan_offload(
        &self,
        reason: OffloadReason,
        map: &RangeMap,
        own: &Owner,
        members: &[Member],
    ) -> Option<(KeyRange, Owner)> {
        let others: Vec<Candidate> = members.iter().filter_map(candidate).collect();
        let now = self.inner.deps.clock.now();
        let mut state = self.state();
        state.load.roll_window(now);
        let own = Candidate {
            owner: own.clone(),
            utilisation: state.utilisation,
            service_time: state.service_time,
        };
        match reason {
            OffloadReason::Overloaded => balance::move_hottest_key(&own, &state.load, &others)
                .or_else(|| balance::offload(reason, map, &own, &state.load, &others)),
            OffloadReason::Slow => balance::offload(reason, map, &own, &state.load, &others),
        }
    }

    async fn execute_moves(&self, own: &Owner, moves: Vec<(KeyRange, Owner)>) {
        join_all(
            moves
                .into_iter()
                .map(|(range, to)| self.move_range(own, range, to)),
        )
        .await;
    }

    /// Releases a range and writes its new owner to the map. The move is abandoned if the
    /// next incarnation of the upstream announces itself, which takes the range over.
    async fn move_range(&self, own: &Owner, range: KeyRange, to: Owner) {
        let release = async {
            match self.inner.deps.settings.grants.delivery {
                GrantDelivery::Calls => self.release_by_calls(own, range).await,
                GrantDelivery::Reports => self.release_by_reports(range).await,
            }
        };
        let restarted = async {
            self.wait_until_restarted(&own.life).await;
            Vec::new()
        };
        let released = release.or(restarted).await;
        let transfers = released
            .into_iter()
            .map(|(released, reply)| PendingTransfer {
                released_fence: released.fence,
                transfer: Transfer {
                    range: released.range,
                    to: Some(to.clone()),
                    handover: match reply {
                        ReleaseReply::Released { handover } => handover,
                        ReleaseReply::Unanswered => None,
                    },
                },
            });
        self.state().pending_transfers.extend(transfers);
        self.write_pending_transfers(TransferReason::Released).await;
    }

    /// Waits until another incarnation of the upstream is granted ranges.
    async fn wait_until_restarted(&self, life: &UpstreamIncarnation) {
        loop {
            let state_changed = self.inner.state_changed.listen();
            if self.state().granted_to.as_ref() != Some(life) {
                return;
            }
            state_changed.await;
        }
    }

    /// Releases a range by calls; completes when it may be transferred.
    async fn release_by_calls(&self, own: &Owner, range: KeyRange) -> Vec<(Claim, ReleaseReply)> {
        // Ranges that wait for the semaphore are still served.
        let _permit = self.inner.release_permits.acquire().await;
        let calls = self.state().grants.begin_release(&own.life, range);
        let mut released = Vec::new();
        for call in calls {
            let (range, fence) = (call.range, call.fence);
            while self.state().grants.has_pending_call(range) {
                self.inner.deps.clock.sleep(REPLY_POLL_INTERVAL).await;
            }
            let reply = self.release_with_retries(call).await;
            self.wait_until_transferable(range, &reply).await;
            released.push((Claim { range, fence }, reply));
        }
        released
    }

    /// Releases a range through the answers to the upstream's reports; completes
    /// when it may be transferred.
    async fn release_by_reports(&self, range: KeyRange) -> Vec<(Claim, ReleaseReply)> {
        let parts = self.state().grants.request_release(range);
        let mut released = Vec::new();
        for part in parts {
            let reply = self.reported_release(part.range).await;
            self.wait_until_transferable(part.range, &reply).await;
            released.push((part, reply));
        }
        released
    }

    /// Waits until reports show the release of a range, or until every grant of
    /// it has expired.
    async fn reported_release(&self, range: KeyRange) -> ReleaseReply {
        loop {
            let state_changed = self.inner.state_changed.listen();
            let now = self.inner.deps.clock.since_boot();
            let reply = self.state().grants.reported_release(range, now);
            match reply {
                Some(ReleaseReply::Unanswered) => {
                    self.log_unanswered_release(range);
                    return ReleaseReply::Unanswered;
                }
                Some(reply) => return reply,
                None => {
                    let poll = self.inner.deps.clock.sleep(POLL_INTERVAL);
                    poll.or(state_changed).await;
                }
            }
        }
    }

    async fn wait_until_transferable(&self, range: KeyRange, reply: &ReleaseReply) {
        let transferable_from = self.state().grants.transferable_from(range, reply);
        let now = self.inner.deps.clock.since_boot();
        let wait = transferable_from.saturating_sub(now);
        self.inner.deps.clock.sleep(wait).await;
    }

    fn log_unanswered_release(&self, range: KeyRange) {
        let now = self.inner.deps.clock.now();
        let since_boot = self.inner.deps.clock.since_boot();
        let state = self.state();
        let (is_leaving, heard_ms) = (state.is_upstream_leaving, state.heard_ms(now));
        let expiry = state
            .grants
            .transferable_from(range, &ReleaseReply::Unanswered);
        drop(state);
        metrics::counter!("ibiscove_release_failures_total").increment(1);
        log::warn!(
            service = &*self.inner.deps.service, first = range.first, last = range.last,
            is_leaving, heard_ms:? = heard_ms,
            waits_ms = expiry.saturating_sub(since_boot).as_millis() as u64;
            "a release was not answered"
        );
    }

    /// Ends a grant. A saturated upstream resets connections and a release is
    /// idempotent, so a release that fails is retried until the timeout.
    async fn release_with_retries(&self, call: ReleaseCall) -> ReleaseReply {
        let limit = self.inner.deps.settings.grants.release_timeout;
        let timeout = async {
            self.inner.deps.clock.sleep(limit).await;
            ReleaseReply::Unanswered
        };
        let attempts = async {
            loop {
                let reply = self.inner.deps.grantee.release(call.clone()).await;
                let now = self.inner.deps.clock.since_boot();
                let expiry = self.state().grants.transferable_from(call.range, &reply);
                if reply != ReleaseReply::Unanswered || expiry <= now {
                    return reply;
                }
                self.inner.deps.clock.sleep(RELEASE_RETRY_DELAY).await;
            }
        };
        let reply = attempts.or(timeout).await;
        if reply == ReleaseReply::Unanswered {
            self.log_unanswered_release(call.range);
        }
        reply
    }

    /// Returns whether the map of the present era does not yet show the owner of a
    /// range that is to be transferred: this node has claimed it, or it is assigned
    /// to another later on.
    fn awaits_claims(&self, transfers: &[PendingTransfer]) -> bool {
        let map = self.current_map_or_unowned();
        self.observe_era().is_none_or(|era| {
            let is_assigned =
                |pending: &PendingTransfer| map.is_assigned_in(era, pending.transfer.range);
            !transfers.iter().all(is_assigned)
        })
    }

    /// Writes all pending transfers in one transaction. Their ranges are
    /// released, so the write is retried until the map shows that this node no
    /// longer owns them.
    async fn write_pending_transfers(&self, reason: TransferReason) {
        let _guard = self.inner.transfer_batch.lock().await;
        let transfers = std::mem::take(&mut self.state().pending_transfers);
        if transfers.is_empty() {
            return;
        }
        // What this node was assigned anew is not what it released, and parts may have
        // gone to others since.
        let plan = |map: &RangeMap| {
            let remaining: Vec<_> = transfers
                .iter()
                .flat_map(|pending| pending.remaining(map, &self.inner.deps.node))
                .collect();
            (!remaining.is_empty()).then_some(remaining)
        };
        while self.awaits_claims(&transfers) {
            self.wait_before_retry().await;
        }
        while let Err(err) = self.update_map(reason, plan).await {
            log::warn!("released ranges are not written yet: {err}");
            self.wait_before_retry().await;
        }
    }
}

fn candidate(member: &Member) -> Option<Candidate> {
    let upstream = member.upstream.as_ref()?;
    Some(Candidate {
        owner: owner_of(member)?,
        utilisation: f64::from(upstream.load) / f64::from(upstream.concurrency.max(1)),
        service_time: upstream.service_time,
    })
}
