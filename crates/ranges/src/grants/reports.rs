//! Grants that travel in the answers to an upstream's own reports.
//!
//! Some upstreams take no calls for grants. They report periodically which
//! ranges they hold and which they have let go, and the answer lists all that
//! they are to hold. The upstream counts the answer's duration from when it
//! *sent* the report and takes an answer only within
//! [`GrantSettings::answer_window`], so a late answer never extends a grant.
//! `docs/ranges.md` restates the invariants for this way.

use super::{GrantSettings, Grants, RangeGrant, ReleaseProgress, ReleaseReply};
use crate::map::{Claim, KeyRange};
use ibiscove_types::{Fence, SinceBoot};
use std::sync::Arc;
use std::time::Duration;

/// What an upstream holds and has let go, as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HoldReport {
    /// Ranges that the upstream holds or still works on.
    pub held: Vec<HeldRange>,
    /// Ranges that it has let go since its last acknowledged report. Grants that
    /// expired are not among them.
    pub released: Vec<ReleasedRange>,
}

/// A range that an upstream holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRange {
    /// The keys.
    pub range: KeyRange,
    /// The fencing token of the grant.
    pub fence: Fence,
}

/// A range that an upstream has let go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedRange {
    /// The keys.
    pub range: KeyRange,
    /// Opaque state for the next owner's first grant.
    pub handover: Option<Arc<str>>,
}

/// The complete list of what an upstream is to hold; it lets go of the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldList {
    /// The ranges.
    pub grants: Vec<ListedGrant>,
    /// How long the upstream may hold them, from when it sent its report.
    pub duration: Duration,
}

/// A grant in a [`HoldList`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedGrant {
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: Fence,
    /// Opaque state of the previous owner, until the upstream reports that it
    /// holds the range.
    pub handover: Option<Arc<str>>,
}

/// What reports have shown about a granted range.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ReportedState {
    /// When the last answer that listed the range can no longer be applied;
    /// none before the first one.
    pub(super) applicable_until: Option<SinceBoot>,
    /// Whether a report has listed the whole range under its fence.
    was_held: bool,
    /// Consecutive reports that lacked the range although an earlier answer
    /// listed it.
    missing_reports: u32,
    /// Whether the last report still listed a part of the range.
    is_held_in_part: bool,
    /// Parts that were reported as released since the range was left out.
    released: Vec<ReleasedRange>,
}

/// Reports without a listed range from which the upstream is taken to reject
/// it; a single one can be due to a lost answer.
const MAX_MISSING_REPORTS: u32 = 2;

impl Grants {
    /// Applies a report. Returns whether the upstream seems to reject a range,
    /// as it does when it has seen a higher fence: the map may be out of date.
    pub fn apply_report(&mut self, report: &HoldReport) -> bool {
        let mut is_rejected = false;
        for g in &mut self.ranges {
            let held = report.held.iter().filter(|held| held.fence == g.fence);
            let state = &mut g.reported;
            state.is_held_in_part = held.clone().any(|held| held.range.overlaps(&g.range));
            let is_held = covers(held.map(|held| held.range), g.range);
            if is_held {
                state.was_held = true;
                state.missing_reports = 0;
            } else if state.applicable_until.is_some() && g.release == ReleaseProgress::Serving {
                state.missing_reports += 1;
                if state.missing_reports == MAX_MISSING_REPORTS {
                    g.confirmed_until = None;
                    is_rejected = true;
                }
            }
            // Without an acknowledgement the upstream reports the same release
            // again. Only one of a range that was seen held can be of this grant
            // and not of an earlier one of the same keys.
            if g.release == ReleaseProgress::Stopped && state.was_held {
                for released in &report.released {
                    if released.range.overlaps(&g.range) && !state.released.contains(released) {
                        state.released.push(released.clone());
                    }
                }
            }
        }
        is_rejected
    }

    /// Returns the answer to a report that arrived at `now`, with at most
    /// [`GrantSettings::max_listed_grants`] ranges. Ranges whose release was
    /// requested are left out from now on.
    pub fn answer_report(
        &mut self,
        settings: &GrantSettings,
        duration: Duration,
        now: SinceBoot,
    ) -> HoldList {
        let slowest = 1.0 + settings.max_clock_drift;
        let mut grants = Vec::new();
        for g in &mut self.ranges {
            if g.release == ReleaseProgress::Requested {
                g.release = ReleaseProgress::Stopped;
            }
            if g.release == ReleaseProgress::Stopped || grants.len() == settings.max_listed_grants {
                continue;
            }
            g.answered_expiry = g.answered_expiry.max(now + duration.mul_f64(slowest));
            let state = &mut g.reported;
            state.applicable_until = Some(now + settings.answer_window.mul_f64(slowest));
            if state.missing_reports < MAX_MISSING_REPORTS {
                g.confirmed_until = Some(now + duration);
            }
            grants.push(ListedGrant {
                range: g.range,
                fence: g.fence,
                handover: g.handover.clone().filter(|_| !state.was_held),
            });
        }
        HoldList { grants, duration }
    }

    /// Requests the release of the granted parts of `range`, which are served
    /// until the next answer leaves them out. Returns these parts.
    pub fn request_release(&mut self, range: KeyRange) -> Vec<Claim> {
        let parts = self.split_at(range);
        let mut requested = Vec::with_capacity(parts.len());
        for g in self.ranges.iter_mut().filter(|g| parts.contains(&g.range)) {
            if g.release == ReleaseProgress::Serving {
                g.release = ReleaseProgress::Requested;
            }
            requested.push(Claim {
                range: g.range,
                fence: g.fence,
            });
        }
        requested
    }

    /// Returns the outcome of a requested release once it is certain; none while
    /// it is awaited.
    pub fn reported_release(&self, range: KeyRange, now: SinceBoot) -> Option<ReleaseReply> {
        let parts: Vec<&RangeGrant> = self
            .ranges
            .iter()
            .filter(|g| g.range.overlaps(&range))
            .collect();
        if parts.is_empty() {
            // The next incarnation has announced itself, or the map names another owner.
            return Some(ReleaseReply::Released { handover: None });
        }
        if parts.iter().all(|g| g.is_reported_released()) {
            let released = parts.iter().flat_map(|g| &g.reported.released);
            let mut whole = released.filter(|r| covers([r.range], range));
            return Some(ReleaseReply::Released {
                handover: whole.next().and_then(|r| r.handover.clone()),
            });
        }
        let is_expired = parts.iter().all(|g| now >= g.expires_by());
        is_expired.then_some(ReleaseReply::Unanswered)
    }
}

impl RangeGrant {
    fn is_reported_released(&self) -> bool {
        let released = self.reported.released.iter().map(|r| r.range);
        !self.reported.is_held_in_part && covers(released, self.range)
    }
}

/// Returns whether `ranges` together contain all keys of `range`.
fn covers(ranges: impl IntoIterator<Item = KeyRange>, range: KeyRange) -> bool {
    let mut uncovered = vec![range];
    for other in ranges {
        uncovered = uncovered
            .iter()
            .flat_map(|rest| rest.difference(&other))
            .collect();
    }
    uncovered.is_empty()
}
