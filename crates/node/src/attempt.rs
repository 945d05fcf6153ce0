//! One attempt of a request, at the gate here or at another node's.

use crate::exchange::{Answer, ExchangeError, Keep, ReqBody, exchange, exchange_whole, set_body};
use crate::gate;
use crate::headers;
use crate::plan::{PeerAddrs, Place, Plan};
use crate::problem::Refusal;
use crate::process::Process;
use crate::request_id::IdParts;
use crate::services::{InFlight, ServiceState};
use crate::work::{self, Work};
use ibiscove_routing::deadline;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Outcome, Reason, RequestId};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{OutcomeQuery, Request, Response};
use smol::future::FutureExt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium::Conn;
use trillium_client::Conn as ClientConn;
use trillium_http::{ReceivedBody, transport::BoxedTransport};
use trillium_server_common::url::Position;

/// Longest time past a request's deadline for learning what became of it.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two questions while the gate has not seen the end.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest body of a refusal that is read, in bytes.
const MAX_REFUSAL: u64 = 4 << 10;

/// What came of an attempt.
pub(crate) enum Answered {
    /// The gate here answered.
    Here(gate::Answered),
    /// Another node's gate answered with its upstream's answer.
    Peer(Box<ClientConn>),
}

impl Answered {
    /// Answers the caller.
    pub(crate) async fn answer(self, conn: Conn) -> Conn {
        match self {
            Answered::Here(answered) => answered.answer(conn).await,
            Answered::Peer(answer) => pass_back(conn, *answer).await,
        }
    }
}

/// One attempt on its way.
#[derive(Clone, Copy)]
pub(crate) struct Attempt<'a> {
    pub(crate) plan: &'a Plan,
    pub(crate) place: &'a Place,
    pub(crate) id: &'a RequestId,
    pub(crate) body: &'a ReqBody,
    pub(crate) service: &'a Arc<ServiceState>,
}

/// Makes an attempt, and finds out what became of it when its answer is lost.
///
/// With a `hedge`, another attempt goes there when the first is late in the
/// tail and the budget pays for it; the first answer of both is taken.
pub(crate) async fn attempt<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    attempt: &Attempt<'_>,
    hedge: Option<&Attempt<'_>>,
) -> Result<Answered, Refusal> {
    let now = process.clock.now();
    let left = deadline::remaining(attempt.plan.deadline, now);
    let in_flight = attempt.service.begin(attempt.place.gate, now);
    let Some(addrs) = attempt.place.addrs else {
        let work = work(attempt, left, now);
        let answered = gate::run(process, conn, &work, attempt.body).await;
        let answered = answered.map(Answered::Here);
        learn(in_flight, &answered, process.clock.now());
        return answered;
    };
    let next = forward(
        process,
        conn,
        &work(attempt, deadline::next_hop_timeout(left), now),
        addrs,
    );
    let timeout = process.clock.sleep(left);
    let late = hedge.and_then(|hedge| Some((hedge, attempt.service.hedge_delay(left)?)));
    let exchanged = match late {
        None => exchange(conn, next, attempt.body, timeout).await,
        Some((hedge, delay)) => {
            let second = hedged(process, conn, hedge, delay);
            let first = exchange_whole(next, attempt.body.bytes(), timeout);
            let both = conn.cancel_on_disconnect(first.or(second));
            both.await.unwrap_or(Err(ExchangeError::CallerGone))
        }
    };
    let now = process.clock.now();
    let (answered, lost) = match exchanged {
        Ok(answer) => {
            note_report(attempt, &answer, now);
            let left = deadline::remaining(attempt.plan.deadline, now);
            (judge(answer, process.clock.sleep(left)).await, false)
        }
        Err(err) => (Err(refusal(err)), true),
    };
    learn(in_flight, &answered, now);
    match answered {
        // What a gate itself calls unknown stays so: its word may be about an
        // earlier sending, of which this attempt's id says nothing.
        Err(refusal) if lost && refusal.outcome == Outcome::Unknown && !attempt.plan.idempotent => {
            Err(settle(process, attempt.id, addrs.peer, refusal).await)
        }
        answered => answered,
    }
}

