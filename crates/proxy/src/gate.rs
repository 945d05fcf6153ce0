//! Admission control in front of the local upstream.
//!
//! All requests to the upstream pass its gate, which limits their number, queues
//! or refuses the excess, and checks that each response belongs to its request.
//! A request fails as `not-run` only if the upstream certainly did not run it.

mod crashes;
pub mod evacuation;
mod exchange;
mod latencies;
mod load;
mod permit;
mod slow_start;

pub use evacuation::Evacuation;
pub use load::GateLoad;
pub use permit::Permit;

use crate::forward::RequestMetadata;
use crate::headers::HeaderNames;
use crate::local_upstream::{LocalUpstream, ObservedUpstream};
use crate::refusal::{Place, Refusal};
use crate::relay::RelayedResponse;
use crate::suspects::{self, Suspects};
use crate::upstream_notice::NoticeReport;
use bytes::Bytes;
use event_listener::Event;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Uri};
use ibiscove_http::body::BodyBudget;
use ibiscove_http::{Body, Pool};
use ibiscove_ranges::controller::{KeyStatus, RangeController};
use ibiscove_routing::admission::{AdmissionController, AdmissionDecision, AdmissionRequest};
use ibiscove_routing::crash_watch::{CrashWatch, SendId};
use ibiscove_routing::hang_detector::HangDetector;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, Key, Outcome, Reason, UpstreamIncarnation};
use latencies::{DEFAULT_LATENCY, Latencies};
use permit::{QueueGuard, Waiter};
use smol::future::FutureExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The label of this role in metrics.
const ROLE: &str = "gate";

/// Ownership of the keys of a divided service, in which each key has one owner.
pub trait KeyOwnership: Clone + Send + Sync + 'static {
    /// Returns whether the upstream serves a key now.
    fn key_status(&self, key: Key) -> KeyStatus;
    /// Records how long a request for a key ran at the upstream.
    fn record_work(&self, key: Key, elapsed: Duration);
    /// Records that the upstream serves nobody; its process may still run.
    fn record_upstream_gone(&self);
    /// Records that the upstream is leaving.
    fn record_upstream_leaving(&self, incarnation: &UpstreamIncarnation);
}

impl<T: Table, G: ibiscove_ranges::Grantee, C: Clock + BootClock> KeyOwnership
    for RangeController<T, G, C>
{
    fn key_status(&self, key: Key) -> KeyStatus {
        RangeController::key_status(self, key)
    }

    fn record_work(&self, key: Key, elapsed: Duration) {
        RangeController::record_work(self, key, elapsed);
    }

    fn record_upstream_gone(&self) {
        RangeController::record_upstream_gone(self);
    }

    fn record_upstream_leaving(&self, incarnation: &UpstreamIncarnation) {
        self.record_announcement(incarnation, true);
    }
}

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateSettings {
    /// Idle time up to which a connection is reused for a request that must not
    /// run twice. An upstream may close an idle connection at any time, and the
    /// outcome of a request that was just sent on it is then unknown.
    pub max_idle_non_idempotent: Duration,
    /// The same for requests that may run more than once.
    pub max_idle: Duration,
    /// Time after the deadline for which the upstream's response is awaited.
    pub response_slack: Duration,
    /// Weight of a new sample in the moving average of the latency of all
    /// requests. Smaller than that of one route, because routes differ.
    pub overall_ewma_weight: f64,
    /// Requests that a cold upstream may get within any second, as a multiple of the
    /// rate that the configuration names for it.
    pub cold_rate_factor: f64,
    /// Requests by which they may exceed that.
    pub cold_rate_slack: f64,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            max_idle_non_idempotent: Duration::from_millis(500),
            max_idle: Duration::from_secs(3),
            response_slack: Duration::from_millis(20),
            overall_ewma_weight: 0.03,
            cold_rate_factor: 1.0,
            cold_rate_slack: 0.0,
        }
    }
}

