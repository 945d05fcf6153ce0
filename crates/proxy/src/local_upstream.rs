//! Failure detector of the local upstream.
//!
//! The upstream that this node serves announces itself periodically. An
//! announcement is applied only if it is newer than all that were seen: by its
//! incarnation first, by its sequence within an incarnation. Incarnations are in the
//! order of their starts, except where the time of day has jumped between them
//! ([`Contender`]). The upstream counts as gone when its address refuses connections, or
//! when neither announcements nor responses of it arrive; that it serves nobody does not
//! mean that its process has ended. Once it has said that it leaves, no announcement brings
//! it back into use ([`crate::withdrawals`]).

use crate::upstream_notice::{MaxRateNotice, NoticeReport, UpstreamNotice, millis};
use crate::withdrawals::{Withdrawal, Withdrawals};
use event_listener::Event;
use ibiscove_types::{ServiceName, UpstreamIncarnation};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A periodic status report of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The upstream's id and start time.
    pub incarnation: UpstreamIncarnation,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Requests that it processes at a time.
    pub concurrency: u32,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Time for which it remains slow after its start.
    pub warm_up_remaining: Duration,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
}

/// Timeouts of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct LocalUpstreamSettings {
    /// Time without an announcement after which an upstream that also responds
    /// to no requests counts as gone: a little over two announcement intervals.
    pub announcement_timeout: Duration,
    /// Time after a response for which missing announcements are tolerated.
    pub response_window: Duration,
    /// Time for which a draining upstream still accepts new requests for keys
    /// that it has not handed over.
    pub drain_admission_period: Duration,
    /// Time for which an incarnation with an earlier start announces itself, while the
    /// one in use does not, before it takes that one's place: beyond two announcement
    /// intervals.
    pub contest_period: Duration,
}

impl Default for LocalUpstreamSettings {
    fn default() -> Self {
        Self {
            announcement_timeout: Duration::from_millis(2_200),
            response_window: Duration::from_millis(1_000),
            drain_admission_period: Duration::from_millis(1_000),
            contest_period: Duration::from_millis(2_000),
        }
    }
}

/// The last observed state of an upstream.
#[derive(Clone, Debug)]
pub struct ObservedUpstream {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When that announcement was received.
    pub received_at: Instant,
    /// Since when it has been draining.
    pub draining_since: Option<Instant>,
    /// The limit that its answers name.
    pub rate_limit: Option<RateLimit>,
    /// Whether this node has received an answer of it, which shows whether it names
    /// a limit.
    pub has_answered: bool,
}

/// A limit that an upstream names in its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub max_rate: f64,
    /// When an answer named it last.
    pub named_at: Instant,
}

/// How an announcement changed the observed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// It is not newer than the observed state and was ignored.
    Stale,
    /// It was ignored, and its upstream may yet turn out to be the newer one. Nothing
    /// that it says is in force.
    Contested,
    /// It changed nothing that other nodes act on.
    Unchanged,
    /// The upstream is new, or started draining.
    Changed,
}

/// The local upstream of this node. Clones share its state.
#[derive(Clone)]
pub struct LocalUpstream {
    inner: Arc<Inner>,
}

struct Inner {
    settings: LocalUpstreamSettings,
    addr: SocketAddr,
    state: Mutex<State>,
    /// Upstreams that have said that they leave. They stay so even if they were taken
    /// for ended and announce themselves again.
    withdrawals: Withdrawals,
    changed: Arc<Event>,
}

#[derive(Default)]
struct State {
    current: Option<ObservedUpstream>,
    /// The newest incarnation that ended, and its last sequence. Announcements
    /// up to these are late and ignored.
    ended: Option<(UpstreamIncarnation, u64)>,
    /// The incarnation that was in use before the last one, and that started earlier.
    predecessor: Option<UpstreamIncarnation>,
    /// The incarnation whose place the last one took as a [`Contender`].
    displaced: Option<UpstreamIncarnation>,
    contender: Option<Contender>,
    last_response: Option<Instant>,
    /// Whether withdrawals that an earlier process has acknowledged are yet to be read.
    awaits_withdrawals: bool,
}

