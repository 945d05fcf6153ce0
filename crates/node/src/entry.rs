//! Accepts callers' requests: any node accepts any request and forwards it to
//! the gate of an upstream that may serve it, the owner's for a divided
//! service.
//!
//! The entry makes attempts until one gets a response, or a further one would
//! be unsafe, past the deadline or beyond the retry budget. Each attempt reads
//! the newest map, so a request that reached a former owner goes to the new
//! one.

use crate::attempt::{Attempt, AttemptResponse, make_attempt};
use crate::exchange::{ExchangeError, read_body};
use crate::headers;
use crate::outcome_route;
use crate::plan::{self, RequestPlan};
use crate::process::Process;
use crate::refusal::Refusal;
use crate::request_id::RequestIdParts;
use ibiscove_routing::deadline;
use ibiscove_routing::retry::{self, FailedAttempt, RetryDecision};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Incarnation, Outcome, Reason, RequestId, ServiceKind};
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use trillium::{Conn, Handler};

/// The label of this role in metrics.
pub(crate) const ROLE: &str = "entry";

/// Serves the caller address.
pub(crate) fn handler<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) -> impl Handler {
    move |conn: Conn| {
        let process = Arc::clone(&process);
        async move {
            match conn.path().strip_prefix(outcome_route::PREFIX) {
                Some(id) => outcome_route::handle(&process, id.into(), conn).await,
                None => handle(&process, conn).await,
            }
        }
    }
}

async fn handle<P: Table + Objects, C: Clock>(process: &Process<P, C>, mut conn: Conn) -> Conn {
    let arrived = process.clock.now();
    let (id, result) = serve_with_retries(process, &mut conn, arrived).await;
    if let Some(id) = id {
        conn.response_headers_mut()
            .insert(headers::REQUEST_ID, id.to_string());
    }
    let took = process.clock.now().saturating_duration_since(arrived);
    metrics::histogram!("ibiscove_request_seconds", "role" => ROLE).record(took);
    match result {
        Ok(response) => response.respond(conn).await,
        Err(refusal) => refusal.respond(conn, ROLE),
    }
}

/// Makes attempts until one gets a response or none is allowed. Returns the
/// result with the id of the last attempt.
async fn serve_with_retries<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    arrived: Instant,
) -> (Option<RequestId>, Result<AttemptResponse, Refusal>) {
    let plan = match plan::plan_request(process, &process.replica.map(), conn, arrived) {
        Ok(plan) => plan,
        Err(reason) => return (None, Err(Refusal::not_run(reason))),
    };
    process.recorder.record_request(conn, &plan, &process.clock);
    let remaining = deadline::remaining(plan.deadline, arrived);
    let body = match read_body(conn, process.clock.sleep(remaining)).await {
        Ok(body) => body,
        Err(err) => return (None, Err(body_read_refusal(err))),
    };
    let service = process.services.get(&plan.service);
    let Some(_admitted) = process.services.admit(&service) else {
        return (None, Err(Refusal::not_run(Reason::Overloaded)));
    };
    let rules = process.rules();
    service.budget().deposit(rules.retry_budget(&plan.service));
    let may_hedge = plan.kind == ServiceKind::Shared
        && plan.idempotent
        && body.is_whole()
        && rules.hedges(&plan.service);
    let mut rng = fastrand::Rng::new();
    let mut attempted: Vec<Incarnation> = Vec::new();
    let mut last_id = None;
    let mut attempts = 0;
    // Once one attempt may have run, no later `not-run` holds for the request.
    let mut may_have_run = plan.is_duplicate && !plan.idempotent;
    loop {
        attempts += 1;
        // Read for each attempt, so that a retry finds the current owner.
        let map = process.replica.map();
        let target = plan::find_target(process, &map, &plan, &attempted, &mut rng);
        let result = match target {
            Err(reason) => Err(Refusal::not_run(reason)),
            Ok(target) => {
                attempted.push(target.gate);
                let id = new_id(process, target.gate, &mut rng);
                let hedge_target = match may_hedge {
                    true => plan::find_target(process, &map, &plan, &attempted, &mut rng).ok(),
                    false => None,
                };
                let hedge_target = hedge_target.filter(|other| !attempted.contains(&other.gate));
                let hedge_id = hedge_target.map(|target| new_id(process, target.gate, &mut rng));
                let first = Attempt {
                    plan: &plan,
                    target: &target,
                    id: &id,
                    body: &body,
                    service: &service,
                };
                let hedge = hedge_target.as_ref().zip(hedge_id.as_ref());
                let hedge = hedge.map(|(target, id)| Attempt {
                    target,
                    id,
                    ..first
                });
                let result = make_attempt(process, conn, &first, hedge.as_ref()).await;
                last_id = Some(id);
                result
            }
        };
        let refusal = match result {
            Ok(response) => return (last_id, Ok(response)),
            Err(refusal) => refusal,
        };
        let decision = decide_retry(process, &plan, refusal, attempts, &mut rng);
        may_have_run |= refusal.outcome == Outcome::Unknown;
        let decision = decision.filter(|_| body.is_whole());
        match decision {
            Some(RetryDecision::Retry { delay, charged })
                if !charged || service.budget().try_spend() =>
            {
                count_retry(refusal.reason);
                process.clock.sleep(delay).await;
            }
            Some(RetryDecision::Retry { .. }) => {
                count_retry(Reason::RetryBudget);
                return (last_id, Err(final_refusal(refusal, may_have_run)));
            }
            _ => return (last_id, Err(final_refusal(refusal, may_have_run))),
        }
    }
}

/// Converts the last attempt's refusal to one of the request as a whole.
///
/// That this attempt did not run proves nothing about earlier ones that
/// `may_have_run`, and the caller would take `not-run` for the outcome of its
/// request.
fn final_refusal(refusal: Refusal, may_have_run: bool) -> Refusal {
    let is_other_request = refusal.reason == Reason::KeyReused;
    if may_have_run && refusal.outcome == Outcome::NotRun && !is_other_request {
        return Refusal::unknown(refusal.reason);
    }
    refusal
}

fn decide_retry<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    plan: &RequestPlan,
    refusal: Refusal,
    attempts: u32,
    rng: &mut fastrand::Rng,
) -> Option<RetryDecision> {
    let failure = FailedAttempt {
        outcome: refusal.outcome,
        reason: refusal.reason,
        idempotent: plan.idempotent,
        attempts,
        remaining: deadline::remaining(plan.deadline, process.clock.now()),
        has_alternative: false,
        elapsed: Duration::ZERO,
        // Only the deadline bounds the wait, because rules state no target
        // latency.
        max_owner_wait: Duration::MAX,
    };
    Some(retry::decide(failure, rng)).filter(|decision| *decision != RetryDecision::Stop)
}

fn count_retry(reason: Reason) {
    metrics::counter!("ibiscove_retries_total", "reason" => reason.as_str()).increment(1);
}

fn body_read_refusal(err: ExchangeError) -> Refusal {
    match err {
        ExchangeError::CallerGone => Refusal::not_run(Reason::CallerGone),
        _ => Refusal::not_run(Reason::CallerStalled),
    }
}

fn new_id<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    gate: Incarnation,
    rng: &mut fastrand::Rng,
) -> RequestId {
    let now = process.clock.now();
    let parts = RequestIdParts {
        gate,
        entry: process.ownership.incarnation(),
        sent_at: now.saturating_duration_since(process.started_at),
    };
    parts.into_request_id(rng)
}
