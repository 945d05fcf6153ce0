//! Takes callers' requests and sees each to its answer.

mod attempt;
mod learnt;
mod plan;

use crate::gate::{Gate, KeyOwner, Permit};
use crate::headers::{self, HeaderNames};
use crate::local_upstream::LocalUpstream;
use crate::refusal::Refusal;
use crate::relay::Reply;
use crate::routes::ConfigCell;
use crate::targets::{Distances, Targets};
use hyper::Request;
use hyper::body::Incoming;
use ibiscove_http::Pool;
use ibiscove_http::body::{ReadError, read_whole};
use ibiscove_mesh::Members;
use ibiscove_ranges::RangeMaps;
use ibiscove_routing::retry::{self, FailedAttempt, RetryDecision};
use ibiscove_types::{Clock, DataCentre, Fence, NodeName, Outcome, Reason, ServiceName};
use learnt::{Budgets, Callers, StuckRanges};
use plan::Plan;
use smol::future::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The label of this role in metrics.
const ROLE: &str = "entry";

/// How an entry treats requests.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// Retries earned with each request. Half of what a deployment commonly
    /// allows, since upstreams' own calls are retried too.
    pub retry_share: f64,
    /// Retries that all nodes together may save up. Below the slack that small
    /// deployments allow beside the share.
    pub retries_saved: f64,
    /// Time that callers without a deadline wait.
    pub default_deadline: Duration,
    /// Shortest time after which a refused caller is told to return.
    pub min_retry_after: Duration,
    /// Share of the time left within which a refused caller should be back.
    pub retry_within: f64,
    /// How long a connection to another node may be idle.
    pub max_idle: Duration,
    /// The same for requests that must not run twice.
    pub max_idle_once: Duration,
    /// Ways between nodes.
    pub distances: Distances,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            retry_share: 0.1,
            retries_saved: 50.0,
            default_deadline: Duration::from_secs(10),
            min_retry_after: Duration::from_millis(30),
            retry_within: 0.3,
            max_idle: Duration::from_secs(20),
            max_idle_once: Duration::from_secs(20),
            distances: Distances::default(),
        }
    }
}

/// Who this node is, as far as requests go.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The node's name.
    pub node: NodeName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The service of the upstream beside it.
    pub service: Option<ServiceName>,
}

/// What an entry is given to work with.
pub struct EntryParts<K, C> {
    /// How it treats requests.
    pub settings: EntrySettings,
    /// Names of headers.
    pub names: HeaderNames,
    /// Who this node is.
    pub identity: Identity,
    /// The clock.
    pub clock: C,
    /// The configuration in force.
    pub config: ConfigCell,
    /// The other nodes.
    pub members: Members,
    /// Owners of keys.
    pub maps: RangeMaps,
    /// The upstream beside this node.
    pub local_upstream: LocalUpstream,
    /// The way to it.
    pub gate: Gate<K, C>,
    /// Connections to other nodes.
    pub pool: Pool,
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
    parts: EntryParts<K, C>,
    targets: Targets,
    budgets: Budgets,
    callers: Callers,
    stuck: StuckRanges,
}

/// What has been tried for a request.
#[derive(Default)]
struct Tried {
    nodes: Vec<NodeName>,
    /// Attempts in all.
    attempts: u32,
    /// Attempts that may have run.
    may_have_run: u32,
    has_others: bool,
    /// Fence of the range that the request's key lies in.
    fence: Option<Fence>,
}

impl Tried {
    /// Whether another upstream may be asked after so many attempts.
    fn may_ask_others(&self, attempts: u32) -> bool {
        self.has_others && attempts < MAX_REFUSALS
    }
}

impl<K: KeyOwner, C: Clock> Entry<K, C> {
    /// An entry.
    pub fn new(parts: EntryParts<K, C>) -> Self {
        Self {
            inner: Arc::new(Inner {
                parts,
                targets: Targets::default(),
                budgets: Budgets::default(),
                callers: Callers::default(),
                stuck: StuckRanges::default(),
            }),
        }
    }

    /// Forgets what it knows of nodes that are gone.
    pub fn prune(&self) {
        if let Some(table) = self.parts().config.get() {
            self.inner.callers.prune(&table);
        }
        self.inner.targets.prune(&self.inner.parts.members);
        self.inner.parts.pool.prune();
    }

