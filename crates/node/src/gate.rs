//! The only way to the upstream beside this node.
//!
//! The gate asks ownership whether the request may run here now, keeps
//! non-idempotent work from running twice, attaches the fence and carries the
//! request to the upstream. It says `not-run` only before the first byte may
//! have gone to the upstream, or when the upstream refused the fence.

use crate::beside::Announced;
use crate::exchange::{ExchangeError, ReqBody, exchange, read_body, set_body};
use crate::headers;
use crate::limiter::{Ask, Permit};
use crate::problem::Refusal;
use crate::process::Process;
use crate::request_id::IdParts;
use crate::requests::{Requests, term};
use crate::started::Started;
use crate::work::{self, Work};
use ibiscove_ownership::Admission;
use ibiscove_routing::deadline;
use ibiscove_routing::dedup::{Decision, KeyedRequest, StoredResponse};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Outcome, Reason, UpstreamSpec, hash};
use std::sync::Arc;
use std::time::Instant;
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_client::Conn as ClientConn;

/// The label of this role in metrics.
pub(crate) const ROLE: &str = "gate";
/// Longest idempotency key taken, in bytes.
const MAX_KEY_LEN: usize = 255;

/// What came of a request at the gate.
pub(crate) enum Answered {
    /// The upstream's answer, of which only the head has been read.
    Upstream(Box<(ClientConn, Started)>),
    /// The answer to an earlier sending of the same request.
    Stored(StoredResponse),
}

impl Answered {
    /// Answers the caller or the entry.
    pub(crate) async fn answer(self, conn: Conn) -> Conn {
        match self {
            Answered::Upstream(answer) => {
                let (answer, started) = *answer;
                pass_back(conn, answer, started).await
            }
            Answered::Stored(stored) => repeat(conn, stored),
        }
    }
}

/// Serves the address that peers forward requests to.
pub(crate) fn handler<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) -> impl Handler {
    move |conn: Conn| {
        let process = Arc::clone(&process);
        async move { handle(&process, conn).await }
    }
}

async fn handle<P: Table + Objects, C: Clock>(process: &Process<P, C>, mut conn: Conn) -> Conn {
    let key = &process.settings.cluster_key;
    let target = work::target(conn.method(), conn.inner().path_and_query());
    let work = match Work::read(conn.request_headers(), key, &target) {
        Ok(work) => work,
        Err(reason) => return Refusal::not_run(reason).answer(conn, ROLE),
    };
    let body = match read_body(&mut conn, process.clock.sleep(work.timeout)).await {
        Ok(body) => body,
        Err(_) => return Refusal::not_run(Reason::CallerStalled).answer(conn, ROLE),
    };
    let answered = run(process, &mut conn, &work, &body).await;
    if let Some(load) = process.beside.load() {
        let load = format!("{:.3}", load.per_slot());
        conn.response_headers_mut().insert(headers::LOAD, load);
    }
    match answered {
        Ok(answered) => answered.answer(conn).await,
        Err(refusal) => refusal.answer(conn, ROLE),
    }
}

/// Runs a request at the upstream beside this node.
pub(crate) async fn run<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    work: &Work,
    body: &ReqBody,
) -> Result<Answered, Refusal> {
    let now = process.clock.now();
    let (admission, announced) = admit(process, work, now).map_err(Refusal::not_run)?;
    if let Some(slot) = work.slot {
        process.balance.note(slot, work.key_hash);
    }
    let keyed = keyed(process, conn, work, body, now).map_err(Refusal::not_run)?;
    if let Some(keyed) = &keyed {
        match process.requests.begin_keyed(keyed, term(&admission), now) {
            Decision::Run => {}
            Decision::Replay(stored) => return Ok(Answered::Stored(stored)),
            Decision::Refuse(outcome, reason) => return Err(Refusal { outcome, reason }),
        }
    }
    let keyed = NotStarted::new(process, keyed);
    let deadline = now + work.timeout;
    let permit = permit(process, conn, work, &announced, deadline).await?;
    let started = begin(process, work, keyed, admission, permit)?;
    let upstream = &*announced.spec;
    let next = to_upstream(process, conn, work, started.fence(), upstream);
    let bound_by_lease = !work.idempotent && !upstream.checks_fences && work.slot.is_some();
    let timeout = timeout(process, deadline, bound_by_lease);
    match exchange(conn, next, body, timeout).await {
        Ok(answer) => judge(answer, started, process.clock.now()),
        Err(err) => {
            let refusal = refusal(err);
            started.failed(refusal.outcome, refusal.reason, process.clock.now());
            Err(refusal)
        }
    }
}

