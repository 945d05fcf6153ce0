//! Accepts callers' requests and makes attempts at each, within a retry budget,
//! until one succeeds or none is left.

mod attempt;
mod plan;
mod shared_state;

use crate::config_lag::ConfigLag;
use crate::gate::{Gate, KeyOwnership, Permit};
use crate::headers::{self, HeaderNames};
use crate::local_upstream::LocalUpstream;
use crate::refusal::{Place, Refusal};
use crate::relay::{RelayedResponse, has_room_for_early_responses};
use crate::routes::ConfigCell;
use crate::suspects::Suspects;
use crate::upstream_notice::KnownNotices;
use crate::upstream_selection::{RoundTripEstimates, UpstreamSelector};
use bytes::Bytes;
use hyper::Request;
use hyper::body::Body as HttpBody;
use ibiscove_http::Pool;
use ibiscove_http::body::{BodyBudget, BodyReservation, read_within_budget};
use ibiscove_mesh::Members;
use ibiscove_ranges::RangeMaps;
use ibiscove_routing::retry::{self, FailedAttempt, RetryDecision};
use ibiscove_types::{BootClock, Clock, DataCentre, Fence, NodeName, Outcome, Reason, ServiceName};
use plan::RequestPlan;
use shared_state::{CallerTimeoutsByRoute, RetryBudgets, UnservedRangesByService};
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The label of this role in metrics.
const ROLE: &str = "entry";

/// Settings of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// Retries that each request adds to the budget. Half of what a deployment
    /// commonly allows, because nested calls are retried too.
    pub retries_per_request: f64,
    /// Largest retry balance of all nodes together, in retries. Smaller than the
    /// fixed allowance that small deployments grant in addition to a share.
    pub max_retry_balance: f64,
    /// Timeout of callers that state none.
    pub default_timeout: Duration,
    /// Lower limit of the retry delay that refused callers get.
    pub min_retry_after: Duration,
    /// Upper limit of that delay, as a share of the remaining time of the request.
    pub max_retry_after_share: f64,
    /// Idle time up to which a connection to another node is reused.
    pub max_idle: Duration,
    /// The same for requests that must not run twice.
    pub max_idle_non_idempotent: Duration,
    /// Estimated network round trips between nodes.
    pub round_trips: RoundTripEstimates,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            max_retry_balance: 50.0,
            default_timeout: Duration::from_secs(10),
            min_retry_after: Duration::from_millis(30),
            max_retry_after_share: 0.3,
            max_idle: Duration::from_secs(20),
            max_idle_non_idempotent: Duration::from_secs(20),
            round_trips: RoundTripEstimates::default(),
        }
    }
}

/// This node, as it appears in requests and in upstream selection.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The node's name.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The service of its local upstream.
    pub service: Option<ServiceName>,
}

/// Settings of an entry and the components that it uses.
pub struct EntryDependencies<K, C> {
    /// Its settings.
    pub settings: EntrySettings,
    /// Names of headers.
    pub names: HeaderNames,
    /// This node.
    pub identity: NodeIdentity,
    /// The clock.
    pub clock: C,
    /// The configuration in force.
    pub config: ConfigCell,
    /// How far that is behind.
    pub config_lag: ConfigLag,
    /// The other nodes.
    pub members: Members,
    /// Owners of keys.
    pub maps: RangeMaps,
    /// The local upstream.
    pub local_upstream: LocalUpstream,
    /// The gate of the local upstream.
    pub gate: Gate<K, C>,
    /// What this node knows of crashes.
    pub suspects: Suspects,
    /// Connections to other nodes.
    pub pool: Pool,
    /// Memory for the bodies of requests.
    pub body_budget: BodyBudget,
    /// Memory for the responses that are read before they are relayed.
    pub response_budget: BodyBudget,
}

/// The entry of a node. Clones share it.
pub struct Entry<K, C> {
    inner: Arc<Inner<K, C>>,
}

impl<K, C> Clone for Entry<K, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

struct Inner<K, C> {
    deps: EntryDependencies<K, C>,
    selector: UpstreamSelector,
    /// What the upstreams of other nodes have said about themselves.
    notices: KnownNotices,
    retry_budgets: RetryBudgets,
    caller_timeouts: CallerTimeoutsByRoute,
    unserved: UnservedRangesByService,
    /// Identifies this process in forwarded requests.
    process: u32,
}