    /// Sees a request to its answer.
    pub async fn handle(&self, req: Request<Incoming>) -> Reply<Permit<K, C>> {
        let arrived = self.parts().clock.now();
        let (head, body) = req.into_parts();
        let answered = match self.plan(&head, arrived) {
            Ok(plan) => {
                let (id, route) = (Arc::clone(&plan.work.request_id), Arc::clone(&plan.route));
                let served = self.serve(plan, body).await;
                served.map_err(|refusal| (refusal, id, Some(route)))
            }
            Err(refusal) => {
                let id = headers::text(&head.headers, &self.parts().names.request_id);
                Err((refusal, id.unwrap_or_default().into(), None))
            }
        };
        let took = self.parts().clock.now().saturating_duration_since(arrived);
        metrics::histogram!("ibiscove_request_seconds").record(took);
        match answered {
            Ok(mut reply) => {
                headers::remove_between_nodes(reply.headers_mut());
                reply
            }
            Err((refusal, id, route)) => {
                refusal.count(ROLE);
                log::info!(
                    request = &*id, route = route.as_ref().map_or("", |route| &*route.name),
                    config = self.parts().config.version(), reason = refusal.reason.as_str(),
                    outcome = refusal.outcome.as_str(), status = refusal.status(),
                    took_ms = took.as_millis() as u64,
                    retry_after_ms = refusal.retry_after.as_millis() as u64;
                    "request refused"
                );
                refusal.answer()
            }
        }
    }

    fn parts(&self) -> &EntryParts<K, C> {
        &self.inner.parts
    }

    /// Reads the rest of a request and sees it through.
    async fn serve(&self, mut plan: Plan, body: Incoming) -> Result<Reply<Permit<K, C>>, Refusal> {
        let reading = self.read_body(body, plan.max_body_bytes, plan.work.deadline);
        plan.call.body = reading.await?;
        self.see_through(plan).await
    }

