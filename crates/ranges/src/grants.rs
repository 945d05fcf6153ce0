//! State of the grants that this node has issued to its local upstream.
//!
//! Invariant 3: a grant never outlasts the node's lease, on the slowest clock
//! that an upstream may have. Invariant 4: a range is transferred only when its
//! release was confirmed and no unanswered grant of it can still take effect,
//! or when every grant of it must have expired.

pub mod reports;

use crate::map::{Assignment, Claim, KeyRange};
use ibiscove_types::{Fence, Key, SinceBoot, UpstreamIncarnation};
use reports::ReportedState;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// A call that issues or renews a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantCall {
    /// The upstream incarnation that the grant is for. A later one, which has
    /// not announced itself yet, must not accept it.
    pub incarnation: UpstreamIncarnation,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: Fence,
    /// How long the upstream may serve the keys, from the arrival of the call.
    pub duration: Duration,
    /// When the call may be written to the upstream at the latest, by this node's
    /// clock; after that, others may own the keys before the grant has expired.
    pub send_by: SinceBoot,
    /// Opaque state that the previous owner returned on release.
    pub handover: Option<Arc<str>>,
}

/// Outcome of a grant call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantReply {
    /// The upstream holds the keys.
    Granted,
    /// The upstream has seen a higher fence.
    FenceSeen,
    /// The upstream rejected the call for another reason and does not hold the
    /// keys.
    Refused,
    /// The call did not leave this node.
    NotSent,
    /// No response came; the grant may still take effect.
    Unanswered,
}

/// A call that ends a grant, or a part of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseCall {
    /// The upstream incarnation that holds the grant.
    pub incarnation: UpstreamIncarnation,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: Fence,
}

/// Outcome of a release call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseReply {
    /// All work on the keys has ended.
    Released {
        /// Opaque state for the next owner's first grant.
        handover: Option<Arc<str>>,
    },
    /// No response came. That no process accepts connections doesn't end a grant: one
    /// that shuts down stops listening before it ends.
    Unanswered,
}

/// The local upstream, as the receiver of grants.
pub trait Grantee: Clone + Send + Sync + 'static {
    /// Issues or renews a grant.
    fn grant(&self, call: GrantCall) -> impl Future<Output = GrantReply> + Send;

    /// Ends a grant; completes when the work on the keys has ended.
    fn release(&self, call: ReleaseCall) -> impl Future<Output = ReleaseReply> + Send;
}

/// How grants reach the local upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GrantDelivery {
    /// By calls of this node, see [`Grantee`].
    #[default]
    Calls,
    /// In the answers to the upstream's reports, see [`reports`].
    Reports,
}

/// Timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct GrantSettings {
    /// How grants reach the upstream.
    pub delivery: GrantDelivery,
    /// How long a grant lasts. Two renewals may fail within it; a range stays
    /// unserved this long when its upstream crashes and doesn't return sooner.
    pub duration: Duration,
    /// Interval between two renewals; about a third of `duration`.
    pub renew_interval: Duration,
    /// How much slower an upstream's clock may run, as a fraction.
    pub max_clock_drift: f64,
    /// Time within which a call is written to the upstream, or not at all.
    pub max_send_delay: Duration,
    /// Longest time from writing a call to its arrival, on the same machine.
    pub max_transit_delay: Duration,
    /// Timeout of a grant call.
    pub call_timeout: Duration,
    /// Timeout of a release call, within which running work should end.
    pub release_timeout: Duration,
    /// Time from an upstream's report within which it takes the answer.
    pub answer_window: Duration,
    /// Most ranges in the answer to a report, whose size upstreams limit.
    pub max_listed_grants: usize,
    /// Longest [`GrantSettings::duration`] of any release of ibiscove, for which an
    /// earlier process of this node may have granted.
    pub max_earlier_duration: Duration,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            delivery: GrantDelivery::Calls,
            duration: Duration::from_millis(2_000),
            renew_interval: Duration::from_millis(700),
            max_clock_drift: 0.02,
            max_send_delay: Duration::from_millis(300),
            max_transit_delay: Duration::from_millis(100),
            call_timeout: Duration::from_millis(400),
            release_timeout: Duration::from_millis(3_000),
            answer_window: Duration::from_millis(1_000),
            max_listed_grants: 90,
            max_earlier_duration: Duration::from_millis(4_500),
        }
    }
}