/// Waits for a slot of the upstream.
async fn permit<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    work: &Work,
    announced: &Announced,
    deadline: Instant,
) -> Result<Permit, Refusal> {
    let now = process.clock.now();
    let ask = Ask {
        class: work.key_hash,
        deadline,
        now,
        queue: process.rules().queue_limit(&work.service),
    };
    let timeout = process.clock.sleep(deadline::remaining(deadline, now));
    let permit = announced.limiter.acquire(ask, timeout);
    let permit = conn.cancel_on_disconnect(permit).await;
    let waited = process.clock.now().saturating_duration_since(now);
    metrics::histogram!("ibiscove_queue_seconds").record(waited);
    permit
        .unwrap_or(Err(Reason::CallerGone))
        .map_err(Refusal::not_run)
}

/// Completes when work at the upstream must be given up.
///
/// Invariant: at an upstream that does not check fences, nothing that must not
/// run twice goes on past the lease; see docs/requests.md.
async fn timeout<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    until: Instant,
    bound_by_lease: bool,
) {
    loop {
        let now = process.clock.now();
        let lease_end = match bound_by_lease {
            true => process.ownership.lease_end(now),
            false => Some(until),
        };
        match deadline::time_until_lease_check(until, lease_end, now) {
            Some(left) => process.clock.sleep(left).await,
            None => return,
        }
    }
}

fn admit<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    work: &Work,
    now: Instant,
) -> Result<(Admission, Announced), Reason> {
    let gate = IdParts::parse(&work.request_id).map(|id| id.gate);
    if gate != Some(process.ownership.incarnation()) {
        return Err(Reason::NotOwner);
    }
    let announced = process
        .beside
        .heard(now, process.settings.announce_timeout)
        .ok_or(Reason::NoUpstream)?;
    if announced.draining {
        return Err(Reason::Draining);
    }
    if announced.spec.service != work.service {
        return Err(Reason::NotOwner);
    }
    Ok((process.ownership.admit(work.slot)?, announced))
}

/// The request's idempotency key and all that goes with it; none when it has
/// no key or may run twice anyway.
fn keyed<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &Conn,
    work: &Work,
    body: &ReqBody,
    now: Instant,
) -> Result<Option<KeyedRequest>, Reason> {
    let key = headers::text(conn.request_headers(), headers::IDEMPOTENCY_KEY);
    let Some(key) = key.filter(|_| !work.idempotent) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_LEN {
        return Err(Reason::BadHeader);
    }
    let method = conn.method();
    let head = format!(
        "{method} {}\n{:?}\n",
        conn.inner().path_and_query(),
        body.len()
    );
    let fingerprint = hash::checksum(&[head.as_bytes(), body.bytes()].concat());
    let wall = process.clock.wall();
    let age = work
        .first_sent
        .or_else(|| ibiscove_routing::first_sent::age_of_key(key, wall));
    Ok(Some(KeyedRequest {
        slot: work.slot,
        key: key.into(),
        fingerprint,
        first_sent: age.and_then(|age| now.checked_sub(age)),
    }))
}

/// A keyed request that the window lets run and that has not started. Dropping
/// it lets a repeat run.
struct NotStarted {
    requests: Arc<Requests>,
    keyed: Option<KeyedRequest>,
}

impl NotStarted {
    fn new<P, C>(process: &Process<P, C>, keyed: Option<KeyedRequest>) -> Self {
        Self {
            requests: Arc::clone(&process.requests),
            keyed,
        }
    }
}

impl Drop for NotStarted {
    fn drop(&mut self) {
        if let Some(keyed) = self.keyed.take() {
            let none = StoredResponse::default();
            self.requests.end_keyed(&keyed, Outcome::NotRun, none);
        }
    }
}