/// Attempts made so far at a request.
#[derive(Default)]
struct Attempts {
    /// Nodes that the request was sent to.
    nodes: Vec<NodeName>,
    count: u32,
    /// Attempts that may have run.
    possibly_executed: u32,
    /// Whether the request has not been sent to some candidate upstream yet.
    has_unattempted: bool,
    /// Fence of the range that contains the request's key; it increases with each
    /// change of the range's owner.
    fence: Option<Fence>,
}

impl Attempts {
    /// Returns whether another upstream may be attempted after `count` attempts.
    fn may_attempt_another(&self, count: u32) -> bool {
        self.has_unattempted && count < MAX_REFUSALS
    }
}

impl<K: KeyOwnership, C: Clock + BootClock> Entry<K, C> {
    /// Creates an entry.
    pub fn new(deps: EntryDependencies<K, C>) -> Self {
        Self {
            inner: Arc::new(Inner {
                deps,
                selector: UpstreamSelector::default(),
                notices: KnownNotices::default(),
                retry_budgets: RetryBudgets::default(),
                caller_timeouts: CallerTimeoutsByRoute::default(),
                unserved: UnservedRangesByService::default(),
                process: fastrand::u32(..),
            }),
        }
    }

    /// Removes the state of routes and nodes that no longer exist.
    pub fn prune(&self) {
        if let Some(table) = self.deps().config.get() {
            self.inner.caller_timeouts.prune(&table);
        }
        self.inner.selector.prune(&self.inner.deps.members);
        self.inner.notices.prune(&self.inner.deps.members);
        self.inner.deps.suspects.prune(self.deps().clock.now());
        self.inner.deps.pool.prune();
    }

    /// Returns whether a request without a body may be served before the requests
    /// ahead of it on its connection are answered: its route allows to run it more than
    /// once, and there is memory for its response until its turn.
    pub fn may_start_early(&self, head: &hyper::http::request::Parts) -> bool {
        let Some(table) = self.deps().config.get() else {
            return false;
        };
        if !has_room_for_early_responses(&self.deps().response_budget) {
            return false;
        }
        let host = plan::host(head);
        let route = host.and_then(|host| table.find(host, head.uri.path()));
        route.is_some_and(|route| route.kind.is_idempotent())
    }

