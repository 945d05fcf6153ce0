//! Slow start of an upstream whose caches are cold after a start or a recovery.
//!
//! A cold upstream works slowly and takes few requests a second. Its gate, the only
//! path to it, limits them to the announced rate until the announced time is over;
//! after that the rate doubles with each round of good answers until the slots are
//! the limit again. Slow answers count for less; refusals and losses halve the rate.
//!
//! An upstream may turn cold at any moment, which its next announcement says late.
//! The most recent starts therefore count against the limit as soon as it is known,
//! and answers that take longer than usual call for a health check, which tells
//! earlier.

use crate::latency_estimate::LatencyEstimate;
use crate::pacing::Pacer;
use ibiscove_types::UpstreamIncarnation;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time over which the starts at a cold upstream are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Share of the limit of a window that is used. Requests reach the upstream somewhat
/// closer together or further apart than they were admitted.
const USED_SHARE: f64 = 0.8;
/// Growth of the rate with each round of good answers.
const GROWTH: f64 = 2.0;
/// Reduction of the rate when the upstream refuses or loses a request.
const BACK_OFF: f64 = 0.5;
/// Least rate, as a share of the announced one.
const MIN_RATE_SHARE: f64 = 0.1;
/// Requests of this time make a round.
const ROUND: Duration = Duration::from_millis(100);
/// Fewest answers in a round.
const MIN_ROUND: f64 = 2.0;
/// Time between two reductions: requests that were sent together fail together.
const BACK_OFF_INTERVAL: Duration = Duration::from_millis(100);
/// Latency above which an answer counts as slow, relative to the usual one.
const GOOD_LATENCY: f64 = 2.0;
/// What a slow answer counts in a round. Work may be slow for reasons that fewer
/// requests do not change, such as keys that are new to the upstream.
const SLOW_ANSWER: f64 = 0.25;
/// Mean latency of recent answers that may mean that the upstream has turned cold,
/// relative to the usual one.
const SUSPECT_LATENCY: f64 = 1.35;
/// Largest relative latency that one answer counts with.
const MAX_SAMPLE: f64 = 4.0;
/// Weight of one answer in that mean.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Share of a window's limit that may start after the last sign that the upstream is
/// warm before a health check is worth its cost.
const UNCHECKED_SHARE: f64 = 0.25;
/// Time after a health answer within which an announcement may arrive that was sent
/// before it.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(1);
/// Least usual latency; shorter ones vary too much to tell anything.
const MIN_USUAL_LATENCY: Duration = Duration::from_millis(1);
/// Time between two health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a cold upstream takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second, sustained.
    pub rate: f64,
    /// Most requests within any second.
    pub max_per_second: f64,
}

impl ColdLimit {
    /// Returns the number of requests that may start within any second.
    fn window_limit(&self) -> usize {
        (self.max_per_second * USED_SHARE).max(1.0) as usize
    }
}

/// The usual latency of each route at a warm upstream, by which slow answers are told.
#[derive(Clone, Debug, Default)]
pub struct WarmLatencies(HashMap<Arc<str>, LatencyEstimate>);

impl WarmLatencies {
    /// Returns a latency relative to the usual one of its route, which is `initial` at
    /// first, and which learns from it if its request started at a warm upstream.
    pub fn record(
        &mut self,
        route: &Arc<str>,
        initial: LatencyEstimate,
        latency: Duration,
        was_warm: bool,
    ) -> f64 {
        let usual = self.0.get(route).copied().unwrap_or(initial).mean();
        if was_warm {
            let warm = self.0.entry(Arc::clone(route)).or_insert(initial);
            warm.record(latency);
        }
        latency.div_duration_f64(usual.max(MIN_USUAL_LATENCY))
    }
}

/// What an announcement of the upstream says of its caches.
#[derive(Clone, Copy, Debug)]
pub struct ColdAnnouncement<'a> {
    /// The incarnation that announced itself.
    pub incarnation: &'a UpstreamIncarnation,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Time for which it stays cold; zero says that it is warm.
    pub cold_left: Duration,
    /// When the announcement was received.
    pub received_at: Instant,
}

/// How a request ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It was answered; its latency relative to the usual one of its kind.
    Answered(f64),
    /// It failed or was not answered in time, possibly for want of another service,
    /// which says nothing about the pace but may mean that the upstream has turned cold.
    Failed,
    /// The upstream refused it because it has no room.
    Refused,
    /// Its connection was refused or broke.
    Lost,
}

/// The stage of a slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The upstream is cold until a time.
    Cold {
        until: Instant,
        /// When a health answer said so; none if an announcement did.
        checked_at: Option<Instant>,
    },
    /// The rate grows with good answers to what has started since.
    Growing { since: Instant },
}

/// A change that is worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A slow start has begun.
    Begun,
    /// The rate has reached what the slots allow.
    Ended,
}

