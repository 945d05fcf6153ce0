//! Slow start of the local upstream: what its announcements, answers and health checks
//! say, passed to admission ([`ibiscove_routing::slow_start`]).

use super::{Gate, Inner, KeyOwnership, Permit};
use crate::forward::RequestMetadata;
use crate::headers;
use crate::local_upstream::ObservedUpstream;
use crate::refusal::Refusal;
use crate::relay::{RelayedResponse, read_response};
use crate::routes::ColdStart;
use hyper::{Method, Request, StatusCode, Uri};
use ibiscove_http::Body;
use ibiscove_routing::slow_start::{Answer, Change, ColdAnnouncement, ColdLimit, WarmLatencies};
use ibiscove_types::{Clock, Reason, UpstreamIncarnation};
use smol::future::FutureExt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which the answer to a health check is awaited.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a health check may say that an upstream stays cold; real ones
/// take seconds.
const MAX_COLD: Duration = Duration::from_secs(3_600);

/// What the gate knows of its upstream's slow start, besides its admission.
#[derive(Default)]
pub(super) struct SlowStartState {
    cold_start: Mutex<Option<ColdStart>>,
    warm_latencies: Mutex<WarmLatencies>,
}

impl SlowStartState {
    fn cold_start(&self) -> MutexGuard<'_, Option<ColdStart>> {
        self.cold_start
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn warm_latencies(&self) -> MutexGuard<'_, WarmLatencies> {
        self.warm_latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K, C> Inner<K, C> {
    /// Tells admission what an announcement says of the upstream's caches.
    pub(super) fn observe_announcement(&self, upstream: &ObservedUpstream, now: Instant) {
        let announcement = &upstream.announcement;
        let mut admission = self.admission();
        if !admission.slow_start().is_enabled() {
            return;
        }
        let change = admission.slow_start().record_announcement(
            ColdAnnouncement {
                incarnation: &announcement.incarnation,
                sequence: announcement.sequence,
                cold_left: announcement.warm_up_remaining,
                received_at: upstream.received_at,
            },
            now,
        );
        let rate = admission.slow_start().rate();
        drop(admission);
        report(change, rate);
    }

    /// Records that the upstream answers again after it was unresponsive.
    pub(super) fn record_recovery(&self, now: Instant) {
        let mut admission = self.admission();
        let change = admission.slow_start().record_recovery(now);
        let rate = admission.slow_start().rate();
        drop(admission);
        report(change, rate);
    }

    /// Records how a request ended.
    fn record_answer(self: &Arc<Self>, answer: Answer, now: Instant) {
        let mut admission = self.admission();
        if !admission.slow_start().is_enabled() {
            return;
        }
        let full_rate = admission.full_rate();
        let change = admission.slow_start().record_answer(answer, full_rate, now);
        let rate = admission.slow_start().rate();
        let dequeued = admission.dequeue(now);
        drop(admission);
        report(change, rate);
        Self::notify(self, dequeued);
        self.pacing_due.notify(1);
    }

    /// Records that a request was abandoned at its deadline.
    pub(super) fn record_abandoned(&self, now: Instant) {
        self.admission().slow_start().record_abandoned(now);
        self.pacing_due.notify(1);
    }
}

impl<K: KeyOwnership, C: Clock> Gate<K, C> {
    /// Sets what the configuration says about cold upstreams of the local upstream's
    /// service; none if it limits nothing.
    pub fn set_cold_start(&self, cold_start: Option<ColdStart>) {
        let settings = &self.inner.settings;
        let limit = cold_start.as_ref().map(|cold_start| ColdLimit {
            rate: cold_start.max_rate,
            max_per_second: cold_start.max_rate * settings.cold_rate_factor
                + settings.cold_rate_slack,
        });
        *self.inner.slow_start.cold_start() = cold_start;
        let now = self.inner.clock.now();
        let dequeued = {
            let mut admission = self.inner.admission();
            admission.slow_start().set_limit(limit);
            admission.dequeue(now)
        };
        Inner::notify(&self.inner, dequeued);
        self.observe_upstream();
    }

    /// Applies what the upstream's newest announcement says of its caches.
    pub fn observe_upstream(&self) {
        if let Some(upstream) = self.inner.local_upstream.current() {
            let now = self.inner.clock.now();
            self.inner.observe_announcement(&upstream, now);
        }
    }