    async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        deadline: Instant,
    ) -> Result<bytes::Bytes, Refusal> {
        let left = deadline.saturating_duration_since(self.parts().clock.now());
        let timeout = async {
            self.parts().clock.sleep(left).await;
            Err(Refusal::not_run(Reason::CallerStalled))
        };
        let reading = async {
            read_whole(body, limit).await.map_err(|err| match err {
                ReadError::TooLong { .. } => Refusal::not_run(Reason::BodyTooLarge),
                ReadError::Broken(_) => Refusal::not_run(Reason::CallerStalled),
            })
        };
        reading.or(timeout).await
    }

    /// Makes attempts until one is answered or nothing is left to try.
    async fn see_through(&self, mut plan: Plan) -> Result<Reply<Permit<K, C>>, Refusal> {
        let mut tried = Tried::default();
        let mut rng = fastrand::Rng::new();
        self.earn_retries(&plan);
        loop {
            let refusal = match self.attempt(&mut plan, &mut tried, &mut rng).await {
                Ok(reply) => {
                    if let Some(fence) = tried.fence {
                        self.inner.stuck.clear(&plan.work.service, fence);
                    }
                    return Ok(reply);
                }
                Err(refusal) => refusal,
            };
            tried.attempts += 1;
            if refusal.outcome != Outcome::NotRun {
                tried.may_have_run += 1;
            }
            self.note_stuck(&plan, &refusal, &tried);
            let next = self.next(&plan, &refusal, &tried, &mut rng);
            self.log_attempt(&plan, &refusal, &tried, next);
            match next {
                RetryDecision::Retry { delay, charged }
                    if !charged || self.inner.budgets.pay(&plan.work.service) =>
                {
                    count_retry(refusal.reason);
                    self.parts().clock.sleep(delay).await;
                }
                RetryDecision::Retry { .. } => {
                    count_retry(Reason::RetryBudget);
                    return Err(self.conclude(&plan, refusal, &tried));
                }
                RetryDecision::Stop => return Err(self.conclude(&plan, refusal, &tried)),
            }
        }
    }

    /// Remembers a range whose owner a request has waited for in vain.
    fn note_stuck(&self, plan: &Plan, refusal: &Refusal, tried: &Tried) {
        let now = self.parts().clock.now();
        let waited = now.saturating_duration_since(plan.arrived);
        if let Some(fence) = tried.fence
            && retry::awaits_owner(refusal.reason)
            && waited >= plan.work.target_latency
        {
            self.inner.stuck.note(&plan.work.service, fence, now);
        }
    }

    /// How long a request may wait for the owner of its key: to its deadline, or
    /// to its target when others were waiting in vain before it came.
    fn owner_wait(&self, plan: &Plan, tried: &Tried) -> Duration {
        let service = &plan.work.service;
        let stuck = &self.inner.stuck;
        let is_stuck = tried
            .fence
            .is_some_and(|fence| stuck.is_stuck(service, fence, plan.arrived));
        match is_stuck {
            true => plan.work.target_latency,
            false => Duration::MAX,
        }
    }

    /// Calls of running requests earn nothing: the budget is a share of what
    /// callers send.
    fn earn_retries(&self, plan: &Plan) {
        let settings = &self.parts().settings;
        let share = match plan.is_nested {
            true => 0.0,
            false => settings.retry_share,
        };
        let nodes = self.parts().members.count() + 1;
        let max_saved = settings.retries_saved / nodes as f64;
        let service = &plan.work.service;
        self.inner.budgets.earn(service, share, max_saved);
    }

    fn next(
        &self,
        plan: &Plan,
        refusal: &Refusal,
        tried: &Tried,
        rng: &mut fastrand::Rng,
    ) -> RetryDecision {
        if tried.may_have_run >= plan.route.max_attempts {
            return RetryDecision::Stop;
        }
        let now = self.parts().clock.now();
        let failure = FailedAttempt {
            outcome: refusal.outcome,
            reason: refusal.reason,
            idempotent: plan.work.idempotent,
            attempts: tried.attempts,
            remaining: plan.work.deadline.saturating_duration_since(now),
            has_alternative: tried.may_ask_others(tried.attempts),
            elapsed: now.saturating_duration_since(plan.arrived),
            max_owner_wait: self.owner_wait(plan, tried),
        };
        retry::decide(failure, rng)
    }

    fn log_attempt(&self, plan: &Plan, refusal: &Refusal, tried: &Tried, next: RetryDecision) {
        let now = self.parts().clock.now();
        let left = plan.work.deadline.saturating_duration_since(now);
        log::info!(
            request = &*plan.work.request_id, service = &*plan.work.service,
            peer = tried.nodes.last().map_or("", |node| &**node), attempt = tried.attempts,
            reason = refusal.reason.as_str(), outcome = refusal.outcome.as_str(),
            map = self.parts().maps.version(&plan.work.service),
            again = next != RetryDecision::Stop, left_ms = left.as_millis() as u64;
            "attempt failed"
        );
    }

    /// What the caller is told when nothing is left to try.
    fn conclude(&self, plan: &Plan, refusal: Refusal, tried: &Tried) -> Refusal {
        let outcome = match tried.may_have_run {
            0 => refusal.outcome,
            _ => Outcome::Unknown,
        };
        let settings = &self.parts().settings;
        let now = self.parts().clock.now();
        let left = plan.work.deadline.saturating_duration_since(now);
        // Callers that were refused together come back apart.
        let spread = 0.75 + fastrand::f64() / 2.0;
        let wait = match refusal.reason {
            Reason::Moving | Reason::NotOwner => MOVING_RETRY,
            _ => refusal.retry_after,
        };
        let wait = wait.max(settings.min_retry_after).mul_f64(spread);
        Refusal {
            outcome,
            retry_after: wait.min(left.mul_f64(settings.retry_within)),
            ..refusal
        }
    }
}

/// When a caller may return whose key was still moving when it was given up: the
/// time that a move takes when its upstream answers late.
const MOVING_RETRY: Duration = Duration::from_millis(250);
/// Gates that are asked for one request before its caller is refused.
const MAX_REFUSALS: u32 = 3;

fn count_retry(reason: Reason) {
    metrics::counter!("ibiscove_retries_total", "reason" => reason.as_str()).increment(1);
}