/// Limits the starts of requests at one upstream while it is cold or recovers.
#[derive(Debug, Default)]
pub struct SlowStart {
    limit: Option<ColdLimit>,
    limited: Option<Limited>,
    /// The newest announcement.
    announced: Option<(UpstreamIncarnation, u64)>,
    /// The last starts, oldest first; as many as one second may have.
    recent: VecDeque<Instant>,
    /// Good answers in this round.
    good: f64,
    backed_off_at: Option<Instant>,
    signs: WarmSigns,
}

/// The limit that applies now.
#[derive(Debug)]
struct Limited {
    stage: Stage,
    pacer: Pacer,
}

/// Signs of whether a warm upstream is still warm.
#[derive(Debug, Default)]
struct WarmSigns {
    /// Moving average of relative latencies.
    latency: f64,
    /// Starts since the upstream last said that it is warm.
    unchecked: f64,
    checked_at: Option<Instant>,
    /// Whether a request has got no answer, or a failure.
    has_failed: bool,
}

impl SlowStart {
    /// Sets what the upstream takes while it is cold; without a limit there is no slow
    /// start, and one in progress ends.
    pub fn set_limit(&mut self, limit: Option<ColdLimit>) {
        let limit = limit
            .filter(|limit| limit.rate > 0.0)
            .map(|limit| ColdLimit {
                rate: limit.rate.min(limit.max_per_second),
                ..limit
            });
        if limit == self.limit {
            return;
        }
        self.limit = limit;
        match (limit, &mut self.limited) {
            (Some(limit), Some(limited)) => limited.pacer.set_rate(limit.rate),
            (Some(_), None) => {}
            (None, _) => {
                self.limited = None;
                self.announced = None;
                self.recent.clear();
            }
        }
    }

