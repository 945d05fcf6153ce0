//! What this node has granted to the upstream beside it.
//!
//! Invariant 3: a grant never outlasts the node's lease, on the slowest clock
//! that an upstream may have. Invariant 4: a range is given on only when its
//! release was confirmed and no unanswered grant of it can still take effect,
//! or when every grant must have run out.

use crate::map::{Assignment, KeyRange};
use ibiscove_types::{Fence, Key, SinceBoot, UpstreamIncarnation};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// A grant, or its renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantCall {
    /// The life that it is for. A life that has not announced itself yet must
    /// not take what was meant for the one before.
    pub incarnation: UpstreamIncarnation,
    /// The keys.
    pub range: KeyRange,
    /// The fence.
    pub fence: Fence,
    /// How long the upstream may serve them, from the call's arrival.
    pub duration: Duration,
    /// What the owner before handed over.
    pub handover: Option<Arc<str>>,
}

/// What an upstream said to a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantReply {
    /// It holds the keys.
    Granted,
    /// It has seen a higher fence.
    FenceSeen,
    /// It refused the call for another reason; it does not hold the keys.
    Refused,
    /// The call did not leave this node.
    NotSent,
    /// No answer came; the grant may take effect later.
    Unanswered,
}

/// The end of a grant or of a part of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseCall {
    /// The life that it is for.
    pub incarnation: UpstreamIncarnation,
    /// The keys.
    pub range: KeyRange,
    /// The fence.
    pub fence: Fence,
}

/// What an upstream said to a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseReply {
    /// All work on the keys has ended.
    Released {
        /// What the next owner's grant carries.
        handover: Option<Arc<str>>,
    },
    /// Nobody listens at the upstream's address: its process has ended, and
    /// with it all that it held.
    Ended,
    /// No answer came.
    Unanswered,
}

/// The upstream beside the node, as far as grants go.
pub trait Grantee: Clone + Send + Sync + 'static {
    /// Grants keys or renews a grant.
    fn grant(&self, call: GrantCall) -> impl Future<Output = GrantReply> + Send;

    /// Ends a grant; completes when the work on the keys has ended.
    fn release(&self, call: ReleaseCall) -> impl Future<Output = ReleaseReply> + Send;
}

/// Times of grants.
#[derive(Clone, Copy, Debug)]
pub struct GrantSettings {
    /// How long a grant lasts. Several renewals may fail within it, and a range
    /// waits so long when its upstream stops answering.
    pub duration: Duration,
    /// Time between two renewals; a third of the hold.
    pub renew_interval: Duration,
    /// How much slower an upstream's clock may run, as a share.
    pub clock_drift: f64,
    /// Time that a call may take to arrive on the same machine.
    pub arrival_slack: Duration,
    /// Time for the answer to a grant.
    pub call_timeout: Duration,
    /// Time for a release, within which running work should end.
    pub release_timeout: Duration,
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_millis(4_500),
            renew_interval: Duration::from_millis(1_500),
            clock_drift: 0.02,
            arrival_slack: Duration::from_millis(100),
            call_timeout: Duration::from_millis(400),
            release_timeout: Duration::from_millis(3_000),
        }
    }
}

/// One range as granted.
#[derive(Clone, Debug, PartialEq)]
struct Granted {
    range: KeyRange,
    fence: Fence,
    handover: Option<Arc<str>>,
    /// Until when the upstream surely holds it; none before the first answer.
    confirmed_until: Option<SinceBoot>,
    /// When all that was ever granted must have run out.
    runs_out: SinceBoot,
    /// Calls that were not answered, or not yet.
    open_calls: Vec<OpenCall>,
    last_sent: Option<SinceBoot>,
    is_releasing: bool,
}

/// A grant that may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenCall {
    sent: SinceBoot,
    /// When what it grants must have run out.
    runs_out: SinceBoot,
    /// It is given up; no answer is awaited.
    is_lost: bool,
}

/// Everything granted to one life of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    granted: Vec<Granted>,
    /// When all that an earlier run of this process granted must have run out.
    earlier_runs_out: SinceBoot,
}

impl Grants {
    /// Nothing granted by this run of the process to an upstream that an
    /// earlier run may have granted something.
    pub fn after_restart(settings: &GrantSettings, now: SinceBoot) -> Self {
        Self {
            granted: Vec::new(),
            earlier_runs_out: latest_end(settings, settings.duration, now),
        }
    }

