//! The only way to the upstream beside this node.

use crate::forward::Work;
use crate::headers::{self, HeaderNames};
use crate::local_upstream::{LocalUpstream, ObservedUpstream};
use crate::refusal::Refusal;
use crate::relay::{Reply, read_answer};
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Request, Uri};
use ibiscove_http::{Body, Exchange, Pool, SendError};
use ibiscove_ranges::controller::{KeyStatus, RangeController};
use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued, Ticket,
};
use ibiscove_routing::hang_detector::HangDetector;
use ibiscove_routing::latency_estimate::LatencyEstimate;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, Key, Outcome, Reason};
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The label of this role in metrics.
const ROLE: &str = "gate";

/// The keys of a divided service, as a gate sees them.
pub trait KeyOwner: Clone + Send + Sync + 'static {
    /// Whether the upstream serves a key now.
    fn serving(&self, key: Key) -> KeyStatus;
    /// A request for a key kept the upstream busy.
    fn note_work(&self, key: Key, took: Duration);
    /// The upstream's process has ended.
    fn upstream_ended(&self);
}

impl<T: Table, G: ibiscove_ranges::Grantee, C: Clock + BootClock> KeyOwner
    for RangeController<T, G, C>
{
    fn serving(&self, key: Key) -> KeyStatus {
        RangeController::key_status(self, key)
    }

    fn note_work(&self, key: Key, took: Duration) {
        RangeController::record_work(self, key, took);
    }

    fn upstream_ended(&self) {
        self.record_upstream_gone(true);
    }
}

/// How a gate uses its upstream.
#[derive(Clone, Copy, Debug)]
pub struct GateSettings {
    /// How long a connection may have been idle and still carry a request that
    /// must not run twice. An upstream may drop an idle connection at any time,
    /// and what was just sent on it is then lost.
    pub max_idle_once: Duration,
    /// The same for requests that may run more than once.
    pub max_idle: Duration,
    /// Time past the deadline for which the upstream's own answer is awaited.
    pub answer_slack: Duration,
    /// Weight of a new time in the usual time of all requests; smaller than that
    /// of a route's, since routes differ.
    pub overall_weight: f64,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            max_idle_once: Duration::from_millis(500),
            max_idle: Duration::from_secs(3),
            answer_slack: Duration::from_millis(20),
            overall_weight: 0.03,
        }
    }
}