/// An incarnation that may be newer than the one in use, or than the last one, although
/// its start is earlier: the time of day may jump backwards between two starts. Late
/// announcements of an incarnation that has ended look the same, but they end, and the newer
/// one is heard beside them.
#[derive(Debug)]
struct Contender {
    incarnation: UpstreamIncarnation,
    first_heard: Instant,
    sequence: u64,
}

impl State {
    /// Returns the incarnation in use, or the last one.
    fn newest(&self) -> Option<&UpstreamIncarnation> {
        let current = self.current.as_ref();
        let ended = self.ended.as_ref().map(|(incarnation, _)| incarnation);
        current
            .map(|current| &current.announcement.incarnation)
            .or(ended)
    }

    /// Returns how an announcement relates to what is known.
    fn compare(
        &mut self,
        new: &Announcement,
        settings: &LocalUpstreamSettings,
        now: Instant,
    ) -> AnnouncementEffect {
        let Some(newest) = self.newest() else {
            return AnnouncementEffect::Changed;
        };
        if new.incarnation == *newest {
            let effect = match (&self.current, &self.ended) {
                (Some(current), _) => compare_in_incarnation(&current.announcement, new),
                (None, Some((_, sequence))) if new.sequence <= *sequence => {
                    AnnouncementEffect::Stale
                }
                (None, _) => AnnouncementEffect::Changed,
            };
            if effect != AnnouncementEffect::Stale {
                self.contender = None;
            }
            return effect;
        }
        if self.predecessor.as_ref() == Some(&new.incarnation) {
            return AnnouncementEffect::Stale;
        }
        let is_displaced = self.displaced.as_ref() == Some(&new.incarnation);
        if new.incarnation.born_ms > newest.born_ms && !is_displaced {
            return AnnouncementEffect::Changed;
        }
        self.contest(new, settings, now)
    }

    /// Records an announcement of an incarnation that may be newer than the newest known.
    fn contest(
        &mut self,
        new: &Announcement,
        settings: &LocalUpstreamSettings,
        now: Instant,
    ) -> AnnouncementEffect {
        match &mut self.contender {
            Some(contender) if contender.incarnation == new.incarnation => {
                if new.sequence <= contender.sequence {
                    return AnnouncementEffect::Stale;
                }
                contender.sequence = new.sequence;
                let heard_for = now.saturating_duration_since(contender.first_heard);
                match heard_for < settings.contest_period {
                    true => AnnouncementEffect::Contested,
                    false => AnnouncementEffect::Changed,
                }
            }
            contender => {
                log::info!(
                    upstream = &*new.incarnation.id, born_ms = new.incarnation.born_ms,
                    sequence = new.sequence;
                    "an upstream with an earlier start announces itself"
                );
                *contender = Some(Contender {
                    incarnation: new.incarnation.clone(),
                    first_heard: now,
                    sequence: new.sequence,
                });
                AnnouncementEffect::Contested
            }
        }
    }

    /// Makes an incarnation the newest known.
    fn succeed(&mut self, next: &UpstreamIncarnation) {
        let Some(last) = self.newest().filter(|last| *last != next).cloned() else {
            return;
        };
        self.contender = None;
        match next.born_ms > last.born_ms {
            true => {
                self.predecessor = Some(last);
                self.displaced = None;
            }
            false => {
                self.predecessor = None;
                self.displaced = Some(last);
            }
        }
    }

    /// Marks an incarnation as draining. Returns whether it is the current one.
    fn mark_draining(&mut self, incarnation: &UpstreamIncarnation, since: Instant) -> bool {
        let Some(current) = self
            .current
            .as_mut()
            .filter(|current| current.announcement.incarnation == *incarnation)
        else {
            return false;
        };
        current.draining_since.get_or_insert(since);
        true
    }
}