/// Learns of an upstream by what came of an attempt there.
///
/// Errors count as failures however fast they come, and refusals teach
/// nothing: otherwise an upstream that fails quickly would draw all the load.
fn learn(in_flight: InFlight, answered: &Result<Answered, Refusal>, now: Instant) {
    let status = match answered {
        Ok(Answered::Peer(answer)) => answer.status(),
        Ok(Answered::Here(gate::Answered::Upstream(answer))) => answer.0.status(),
        Ok(Answered::Here(gate::Answered::Stored(_))) => return,
        Err(refusal) => match refusal.reason {
            Reason::PeerUnreachable
            | Reason::PeerLost
            | Reason::UpstreamUnreachable
            | Reason::UpstreamLost
            | Reason::NoUpstream => None,
            _ => return,
        },
    };
    in_flight.end(status.is_some_and(|status| !status.is_server_error()), now);
}

/// Sends the second attempt after `delay`; never completes when it may not go
/// or fails, so that the first decides.
fn hedged<'a, P: Table + Objects, C: Clock>(
    process: &'a Process<P, C>,
    conn: &Conn,
    hedge: &'a Attempt<'_>,
    delay: Duration,
) -> impl Future<Output = Answer> + Send + use<'a, P, C> {
    let now = process.clock.now();
    let left = deadline::remaining(hedge.plan.deadline, now).saturating_sub(delay);
    let next = hedge.place.addrs.map(|addrs| {
        let work = work(hedge, deadline::next_hop_timeout(left), now);
        forward(process, conn, &work, addrs)
    });
    async move {
        process.clock.sleep(delay).await;
        let Some(next) = next.filter(|_| hedge.service.budget().try_spend()) else {
            return std::future::pending().await;
        };
        metrics::counter!("ibiscove_retries_total", "reason" => "hedge").increment(1);
        let now = process.clock.now();
        let in_flight = hedge.service.begin(hedge.place.gate, now);
        let timeout = process.clock.sleep(left);
        let answer = exchange_whole(next, hedge.body.bytes(), timeout).await;
        let ok = |answer: &ClientConn| answer.status().is_some_and(|s| !s.is_server_error());
        in_flight.end(answer.as_ref().is_ok_and(ok), process.clock.now());
        let is_refused = |answer: &ClientConn| {
            headers::text(answer.response_headers(), headers::REASON).is_some()
        };
        match answer {
            Ok(answer) if !is_refused(&answer) => Ok(answer),
            _ => std::future::pending().await,
        }
    }
}

fn work(attempt: &Attempt<'_>, timeout: Duration, now: Instant) -> Work {
    let plan = attempt.plan;
    Work {
        request_id: attempt.id.clone(),
        service: plan.service.clone(),
        slot: attempt.place.slot,
        key_hash: plan.key_hash,
        idempotent: plan.idempotent,
        timeout,
        first_sent: plan.first_sent.map(|at| now.saturating_duration_since(at)),
    }
}

/// Takes the load that a gate reports with its answer.
fn note_report(attempt: &Attempt<'_>, answer: &ClientConn, now: Instant) {
    let load = headers::text(answer.response_headers(), headers::LOAD);
    if let Some(load) = load.and_then(|text| text.parse().ok()) {
        attempt.service.report(attempt.place.gate, load, now);
    }
}

fn forward<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &Conn,
    work: &Work,
    addrs: PeerAddrs,
) -> ClientConn {
    let url = format!("http://{}{}", addrs.forward, conn.inner().path_and_query());
    let mut next = process.http.build_conn(conn.method(), url.as_str());
    headers::pass_on(conn.request_headers(), next.request_headers_mut());
    // The URL may write the query otherwise than the caller did.
    let target = work::target(conn.method(), &next.url()[Position::BeforePath..]);
    work.write(
        next.request_headers_mut(),
        &process.settings.cluster_key,
        process.ownership.incarnation(),
        &target,
    );
    next
}