    /// Returns whether the upstream has a limit while it is cold.
    pub fn is_enabled(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the rate that applies now, in requests a second; none if there is no
    /// limit other than the slots.
    pub fn rate(&self) -> Option<f64> {
        Some(self.limited.as_ref()?.pacer.rate())
    }

    /// Returns whether the upstream was warm, as far as is known, at a recent time.
    pub fn was_warm(&self, at: Instant) -> bool {
        match self.limited.as_ref().map(|limited| limited.stage) {
            None => true,
            Some(Stage::Cold { until, .. }) => until <= at,
            Some(Stage::Growing { since }) => since <= at,
        }
    }

    /// Returns whether an incarnation is the one that announced itself last.
    pub fn is_announced(&self, incarnation: &UpstreamIncarnation) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|(announced, _)| announced == incarnation)
    }

    /// Records an announcement, unless it is older than the newest. What it says
    /// replaces what was known before, except that one which was perhaps sent before a
    /// health answer does not shorten the time that this names.
    pub fn record_announcement(
        &mut self,
        announcement: ColdAnnouncement<'_>,
        now: Instant,
    ) -> Option<Change> {
        let limit = self.limit?;
        let ColdAnnouncement {
            incarnation,
            sequence,
            cold_left,
            received_at,
        } = announcement;
        if let Some((announced, last_sequence)) = &self.announced {
            let is_newer = match announced == incarnation {
                true => sequence > *last_sequence,
                false => incarnation.born_ms > announced.born_ms,
            };
            if !is_newer {
                return None;
            }
            if announced != incarnation {
                self.begin_successor(limit, received_at);
            }
        }
        self.announced = Some((incarnation.clone(), sequence));
        let told = received_at + cold_left;
        if let Some(Limited {
            stage: Stage::Cold { until, checked_at },
            ..
        }) = &mut self.limited
            && checked_at.is_none_or(|at| received_at >= at + ANNOUNCEMENT_DELAY)
        {
            (*until, *checked_at) = (told, None);
        }
        self.record_cold(told, None, now)
    }

    /// Records that a health answer says that the upstream is cold until a time; a time
    /// that has passed says that it is warm.
    pub fn record_cold_until(&mut self, until: Instant, now: Instant) -> Option<Change> {
        self.record_cold(until, Some(now), now)
    }

    fn record_cold(
        &mut self,
        until: Instant,
        checked_at: Option<Instant>,
        now: Instant,
    ) -> Option<Change> {
        let limit = self.limit?;
        if until <= now {
            self.signs.unchecked = 0.0;
            self.signs.has_failed = false;
            return None;
        }
        if let Some(Limited {
            stage:
                Stage::Cold {
                    until: earlier,
                    checked_at: earlier_check,
                },
            ..
        }) = &mut self.limited
        {
            if until > *earlier {
                (*earlier, *earlier_check) = (until, checked_at);
            }
            return None;
        }
        let was_limited = self.limited.is_some();
        self.begin(Stage::Cold { until, checked_at }, limit.rate, now);
        (!was_limited).then_some(Change::Begun)
    }

    /// Records that the upstream answers again after an outage, and may take less than
    /// before.
    pub fn record_recovery(&mut self, now: Instant) -> Option<Change> {
        let limit = self.limit?;
        if self.limited.is_some() {
            return None;
        }
        self.begin(Stage::Growing { since: now }, limit.rate, now);
        Some(Change::Begun)
    }

    /// Another process serves at the upstream's address: what its predecessor said of
    /// itself, and lost, no longer holds.
    fn begin_successor(&mut self, limit: ColdLimit, since: Instant) {
        if let Some(limited) = &mut self.limited {
            limited.stage = Stage::Growing { since };
            let rate = limited.pacer.rate().max(limit.rate);
            limited.pacer.set_rate(rate);
        }
        self.signs = WarmSigns::default();
    }

    fn begin(&mut self, stage: Stage, rate: f64, now: Instant) {
        self.good = 0.0;
        self.signs = WarmSigns::default();
        let mut pacer = match self.limited.take() {
            Some(limited) => limited.pacer,
            None => Pacer::new(rate, now),
        };
        pacer.set_rate(rate);
        self.limited = Some(Limited { stage, pacer });
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        let Some(limit) = self.limit else {
            return;
        };
        while let Some(oldest) = self.recent.front()
            && (self.recent.len() >= limit.window_limit() || *oldest + WINDOW <= now)
        {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.signs.unchecked += 1.0;
        if let Some(limited) = &mut self.limited {
            limited.pacer.record_start(now);
        }
    }

    /// Returns the time until a request may start; none if there is no limit.
    pub fn delay(&self, now: Instant) -> Option<Duration> {
        let (limit, limited) = (self.limit?, self.limited.as_ref()?);
        let paced = limited.pacer.delay(now);
        let Stage::Cold { until, .. } = limited.stage else {
            return Some(paced);
        };
        let excess = self.recent.len().checked_sub(limit.window_limit());
        let Some(oldest) = excess.and_then(|excess| self.recent.get(excess)) else {
            return Some(paced);
        };
        // The window no longer counts at the end of the cold time.
        let is_free_at = (*oldest + WINDOW).min(until);
        Some(paced.max(is_free_at.saturating_duration_since(now)))
    }

    /// Records how a request ended. `full_rate` is the rate, in requests a second, that
    /// keeps all slots busy; the slow start ends there.
    pub fn record_answer(
        &mut self,
        answer: Answer,
        full_rate: f64,
        now: Instant,
    ) -> Option<Change> {
        let limit = self.limit?;
        if self.was_warm(now) {
            self.signs.record(answer);
        }
        let limited = self.limited.as_mut()?;
        if let Stage::Cold { until, .. } = limited.stage
            && until <= now
        {
            limited.stage = Stage::Growing { since: until };
            self.good = 0.0;
        }
        let latency = match answer {
            Answer::Answered(latency) => latency,
            Answer::Failed => return None,
            Answer::Refused | Answer::Lost => {
                self.back_off(limit, now);
                return None;
            }
        };
        let is_growing = matches!(limited.stage, Stage::Growing { .. });
        let rate = limited.pacer.rate();
        // A cold upstream is expected to be slow.
        self.good += match is_growing && latency > GOOD_LATENCY {
            true => SLOW_ANSWER,
            false => 1.0,
        };
        if self.good < (rate * ROUND.as_secs_f64()).max(MIN_ROUND) {
            return None;
        }
        self.good = 0.0;
        let grown = rate * GROWTH;
        if is_growing && grown >= full_rate {
            self.limited = None;
            return Some(Change::Ended);
        }
        limited.pacer.set_rate(match is_growing {
            true => grown,
            false => grown.min(limit.rate),
        });
        None
    }

    fn back_off(&mut self, limit: ColdLimit, now: Instant) {
        let is_recent = self
            .backed_off_at
            .is_some_and(|at| now < at + BACK_OFF_INTERVAL);
        let Some(limited) = self.limited.as_mut().filter(|_| !is_recent) else {
            return;
        };
        self.good = 0.0;
        self.backed_off_at = Some(now);
        let rate = limited.pacer.rate() * BACK_OFF;
        limited
            .pacer
            .set_rate(rate.max(limit.rate * MIN_RATE_SHARE));
    }

    /// Records that a request was abandoned at its deadline without an answer.
    pub fn record_abandoned(&mut self, now: Instant) {
        if self.is_enabled() && self.was_warm(now) {
            self.signs.record(Answer::Failed);
        }
    }

    /// Returns whether the upstream is to be asked now whether it has turned cold, and
    /// records that it is.
    pub fn take_check(&mut self, now: Instant) -> bool {
        let Some(limit) = self.limit.filter(|_| self.was_warm(now)) else {
            return false;
        };
        let signs = &mut self.signs;
        let is_suspect = signs.has_failed || signs.latency >= SUSPECT_LATENCY;
        let is_recent = signs.checked_at.is_some_and(|at| now < at + CHECK_INTERVAL);
        let unchecked = limit.max_per_second * USED_SHARE * UNCHECKED_SHARE;
        if !is_suspect || is_recent || signs.unchecked < unchecked {
            return false;
        }
        signs.checked_at = Some(now);
        true
    }
}

impl WarmSigns {
    fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Answered(latency) => {
                self.latency += (latency.clamp(0.0, MAX_SAMPLE) - self.latency) * SAMPLE_WEIGHT;
            }
            Answer::Refused => {}
            Answer::Failed | Answer::Lost => self.has_failed = true,
        }
    }
}
