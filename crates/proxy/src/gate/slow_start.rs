//! Slow start of the local upstream: what its announcements, answers and health checks
//! say, passed to admission ([`ibiscove_routing::slow_start`]).

use super::{Gate, Inner, KeyOwnership, Permit};
use crate::forward::RequestMetadata;
use crate::headers;
use crate::local_upstream::ObservedUpstream;
use crate::refusal::Refusal;
use crate::relay::{RelayedResponse, read_response};
use crate::routes::ColdStart;
use hyper::{Method, Request, Uri};
use ibiscove_http::Body;
use ibiscove_routing::slow_start::{Answer, Change, ColdLimit};
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
pub(super) struct SlowStartState(Mutex<Known>);

#[derive(Default)]
struct Known {
    cold_start: Option<ColdStart>,
    /// The announcement that admission was last told of.
    announced: Option<(UpstreamIncarnation, u64)>,
}

impl SlowStartState {
    fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K, C> Inner<K, C> {
    /// Tells admission what a new announcement says of the upstream's caches.
    pub(super) fn observe_announcement(&self, upstream: &ObservedUpstream, now: Instant) {
        let announcement = &upstream.announcement;
        let is_successor = {
            let mut known = self.slow_start.lock();
            let announced = known.announced.as_ref();
            let is_known = announced.is_some_and(|(incarnation, sequence)| {
                *incarnation == announcement.incarnation && *sequence == announcement.sequence
            });
            if is_known || known.cold_start.is_none() {
                return;
            }
            let is_successor =
                announced.is_some_and(|(incarnation, _)| *incarnation != announcement.incarnation);
            known.announced = Some((announcement.incarnation.clone(), announcement.sequence));
            is_successor
        };
        let until = upstream.received_at + announcement.warm_up_remaining;
        let mut admission = self.admission();
        if is_successor {
            admission.slow_start().record_successor();
        }
        let change = admission.slow_start().record_cold_until(until, now);
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

    /// Records how a request ended. Returns whether the upstream is to be asked for
    /// its state.
    fn record_answer(self: &Arc<Self>, answer: Answer, now: Instant) -> bool {
        let mut admission = self.admission();
        if !admission.slow_start().is_enabled() {
            return false;
        }
        let full_rate = admission.full_rate();
        let change = admission.slow_start().record_answer(answer, full_rate, now);
        let is_check_due = admission.slow_start().take_check(now);
        let rate = admission.slow_start().rate();
        let dequeued = admission.dequeue(now);
        drop(admission);
        report(change, rate);
        Self::notify(self, dequeued);
        self.pacing_due.notify(1);
        is_check_due
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
        {
            let mut known = self.inner.slow_start.lock();
            known.cold_start = cold_start;
            known.announced = None;
        }
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
        upstream: &ObservedUpstream,
        result: &Result<RelayedResponse<Permit<K, C>>, Refusal>,
        elapsed: Duration,
        now: Instant,
    ) {
        let answer = match result {
            Ok(response) if response.status().is_server_error() => Answer::Failed,
            Ok(_) => {
                let usual = self.latency_estimate(metadata).mean();
                let usual = usual.max(Duration::from_millis(1));
                Answer::Answered(elapsed.div_duration_f64(usual))
            }
            Err(refusal) => match refusal.reason {
                Reason::UpstreamRefused => Answer::Refused,
                Reason::DeadlineExceeded => Answer::Failed,
                _ => Answer::Lost,
            },
        };
        if self.inner.record_answer(answer, now) {
            let gate = self.clone();
            let incarnation = upstream.announcement.incarnation.clone();
            smol::spawn(async move { gate.check_health(incarnation).await }).detach();
        }
    }

    /// Asks the upstream for how long it stays cold.
    async fn check_health(self, incarnation: UpstreamIncarnation) {
        let inner = &self.inner;
        let path = inner.slow_start.lock().cold_start.clone();
        let Some(path) = path.and_then(|cold_start| cold_start.health_path) else {
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
            drop(read_response::<()>(exchange, None, &inner.response_budget).await);
            cold.filter(|_| is_own)
        };
        let timeout = async {
            inner.clock.sleep(CHECK_TIMEOUT).await;
            None
        };
        match answer.or(timeout).await {
            Some(Some(cold)) => self.record_health(&incarnation, cold),
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
        let current = self.inner.local_upstream.current();
        if current.is_none_or(|current| current.announcement.incarnation != *incarnation) {
            return;
        }
        let now = self.inner.clock.now();
        let mut admission = self.inner.admission();
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