/// A request as it is sent to an upstream or to another node.
#[derive(Clone, Debug)]
pub struct OutboundRequest {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path_and_query: PathAndQuery,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl OutboundRequest {
    /// Builds the HTTP request with the given headers.
    pub fn to_http(&self, headers: HeaderMap) -> Request<Body> {
        let mut req = Request::new(Body::whole(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = Uri::from(self.path_and_query.clone());
        *req.headers_mut() = headers;
        req
    }
}

/// The gate of a node. Clones share it.
pub struct Gate<K, C> {
    inner: Arc<Inner<K, C>>,
}

impl<K, C> Clone for Gate<K, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

struct Inner<K, C> {
    settings: GateSettings,
    names: HeaderNames,
    clock: C,
    local_upstream: LocalUpstream,
    suspects: Suspects,
    pool: Pool,
    /// Memory for the responses that are read before they are relayed.
    response_budget: BodyBudget,
    /// Set once the configuration declares the upstream's service as divided.
    key_ownership: OnceLock<K>,
    admission: Mutex<AdmissionController<Waiter<K, C>>>,
    latencies: Mutex<Latencies>,
    hang_detector: Mutex<HangDetector>,
    crash_watch: Mutex<CrashWatch<Option<suspects::SentCopy>>>,
    slow_start: slow_start::SlowStartState,
    /// Notified when a queued request may have to wait for the upstream's limit.
    pacing_due: Event,
    /// Whether the gate refuses all new requests, because the node is about to
    /// exit.
    is_closed: AtomicBool,
    evacuation: Mutex<Evacuation>,
}

/// A request that was sent to the upstream. Dropping it before `is_done` is set
/// means that it was abandoned.
struct SentRequest<K, C> {
    gate: Arc<Inner<K, C>>,
    id: SendId,
    deadline: Instant,
    is_done: bool,
}

/// Entries abandon a request at its deadline by their own clocks, which differ
/// slightly from the gate's.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(30);

impl<K, C> Drop for SentRequest<K, C> {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let now = Instant::now();
        self.gate.record_loss(self.id, now);
        // A caller that disconnects earlier does not indicate a hung upstream.
        if now + MAX_CLOCK_DIFFERENCE >= self.deadline {
            Inner::record_attempt(&self.gate, false, now);
            self.gate.record_abandoned(now);
        }
    }
}

impl<K, C> Inner<K, C> {
    /// Records the end of a request. One whose outcome is unknown counts as
    /// without a response; after several of them admission is limited to probes.
    fn record_attempt(self: &Arc<Self>, is_outcome_known: bool, now: Instant) {
        let is_unresponsive = {
            let mut detector = self.hang_detector();
            match is_outcome_known {
                true => detector.record_response(now),
                false => detector.record_no_response(),
            }
            detector.is_unresponsive(now)
        };
        let mut admission = self.admission();
        let has_recovered = admission.is_probing() && !is_unresponsive;
        if admission.is_probing() != is_unresponsive {
            log::warn!(is_silent = is_unresponsive; "whether the upstream answers has changed");
        }
        let refused = admission.set_probing(is_unresponsive);
        drop(admission);
        if has_recovered {
            self.record_recovery(now);
        }
        Self::notify(self, refused);
    }

    /// Applies the limit that the upstream names to its admission.
    fn apply_rate_limit(self: &Arc<Self>, upstream: &ObservedUpstream, now: Instant) {
        let max_rate = upstream.rate_limit.map(|limit| limit.max_rate);
        let dequeued = self.admission().set_max_rate(max_rate, now);
        Self::notify(self, dequeued);
    }

    fn admission(&self) -> MutexGuard<'_, AdmissionController<Waiter<K, C>>> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn hang_detector(&self) -> MutexGuard<'_, HangDetector> {
        self.hang_detector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn evacuation(&self) -> MutexGuard<'_, Evacuation> {
        self.evacuation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn crash_watch(&self) -> MutexGuard<'_, CrashWatch<Option<suspects::SentCopy>>> {
        self.crash_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn latencies(&self) -> MutexGuard<'_, Latencies> {
        self.latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: KeyOwnership, C: Clock> Gate<K, C> {
    /// Creates a gate for the local upstream.
    pub fn new(
        settings: GateSettings,
        names: HeaderNames,
        clock: C,
        local_upstream: LocalUpstream,
        suspects: Suspects,
        pool: Pool,
        response_budget: BodyBudget,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                settings,
                names,
                clock,
                local_upstream,
                suspects,
                pool,
                response_budget,
                key_ownership: OnceLock::new(),
                admission: Mutex::new(AdmissionController::new(1)),
                latencies: Mutex::default(),
                hang_detector: Mutex::default(),
                crash_watch: Mutex::default(),
                slow_start: slow_start::SlowStartState::default(),
                pacing_due: Event::new(),
                is_closed: AtomicBool::new(false),
                evacuation: Mutex::default(),
            }),
        }
    }

    /// Makes the gate check the ownership of keys, because the upstream's service
    /// is divided.
    pub fn set_key_ownership(&self, keys: K) {
        if self.inner.key_ownership.set(keys).is_err() {
            log::error!("gate: key ownership was set twice; the first one stays in use");
        }
    }

    /// Refuses all new requests: the node exits once the running ones have ended.
    pub fn close(&self) {
        self.inner.is_closed.store(true, Ordering::Release);
    }

    /// Sets what is known of the evacuation of this node's data centre. Queued
    /// requests are refused at their turn, and running ones end as usual.
    pub fn set_evacuation(&self, evacuation: Evacuation) {
        *self.inner.evacuation() = evacuation;
    }