impl GrantSettings {
    /// Returns the usual settings of a way of delivery. Reports come about once a second,
    /// and the node can't ask for one, so what they renew lasts longer.
    pub fn for_delivery(delivery: GrantDelivery) -> Self {
        match delivery {
            GrantDelivery::Calls => Self::default(),
            GrantDelivery::Reports => Self {
                delivery,
                duration: Duration::from_millis(4_500),
                renew_interval: Duration::from_millis(1_500),
                ..Self::default()
            },
        }
    }

    /// Returns the longest time until a call arrives.
    pub fn max_delivery_delay(&self) -> Duration {
        self.max_send_delay + self.max_transit_delay
    }
}

/// Grant state of one range.
#[derive(Clone, Debug, PartialEq)]
struct RangeGrant {
    range: KeyRange,
    fence: Fence,
    handover: Option<Arc<str>>,
    /// When the confirmed grant expires by this node's clock; none before the
    /// first confirmation.
    confirmed_until: Option<SinceBoot>,
    /// When the grants of all calls with an answer must have expired.
    answered_expiry: SinceBoot,
    /// Grant calls whose outcome is unknown or still awaited.
    unresolved_calls: Vec<UnresolvedCall>,
    last_sent: Option<SinceBoot>,
    release: ReleaseProgress,
    /// What the upstream's reports have shown, if grants travel in their answers.
    reported: ReportedState,
}

impl RangeGrant {
    fn new(range: KeyRange, fence: Fence, handover: Option<Arc<str>>) -> Self {
        Self {
            range,
            fence,
            handover,
            confirmed_until: None,
            answered_expiry: SinceBoot::ZERO,
            unresolved_calls: Vec::new(),
            last_sent: None,
            release: ReleaseProgress::Serving,
            reported: ReportedState::default(),
        }
    }

    fn claim(&self) -> Claim {
        Claim {
            range: self.range,
            fence: self.fence,
        }
    }

    /// Returns when the grants of all calls without an answer have expired.
    fn unresolved_expiry(&self) -> SinceBoot {
        let expiry = self.unresolved_calls.iter().map(|call| call.expires_by);
        expiry.max().unwrap_or_default()
    }

    /// Returns when the grant of the call that was sent at `sent` has expired, if that
    /// has no answer.
    fn unresolved_expiry_of(&self, sent: SinceBoot) -> SinceBoot {
        let mut calls = self.unresolved_calls.iter();
        let call = calls.find(|call| call.sent == sent);
        call.map(|call| call.expires_by).unwrap_or_default()
    }

    fn settle_call(&mut self, sent: SinceBoot) {
        self.unresolved_calls.retain(|call| call.sent != sent);
    }

    /// Returns when every grant ever issued for the range must have expired.
    fn expires_by(&self) -> SinceBoot {
        self.answered_expiry.max(self.unresolved_expiry())
    }
}

/// Progress of the release of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseProgress {
    /// The range is not being released.
    Serving,
    /// It is served until the next answer to a report leaves it out.
    Requested,
    /// It is no longer served.
    Stopped,
}

/// A grant call that may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnresolvedCall {
    sent: SinceBoot,
    /// When the grant that it carries must have expired.
    expires_by: SinceBoot,
    /// The call timed out; no response is awaited.
    is_timed_out: bool,
}

/// All grants issued to one upstream incarnation.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    ranges: Vec<RangeGrant>,
    /// When every grant of an earlier process of this node, and every call to an earlier
    /// incarnation of the upstream that may still be applied, must have expired.
    earlier_expiry: SinceBoot,
}

impl Grants {
    /// Returns the state after a restart: no grants, but those of the earlier
    /// process may still be valid.
    pub fn after_restart(settings: &GrantSettings, now: SinceBoot) -> Self {
        Self {
            earlier_expiry: expiry_on_slowest_clock(settings, settings.max_earlier_duration, now),
            ..Self::default()
        }
    }

    /// Returns the state for the next incarnation of the upstream, which has announced
    /// itself at the same address. It holds nothing yet, but calls to the last one may
    /// have reached it, or reach it late.
    pub fn after_restart_of_upstream(&self) -> Self {
        Self {
            earlier_expiry: self.latest_expiry(),
            ..Self::default()
        }
    }

