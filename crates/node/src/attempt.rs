//! One attempt at a request, at the local gate or at that of another node.

use crate::exchange::{
    ExchangeError, ExchangeResult, ReqBody, ResponseBodyObserver, exchange, exchange_whole,
    set_body,
};
use crate::gate;
use crate::headers;
use crate::plan::{PeerAddrs, RequestPlan, Target};
use crate::process::Process;
use crate::refusal::Refusal;
use crate::request_id::RequestIdParts;
use crate::request_metadata::{self, RequestMetadata};
use crate::services::{InFlightRequest, ServiceState};
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

/// Timeout for finding out the outcome of a lost attempt; the longest time past
/// a request's deadline.
const OUTCOME_QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two outcome queries while the request still runs.
const OUTCOME_QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// Longest body of a refusal that is read, in bytes.
const MAX_REFUSAL_BODY_BYTES: u64 = 4 << 10;

/// The response to an attempt.
pub(crate) enum AttemptResponse {
    /// The response of the local gate.
    Local(gate::GateResponse),
    /// The response of another node's upstream, forwarded by its gate.
    Peer(Box<ClientConn>),
}

impl AttemptResponse {
    /// Sends the response to the caller.
    pub(crate) async fn respond(self, conn: Conn) -> Conn {
        match self {
            AttemptResponse::Local(response) => response.respond(conn).await,
            AttemptResponse::Peer(response) => forward_response(conn, *response).await,
        }
    }
}

/// The inputs of an attempt.
#[derive(Clone, Copy)]
pub(crate) struct Attempt<'a> {
    pub(crate) plan: &'a RequestPlan,
    pub(crate) target: &'a Target,
    pub(crate) id: &'a RequestId,
    pub(crate) body: &'a ReqBody,
    pub(crate) service: &'a Arc<ServiceState>,
}

/// Makes an attempt, and queries its outcome if its response is lost.
///
/// With a `hedge`, a second attempt is sent there if the first is slower than
/// most and the retry budget allows it; the first response of either is used.
pub(crate) async fn make_attempt<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    attempt: &Attempt<'_>,
    hedge: Option<&Attempt<'_>>,
) -> Result<AttemptResponse, Refusal> {
    let now = process.clock.now();
    let remaining = deadline::remaining(attempt.plan.deadline, now);
    let in_flight = attempt.service.begin(attempt.target.gate, now);
    let Some(addrs) = attempt.target.addrs else {
        let metadata = attempt_metadata(attempt, remaining, now);
        let result = gate::run(process, conn, &metadata, attempt.body).await;
        let result = result.map(AttemptResponse::Local);
        record_node_outcome(in_flight, &result, process.clock.now());
        return result;
    };
    let outbound = build_forwarded(
        process,
        conn,
        &attempt_metadata(attempt, deadline::next_hop_timeout(remaining), now),
        addrs,
    );
    let timeout = process.clock.sleep(remaining);
    let hedge_and_delay =
        hedge.and_then(|hedge| Some((hedge, attempt.service.hedge_delay(remaining)?)));
    let exchange_result = match hedge_and_delay {
        None => exchange(conn, outbound, attempt.body, timeout).await,
        Some((hedge, delay)) => {
            let hedge_response = send_hedge(process, conn, hedge, delay);
            let first_response = exchange_whole(outbound, attempt.body.bytes(), timeout);
            let either = conn.cancel_on_disconnect(first_response.or(hedge_response));
            either.await.unwrap_or(Err(ExchangeError::CallerGone))
        }
    };
    let now = process.clock.now();
    let (result, is_lost) = match exchange_result {
        Ok(response) => {
            record_reported_load(attempt, &response, now);
            let remaining = deadline::remaining(attempt.plan.deadline, now);
            (
                evaluate_response(response, process.clock.sleep(remaining)).await,
                false,
            )
        }
        Err(err) => (Err(exchange_refusal(err)), true),
    };
    record_node_outcome(in_flight, &result, now);
    match result {
        // An `unknown` that a gate reports stays so: it may be about an earlier
        // attempt, about which this attempt's id says nothing.
        Err(refusal)
            if is_lost && refusal.outcome == Outcome::Unknown && !attempt.plan.idempotent =>
        {
            Err(resolve_outcome(process, attempt.id, addrs.peer, refusal).await)
        }
        result => result,
    }
}