    /// Starts queued requests as the limit of the upstream allows it, until the task
    /// is dropped. Requests that wait for a slot only are started by the one that
    /// frees it.
    pub async fn run_pacing(self) {
        let inner = &self.inner;
        loop {
            let due = inner.pacing_due.listen();
            self.check_if_due(inner.clock.now());
            let delay = inner.admission().pacing_delay(inner.clock.now());
            match delay {
                None => due.await,
                Some(delay) => {
                    inner.clock.sleep(delay).await;
                    let dequeued = inner.admission().dequeue(inner.clock.now());
                    Inner::notify(inner, dequeued);
                }
            }
        }
    }

    /// Returns the gate's load.
    pub fn load(&self) -> GateLoad {
        let announced = self
            .inner
            .local_upstream
            .current()
            .map_or(1, |upstream| upstream.announcement.concurrency);
        let (load, is_probing, capacity) = {
            let mut admission = self.inner.admission();
            admission.set_concurrency(announced as usize);
            (
                admission.load(),
                admission.is_probing(),
                admission.capacity(),
            )
        };
        let load = match is_probing {
            // An unresponsive upstream has no free capacity, however little is
            // sent to it.
            true => load.max(2 * announced as usize),
            false => load,
        };
        let average = self
            .inner
            .latencies()
            .overall_seconds
            .unwrap_or(DEFAULT_LATENCY.as_secs_f64());
        GateLoad {
            load: u32::try_from(load).unwrap_or(u32::MAX),
            service_time: Duration::from_secs_f64(average),
            concurrency: capacity.round().max(1.0) as u32,
        }
    }

    /// Returns what the upstream has said about itself, for other nodes.
    pub fn notice_report(&self) -> Option<NoticeReport> {
        let now = self.inner.clock.now();
        self.inner.local_upstream.notice_report(now)
    }

    /// Applies what the entry of a request knows of the upstream.
    fn adopt_report(&self, report: &NoticeReport) {
        let now = self.inner.clock.now();
        if self.inner.local_upstream.adopt_report(report, now)
            && let Some(keys) = self.inner.key_ownership.get()
        {
            keys.record_upstream_leaving(&report.upstream);
        }
    }

    /// Runs a request at the upstream.
    pub async fn run(
        &self,
        metadata: &RequestMetadata,
        outbound: &OutboundRequest,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        let result = self.try_run(metadata, outbound).await;
        let result = result.map_err(|refusal| refusal.at(Place::GateExchange));
        if let Err(refusal) = &result {
            refusal.count(ROLE);
            let key = metadata.key.map(|key| key.to_string()).unwrap_or_default();
            log::info!(
                request = &*metadata.request_id, route = &*metadata.route, key = &*key,
                entry = &*metadata.entry_node, reason = refusal.reason.as_str(),
                place = refusal.place_name(), outcome = refusal.outcome.as_str(), load = self.inner.admission().load(),
                left_ms = self.remaining(metadata).as_millis() as u64;
                "gate refused"
            );
        }
        result
    }

    async fn try_run(
        &self,
        metadata: &RequestMetadata,
        outbound: &OutboundRequest,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        if let Some(report) = &metadata.upstream_notice {
            self.adopt_report(report);
        }
        let not_admitted = |reason| Refusal::not_run(reason).at(Place::GateAdmission);
        let in_queue = |refusal: Refusal| refusal.at(Place::GateQueue);
        let upstream = self.check_admission(metadata).map_err(not_admitted)?;
        let _turn = self.take_turn(metadata).await.map_err(in_queue)?;
        let permit = self.acquire_permit(metadata, &upstream).await;
        let permit = permit.map_err(in_queue)?;
        // The state may have changed while the request was queued.
        let upstream = self.check_admission(metadata).map_err(not_admitted)?;
        let started = self.inner.clock.now();
        let remaining = self.remaining(metadata);
        if remaining.is_zero() {
            return Err(in_queue(Refusal::not_run(Reason::DeadlineExceeded)));
        }
        let req = outbound.to_http(self.upstream_headers(metadata, outbound, &upstream, remaining));
        let max_idle = match metadata.idempotent {
            true => self.inner.settings.max_idle,
            false => self.inner.settings.max_idle_non_idempotent,
        };
        let addr = self.inner.local_upstream.addr();
        let mut sent = self.begin_send(metadata, &upstream);
        metrics::counter!("ibiscove_upstream_requests_total").increment(1);
        let exchange = async {
            match self.inner.pool.send(addr, req, max_idle).await {
                Ok(exchange) => {
                    self.record_notice(metadata, &upstream, &exchange, started);
                    self.verify_response(metadata, exchange, permit).await
                }
                Err(err) => Err(self.send_refusal(metadata, &upstream, &err).await),
            }
        };
        let limit = remaining + self.inner.settings.response_slack;
        let timeout = async {
            self.inner.clock.sleep(limit).await;
            Err(Refusal::unknown(Reason::DeadlineExceeded))
        };
        let result = exchange.or(timeout).await;
        sent.is_done = true;
        let now = self.inner.clock.now();
        self.record_end(metadata, &upstream, sent.id, &result).await;
        let elapsed = now.saturating_duration_since(started);
        if let (Some(key), Some(keys)) = (metadata.key, self.inner.key_ownership.get()) {
            keys.record_work(key, elapsed);
        }
        self.record_pace(metadata, &result, elapsed, now);
        if result.is_ok() {
            self.inner.local_upstream.record_response(now);
            self.record_latency(metadata, elapsed);
        }
        let is_outcome_unknown =
            matches!(&result, Err(refusal) if refusal.outcome == Outcome::Unknown);
        self.inner.record_attempt(!is_outcome_unknown, now);
        result
    }