/// Notes the request as started: from here on it may have reached the upstream.
fn begin<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    work: &Work,
    mut keyed: NotStarted,
    admission: Admission,
    permit: Permit,
) -> Result<Started, Refusal> {
    let now = process.clock.now();
    let id = (!work.idempotent).then(|| work.request_id.clone());
    if let Some(id) = &id {
        process.requests.begin(id, now).map_err(Refusal::not_run)?;
    }
    let requests = Arc::clone(&process.requests);
    let keyed = keyed.keyed.take();
    Ok(Started::new(requests, id, keyed, admission, permit, now))
}

fn to_upstream<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &Conn,
    work: &Work,
    fence: Option<ibiscove_types::Fence>,
    upstream: &UpstreamSpec,
) -> ClientConn {
    let url = format!("http://{}{}", upstream.addr, conn.inner().path_and_query());
    let mut next = process.http.build_conn(conn.method(), url.as_str());
    headers::pass_on(conn.request_headers(), next.request_headers_mut());
    let to = next.request_headers_mut();
    let timeout = deadline::next_hop_timeout(work.timeout);
    to.insert(headers::REQUEST_ID, work.request_id.to_string());
    to.insert(headers::TIMEOUT_MS, timeout.as_millis().to_string());
    if let (Some(slot), Some(fence)) = (work.slot, fence) {
        to.insert(headers::SERVICE, work.service.to_string());
        to.insert(headers::SLOT, slot.to_string());
        to.insert(headers::FENCE, fence.to_string());
    }
    next
}

/// Tells an answer from a refusal of the fence, after which nothing has run.
fn judge(answer: ClientConn, mut started: Started, now: Instant) -> Result<Answered, Refusal> {
    let status = answer.status().map_or(0, |status| status as u16);
    let names_fence = headers::text(answer.response_headers(), headers::FENCE).is_some();
    if status == Status::PreconditionFailed as u16 && names_fence {
        started.failed(Outcome::NotRun, Reason::FenceRefused, now);
        return Err(Refusal::not_run(Reason::FenceRefused));
    }
    let content_type = answer
        .response_headers()
        .get_str(KnownHeaderName::ContentType)
        .unwrap_or_default();
    started.ran(status, content_type, now);
    Ok(Answered::Upstream(Box::new((answer, started))))
}

async fn pass_back(mut conn: Conn, answer: ClientConn, started: Started) -> Conn {
    if let Some(status) = answer.status() {
        conn.set_status(status);
    }
    headers::pass_on(answer.response_headers(), conn.response_headers_mut());
    conn.response_headers_mut()
        .insert(headers::OUTCOME, Outcome::Ran.as_str());
    set_body(conn, answer, started).await.halt()
}

fn repeat(conn: Conn, stored: StoredResponse) -> Conn {
    metrics::counter!("ibiscove_repeats_total").increment(1);
    let Some(body) = stored.body else {
        let refusal = Refusal {
            outcome: Outcome::Ran,
            reason: Reason::AlreadyRan,
        };
        return refusal.answer(conn, ROLE);
    };
    let conn = match stored.content_type.as_str() {
        "" => conn,
        content_type => {
            conn.with_response_header(KnownHeaderName::ContentType, content_type.to_owned())
        }
    };
    conn.with_status(stored.status)
        .with_response_header(headers::OUTCOME, Outcome::Ran.as_str())
        .with_response_header(headers::REPEATED, "true")
        .with_body(body)
        .halt()
}

fn refusal(err: ExchangeError) -> Refusal {
    match err {
        ExchangeError::Unreachable => Refusal::not_run(Reason::UpstreamUnreachable),
        ExchangeError::Lost => Refusal::unknown(Reason::UpstreamLost),
        ExchangeError::TimedOut => Refusal::unknown(Reason::DeadlineExceeded),
        ExchangeError::CallerGone => Refusal::unknown(Reason::CallerGone),
        ExchangeError::CallerBroke => Refusal::unknown(Reason::CallerStalled),
    }
}