/// Records the result of an attempt in the health of its upstream.
///
/// Errors count as failures however fast they come, and refusals are ignored:
/// otherwise an upstream that fails quickly would attract all the load.
fn record_node_outcome(
    in_flight: InFlightRequest,
    result: &Result<AttemptResponse, Refusal>,
    now: Instant,
) {
    let status = match result {
        Ok(AttemptResponse::Peer(response)) => response.status(),
        Ok(AttemptResponse::Local(gate::GateResponse::Upstream(response))) => response.0.status(),
        Ok(AttemptResponse::Local(gate::GateResponse::Stored(_))) => return,
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

/// Sends the hedge after `delay`. Never completes if the hedge is not allowed
/// or fails, so that the first attempt decides.
fn send_hedge<'a, P: Table + Objects, C: Clock>(
    process: &'a Process<P, C>,
    conn: &Conn,
    hedge: &'a Attempt<'_>,
    delay: Duration,
) -> impl Future<Output = ExchangeResult> + Send + use<'a, P, C> {
    let now = process.clock.now();
    let remaining = deadline::remaining(hedge.plan.deadline, now).saturating_sub(delay);
    let outbound = hedge.target.addrs.map(|addrs| {
        let metadata = attempt_metadata(hedge, deadline::next_hop_timeout(remaining), now);
        build_forwarded(process, conn, &metadata, addrs)
    });
    async move {
        process.clock.sleep(delay).await;
        let Some(outbound) = outbound.filter(|_| hedge.service.budget().try_spend()) else {
            return std::future::pending().await;
        };
        metrics::counter!("ibiscove_retries_total", "reason" => "hedge").increment(1);
        let now = process.clock.now();
        let in_flight = hedge.service.begin(hedge.target.gate, now);
        let timeout = process.clock.sleep(remaining);
        let response = exchange_whole(outbound, hedge.body.bytes(), timeout).await;
        let has_succeeded =
            |response: &ClientConn| response.status().is_some_and(|s| !s.is_server_error());
        in_flight.end(
            response.as_ref().is_ok_and(has_succeeded),
            process.clock.now(),
        );
        let is_refused = |response: &ClientConn| {
            headers::text(response.response_headers(), headers::REASON).is_some()
        };
        match response {
            Ok(response) if !is_refused(&response) => Ok(response),
            _ => std::future::pending().await,
        }
    }
}

fn attempt_metadata(attempt: &Attempt<'_>, timeout: Duration, now: Instant) -> RequestMetadata {
    let plan = attempt.plan;
    RequestMetadata {
        request_id: attempt.id.clone(),
        service: plan.service.clone(),
        slot: attempt.target.slot,
        key_hash: plan.key_hash,
        idempotent: plan.idempotent,
        timeout,
        first_sent: plan.first_sent.map(|at| now.saturating_duration_since(at)),
    }
}

/// Records the load that a gate reports with its response.
fn record_reported_load(attempt: &Attempt<'_>, response: &ClientConn, now: Instant) {
    let load = headers::text(response.response_headers(), headers::LOAD);
    if let Some(load) = load.and_then(|text| text.parse().ok()) {
        attempt
            .service
            .record_report(attempt.target.gate, load, now);
    }
}

fn build_forwarded<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &Conn,
    metadata: &RequestMetadata,
    addrs: PeerAddrs,
) -> ClientConn {
    let url = format!("http://{}{}", addrs.forward, conn.inner().path_and_query());
    let mut outbound = process.http.build_conn(conn.method(), url.as_str());
    headers::copy_forwarded(conn.request_headers(), outbound.request_headers_mut());
    // The URL may encode the query differently from the caller.
    let signed_target =
        request_metadata::signed_target(conn.method(), &outbound.url()[Position::BeforePath..]);
    metadata.write(
        outbound.request_headers_mut(),
        &process.settings.cluster_key,
        process.ownership.incarnation(),
        &signed_target,
    );
    outbound
}