    /// Checks whether a request may be sent to the upstream now.
    fn check_admission(&self, metadata: &RequestMetadata) -> Result<ObservedUpstream, Reason> {
        if self.inner.is_closed.load(Ordering::Acquire) {
            return Err(Reason::Draining);
        }
        let upstream = self
            .inner
            .local_upstream
            .current()
            .ok_or(Reason::NoUpstream)?;
        if upstream.announcement.service != metadata.service {
            return Err(Reason::NotOwner);
        }
        let now = self.inner.clock.now();
        let keys = self.inner.key_ownership.get();
        if !self
            .inner
            .local_upstream
            .accepts_requests(&upstream, keys.is_some(), now)
        {
            return Err(Reason::Draining);
        }
        if let Some(reason) = self.inner.evacuation().refusal(keys.is_some(), now) {
            return Err(reason);
        }
        match (keys, metadata.key) {
            (None, _) => Ok(upstream),
            // The entry would have asked the caller for a key if it knew of the division.
            (Some(_), None) => Err(Reason::NodesDisagree),
            (Some(keys), Some(key)) => match keys.key_status(key) {
                KeyStatus::Serving => Ok(upstream),
                KeyStatus::Moving => Err(Reason::Moving),
                KeyStatus::NotOwner => Err(Reason::NotOwner),
            },
        }
    }

    /// Waits for a permit to run a request at the upstream.
    async fn acquire_permit(
        &self,
        metadata: &RequestMetadata,
        upstream: &ObservedUpstream,
    ) -> Result<Permit<K, C>, Refusal> {
        let now = self.inner.clock.now();
        self.inner.apply_rate_limit(upstream, now);
        self.inner.observe_announcement(upstream, now);
        let latency = self.latency_estimate(metadata);
        let estimate = latency.mean();
        let request = AdmissionRequest {
            priority: metadata.priority,
            target: metadata.target_deadline,
            deadline: metadata.deadline,
            estimate,
            upper_estimate: latency.upper_estimate(),
            may_miss_target: metadata.may_miss_target,
        };
        let (tx, rx) = smol::channel::bounded(1);
        let waiter = || Waiter { tx, estimate };
        let decision = {
            let mut admission = self.inner.admission();
            admission.set_concurrency(upstream.announcement.concurrency as usize);
            admission.offer(request, waiter, now)
        };
        let ticket = match decision {
            AdmissionDecision::Run => {
                return Ok(Permit {
                    gate: Arc::clone(&self.inner),
                    estimate,
                });
            }
            AdmissionDecision::Wait(ticket) => ticket,
            AdmissionDecision::Refuse { retry_after } => {
                return Err(Refusal::not_run(Reason::Overloaded).with_retry_after(retry_after));
            }
        };
        self.inner.pacing_due.notify(1);
        let queued = QueueGuard {
            gate: Arc::clone(&self.inner),
            ticket,
            rx,
        };
        let max_wait = metadata.deadline.saturating_duration_since(now);
        let max_wait = max_wait.saturating_sub(estimate / 2);
        let admitted = async { queued.rx.recv().await.unwrap_or(Err(Duration::ZERO)) };
        let too_late = async {
            self.inner.clock.sleep(max_wait).await;
            let now = self.inner.clock.now();
            Err(self.inner.admission().retry_after(now))
        };
        let admitted = admitted.or(too_late).await;
        let waited = self.inner.clock.now().saturating_duration_since(now);
        metrics::histogram!("ibiscove_queue_seconds").record(waited);
        admitted.map_err(|retry_after| {
            Refusal::not_run(Reason::Overloaded).with_retry_after(retry_after)
        })
    }

    fn remaining(&self, metadata: &RequestMetadata) -> Duration {
        metadata
            .deadline
            .saturating_duration_since(self.inner.clock.now())
    }
}