impl Inner {
    /// Records that an incarnation leaves. Returns whether that is new and it is the
    /// current one.
    fn mark_leaving(
        &self,
        state: &mut State,
        incarnation: &UpstreamIncarnation,
        since: Instant,
    ) -> bool {
        let is_new = self.withdrawals.record(Withdrawal {
            id: Arc::clone(&incarnation.id),
            born_until_ms: incarnation.born_ms,
            since,
        });
        state.mark_draining(incarnation, since) && is_new
    }
}

impl LocalUpstream {
    /// Creates the state before any announcement. The upstream accepts requests
    /// at `addr`; `changed` is notified of changes that other nodes act on.
    pub fn new(settings: LocalUpstreamSettings, addr: SocketAddr, changed: Arc<Event>) -> Self {
        Self {
            inner: Arc::new(Inner {
                settings,
                addr,
                state: Mutex::default(),
                withdrawals: Withdrawals::default(),
                changed,
            }),
        }
    }

    /// Keeps upstreams out of use until [`LocalUpstream::adopt_withdrawals`]: one that
    /// announces itself before may have withdrawn at an earlier process of this node, and
    /// a late announcement of it looks like any other.
    pub fn await_withdrawals(&self) {
        self.lock().awaits_withdrawals = true;
    }

    /// Returns the address at which the upstream accepts requests.
    pub fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Returns the upstream's state; none when no upstream is known to run, or none may
    /// be used yet.
    pub fn current(&self) -> Option<ObservedUpstream> {
        let state = self.lock();
        let usable = state.current.as_ref().filter(|_| !state.awaits_withdrawals);
        usable.cloned()
    }

    /// Applies an announcement if it is newer than the observed state.
    pub fn apply_announcement(
        &self,
        announcement: Announcement,
        now: Instant,
    ) -> AnnouncementEffect {
        let mut state = self.lock();
        let effect = state.compare(&announcement, &self.inner.settings, now);
        if let AnnouncementEffect::Stale | AnnouncementEffect::Contested = effect {
            return effect;
        }
        state.succeed(&announcement.incarnation);
        if announcement.draining {
            self.inner
                .mark_leaving(&mut state, &announcement.incarnation, now);
        }
        let draining_since = self.inner.withdrawals.since(&announcement.incarnation);
        if effect == AnnouncementEffect::Changed {
            log::info!(
                upstream = &*announcement.incarnation.id,
                born_ms = announcement.incarnation.born_ms,
                service = &*announcement.service, draining = draining_since.is_some(),
                sequence = announcement.sequence;
                "upstream announced itself"
            );
        }
        let (rate_limit, has_answered) = match &state.current {
            Some(current) if current.announcement.incarnation == announcement.incarnation => {
                (current.rate_limit, current.has_answered)
            }
            _ => (None, false),
        };
        state.current = Some(ObservedUpstream {
            announcement,
            received_at: now,
            draining_since,
            rate_limit,
            has_answered,
        });
        drop(state);
        if effect == AnnouncementEffect::Changed {
            self.inner.changed.notify(usize::MAX);
        }
        effect
    }

    /// Withdraws an upstream from service because it reported that it leaves, even if
    /// none of its announcements said that it drains. An upstream that this node does
    /// not know is withdrawn too, with all its lives that began before the wall-clock
    /// time `wall`: the node may have started after its last announcement.
    pub fn withdraw(&self, id: &str, now: Instant, wall: SystemTime) {
        let mut state = self.lock();
        let current = state
            .current
            .as_ref()
            .map(|current| &current.announcement.incarnation);
        let ended = state.ended.as_ref().map(|(incarnation, _)| incarnation);
        let known = current.or(ended).filter(|known| *known.id == *id).cloned();
        if let Some(incarnation) = known {
            if self.inner.mark_leaving(&mut state, &incarnation, now) {
                drop(state);
                log::info!(upstream = id; "upstream leaves");
                self.inner.changed.notify(usize::MAX);
            }
            return;
        }
        let since_epoch = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        self.inner.withdrawals.record(Withdrawal {
            id: id.into(),
            born_until_ms: millis(since_epoch).try_into().unwrap_or(i64::MAX),
            since: now,
        });
        log::info!(upstream = id; "an upstream leaves that has not announced itself");
    }

