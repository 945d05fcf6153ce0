//! Callers' requests: any node takes any request and brings it to the owner.
//!
//! The entry makes attempts until one is answered or another would be unsafe,
//! too late or beyond the retry budget. Each attempt reads the newest map, so
//! a request that met an old owner goes to the new one.

use crate::attempt::{Answered, Attempt, attempt};
use crate::exchange::{ExchangeError, read_body};
use crate::headers;
use crate::outcome_route;
use crate::plan::{self, Plan};
use crate::problem::Refusal;
use crate::process::Process;
use crate::request_id::IdParts;
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
    let began = process.clock.now();
    let (id, answered) = run(process, &mut conn, began).await;
    if let Some(id) = id {
        conn.response_headers_mut()
            .insert(headers::REQUEST_ID, id.to_string());
    }
    let took = process.clock.now().saturating_duration_since(began);
    metrics::histogram!("ibiscove_request_seconds", "role" => ROLE).record(took);
    match answered {
        Ok(answered) => answered.answer(conn).await,
        Err(refusal) => refusal.answer(conn, ROLE),
    }
}

/// Brings a request to an answer; with it the id of the last attempt.
async fn run<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    began: Instant,
) -> (Option<RequestId>, Result<Answered, Refusal>) {
    let plan = match plan::plan(process, &process.replica.map(), conn, began) {
        Ok(plan) => plan,
        Err(reason) => return (None, Err(Refusal::not_run(reason))),
    };
    process.recorder.request(conn, &plan, &process.clock);
    let left = deadline::remaining(plan.deadline, began);
    let body = match read_body(conn, process.clock.sleep(left)).await {
        Ok(body) => body,
        Err(err) => return (None, Err(caller_failed(err))),
    };
    let service = process.services.get(&plan.service);
    let Some(_entered) = process.services.enter(&service) else {
        return (None, Err(Refusal::not_run(Reason::Overloaded)));
    };
    let rules = process.rules();
    service.budget().deposit(rules.retry_budget(&plan.service));
    let may_hedge = plan.kind == ServiceKind::Shared
        && plan.idempotent
        && body.is_whole()
        && rules.hedges(&plan.service);
    let mut rng = fastrand::Rng::new();
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut last_id = None;
    let mut attempts = 0;
    // Once one sending may have run, no later one makes `not-run` true.
    let mut may_have_run = plan.is_repeat && !plan.idempotent;
    loop {
        attempts += 1;
        // The newest map, so that a retry finds the newest owner.
        let map = process.replica.map();
        let place = plan::place(process, &map, &plan, &tried, &mut rng);
        let answered = match place {
            Err(reason) => Err(Refusal::not_run(reason)),
            Ok(place) => {
                tried.push(place.gate);
                let id = new_id(process, place.gate, &mut rng);
                let second = match may_hedge {
                    true => plan::place(process, &map, &plan, &tried, &mut rng).ok(),
                    false => None,
                };
                let second = second.filter(|second| !tried.contains(&second.gate));
                let second_id = second.map(|place| new_id(process, place.gate, &mut rng));
                let first = Attempt {
                    plan: &plan,
                    place: &place,
                    id: &id,
                    body: &body,
                    service: &service,
                };
                let hedge = second.as_ref().zip(second_id.as_ref());
                let hedge = hedge.map(|(place, id)| Attempt { place, id, ..first });
                let answered = attempt(process, conn, &first, hedge.as_ref()).await;
                last_id = Some(id);
                answered
            }
        };
        let refusal = match answered {
            Ok(answered) => return (last_id, Ok(answered)),
            Err(refusal) => refusal,
        };
        let wait = again(process, &plan, refusal, attempts, &mut rng);
        may_have_run |= refusal.outcome == Outcome::Unknown;
        let wait = wait.filter(|_| body.is_whole());
        match wait {
            Some(RetryDecision::Retry { delay, charged })
                if !charged || service.budget().try_spend() =>
            {
                count_retry(refusal.reason);
                process.clock.sleep(delay).await;
            }
            Some(RetryDecision::Retry { .. }) => {
                count_retry(Reason::RetryBudget);
                return (last_id, Err(of_all_sendings(refusal, may_have_run)));
            }
            _ => return (last_id, Err(of_all_sendings(refusal, may_have_run))),
        }
    }
}

/// What the last attempt's refusal says of the request as a whole.
///
/// That this sending did not run proves nothing of earlier ones that
/// `may_have_run`, and the caller would take `not-run` for the fate of its
/// order.
fn of_all_sendings(refusal: Refusal, may_have_run: bool) -> Refusal {
    let other_request = refusal.reason == Reason::KeyReused;
    if may_have_run && refusal.outcome == Outcome::NotRun && !other_request {
        return Refusal::unknown(refusal.reason);
    }
    refusal
}

fn again<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    plan: &Plan,
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
        // The deadline alone bounds the wait: rules state no target.
        max_owner_wait: Duration::MAX,
    };
    Some(retry::decide(failure, rng)).filter(|next| *next != RetryDecision::Stop)
}

fn count_retry(reason: Reason) {
    metrics::counter!("ibiscove_retries_total", "reason" => reason.as_str()).increment(1);
}

fn caller_failed(err: ExchangeError) -> Refusal {
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
    let parts = IdParts {
        gate,
        entry: process.ownership.incarnation(),
        sent: now.saturating_duration_since(process.started),
    };
    parts.into_id(rng)
}
