//! Takes callers' requests and sees each to its answer.

use crate::beside::Beside;
use crate::forward::Work;
use crate::gate::{Call, Gate, KeyOwner, Permit};
use crate::headers::{self, GATE_LOAD, HeaderNames, OUTCOME};
use crate::refusal::Refusal;
use crate::relay::{Reply, read_answer};
use crate::routes::{ConfigCell, Route};
use crate::targets::{Choices, Distances, InFlight, Target, Targets};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Request};
use ibiscove_http::body::{ReadError, read_whole};
use ibiscove_http::{Pool, SendError};
use ibiscove_mesh::Members;
use ibiscove_ranges::RangeMaps;
use ibiscove_routing::patience::Patience;
use ibiscove_routing::placement::{Candidate, Distance};
use ibiscove_routing::retry::{self, Failure, Next, RetryBudget};
use ibiscove_types::{Clock, DataCentre, Key, NodeName, Outcome, Reason, ServiceName};
use smol::future::FutureExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The label of this role in metrics.
const ROLE: &str = "entry";

/// How an entry treats requests.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// Retries earned with each request. Half of what a deployment commonly
    /// allows, since upstreams' own calls are retried too.
    pub retry_share: f64,
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
    pub beside: Beside,
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
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// How long callers of each route are willing to wait.
    patience: Mutex<HashMap<Arc<str>, Patience>>,
}

/// One request at its entry.
struct Plan {
    route: Arc<Route>,
    work: Work,
    call: Call,
    is_divided: bool,
    arrived: Instant,
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
}

impl<K: KeyOwner, C: Clock> Entry<K, C> {
    /// An entry.
    pub fn new(parts: EntryParts<K, C>) -> Self {
        Self {
            inner: Arc::new(Inner {
                parts,
                targets: Targets::default(),
                budgets: Mutex::default(),
                patience: Mutex::default(),
            }),
        }
    }

    /// Forgets what it knows of nodes that are gone.
    pub fn prune(&self) {
        if let Some(table) = self.parts().config.get() {
            let mut patience = self
                .inner
                .patience
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            patience.retain(|route, _| table.has_route(route));
        }
        self.inner.targets.prune(&self.inner.parts.members);
        self.inner.parts.pool.prune();
    }