    /// Returns the withdrawals, which are to be stored.
    pub fn withdrawals(&self) -> &Withdrawals {
        &self.inner.withdrawals
    }

    /// Applies the withdrawals that an earlier process of this node has stored.
    pub fn adopt_withdrawals(&self, stored: Vec<Withdrawal>) {
        self.inner.withdrawals.merge_stored(stored);
        let mut state = self.lock();
        let was_held_back = std::mem::take(&mut state.awaits_withdrawals);
        let Some(current) = state.current.as_mut() else {
            return;
        };
        let since = self
            .inner
            .withdrawals
            .since(&current.announcement.incarnation);
        let begins_draining = current.draining_since.is_none() && since.is_some();
        if begins_draining {
            current.draining_since = since;
            log::info!(upstream = &*current.announcement.incarnation.id;
                "the upstream had left before this process started");
        }
        drop(state);
        if begins_draining || was_held_back {
            self.inner.changed.notify(usize::MAX);
        }
    }

    /// Applies the notice in an answer of an upstream to a request that was sent at
    /// `sent_at`. An answer lifts a limit only if its request was sent after the
    /// limit had last been named, since answers overtake one another. Returns whether
    /// the upstream begins to drain by this.
    pub fn record_notice(
        &self,
        incarnation: &UpstreamIncarnation,
        notice: UpstreamNotice,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let mut state = self.lock();
        let begins_draining =
            notice.is_leaving && self.inner.mark_leaving(&mut state, incarnation, now);
        let Some(current) = state
            .current
            .as_mut()
            .filter(|current| current.announcement.incarnation == *incarnation)
        else {
            return false;
        };
        current.has_answered = true;
        let earlier = current.rate_limit;
        match notice.max_rate {
            MaxRateNotice::Limited(max_rate) => {
                current.rate_limit = Some(RateLimit {
                    max_rate,
                    named_at: now,
                });
            }
            MaxRateNotice::Unlimited => {
                current.rate_limit = earlier.filter(|limit| sent_at <= limit.named_at);
            }
            MaxRateNotice::Malformed => {
                metrics::counter!("ibiscove_upstream_limits_malformed_total").increment(1);
                log::warn!(upstream = &*incarnation.id;
                    "an answer names a limit that is not a decimal number of at least 0; \
                     the limit stays as it was");
            }
        }
        let max_rate = current.rate_limit.map(|limit| limit.max_rate);
        drop(state);
        if max_rate != earlier.map(|limit| limit.max_rate) {
            metrics::gauge!("ibiscove_upstream_limit").set(max_rate.unwrap_or(f64::INFINITY));
            let max_rate = max_rate.map_or("none".to_owned(), |rate| rate.to_string());
            log::info!(upstream = &*incarnation.id, max_rate = &*max_rate;
                "the limit of the upstream has changed");
        }
        if begins_draining {
            log::info!(upstream = &*incarnation.id; "upstream says in an answer that it leaves");
            self.inner.changed.notify(usize::MAX);
        }
        begins_draining
    }

    /// Applies what another node reports that the upstream said. A limit counts only
    /// until the upstream's own answers show it. Returns whether the upstream begins
    /// to drain by this.
    pub fn adopt_report(&self, report: &NoticeReport, now: Instant) -> bool {
        let mut state = self.lock();
        let begins_draining = report.leaving_ms.is_some_and(|ms| {
            let since = now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
            self.inner.mark_leaving(&mut state, &report.upstream, since)
        });
        let unanswered = state.current.as_mut().filter(|current| {
            current.announcement.incarnation == report.upstream && !current.has_answered
        });
        if let Some(current) = unanswered
            && let Some(max_rate) = report.max_rate
            && current.rate_limit.is_none()
        {
            current.rate_limit = Some(RateLimit {
                max_rate,
                named_at: now,
            });
            log::info!(upstream = &*report.upstream.id, max_rate;
                "the limit of the upstream is known from another node");
        }
        drop(state);
        if begins_draining {
            log::info!(upstream = &*report.upstream.id;
                "another node knows that the upstream leaves");
            self.inner.changed.notify(usize::MAX);
        }
        begins_draining
    }