    /// Follows the map: ranges that this life owns, under the fences they have
    /// now. Ranges that are no longer owned are dropped; they were released or
    /// the lease had ended before somebody took them.
    pub fn follow<'a>(&mut self, owned: impl IntoIterator<Item = &'a Assignment>) {
        let mut next = Vec::new();
        for assignment in owned {
            let mut uncovered = vec![assignment.range];
            for old in &self.granted {
                if old.fence != assignment.fence {
                    continue;
                }
                let Some(range) = old.range.shared(&assignment.range) else {
                    continue;
                };
                uncovered = uncovered
                    .iter()
                    .flat_map(|left| left.without(&range))
                    .collect();
                next.push(Granted {
                    range,
                    ..old.clone()
                });
            }
            next.extend(uncovered.into_iter().map(|range| Granted {
                range,
                fence: assignment.fence,
                handover: assignment.handover.clone(),
                confirmed_until: None,
                runs_out: SinceBoot::ZERO,
                open_calls: Vec::new(),
                last_sent: None,
                is_releasing: false,
            }));
        }
        self.granted = next;
    }

    /// Whether the upstream serves a key now.
    pub fn serves(&self, key: Key, now: SinceBoot) -> bool {
        self.granted.iter().any(|g| {
            g.range.contains(key)
                && !g.is_releasing
                && g.confirmed_until.is_some_and(|end| now < end)
        })
    }

    /// The next grant to send, given when the lease ends; those that were never
    /// granted come first, then those that run out first.
    pub fn next_due(
        &mut self,
        settings: &GrantSettings,
        to: &UpstreamIncarnation,
        lease_end: SinceBoot,
        now: SinceBoot,
    ) -> Option<GrantCall> {
        let duration = hold_within(settings, lease_end, now)?;
        let is_due = |g: &&mut Granted| {
            let interval = settings.renew_interval;
            let due = g
                .last_sent
                .is_none_or(|sent| now.saturating_sub(sent) >= interval);
            due && !g.is_releasing
        };
        let due = self.granted.iter_mut().filter(is_due);
        let g = due.min_by_key(|g| g.confirmed_until)?;
        let ends = latest_end(settings, duration, now);
        g.last_sent = Some(now);
        g.runs_out = g.runs_out.max(ends);
        g.open_calls.retain(|open| open.runs_out > now);
        g.open_calls.push(OpenCall {
            sent: now,
            runs_out: ends,
            is_lost: false,
        });
        Some(GrantCall {
            incarnation: to.clone(),
            range: g.range,
            fence: g.fence,
            duration,
            handover: g.handover.clone().filter(|_| g.confirmed_until.is_none()),
        })
    }

    /// Takes the answer to a grant that was sent at `sent`.
    pub fn answered(&mut self, call: &GrantCall, reply: GrantReply, sent: SinceBoot) {
        let of_call = |g: &&mut Granted| g.fence == call.fence && call.range.overlaps(&g.range);
        for g in self.granted.iter_mut().filter(of_call) {
            match reply {
                GrantReply::Granted => g.confirmed_until = Some(sent + call.duration),
                // Sent again at the next look.
                GrantReply::Unanswered | GrantReply::NotSent => g.last_sent = None,
                GrantReply::FenceSeen | GrantReply::Refused => g.confirmed_until = None,
            }
            match reply {
                GrantReply::Unanswered => {
                    let calls = g.open_calls.iter_mut();
                    calls
                        .filter(|open| open.sent == sent)
                        .for_each(|open| open.is_lost = true);
                }
                _ => g.open_calls.retain(|open| open.sent != sent),
            }
        }
    }

    /// Begins to release the parts of `range` that are granted; nothing is
    /// served on them any more.
    pub fn begin_release(&mut self, of: &UpstreamIncarnation, range: KeyRange) -> Vec<ReleaseCall> {
        let mut next = Vec::with_capacity(self.granted.len() + 2);
        let mut calls = Vec::new();
        for g in self.granted.drain(..) {
            let Some(shared) = g.range.shared(&range) else {
                next.push(g);
                continue;
            };
            next.extend(g.range.without(&shared).map(|rest| Granted {
                range: rest,
                ..g.clone()
            }));
            calls.push(ReleaseCall {
                incarnation: of.clone(),
                range: shared,
                fence: g.fence,
            });
            next.push(Granted {
                range: shared,
                is_releasing: true,
                ..g
            });
        }
        self.granted = next;
        calls
    }

    /// Whether the answer to a grant within `range` is still awaited. A release
    /// that overtakes its grant would end nothing.
    pub fn awaits_answer(&self, range: KeyRange) -> bool {
        let mut overlapping = self.granted.iter().filter(|g| g.range.overlaps(&range));
        overlapping.any(|g| g.open_calls.iter().any(|open| !open.is_lost))
    }

    /// From when a range that is being released may be given on.
    pub fn free_from(&self, range: KeyRange, reply: &ReleaseReply) -> SinceBoot {
        if *reply == ReleaseReply::Ended {
            return SinceBoot::ZERO;
        }
        let overlapping = self.granted.iter().filter(|g| g.range.overlaps(&range));
        let ends = overlapping.map(|g| match reply {
            ReleaseReply::Unanswered => g.runs_out,
            _ => g
                .open_calls
                .iter()
                .map(|open| open.runs_out)
                .max()
                .unwrap_or_default(),
        });
        ends.max().unwrap_or_default().max(self.earlier_runs_out)
    }

    /// When every grant must have run out.
    pub fn runs_out(&self) -> SinceBoot {
        let ends = self.granted.iter().map(|g| g.runs_out).max();
        ends.unwrap_or_default().max(self.earlier_runs_out)
    }
}

/// The longest hold that ends with the lease on the slowest clock; none when
/// there is no time left that is worth a call.
pub fn hold_within(
    settings: &GrantSettings,
    lease_end: SinceBoot,
    now: SinceBoot,
) -> Option<Duration> {
    let left = lease_end
        .checked_sub(now)?
        .checked_sub(settings.arrival_slack)?;
    let duration = left
        .div_f64(1.0 + settings.clock_drift)
        .min(settings.duration);
    (duration >= settings.arrival_slack).then_some(duration)
}

/// When a grant that was sent at `sent` has run out on the slowest clock.
fn latest_end(settings: &GrantSettings, hold: Duration, sent: SinceBoot) -> SinceBoot {
    sent + settings.arrival_slack + hold.mul_f64(1.0 + settings.clock_drift)
}