/// Distinguishes the upstream's response from a refusal of the gate.
async fn evaluate_response(
    response: ClientConn,
    timeout: impl Future<Output = ()> + Send,
) -> Result<AttemptResponse, Refusal> {
    let headers = response.response_headers();
    let outcome = headers::text(headers, headers::OUTCOME).and_then(Outcome::parse);
    let reason = headers::text(headers, headers::REASON);
    let refusal = match (outcome, reason) {
        (Some(_), None) => return Ok(AttemptResponse::Peer(Box::new(response))),
        (Some(outcome), Some(reason)) => Refusal {
            outcome,
            reason: Reason::parse(reason).unwrap_or(Reason::PeerLost),
        },
        // Not the response of a gate, so it proves nothing about the outcome.
        (None, _) => return Err(Refusal::unknown(Reason::PeerLost)),
    };
    // A connection is only reused once its response has been read to the end:
    // otherwise an overload would cost a new connection for each refusal.
    let body: ReceivedBody<'static, BoxedTransport> = response.into();
    let reading = async { drop(body.with_max_len(MAX_REFUSAL_BODY_BYTES).read_bytes().await) };
    reading.or(timeout).await;
    Err(refusal)
}

/// Queries the gate for the outcome of a lost attempt, which also ensures that
/// it never starts later.
async fn resolve_outcome<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
    peer: SocketAddr,
    refusal: Refusal,
) -> Refusal {
    let resolving = async {
        loop {
            match query_outcome(process, id, peer).await {
                Some((Outcome::Unknown, Some(Reason::InProgress), _)) => {
                    process.clock.sleep(OUTCOME_QUERY_INTERVAL).await;
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
        process.clock.sleep(OUTCOME_QUERY_TIMEOUT).await;
        refusal
    };
    resolving.or(timeout).await
}

/// Queries the gate at `peer` for an outcome, and seals the id, so that the
/// attempt cannot start later. Returns none if the gate does not respond.
pub(crate) async fn query_outcome<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
    peer: SocketAddr,
) -> Option<(Outcome, Option<Reason>, u16)> {
    let age = attempt_age(process, id);
    let query = OutcomeQuery {
        request_id: id.to_string(),
        age_ms: age.map_or(-1, |age| age.as_millis() as i64),
    };
    let response = process.peers.call(peer, Request::OutcomeQuery(query));
    let Ok(Response::OutcomeAnswer(recorded)) = response.await else {
        return None;
    };
    let outcome = Outcome::parse(&recorded.outcome)?;
    Some((
        outcome,
        Reason::parse(&recorded.reason),
        recorded.status as u16,
    ))
}

/// Returns the time since this node sent an attempt; none if another node did.
pub(crate) fn attempt_age<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
) -> Option<Duration> {
    let own = process.ownership.incarnation();
    let now = process.clock.now();
    RequestIdParts::parse(id)?.age(own, process.started_at, now)
}

/// Ignores the body of another node's response.
struct NoObserver;

impl ResponseBodyObserver for NoObserver {
    fn observe(&mut self, _bytes: &[u8]) {}

    fn complete(&mut self) {}
}

async fn forward_response(mut conn: Conn, response: ClientConn) -> Conn {
    if let Some(status) = response.status() {
        conn.set_status(status);
    }
    headers::copy_forwarded(response.response_headers(), conn.response_headers_mut());
    for name in [headers::OUTCOME, headers::REPEATED] {
        if let Some(value) = headers::text(response.response_headers(), name) {
            let value = value.to_owned();
            conn.response_headers_mut().insert(name, value);
        }
    }
    set_body(conn, response, NoObserver).await.halt()
}

fn exchange_refusal(err: ExchangeError) -> Refusal {
    match err {
        ExchangeError::Unreachable => Refusal::not_run(Reason::PeerUnreachable),
        ExchangeError::Lost => Refusal::unknown(Reason::PeerLost),
        ExchangeError::TimedOut => Refusal::unknown(Reason::DeadlineExceeded),
        ExchangeError::CallerGone => Refusal::unknown(Reason::CallerGone),
        ExchangeError::CallerBodyBroken => Refusal::unknown(Reason::CallerStalled),
    }
}