    /// Returns what the current upstream has said about itself; none if it has
    /// neither a limit nor leaves.
    pub fn notice_report(&self, now: Instant) -> Option<NoticeReport> {
        let state = self.lock();
        let current = state.current.as_ref()?;
        let report = NoticeReport {
            upstream: current.announcement.incarnation.clone(),
            max_rate: current.rate_limit.map(|limit| limit.max_rate),
            leaving_ms: current
                .draining_since
                .map(|since| millis(now.saturating_duration_since(since))),
        };
        (report.max_rate.is_some() || report.leaving_ms.is_some()).then_some(report)
    }

    /// Records that the upstream responded to a request.
    pub fn record_response(&self, now: Instant) {
        self.lock().last_response = Some(now);
    }

    /// Records that the upstream's address refuses connections, so that it serves
    /// nobody. Returns whether `incarnation` was the current one.
    pub fn record_connection_refused(
        &self,
        incarnation: &UpstreamIncarnation,
        now: Instant,
    ) -> bool {
        self.end(incarnation, "its address refuses connections", now)
    }

    /// Drops the upstream when it has been unresponsive for too long. Returns
    /// whether it was dropped.
    pub fn expire_if_unresponsive(&self, now: Instant) -> bool {
        let incarnation = {
            let state = self.lock();
            let Some(current) = &state.current else {
                return false;
            };
            let age = |at: Instant| now.saturating_duration_since(at);
            let settings = &self.inner.settings;
            let is_responding = state
                .last_response
                .is_some_and(|at| age(at) < settings.response_window);
            if is_responding || age(current.received_at) < settings.announcement_timeout {
                return false;
            }
            current.announcement.incarnation.clone()
        };
        self.end(&incarnation, "it is unresponsive", now)
    }

    fn end(&self, incarnation: &UpstreamIncarnation, why: &str, now: Instant) -> bool {
        let mut state = self.lock();
        let Some(ended) = state
            .current
            .take_if(|current| current.announcement.incarnation == *incarnation)
        else {
            return false;
        };
        let sequence = ended.announcement.sequence;
        state.ended = Some((ended.announcement.incarnation, sequence));
        let last_response = state.last_response;
        drop(state);
        let age_ms = |at| millis(now.saturating_duration_since(at));
        log::warn!(
            upstream = &*incarnation.id, born_ms = incarnation.born_ms, why = why,
            sequence, heard_ms = age_ms(ended.received_at), answered_ms:? = last_response.map(age_ms),
            leaving_ms:? = ended.draining_since.map(age_ms);
            "upstream is gone"
        );
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Returns whether an incarnation of the upstream has said that it leaves.
    pub fn has_left(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.inner.withdrawals.since(incarnation).is_some()
    }

    /// Returns whether the upstream accepts new requests. While it drains, only
    /// that of a divided service does, for keys that it has not handed over and
    /// for a limited time.
    pub fn accepts_requests(
        &self,
        upstream: &ObservedUpstream,
        is_divided: bool,
        now: Instant,
    ) -> bool {
        match upstream.draining_since {
            None => true,
            Some(since) => {
                let draining_for = now.saturating_duration_since(since);
                is_divided && draining_for < self.inner.settings.drain_admission_period
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn compare_in_incarnation(current: &Announcement, new: &Announcement) -> AnnouncementEffect {
    // Draining is irreversible within an incarnation.
    match () {
        () if new.sequence <= current.sequence => AnnouncementEffect::Stale,
        () if current.draining && !new.draining => AnnouncementEffect::Stale,
        () if current.draining == new.draining => AnnouncementEffect::Unchanged,
        () => AnnouncementEffect::Changed,
    }
}