/// A caller's request, as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query, as the caller wrote them.
    pub target: PathAndQuery,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Call {
    /// The request with additional headers.
    pub fn request(&self, headers: HeaderMap) -> Request<Body> {
        let mut req = Request::new(Body::whole(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = Uri::from(self.target.clone());
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
    pool: Pool,
    /// Set once the configuration says that the upstream's service is divided.
    keys: OnceLock<K>,
    admission: Mutex<AdmissionController<Waiter<K, C>>>,
    times: Mutex<Times>,
    silence: Mutex<HangDetector>,
    /// The node is about to end and takes no new work.
    is_closed: AtomicBool,
}

/// Usual times at the upstream.
#[derive(Default)]
struct Times {
    by_route: HashMap<Arc<str>, LatencyEstimate>,
    /// Of all routes together, in seconds.
    all: Option<f64>,
}

/// Where a waiting request is told that it runs, or after what time there may
/// be room.
struct Waiter<K, C> {
    tx: Sender<Result<Permit<K, C>, Duration>>,
    estimate: Duration,
}

/// A slot of the upstream; dropping it gives the slot to the next request.
pub struct Permit<K, C> {
    gate: Arc<Inner<K, C>>,
    estimate: Duration,
}

impl<K, C> Drop for Permit<K, C> {
    fn drop(&mut self) {
        // Those that leave the queue are told without the lock: one that was
        // given up meanwhile drops its permit, which comes here again.
        let left = self.gate.admission().finish(self.estimate, Instant::now());
        Inner::tell(&self.gate, left);
    }
}

/// A request that was sent to the upstream. Dropping it before it is over says
/// that it was given up.
struct Sent<K, C> {
    gate: Arc<Inner<K, C>>,
    deadline: Instant,
    is_over: bool,
}

/// Entries give a request up at its deadline by their own clocks, which is a
/// moment before or after that of the gate.
const DEADLINE_SLACK: Duration = Duration::from_millis(30);

impl<K, C> Drop for Sent<K, C> {
    fn drop(&mut self) {
        // A caller that hangs up earlier says nothing of the upstream.
        let now = Instant::now();
        if !self.is_over && now + DEADLINE_SLACK >= self.deadline {
            Inner::record_response(&self.gate, false, now);
        }
    }
}

impl<K, C> Inner<K, C> {
    /// Notes whether the upstream still answers at all.
    fn record_response(self: &Arc<Self>, is_answered: bool, now: Instant) {
        let is_silent = {
            let mut silence = self.silence();
            match is_answered {
                true => silence.record_response(now),
                false => silence.record_no_response(),
            }
            silence.is_unresponsive(now)
        };
        let mut admission = self.admission();
        if admission.is_probing() != is_silent {
            log::warn!(is_silent; "whether the upstream answers has changed");
        }
        let refused = admission.set_probing(is_silent);
        drop(admission);
        Self::tell(self, refused);
    }

    /// Tells those that left the queue.
    fn tell(gate: &Arc<Self>, left: Vec<Dequeued<Waiter<K, C>>>) {
        for left in left {
            match left {
                Dequeued::Run(waiter) => {
                    let permit = Permit {
                        gate: Arc::clone(gate),
                        estimate: waiter.estimate,
                    };
                    drop(waiter.tx.try_send(Ok(permit)));
                }
                Dequeued::Refuse(waiter, retry_after) => {
                    drop(waiter.tx.try_send(Err(retry_after)));
                }
            }
        }
    }

    fn admission(&self) -> MutexGuard<'_, AdmissionController<Waiter<K, C>>> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn silence(&self) -> MutexGuard<'_, HangDetector> {
        self.silence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn times(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in the queue; dropping it leaves the queue.
struct InQueue<K, C> {
    gate: Arc<Inner<K, C>>,
    ticket: Ticket,
    rx: Receiver<Result<Permit<K, C>, Duration>>,
}

impl<K, C> Drop for InQueue<K, C> {
    fn drop(&mut self) {
        drop(self.gate.admission().cancel(&self.ticket));
    }
}

/// What a gate tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLoad {
    /// Requests that run or wait.
    pub load: u32,
    /// Usual time of a request at the upstream.
    pub service_time: Duration,
}

impl<K: KeyOwner, C: Clock> Gate<K, C> {
    /// A gate to the upstream that announces itself at `beside`.
    pub fn new(
        settings: GateSettings,
        names: HeaderNames,
        clock: C,
        local_upstream: LocalUpstream,
        pool: Pool,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                settings,
                names,
                clock,
                local_upstream,
                pool,
                keys: OnceLock::new(),
                admission: Mutex::new(AdmissionController::new(1)),
                times: Mutex::default(),
                silence: Mutex::default(),
                is_closed: AtomicBool::new(false),
            }),
        }
    }

    /// The upstream's service is divided, and `keys` knows what it owns.
    pub fn set_keys(&self, keys: K) {
        if self.inner.keys.set(keys).is_err() {
            log::error!("the keys of the upstream were set twice; the first stay");
        }
    }

    /// Takes no new work: the node ends as soon as what runs has ended.
    pub fn close(&self) {
        self.inner.is_closed.store(true, Ordering::Release);
    }

    /// What runs and waits, and the usual time.
    pub fn load(&self) -> GateLoad {
        let (load, is_probing) = {
            let admission = self.inner.admission();
            (admission.load(), admission.is_probing())
        };
        let load = match is_probing {
            // A silent upstream has no room, however little is sent to it.
            true => {
                let slots = self
                    .inner
                    .local_upstream
                    .current()
                    .map_or(1, |p| p.announcement.concurrency);
                load.max(2 * slots as usize)
            }
            false => load,
        };
        let all = self.inner.times().all.unwrap_or(DEFAULT_TIME.as_secs_f64());
        GateLoad {
            load: u32::try_from(load).unwrap_or(u32::MAX),
            service_time: Duration::from_secs_f64(all),
        }
    }

    /// Runs a request at the upstream.
    pub async fn run(&self, work: &Work, call: &Call) -> Result<Reply<Permit<K, C>>, Refusal> {
        let answered = self.try_run(work, call).await;
        if let Err(refusal) = &answered {
            refusal.count(ROLE);
            let key = work.key.map(|key| key.to_string()).unwrap_or_default();
            log::info!(
                request = &*work.request_id, route = &*work.route, key = &*key,
                entry = &*work.entry, reason = refusal.reason.as_str(),
                outcome = refusal.outcome.as_str(), load = self.inner.admission().load(),
                left_ms = self.left(work).as_millis() as u64;
                "gate refused"
            );
        }
        answered
    }

    async fn try_run(&self, work: &Work, call: &Call) -> Result<Reply<Permit<K, C>>, Refusal> {
        let present = self.admit(work).map_err(Refusal::not_run)?;
        let permit = self.permit(work, present.announcement.concurrency).await?;
        // The wait may have been long enough for the upstream to change.
        let present = self.admit(work).map_err(Refusal::not_run)?;
        let began = self.inner.clock.now();
        let left = self.left(work);
        if left.is_zero() {
            return Err(Refusal::not_run(Reason::DeadlineExceeded));
        }
        let req = call.request(self.headers(work, call, &present, left));
        let max_idle = match work.idempotent {
            true => self.inner.settings.max_idle,
            false => self.inner.settings.max_idle_once,
        };
        let addr = self.inner.local_upstream.addr();
        let exchange = async {
            match self.inner.pool.send(addr, req, max_idle).await {
                Ok(exchange) => self.judge(work, exchange, permit).await,
                Err(err) => Err(self.send_failed(work, &present, &err)),
            }
        };
        let limit = left + self.inner.settings.answer_slack;
        let timeout = async {
            self.inner.clock.sleep(limit).await;
            Err(Refusal::unknown(Reason::DeadlineExceeded))
        };
        let mut sent = Sent {
            gate: Arc::clone(&self.inner),
            deadline: work.deadline,
            is_over: false,
        };
        let answered = exchange.or(timeout).await;
        sent.is_over = true;
        let now = self.inner.clock.now();
        let took = now.saturating_duration_since(began);
        if let (Some(key), Some(keys)) = (work.key, self.inner.keys.get()) {
            keys.note_work(key, took);
        }
        if answered.is_ok() {
            self.inner.local_upstream.record_response(now);
            self.note_time(work, took);
        }
        let is_lost = matches!(&answered, Err(refusal) if refusal.outcome == Outcome::Unknown);
        self.inner.record_response(!is_lost, now);
        answered
    }

    /// Whether a request may be sent to the upstream now.
    fn admit(&self, work: &Work) -> Result<ObservedUpstream, Reason> {
        if self.inner.is_closed.load(Ordering::Acquire) {
            return Err(Reason::Draining);
        }
        let present = self
            .inner
            .local_upstream
            .current()
            .ok_or(Reason::NoUpstream)?;
        if present.announcement.service != work.service {
            return Err(Reason::NotOwner);
        }
        let now = self.inner.clock.now();
        let keys = self.inner.keys.get();
        if !self
            .inner
            .local_upstream
            .accepts_requests(&present, keys.is_some(), now)
        {
            return Err(Reason::Draining);
        }
        match (keys, work.key) {
            (None, _) => Ok(present),
            (Some(_), None) => Err(Reason::NoKey),
            (Some(keys), Some(key)) => match keys.serving(key) {
                KeyStatus::Serving => Ok(present),
                KeyStatus::Moving => Err(Reason::Moving),
                KeyStatus::NotOwner => Err(Reason::NotOwner),
            },
        }
    }

    /// Waits for a slot of the upstream.
    async fn permit(&self, work: &Work, slots: u32) -> Result<Permit<K, C>, Refusal> {
        let now = self.inner.clock.now();
        let usual = self.usual(work);
        let estimate = usual.mean();
        let ask = AdmissionRequest {
            priority: work.priority,
            target: work.target,
            deadline: work.deadline,
            estimate,
            upper_estimate: usual.upper_estimate(),
            may_be_late: work.may_be_late,
        };
        let (tx, rx) = smol::channel::bounded(1);
        let waiter = || Waiter { tx, estimate };
        let verdict = {
            let mut admission = self.inner.admission();
            admission.set_concurrency(slots as usize);
            admission.offer(ask, waiter, now)
        };
        let ticket = match verdict {
            AdmissionDecision::Run => {
                return Ok(Permit {
                    gate: Arc::clone(&self.inner),
                    estimate,
                });
            }
            AdmissionDecision::Wait(ticket) => ticket,
            AdmissionDecision::Refuse { retry_after } => {
                return Err(Refusal::not_run(Reason::Overloaded).after(retry_after));
            }
        };
        let queued = InQueue {
            gate: Arc::clone(&self.inner),
            ticket,
            rx,
        };
        let latest = (work.deadline - estimate / 2).saturating_duration_since(now);
        let turn = async { queued.rx.recv().await.unwrap_or(Err(Duration::ZERO)) };
        let too_late = async {
            self.inner.clock.sleep(latest).await;
            Err(self.inner.admission().drain_time())
        };
        let turn = turn.or(too_late).await;
        let waited = self.inner.clock.now().saturating_duration_since(now);
        metrics::histogram!("ibiscove_queue_seconds").record(waited);
        turn.map_err(|retry_after| Refusal::not_run(Reason::Overloaded).after(retry_after))
    }

    fn headers(
        &self,
        work: &Work,
        call: &Call,
        present: &ObservedUpstream,
        left: Duration,
    ) -> HeaderMap {
        let names = &self.inner.names;
        let mut to = call.headers.clone();
        headers::remove_between_nodes(&mut to);
        let left = left.as_millis().max(1).to_string();
        to.insert(names.deadline_ms.clone(), headers::value(&left));
        let id = &present.announcement.incarnation.id;
        to.insert(names.expected_upstream.clone(), headers::value(id));
        match &work.origin {
            Some(origin) => {
                to.insert(names.caller_service.clone(), headers::value(origin));
            }
            None => {
                to.remove(&names.caller_service);
            }
        }
        to
    }

    /// Tells the answer to this request from everything else that may come on
    /// its connection.
    async fn judge(
        &self,
        work: &Work,
        exchange: Exchange,
        permit: Permit<K, C>,
    ) -> Result<Reply<Permit<K, C>>, Refusal> {
        let names = &self.inner.names;
        let from = exchange.response.headers();
        if from.contains_key(&names.not_executed) || exchange.response.status() == 421 {
            let status = exchange.response.status().as_u16();
            log::info!(request = &*work.request_id, status; "upstream did not run the request");
            return Err(Refusal::not_run(Reason::UpstreamRefused));
        }
        let echoes = headers::text(from, &names.request_id) == Some(&*work.request_id);
        let is_success = exchange.response.status().is_success();
        let is_proven = names
            .proof
            .as_ref()
            .is_none_or(|proof| from.contains_key(proof));
        if !echoes || (is_success && !is_proven) {
            log::warn!(request = &*work.request_id, echoes, is_proven;
                "an answer of the upstream is not that of its request");
            return Err(Refusal::unknown(Reason::UpstreamLost));
        }
        let mut reply = read_answer(exchange, Some(permit)).await.map_err(|err| {
            log::info!(request = &*work.request_id; "the upstream's answer broke off: {err}");
            Refusal::unknown(Reason::UpstreamLost)
        })?;
        headers::remove_hop_by_hop(reply.headers_mut());
        Ok(reply)
    }

    fn send_failed(&self, work: &Work, present: &ObservedUpstream, err: &SendError) -> Refusal {
        log::info!(request = &*work.request_id, upstream = &*present.announcement.incarnation.id;
            "the upstream gave no answer: {err}");
        if let SendError::Connect { cause, .. } = err
            && cause.kind() == io::ErrorKind::ConnectionRefused
            && self
                .inner
                .local_upstream
                .record_connection_refused(&present.announcement.incarnation)
            && let Some(keys) = self.inner.keys.get()
        {
            keys.upstream_ended();
        }
        match err.is_unsent() {
            true => Refusal::not_run(Reason::UpstreamUnreachable),
            false => Refusal::unknown(Reason::UpstreamLost),
        }
    }

    fn left(&self, work: &Work) -> Duration {
        work.deadline
            .saturating_duration_since(self.inner.clock.now())
    }

    fn usual(&self, work: &Work) -> LatencyEstimate {
        let known = self.inner.times().by_route.get(&work.route).copied();
        known.unwrap_or(LatencyEstimate::with_initial(guess(work)))
    }

    fn note_time(&self, work: &Work, took: Duration) {
        let mut times = self.inner.times();
        // The first ones must not pass for the usual.
        let first = LatencyEstimate::with_initial(took.min(guess(work)));
        let usual = times.by_route.entry(Arc::clone(&work.route));
        usual.or_insert(first).record(took);
        let took = took.as_secs_f64();
        let all = times.all.get_or_insert(took);
        *all += (took - *all) * self.inner.settings.overall_weight;
    }
}

/// Targets are commonly set at a few times the usual time.
const USUAL_IN_TARGET: u32 = 4;
/// Time of a request at an upstream of which nothing is known yet.
const DEFAULT_TIME: Duration = Duration::from_millis(50);

/// The usual time of a route of which nothing is known yet.
fn guess(work: &Work) -> Duration {
    work.target_latency / USUAL_IN_TARGET
}