    /// Serves a request. Returns the upstream's response or a refusal.
    pub async fn handle<R>(&self, req: Request<R>) -> RelayedResponse<Permit<K, C>>
    where
        R: HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        let arrived = self.deps().clock.now();
        let (head, body) = req.into_parts();
        let mut attempts = Attempts::default();
        let planned = self.plan(&head, arrived);
        let result = match planned {
            Ok(plan) => {
                let (id, route) = (
                    Arc::clone(&plan.metadata.request_id),
                    Arc::clone(&plan.route),
                );
                let result = self.read_and_serve(plan, body, &mut attempts).await;
                result.map_err(|refusal| (refusal, id, Some(route)))
            }
            Err(refusal) => {
                let id = headers::text(&head.headers, &self.deps().names.request_id);
                let refusal = refusal.at(Place::EntryPlan);
                Err((refusal, id.unwrap_or_default().into(), None))
            }
        };
        let took = self.deps().clock.now().saturating_duration_since(arrived);
        metrics::histogram!("ibiscove_request_seconds").record(took);
        let result = result.map_err(|(refusal, id, route)| (self.qualify(refusal), id, route));
        match result {
            Ok(mut response) => {
                headers::remove_internode(response.headers_mut());
                response
            }
            Err((refusal, id, route)) => {
                refusal.count(ROLE);
                let in_force = self.deps().config.version();
                let lag = self
                    .deps()
                    .config_lag
                    .lag(in_force, self.deps().clock.now());
                let by = attempts.nodes.last().filter(|_| refusal.is_remote);
                log::info!(
                    request = &*id, route = route.as_ref().map_or("", |route| &*route.name),
                    config = in_force, newest_config = lag.map_or(in_force, |lag| lag.newest),
                    behind_ms = lag.map_or(0, |lag| lag.behind.as_millis() as u64),
                    reason = refusal.reason.as_str(), place = refusal.place_name(),
                    refused_by = by.map_or("", |node| &**node), outcome = refusal.outcome.as_str(), status = refusal.status(),
                    took_ms = took.as_millis() as u64,
                    retry_after_ms = refusal.retry_after.as_millis() as u64;
                    "request refused"
                );
                refusal.response()
            }
        }
    }

    /// Replaces a refusal that blames the caller by one that doesn't if it rests on a
    /// configuration that is known not to be the newest: that may allow the request. This
    /// holds also when the node that named the newer one is gone.
    fn qualify(&self, refusal: Refusal) -> Refusal {
        let deps = self.deps();
        let lag = || deps.config_lag.lag(deps.config.version(), deps.clock.now());
        if !refusal.blames_caller() || lag().is_none() {
            return refusal;
        }
        let behind = Refusal {
            reason: Reason::ConfigurationBehind,
            ..refusal
        };
        behind.with_retry_after(CONFIGURATION_BEHIND_RETRY_AFTER.mul_f64(jitter()))
    }

    fn deps(&self) -> &EntryDependencies<K, C> {
        &self.inner.deps
    }

    /// Reads the body of a request, then serves it.
    async fn read_and_serve(
        &self,
        mut plan: RequestPlan,
        body: impl HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
        attempts: &mut Attempts,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        let reading = self.read_body(body, plan.max_body_bytes, plan.metadata.deadline);
        let read = reading.await;
        let (body, _reservation) = read.map_err(|refusal| refusal.at(Place::EntryBody))?;
        plan.set_body(body);
        self.serve_with_retries(plan, attempts).await
    }

    async fn read_body(
        &self,
        body: impl HttpBody<Data = Bytes, Error = hyper::Error> + Unpin,
        limit: usize,
        deadline: Instant,
    ) -> Result<(Bytes, BodyReservation), Refusal> {
        let remaining = deadline.saturating_duration_since(self.deps().clock.now());
        let timeout = async {
            self.deps().clock.sleep(remaining).await;
            Err(Refusal::not_run(Reason::CallerStalled))
        };
        let reading = async {
            let read = read_within_budget(body, limit, &self.deps().body_budget).await;
            read.map_err(Refusal::of_body)
        };
        reading.or(timeout).await
    }

    /// Makes attempts until one succeeds or no further attempt is allowed.
    async fn serve_with_retries(
        &self,
        mut plan: RequestPlan,
        attempts: &mut Attempts,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        let mut rng = fastrand::Rng::new();
        self.deposit_retries(&plan);
        loop {
            let refusal = match self.attempt(&mut plan, attempts, &mut rng).await {
                Ok(response) => {
                    if let Some(fence) = attempts.fence {
                        self.inner.unserved.clear(&plan.metadata.service, fence);
                    }
                    return Ok(response);
                }
                Err(refusal) => refusal.at(Place::EntryAttempt),
            };
            attempts.count += 1;
            if refusal.outcome != Outcome::NotRun {
                attempts.possibly_executed += 1;
            }
            self.record_unserved_range(&plan, &refusal, attempts);
            let next = self.decide_retry(&plan, &refusal, attempts, &mut rng);
            self.log_attempt(&plan, &refusal, attempts, next);
            match next {
                RetryDecision::Retry { delay, charged }
                    if !charged || self.inner.retry_budgets.try_spend(&plan.metadata.service) =>
                {
                    count_retry(refusal.reason);
                    self.deps().clock.sleep(delay).await;
                }
                RetryDecision::Retry { .. } => {
                    count_retry(Reason::RetryBudget);
                    return Err(self.final_refusal(&plan, refusal, attempts));
                }
                RetryDecision::Stop => return Err(self.final_refusal(&plan, refusal, attempts)),
            }
        }
    }

    /// Records that the range of a request was still without a serving owner when
    /// the latency target had passed.
    fn record_unserved_range(&self, plan: &RequestPlan, refusal: &Refusal, attempts: &Attempts) {
        let now = self.deps().clock.now();
        let waited = now.saturating_duration_since(plan.arrived);
        if let Some(fence) = attempts.fence
            && retry::awaits_owner(refusal.reason)
            && waited >= plan.metadata.target_latency
        {
            self.inner
                .unserved
                .record(&plan.metadata.service, fence, now);
        }
    }

    /// Returns how long a request may wait for the owner of its key: until its
    /// deadline, or until its latency target if the range was known to be unserved
    /// when it arrived.
    fn max_owner_wait(&self, plan: &RequestPlan, attempts: &Attempts) -> Duration {
        let service = &plan.metadata.service;
        let unserved = &self.inner.unserved;
        let is_unserved = attempts
            .fence
            .is_some_and(|fence| unserved.is_unserved(service, fence, plan.arrived));
        match is_unserved {
            true => plan.metadata.target_latency,
            false => Duration::MAX,
        }
    }

    /// Adds the request's share to the retry budget. Nested calls, which an
    /// upstream makes while it runs another request, add nothing: the budget is a
    /// share of the requests of callers.
    fn deposit_retries(&self, plan: &RequestPlan) {
        let settings = &self.deps().settings;
        let retries = match plan.is_nested {
            true => 0.0,
            false => settings.retries_per_request,
        };
        let nodes = self.deps().members.count() + 1;
        let max_balance = settings.max_retry_balance / nodes as f64;
        let service = &plan.metadata.service;
        self.inner
            .retry_budgets
            .deposit(service, retries, max_balance);
    }

    fn decide_retry(
        &self,
        plan: &RequestPlan,
        refusal: &Refusal,
        attempts: &Attempts,
        rng: &mut fastrand::Rng,
    ) -> RetryDecision {
        if attempts.possibly_executed >= plan.route.max_attempts {
            return RetryDecision::Stop;
        }
        let now = self.deps().clock.now();
        let failure = FailedAttempt {
            outcome: refusal.outcome,
            reason: refusal.reason,
            idempotent: plan.metadata.idempotent,
            attempts: attempts.count,
            remaining: plan.metadata.deadline.saturating_duration_since(now),
            has_alternative: attempts.may_attempt_another(attempts.count),
            elapsed: now.saturating_duration_since(plan.arrived),
            max_owner_wait: self.max_owner_wait(plan, attempts),
        };
        retry::decide(failure, rng)
    }

    fn log_attempt(
        &self,
        plan: &RequestPlan,
        refusal: &Refusal,
        attempts: &Attempts,
        next: RetryDecision,
    ) {
        let now = self.deps().clock.now();
        let remaining = plan.metadata.deadline.saturating_duration_since(now);
        log::info!(
            request = &*plan.metadata.request_id, service = &*plan.metadata.service,
            peer = attempts.nodes.last().map_or("", |node| &**node), attempt = attempts.count,
            reason = refusal.reason.as_str(), place = refusal.place_name(),
            is_remote = refusal.is_remote, outcome = refusal.outcome.as_str(),
            fence = attempts.fence.unwrap_or_default(),
            again = next != RetryDecision::Stop, left_ms = remaining.as_millis() as u64;
            "attempt failed"
        );
    }

    /// Returns the refusal for the caller after the last attempt.
    fn final_refusal(&self, plan: &RequestPlan, refusal: Refusal, attempts: &Attempts) -> Refusal {
        let outcome = match attempts.possibly_executed {
            0 => refusal.outcome,
            _ => Outcome::Unknown,
        };
        let settings = &self.deps().settings;
        let now = self.deps().clock.now();
        let remaining = plan.metadata.deadline.saturating_duration_since(now);
        let wait = match refusal.reason {
            Reason::Moving | Reason::NotOwner => MOVING_RETRY_AFTER,
            _ => refusal.retry_after,
        };
        let wait = wait.max(settings.min_retry_after).mul_f64(jitter());
        let retry_after = match refusal.reason {
            // Its caller can't be served before its deadline.
            Reason::Quarantined => refusal.retry_after,
            _ => wait.min(remaining.mul_f64(settings.max_retry_after_share)),
        };
        Refusal {
            outcome,
            retry_after,
            ..refusal
        }
    }
}

/// Time after which a caller may retry whose key was still moving at the last
/// attempt: the duration of a move whose upstream responds late.
const MOVING_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time after which a caller may retry at a node that lacks the newest configuration: some
/// round trips to a node that has it. Another node may have it already.
const CONFIGURATION_BEHIND_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum number of gates that may refuse a request before its caller is refused.
const MAX_REFUSALS: u32 = 3;

/// Returns a random factor that keeps callers that were refused together from retrying
/// together.
fn jitter() -> f64 {
    0.75 + fastrand::f64() / 2.0
}

fn count_retry(reason: Reason) {
    metrics::counter!("ibiscove_retries_total", "reason" => reason.as_str()).increment(1);
}
