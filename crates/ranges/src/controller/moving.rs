//! Gives own ranges to others: when the upstream or the node ends, to members
//! that joined, and when this upstream is busier than others.

use super::RangeController;
use super::coordinate::owner_of;
use crate::balance::{self, Candidate, Why};
use crate::grants::{Grantee, ReleaseCall, ReleaseReply};
use crate::map::{KeyRange, Owner, RangeMap, Transfer};
use crate::rows;
use futures_lite::FutureExt;
use futures_util::future::join_all;
use ibiscove_mesh::Member;
use ibiscove_store::{Table, TableError, Transaction};
use ibiscove_types::{BootClock, Clock, NodeName};
use std::time::Duration;

/// Time between two looks at what should move.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a move for the sake of load before the next one, so that its
/// effect shows first. The load is known by windows of one second.
const SETTLE: Duration = Duration::from_millis(1_500);
/// The same before keys move for the sake of speed, which is worth less.
const SETTLE_SPEED: Duration = Duration::from_secs(5);
/// Pause before a release is tried again.
const RELEASE_RETRY: Duration = Duration::from_millis(60);
/// Time for the table to show that it can be reached: a slow store answers
/// within it, and a range can wait so long for its move.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two looks for the answer to a grant.
const ANSWER_INTERVAL: Duration = Duration::from_millis(5);

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn move_ranges(&self) {
        loop {
            let woken = self.inner.wake.listen();
            self.move_once().await;
            self.inner.parts.clock.sleep(LOOK_INTERVAL).or(woken).await;
        }
    }

    async fn move_once(&self) {
        let (life, is_leaving) = {
            let state = self.state();
            (state.life.clone(), state.is_leaving)
        };
        let Some(life) = life else {
            self.give_up_all().await;
            return;
        };
        let own = Owner {
            node: NodeName::clone(&self.inner.parts.node),
            life,
        };
        if !is_leaving && self.adopt(&own).await {
            return;
        }
        let Some(map) = self.map().map(|known| known.map) else {
            return;
        };
        let moves = match is_leaving {
            true => self.all_moves(&map, &own),
            false => self.moves_for_balance(&map, &own),
        };
        if !moves.is_empty() && self.table_answers().await {
            self.carry_out(&own, moves).await;
        }
    }

    /// Whether the table can be reached now. A range that is released and cannot
    /// be given to anybody is served by nobody. Brings the map up to date.
    async fn table_answers(&self) -> bool {
        let key = rows::map_key(&self.inner.parts.service);
        let timeout = async {
            self.inner.parts.clock.sleep(TABLE_TIMEOUT).await;
            Err(TableError::Unanswered("no answer in time".to_owned()))
        };
        let found = self.inner.parts.table.get(&key).or(timeout).await;
        match found {
            Ok(row) => {
                match row.map(|row| (row.version, rows::read_map(&key, &row))) {
                    Some((version, Ok(map))) => self.accept_map(version, map),
                    Some((_, Err(err))) => log::error!("the map cannot be used: {err}"),
                    None => {}
                }
                true
            }
            Err(err) => {
                metrics::counter!("ibiscove_moves_put_off_total").increment(1);
                log::warn!(service = &*self.inner.parts.service;
                    "ranges are not moved now: {err}");
                false
            }
        }
    }

    /// What goes to members that joined, or away from a busy or slow upstream;
    /// at most one move at a time.
    fn moves_for_balance(&self, map: &RangeMap, own: &Owner) -> Vec<(KeyRange, Owner)> {
        let now = self.inner.parts.clock.now();
        let balanced = self.state().balanced;
        let since = balanced.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if since < SETTLE {
            return Vec::new();
        }
        let members = self.candidates();
        let owners: Vec<Owner> = members.iter().filter_map(owner_of).collect();
        let mut moved = balance::share_for_joiner(map, own, &owners)
            .or_else(|| self.shed(Why::Busy, map, own, &members));
        if moved.is_none() && since >= SETTLE_SPEED {
            moved = self.shed(Why::Slow, map, own, &members);
        }
        if moved.is_some() {
            self.state().balanced = Some(now);
        }
        moved.into_iter().collect()
    }

    /// Takes the ranges of this upstream's earlier life, under new fences.
    async fn adopt(&self, own: &Owner) -> bool {
        let is_held = self.holds_lease(&self.state());
        let Some(known) = self.map().filter(|_| is_held) else {
            return false;
        };
        let plan = |map: &RangeMap| {
            let transfers: Vec<_> = map
                .owned_by_node(&own.node)
                .filter(|a| a.owner.as_ref() != Some(own))
                .map(|a| Transfer::cold(a.range, own.clone()))
                .collect();
            (!transfers.is_empty()).then_some(transfers)
        };
        if plan(&known.map).is_none() {
            return false;
        }
        if let Err(err) = self.change_map(Transaction::default, plan).await {
            log::warn!("ranges of the upstream's earlier life are not taken yet: {err}");
        }
        true
    }

    /// The upstream is gone: its ranges go to others once nothing that it was
    /// granted can last. A node that has just started waits likewise for what
    /// its earlier run may have granted, and meanwhile hears of its upstream.
    async fn give_up_all(&self) {
        let Some(known) = self.map() else {
            return;
        };
        let owned = |map: &RangeMap| -> Vec<KeyRange> {
            map.owned_by_node(&self.inner.parts.node)
                .map(|a| a.range)
                .collect()
        };
        if owned(&known.map).is_empty() {
            return;
        }
        self.sleep_until_run_out().await;
        let targets: Vec<Owner> = self.candidates().iter().filter_map(owner_of).collect();
        if self.state().life.is_some() || targets.is_empty() {
            return;
        }
        let plan = |map: &RangeMap| {
            let divided = balance::divide(map, &owned(map), &targets);
            let transfers: Vec<_> = divided
                .into_iter()
                .map(|(range, owner)| Transfer::cold(range, owner))
                .collect();
            (!transfers.is_empty()).then_some(transfers)
        };
        if let Err(err) = self.change_map(Transaction::default, plan).await {
            log::warn!("ranges of an upstream that is gone stay with it for now: {err}");
        }
    }

    async fn sleep_until_run_out(&self) {
        let now = self.inner.parts.clock.since_boot();
        let runs_out = self.state().grants.runs_out();
        self.inner
            .parts
            .clock
            .sleep(runs_out.saturating_sub(now))
            .await;
    }

    fn all_moves(&self, map: &RangeMap, own: &Owner) -> Vec<(KeyRange, Owner)> {
        let targets: Vec<Owner> = self.candidates().iter().filter_map(owner_of).collect();
        let ranges: Vec<KeyRange> = map.owned_by(own).map(|a| a.range).collect();
        balance::divide(map, &ranges, &targets)
    }

    fn shed(
        &self,
        why: Why,
        map: &RangeMap,
        own: &Owner,
        members: &[Member],
    ) -> Option<(KeyRange, Owner)> {
        let others: Vec<Candidate> = members.iter().filter_map(candidate).collect();
        let now = self.inner.parts.clock.now();
        let rng = &mut fastrand::Rng::new();
        let mut state = self.state();
        state.load.roll(now);
        let own = Candidate {
            owner: own.clone(),
            utilisation: state.utilisation,
            service_time: state.service_time,
        };
        match why {
            Why::Busy => balance::lift_hottest(&own, &state.load, &others)
                .or_else(|| balance::shed(why, map, &own, &state.load, &others, rng)),
            Why::Slow => balance::shed(why, map, &own, &state.load, &others, rng),
        }
    }

    async fn carry_out(&self, own: &Owner, moves: Vec<(KeyRange, Owner)>) {
        join_all(
            moves
                .into_iter()
                .map(|(range, to)| self.hand_over(own, range, to)),
        )
        .await;
    }

    /// Releases a range and writes its new owner.
    async fn hand_over(&self, own: &Owner, range: KeyRange, to: Owner) {
        // Ranges whose turn has not come are served meanwhile.
        let few_at_a_time = self.inner.releases.acquire().await;
        let calls = self.state().grants.begin_release(&own.life, range);
        let mut transfers = Vec::new();
        for call in calls {
            let range = call.range;
            while self.state().grants.awaits_answer(range) {
                self.inner.parts.clock.sleep(ANSWER_INTERVAL).await;
            }
            let reply = self.release(call).await;
            let free_from = self.state().grants.free_from(range, &reply);
            let now = self.inner.parts.clock.since_boot();
            self.inner
                .parts
                .clock
                .sleep(free_from.saturating_sub(now))
                .await;
            let handover = match reply {
                ReleaseReply::Released { handover } => handover,
                ReleaseReply::Ended | ReleaseReply::Unanswered => None,
            };
            transfers.push(Transfer {
                range,
                to: Some(to.clone()),
                handover,
            });
        }
        drop(few_at_a_time);
        self.state().pending.extend(transfers);
        self.write_pending().await;
    }

    /// Ends a grant. A busy upstream resets connections, and a release may be
    /// repeated, so one that fails is tried again until the time is up.
    async fn release(&self, call: ReleaseCall) -> ReleaseReply {
        let limit = self.inner.parts.settings.grants.release_timeout;
        let timeout = async {
            self.inner.parts.clock.sleep(limit).await;
            ReleaseReply::Unanswered
        };
        let trying = async {
            loop {
                let reply = self.inner.parts.grantee.release(call.clone()).await;
                if reply != ReleaseReply::Unanswered {
                    return reply;
                }
                self.inner.parts.clock.sleep(RELEASE_RETRY).await;
            }
        };
        let reply = trying.or(timeout).await;
        if reply == ReleaseReply::Unanswered {
            metrics::counter!("ibiscove_release_failures_total").increment(1);
            log::warn!(service = &*self.inner.parts.service, first = call.range.first,
                last = call.range.last, fence = call.fence; "a release was not answered");
        }
        reply
    }

    /// Writes the transfers that are ready, all in one transaction. They were
    /// released, so they are tried until the map says that they are done.
    async fn write_pending(&self) {
        let _batch = self.inner.batch.lock().await;
        let transfers = std::mem::take(&mut self.state().pending);
        if transfers.is_empty() {
            return;
        }
        let is_mine = |map: &RangeMap, transfer: &&Transfer| {
            let owner = &map.locate(transfer.range.first).owner;
            owner
                .as_ref()
                .is_some_and(|owner| owner.node == self.inner.parts.node)
        };
        let plan = |map: &RangeMap| {
            let left: Vec<_> = transfers
                .iter()
                .filter(|t| is_mine(map, t))
                .cloned()
                .collect();
            (!left.is_empty()).then_some(left)
        };
        while let Err(err) = self.change_map(Transaction::default, plan).await {
            log::warn!("released ranges are not written yet: {err}");
            self.pause().await;
        }
    }
}

fn candidate(member: &Member) -> Option<Candidate> {
    let upstream = member.upstream.as_ref()?;
    Some(Candidate {
        owner: owner_of(member)?,
        utilisation: f64::from(upstream.load) / f64::from(upstream.slots.max(1)),
        service_time: upstream.service_time,
    })
}