    /// Records how a request ended, by which the slow start finds its pace.
    pub(super) fn record_pace(
        &self,
        metadata: &RequestMetadata,
        result: &Result<RelayedResponse<Permit<K, C>>, Refusal>,
        elapsed: Duration,
        now: Instant,
    ) {
        let was_warm = {
            let mut admission = self.inner.admission();
            if !admission.slow_start().is_enabled() {
                return;
            }
            let started = now.checked_sub(elapsed).unwrap_or(now);
            admission.slow_start().was_warm(started)
        };
        let answer = match result {
            Ok(response) if response.status().is_server_error() => Answer::Failed,
            Ok(_) => {
                let initial = self.latency_estimate(metadata);
                let mut latencies = self.inner.slow_start.warm_latencies();
                let latency = latencies.record(&metadata.route, initial, elapsed, was_warm);
                Answer::Answered(latency)
            }
            Err(refusal) => match refusal.reason {
                // Recorded when it is read: not all mean that there is no room.
                Reason::UpstreamRefused => return,
                Reason::DeadlineExceeded => Answer::Failed,
                _ => Answer::Lost,
            },
        };
        self.inner.record_answer(answer, now);
        self.check_if_due(now);
    }

    /// Records that the upstream refused a request. One that is not meant for it says
    /// nothing about its pace.
    pub(super) fn record_upstream_refusal(&self, status: StatusCode) {
        if status != StatusCode::MISDIRECTED_REQUEST {
            let now = self.inner.clock.now();
            self.inner.record_answer(Answer::Refused, now);
        }
    }

    /// Asks the upstream whether it has turned cold if its answers call for it.
    pub(super) fn check_if_due(&self, now: Instant) {
        if !self.inner.admission().slow_start().take_check(now) {
            return;
        }
        let current = self.inner.local_upstream.current();
        if let Some(upstream) = current.filter(|upstream| upstream.draining_since.is_none()) {
            let gate = self.clone();
            let incarnation = upstream.announcement.incarnation;
            smol::spawn(async move { gate.check_health(incarnation).await }).detach();
        }
    }

    /// Asks the upstream for how long it stays cold.
    async fn check_health(self, incarnation: UpstreamIncarnation) {
        let inner = &self.inner;
        let Some(cold_start) = inner.slow_start.cold_start().clone() else {
            return;
        };
        let Some(path) = cold_start.health_path else {
            return;
        };
        metrics::counter!("ibiscove_upstream_health_checks_total").increment(1);
        let mut req = Request::new(Body::whole(""));
        *req.method_mut() = Method::GET;
        *req.uri_mut() = Uri::from(path);
        let expected = headers::value(&incarnation.id);
        req.headers_mut()
            .insert(inner.names.expected_upstream.clone(), expected);
        let answer = async {
            let addr = inner.local_upstream.addr();
            let sent = inner.pool.send(addr, req, inner.settings.max_idle).await;
            let exchange = sent.ok()?;
            let from = exchange.response.headers();
            let id = headers::text(from, &inner.names.upstream_id);
            let cold = headers::text(from, &inner.names.cold_ms).map(parse_cold);
            let is_own = exchange.response.status().is_success() && id == Some(&*incarnation.id);
            let deadline = inner.clock.now() + CHECK_TIMEOUT;
            drop(read_response::<()>(exchange, None, &inner.response_budget, deadline).await);
            cold.filter(|_| is_own)
        };
        let timeout = async {
            inner.clock.sleep(CHECK_TIMEOUT).await;
            None
        };
        match answer.or(timeout).await {
            Some(Some(cold)) => {
                let longest = cold_start.max_duration.unwrap_or(MAX_COLD);
                self.record_health(&incarnation, cold.min(longest));
            }
            Some(None) => {
                metrics::counter!("ibiscove_upstream_health_malformed_total").increment(1);
                log::warn!(upstream = &*incarnation.id;
                    "a health answer names a time that is not a number of milliseconds; \
                     it says nothing");
            }
            None => {}
        }
    }

    fn record_health(&self, incarnation: &UpstreamIncarnation, cold: Duration) {
        let now = self.inner.clock.now();
        let mut admission = self.inner.admission();
        if !admission.slow_start().is_announced(incarnation) {
            return;
        }
        let change = admission.slow_start().record_cold_until(now + cold, now);
        let rate = admission.slow_start().rate();
        drop(admission);
        report(change, rate);
        self.inner.pacing_due.notify(1);
    }
}

/// Parses the milliseconds for which an upstream stays cold; none if they are not a
/// number of at least 0.
fn parse_cold(text: &str) -> Option<Duration> {
    let ms: f64 = text.trim().parse().ok()?;
    let cold = Duration::try_from_secs_f64(ms / 1e3).ok()?;
    Some(cold).filter(|cold| *cold <= MAX_COLD)
}

fn report(change: Option<Change>, rate: Option<f64>) {
    metrics::gauge!("ibiscove_upstream_slow_start_rate").set(rate.unwrap_or(f64::INFINITY));
    match change {
        Some(Change::Begun) => {
            metrics::counter!("ibiscove_upstream_slow_starts_total").increment(1);
            log::info!(rate = rate.unwrap_or_default(); "slow start of the upstream begins");
        }
        Some(Change::Ended) => log::info!("slow start of the upstream has ended"),
        None => {}
    }
}