    /// Updates the grants to match the ranges that the incarnation owns in the
    /// map, under their current fences. Ranges that it no longer owns are
    /// dropped: they were released, or the lease had expired before they were
    /// taken over.
    pub fn sync_with<'a>(&mut self, owned: impl IntoIterator<Item = &'a Assignment>) {
        let mut next = Vec::new();
        for assignment in owned {
            let mut uncovered = vec![assignment.range];
            for old in &self.ranges {
                if old.fence != assignment.fence {
                    continue;
                }
                let Some(range) = old.range.intersection(&assignment.range) else {
                    continue;
                };
                uncovered = uncovered
                    .iter()
                    .flat_map(|rest| rest.difference(&range))
                    .collect();
                next.push(RangeGrant {
                    range,
                    ..old.clone()
                });
            }
            let new = |range| RangeGrant::new(range, assignment.fence, assignment.handover.clone());
            next.extend(uncovered.into_iter().map(new));
        }
        self.ranges = next;
    }

    /// Returns what the upstream holds, or may be about to hold, and does not let go.
    pub fn held(&self) -> impl Iterator<Item = Claim> {
        let held = |g: &&RangeGrant| g.release != ReleaseProgress::Stopped;
        self.ranges.iter().filter(held).map(RangeGrant::claim)
    }

    /// Returns what is held and what is being given away.
    pub fn tracked(&self) -> impl Iterator<Item = Claim> {
        self.ranges.iter().map(RangeGrant::claim)
    }

    /// Drops the grants of claims that have lapsed.
    pub fn drop_claimed(&mut self, claims: &[Claim]) {
        self.ranges.retain(|g| {
            let is_of_grant = |c: &Claim| c.fence == g.fence && c.range.overlaps(&g.range);
            !claims.iter().any(is_of_grant)
        });
    }

    /// Returns whether the upstream holds a confirmed grant of a key now.
    pub fn is_granted(&self, key: Key, now: SinceBoot) -> bool {
        self.ranges.iter().any(|g| {
            g.range.contains(key)
                && g.release != ReleaseProgress::Stopped
                && g.confirmed_until.is_some_and(|end| now < end)
        })
    }

    /// Returns the next grant call that is due before the lease ends: first
    /// ranges that were never granted, then those whose grant expires first.
    pub fn next_due_call(
        &mut self,
        settings: &GrantSettings,
        incarnation: &UpstreamIncarnation,
        lease_end: SinceBoot,
        now: SinceBoot,
    ) -> Option<GrantCall> {
        let duration = max_grant_duration(settings, lease_end, now)?;
        let needs_call = |g: &&mut RangeGrant| {
            let interval = settings.renew_interval;
            let is_due = g
                .last_sent
                .is_none_or(|sent| now.saturating_sub(sent) >= interval);
            is_due && g.release == ReleaseProgress::Serving
        };
        let due = self.ranges.iter_mut().filter(needs_call);
        let g = due.min_by_key(|g| g.confirmed_until)?;
        let expiry = expiry_on_slowest_clock(settings, duration, now);
        g.last_sent = Some(now);
        g.unresolved_calls
            .retain(|unresolved| unresolved.expires_by > now);
        g.unresolved_calls.push(UnresolvedCall {
            sent: now,
            expires_by: expiry,
            is_timed_out: false,
        });
        Some(GrantCall {
            incarnation: incarnation.clone(),
            range: g.range,
            fence: g.fence,
            duration,
            send_by: now + settings.max_send_delay,
            handover: g.handover.clone().filter(|_| g.confirmed_until.is_none()),
        })
    }

    /// Applies the reply to a grant call that was sent at `sent`, and that came at `now`.
    /// Returns whether it confirms keys that were not confirmed before.
    pub fn apply_reply(
        &mut self,
        call: &GrantCall,
        reply: GrantReply,
        sent: SinceBoot,
        now: SinceBoot,
    ) -> bool {
        let is_of_call =
            |g: &&mut RangeGrant| g.fence == call.fence && call.range.overlaps(&g.range);
        let mut is_first = false;
        for g in self.ranges.iter_mut().filter(is_of_call) {
            is_first |= reply == GrantReply::Granted && g.confirmed_until.is_none();
            match reply {
                GrantReply::Granted => g.confirmed_until = Some(sent + call.duration),
                // Makes the renewal due at the next poll.
                GrantReply::Unanswered | GrantReply::NotSent => g.last_sent = None,
                GrantReply::FenceSeen | GrantReply::Refused => g.confirmed_until = None,
            }
            match reply {
                GrantReply::Unanswered => {
                    let calls = g.unresolved_calls.iter_mut();
                    calls
                        .filter(|unresolved| unresolved.sent == sent)
                        .for_each(|unresolved| unresolved.is_timed_out = true);
                }
                GrantReply::NotSent => g.settle_call(sent),
                GrantReply::Granted | GrantReply::FenceSeen | GrantReply::Refused => {
                    // It was written before the answer was read, whosever that is.
                    let early = call.send_by.saturating_sub(now);
                    let expiry = g.unresolved_expiry_of(sent).saturating_sub(early);
                    g.answered_expiry = g.answered_expiry.max(expiry);
                    g.settle_call(sent);
                }
            }
        }
        is_first
    }

    /// Starts to release the granted parts of `range`, whose keys are no longer
    /// served from then on.
    pub fn begin_release(
        &mut self,
        incarnation: &UpstreamIncarnation,
        range: KeyRange,
    ) -> Vec<ReleaseCall> {
        let parts = self.split_at(range);
        let released = self.ranges.iter_mut().filter(|g| parts.contains(&g.range));
        released
            .map(|g| {
                g.release = ReleaseProgress::Stopped;
                ReleaseCall {
                    incarnation: incarnation.clone(),
                    range: g.range,
                    fence: g.fence,
                }
            })
            .collect()
    }

    /// Splits the grants at the bounds of `range`. Returns the parts within it.
    fn split_at(&mut self, range: KeyRange) -> Vec<KeyRange> {
        let mut next = Vec::with_capacity(self.ranges.len() + 2);
        let mut parts = Vec::new();
        for g in self.ranges.drain(..) {
            let Some(common) = g.range.intersection(&range) else {
                next.push(g);
                continue;
            };
            next.extend(g.range.difference(&common).map(|rest| RangeGrant {
                range: rest,
                ..g.clone()
            }));
            parts.push(common);
            next.push(RangeGrant { range: common, ..g });
        }
        self.ranges = next;
        parts
    }

    /// Stops granting keys that are about to be given to another owner without a
    /// release, so that an upstream that returns is not granted them anew.
    pub fn withdraw(&mut self, claim: Claim) {
        let parts = self.split_at(claim.range);
        let mut unknown = vec![claim.range];
        for g in self.ranges.iter_mut().filter(|g| g.fence == claim.fence) {
            if parts.contains(&g.range) {
                g.release = ReleaseProgress::Stopped;
                unknown = unknown
                    .iter()
                    .flat_map(|rest| rest.difference(&g.range))
                    .collect();
            }
        }
        self.ranges
            .extend(unknown.into_iter().map(|range| RangeGrant {
                release: ReleaseProgress::Stopped,
                ..RangeGrant::new(range, claim.fence, None)
            }));
    }

    /// Returns whether a grant call within `range` is still pending. A release
    /// that overtook such a call would end nothing.
    pub fn has_pending_call(&self, range: KeyRange) -> bool {
        let mut overlapping = self.ranges.iter().filter(|g| g.range.overlaps(&range));
        overlapping.any(|g| {
            g.unresolved_calls
                .iter()
                .any(|unresolved| !unresolved.is_timed_out)
        })
    }

    /// Returns when a range that is being released may be transferred.
    pub fn transferable_from(&self, range: KeyRange, reply: &ReleaseReply) -> SinceBoot {
        let overlapping = self.ranges.iter().filter(|g| g.range.overlaps(&range));
        let expiry = overlapping.map(|g| match reply {
            ReleaseReply::Unanswered => g.expires_by(),
            ReleaseReply::Released { .. } => g
                .unresolved_expiry()
                .max(g.reported.applicable_until.unwrap_or_default()),
        });
        expiry.max().unwrap_or_default().max(self.earlier_expiry)
    }

    /// Returns when every grant must have expired.
    pub fn latest_expiry(&self) -> SinceBoot {
        let expiry = self.ranges.iter().map(RangeGrant::expires_by).max();
        expiry.unwrap_or_default().max(self.earlier_expiry)
    }
}

/// Returns the longest grant that ends with the lease even on the slowest
/// clock; none when it would be shorter than the delivery delay.
pub fn max_grant_duration(
    settings: &GrantSettings,
    lease_end: SinceBoot,
    now: SinceBoot,
) -> Option<Duration> {
    let remaining = lease_end
        .checked_sub(now)?
        .checked_sub(settings.max_delivery_delay())?;
    let duration = remaining
        .div_f64(1.0 + settings.max_clock_drift)
        .min(settings.duration);
    (duration >= settings.max_delivery_delay()).then_some(duration)
}

/// Returns when a grant that was sent at `sent` has expired on the slowest
/// clock.
fn expiry_on_slowest_clock(
    settings: &GrantSettings,
    duration: Duration,
    sent: SinceBoot,
) -> SinceBoot {
    sent + settings.max_delivery_delay() + duration.mul_f64(1.0 + settings.max_clock_drift)
}