/// Tells the upstream's answer from a refusal of the gate.
async fn judge(
    answer: ClientConn,
    timeout: impl Future<Output = ()> + Send,
) -> Result<Answered, Refusal> {
    let headers = answer.response_headers();
    let outcome = headers::text(headers, headers::OUTCOME).and_then(Outcome::parse);
    let reason = headers::text(headers, headers::REASON);
    let refusal = match (outcome, reason) {
        (Some(_), None) => return Ok(Answered::Peer(Box::new(answer))),
        (Some(outcome), Some(reason)) => Refusal {
            outcome,
            reason: Reason::parse(reason).unwrap_or(Reason::PeerLost),
        },
        // Not an answer of a gate: whatever it is, it proves nothing.
        (None, _) => return Err(Refusal::unknown(Reason::PeerLost)),
    };
    // Read to its end the connection serves again: an overload must not cost a
    // new connection for each refusal.
    let body: ReceivedBody<'static, BoxedTransport> = answer.into();
    let reading = async { drop(body.with_max_len(MAX_REFUSAL).read_bytes().await) };
    reading.or(timeout).await;
    Err(refusal)
}

/// Asks the gate what became of a lost attempt, which also makes sure that it
/// never starts later.
async fn settle<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
    peer: SocketAddr,
    refusal: Refusal,
) -> Refusal {
    let asking = async {
        loop {
            match ask(process, id, peer).await {
                Some((Outcome::Unknown, Some(Reason::InProgress), _)) => {
                    process.clock.sleep(SETTLE_INTERVAL).await;
                }
                Some((Outcome::Unknown, ..)) | None => return refusal,
                Some((outcome, reason, _)) => {
                    let reason = reason.unwrap_or(refusal.reason);
                    return Refusal { outcome, reason };
                }
            }
        }
    };
    let timeout = async {
        process.clock.sleep(SETTLE_TIMEOUT).await;
        refusal
    };
    asking.or(timeout).await
}

/// Asks the gate at `peer` for an outcome, and seals the id; none when it does
/// not answer.
pub(crate) async fn ask<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
    peer: SocketAddr,
) -> Option<(Outcome, Option<Reason>, u16)> {
    let age = age(process, id);
    let query = OutcomeQuery {
        request_id: id.to_string(),
        age_ms: age.map_or(-1, |age| age.as_millis() as i64),
    };
    let response = process.peers.call(peer, Request::OutcomeQuery(query));
    let Ok(Response::OutcomeAnswer(answer)) = response.await else {
        return None;
    };
    let outcome = Outcome::parse(&answer.outcome)?;
    Some((outcome, Reason::parse(&answer.reason), answer.status as u16))
}

/// Time since this node sent an attempt; none when another node did.
pub(crate) fn age<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
) -> Option<Duration> {
    let own = process.ownership.incarnation();
    let now = process.clock.now();
    IdParts::parse(id)?.age(own, process.started, now)
}

/// Nothing lives on beside the answer of another node.
struct Nothing;

impl Keep for Nothing {
    fn bytes(&mut self, _bytes: &[u8]) {}

    fn whole(&mut self) {}
}

async fn pass_back(mut conn: Conn, answer: ClientConn) -> Conn {
    if let Some(status) = answer.status() {
        conn.set_status(status);
    }
    headers::pass_on(answer.response_headers(), conn.response_headers_mut());
    for name in [headers::OUTCOME, headers::REPEATED] {
        if let Some(value) = headers::text(answer.response_headers(), name) {
            let value = value.to_owned();
            conn.response_headers_mut().insert(name, value);
        }
    }
    set_body(conn, answer, Nothing).await.halt()
}

fn refusal(err: ExchangeError) -> Refusal {
    match err {
        ExchangeError::Unreachable => Refusal::not_run(Reason::PeerUnreachable),
        ExchangeError::Lost => Refusal::unknown(Reason::PeerLost),
        ExchangeError::TimedOut => Refusal::unknown(Reason::DeadlineExceeded),
        ExchangeError::CallerGone => Refusal::unknown(Reason::CallerGone),
        ExchangeError::CallerBroke => Refusal::unknown(Reason::CallerStalled),
    }
}