    /// Sees a request to its answer.
    pub async fn handle(&self, req: Request<Incoming>) -> Reply<Permit<K, C>> {
        let arrived = self.parts().clock.now();
        let (head, body) = req.into_parts();
        let answered = match self.plan(&head, arrived) {
            Ok((route, mut plan_of)) => {
                let limit = self
                    .parts()
                    .config
                    .get()
                    .map_or(0, |t| t.limits.max_body_bytes);
                match self.read_body(body, limit, plan_of.work.deadline).await {
                    Ok(bytes) => {
                        plan_of.call.body = bytes;
                        let id = Arc::clone(&plan_of.work.request_id);
                        self.see_through(plan_of)
                            .await
                            .map_err(|refusal| (refusal, id, Some(route)))
                    }
                    Err(refusal) => {
                        Err((refusal, Arc::clone(&plan_of.work.request_id), Some(route)))
                    }
                }
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

    /// Finds the route and everything that follows from it.
    fn plan(
        &self,
        head: &hyper::http::request::Parts,
        arrived: Instant,
    ) -> Result<(Arc<Route>, Plan), Refusal> {
        let parts = self.parts();
        let names = &parts.names;
        let table = parts.config.get().ok_or(Refusal {
            retry_after: NO_CONFIGURATION_RETRY,
            ..Refusal::not_run(Reason::NoConfiguration)
        })?;
        let target = head.uri.path_and_query().cloned();
        let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let host = head
            .uri
            .host()
            .or_else(|| headers::text(&head.headers, &HOST));
        let route = host
            .and_then(|host| table.find(host, target.path()))
            .ok_or(Refusal::not_run(Reason::NoRoute))?;
        let request_id: Arc<str> = match headers::text(&head.headers, &names.request_id) {
            Some(id) => id.into(),
            None => format!("{:016x}", fastrand::u64(..)).into(),
        };
        let service = route
            .service(fastrand::u64(..))
            .ok_or(Refusal::not_run(Reason::NoUpstream))?;
        let is_divided = table.is_divided(service);
        let key = key(&head.headers, names, is_divided)?;
        let wants: Option<u64> =
            headers::text(&head.headers, &names.deadline_ms).and_then(|text| text.parse().ok());
        let wants = wants.map_or(parts.settings.default_deadline, Duration::from_millis);
        let mut passed_on = head.headers.clone();
        headers::remove_hop_by_hop(&mut passed_on);
        headers::remove_between_nodes(&mut passed_on);
        let mut route_headers = passed_on;
        route_headers.insert(names.request_id.clone(), headers::value(&request_id));
        let patience = self.patience(route, wants);
        let work = Work {
            service: Arc::clone(service),
            route: Arc::clone(&route.name),
            request_id,
            key,
            idempotent: route.idempotent,
            priority: match patience.is_nested() {
                true => 0,
                false => route.priority,
            },
            target_latency: route.target_latency,
            target: arrived + patience.target_left(route.target_latency, wants),
            deadline: arrived + wants.min(route.timeout),
            origin: parts.identity.service.clone(),
            entry: Arc::clone(&parts.identity.node),
        };
        let call = Call {
            method: head.method.clone(),
            target,
            headers: route_headers,
            body: Default::default(),
        };
        let plan = Plan {
            route: Arc::clone(route),
            work,
            call,
            is_divided,
            arrived,
        };
        Ok((Arc::clone(route), plan))
    }

    /// What the time that a caller is willing to wait tells of its request.
    fn patience(&self, route: &Route, wants: Duration) -> Patience {
        let mut all = self
            .inner
            .patience
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = all.entry(Arc::clone(&route.name)).or_default();
        known.note(wants);
        *known
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
    async fn see_through(&self, plan: Plan) -> Result<Reply<Permit<K, C>>, Refusal> {
        let mut tried = Tried::default();
        let mut rng = fastrand::Rng::new();
        self.earn(&plan.work.service);
        loop {
            let refusal = match self.attempt(&plan, &mut tried, &mut rng).await {
                Ok(reply) => return Ok(reply),
                Err(refusal) => refusal,
            };
            tried.attempts += 1;
            if refusal.outcome != Outcome::NotRun {
                tried.may_have_run += 1;
            }
            let next = self.next(&plan, &refusal, &tried, &mut rng);
            self.log_attempt(&plan, &refusal, &tried, next);
            match next {
                Next::Again { wait, charged } if !charged || self.pay(&plan.work.service) => {
                    count_retry(refusal.reason);
                    self.parts().clock.sleep(wait).await;
                }
                Next::Again { .. } => {
                    count_retry(Reason::RetryBudget);
                    return Err(self.conclude(&plan, refusal, &tried));
                }
                Next::Stop => return Err(self.conclude(&plan, refusal, &tried)),
            }
        }
    }

    fn next(&self, plan: &Plan, refusal: &Refusal, tried: &Tried, rng: &mut fastrand::Rng) -> Next {
        if tried.may_have_run >= plan.route.max_attempts {
            return Next::Stop;
        }
        let now = self.parts().clock.now();
        let failure = Failure {
            outcome: refusal.outcome,
            reason: refusal.reason,
            idempotent: plan.work.idempotent,
            attempts: tried.attempts,
            remaining: plan.work.deadline.saturating_duration_since(now),
            has_others: tried.has_others && tried.attempts < MAX_REFUSALS,
        };
        retry::next(failure, rng)
    }

    fn log_attempt(&self, plan: &Plan, refusal: &Refusal, tried: &Tried, next: Next) {
        let now = self.parts().clock.now();
        let left = plan.work.deadline.saturating_duration_since(now);
        log::info!(
            request = &*plan.work.request_id, service = &*plan.work.service,
            peer = tried.nodes.last().map_or("", |node| &**node), attempt = tried.attempts,
            reason = refusal.reason.as_str(), outcome = refusal.outcome.as_str(),
            map = self.parts().maps.version(&plan.work.service),
            again = next != Next::Stop, left_ms = left.as_millis() as u64;
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
        let wait = refusal
            .retry_after
            .max(settings.min_retry_after)
            .mul_f64(spread);
        Refusal {
            outcome,
            retry_after: wait.min(left.mul_f64(settings.retry_within)),
            ..refusal
        }
    }

    async fn attempt(
        &self,
        plan: &Plan,
        tried: &mut Tried,
        rng: &mut fastrand::Rng,
    ) -> Result<Reply<Permit<K, C>>, Refusal> {
        let now = self.parts().clock.now();
        let target = match plan.is_divided {
            true => self.owner(plan, now)?,
            false => self.choose(plan, tried, rng, now)?,
        };
        tried.nodes.push(Arc::clone(&target.node));
        let in_flight = self.inner.targets.begin(&target.node);
        let left = plan.work.deadline.saturating_duration_since(now);
        let timeout = async {
            self.parts().clock.sleep(left).await;
            Err(Refusal::unknown(Reason::DeadlineExceeded))
        };
        let answered = match target.gate {
            None => {
                self.parts()
                    .gate
                    .run(&plan.work, &plan.call)
                    .or(timeout)
                    .await
            }
            Some(gate) => self.forward(plan, &target, gate).or(timeout).await,
        };
        learn(in_flight, &answered);
        answered
    }

    /// The node that owns the request's key.
    fn owner(&self, plan: &Plan, now: Instant) -> Result<Target, Refusal> {
        let parts = self.parts();
        let key = plan.work.key.ok_or(Refusal::not_run(Reason::NoKey))?;
        let no_owner = Refusal::not_run(Reason::NoOwner).after(NO_OWNER_RETRY);
        let known = parts.maps.get(&plan.work.service).ok_or(no_owner)?;
        let owner = known.map.locate(key).owner.as_ref().ok_or(no_owner)?;
        if owner.node == parts.identity.node {
            return Ok(Target {
                node: Arc::clone(&owner.node),
                gate: None,
            });
        }
        let member = parts.members.get(&owner.node).ok_or(no_owner)?;
        if !parts.members.is_alive(&member, now) && !member.leaving {
            return Err(no_owner);
        }
        Ok(Target {
            node: Arc::clone(&owner.node),
            gate: Some(member.gate),
        })
    }

    /// The best upstream of a shared service.
    fn choose(
        &self,
        plan: &Plan,
        tried: &mut Tried,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Result<Target, Refusal> {
        let parts = self.parts();
        let mut choices = Choices::default();
        let own = &parts.identity;
        parts.members.each_of(&plan.work.service, now, |member| {
            choices.add(
                member,
                &own.data_centre,
                &parts.settings.distances,
                &tried.nodes,
            );
        });
        if let Some(candidate) = self.own_candidate(&plan.work.service, tried) {
            choices.add_own(&own.node, candidate);
        }
        let target = self.inner.targets.choose(&choices, rng);
        let target = target.ok_or(Refusal::not_run(Reason::NoUpstream).after(NO_OWNER_RETRY))?;
        tried.has_others = choices.has_untried();
        Ok(target)
    }

    fn own_candidate(&self, service: &ServiceName, tried: &Tried) -> Option<Candidate> {
        let parts = self.parts();
        let present = parts.beside.present()?;
        if present.announced.service != *service || present.draining_since.is_some() {
            return None;
        }
        let load = parts.gate.load();
        Some(Candidate {
            distance: Distance::Beside,
            round_trip: Duration::ZERO,
            load: f64::from(load.load),
            slots: f64::from(present.announced.slots),
            service_time: load.service_time,
            failure_rate: 0.0,
            is_cold: !present.announced.cold_left.is_zero(),
            was_tried: tried.nodes.contains(&parts.identity.node),
        })
    }

    /// Sends the request to another node's gate.
    async fn forward(
        &self,
        plan: &Plan,
        target: &Target,
        gate: SocketAddr,
    ) -> Result<Reply<Permit<K, C>>, Refusal> {
        let parts = self.parts();
        let mut to = plan.call.headers.clone();
        if let Err(err) = plan.work.write(&mut to, parts.clock.now()) {
            log::error!("a request cannot be forwarded: {err}");
            return Err(Refusal::not_run(Reason::BadHeader));
        }
        let max_idle = match plan.work.idempotent {
            true => parts.settings.max_idle,
            false => parts.settings.max_idle_once,
        };
        let sent = parts.pool.send(gate, plan.call.request(to), max_idle).await;
        let exchange = sent.map_err(|err| peer_failed(plan, target, &err))?;
        if let Some((load, service_time)) = read_load(exchange.answer.headers()) {
            parts.members.take_load(&target.node, load, service_time);
        }
        if let Some(refusal) = Refusal::read(&exchange.answer) {
            // Read to its end the connection serves again.
            drop(read_answer::<()>(exchange, None).await);
            return Err(refusal);
        }
        let is_from_gate = exchange.answer.headers().contains_key(OUTCOME);
        if !is_from_gate {
            return Err(Refusal::unknown(Reason::PeerLost));
        }
        let mut reply = read_answer(exchange, None).await.map_err(|err| {
            log::info!(request = &*plan.work.request_id, peer = &*target.node;
                "a peer's answer broke off: {err}");
            Refusal::unknown(Reason::PeerLost)
        })?;
        headers::remove_hop_by_hop(reply.headers_mut());
        reply.headers_mut().remove(OUTCOME);
        Ok(reply)
    }

    fn earn(&self, service: &ServiceName) {
        let share = self.parts().settings.retry_share;
        let mut budgets = self
            .inner
            .budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match budgets.get_mut(service) {
            Some(budget) => budget.earn(share),
            None => {
                budgets.insert(Arc::clone(service), RetryBudget::default());
            }
        }
    }

    fn pay(&self, service: &ServiceName) -> bool {
        let mut budgets = self
            .inner
            .budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        budgets.entry(Arc::clone(service)).or_default().pay()
    }
}

/// Gates that are asked for one request before its caller is refused.
const MAX_REFUSALS: u32 = 3;
/// When a caller may return to a node that has no configuration yet.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(300);
/// When a caller may return while a key or service has nobody.
const NO_OWNER_RETRY: Duration = Duration::from_millis(250);

fn key(from: &HeaderMap, names: &HeaderNames, is_divided: bool) -> Result<Option<Key>, Refusal> {
    if !is_divided {
        return Ok(None);
    }
    let text = headers::text(from, &names.key).ok_or(Refusal::not_run(Reason::NoKey))?;
    let key = text
        .parse()
        .map_err(|_| Refusal::not_run(Reason::BadHeader))?;
    Ok(Some(key))
}

/// Learns of a node by what came of an attempt there. Refusals for want of
/// room or ownership teach nothing: the node said so itself.
fn learn<P>(in_flight: InFlight, answered: &Result<Reply<P>, Refusal>) {
    match answered {
        Ok(reply) => in_flight.end(reply.status().is_server_error()),
        Err(refusal) => match refusal.reason {
            Reason::PeerUnreachable
            | Reason::PeerLost
            | Reason::UpstreamUnreachable
            | Reason::UpstreamLost
            | Reason::UpstreamRefused
            | Reason::NoUpstream => in_flight.end(true),
            _ => {}
        },
    }
}

fn peer_failed(plan: &Plan, target: &Target, err: &SendError) -> Refusal {
    log::info!(request = &*plan.work.request_id, peer = &*target.node,
        since_ms = plan.arrived.elapsed().as_millis() as u64; "no answer from a peer: {err}");
    match err.is_unsent() {
        true => Refusal::not_run(Reason::PeerUnreachable),
        false => Refusal::unknown(Reason::PeerLost),
    }
}

fn read_load(from: &HeaderMap) -> Option<(u32, Duration)> {
    let (load, micros) = headers::text(from, &GATE_LOAD)?.split_once(',')?;
    Some((
        load.parse().ok()?,
        Duration::from_micros(micros.parse().ok()?),
    ))
}

fn count_retry(reason: Reason) {
    metrics::counter!("ibiscove_retries_total", "reason" => reason.as_str()).increment(1);
}
