//! `GET /_ibiscove/outcomes/{id}`: what became of a request.
//!
//! Asking also seals: an attempt that has not started by then never does, so
//! that the answer stays true.

use crate::attempt::{age, ask};
use crate::entry::ROLE;
use crate::headers;
use crate::problem::Refusal;
use crate::process::Process;
use crate::request_id::IdParts;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Outcome, Reason, RequestId};
use trillium::{Conn, KnownHeaderName, Method, Status};

/// Start of the route's path; the request id follows.
pub(crate) const PREFIX: &str = "/_ibiscove/outcomes/";

/// Answers with the outcome of the request `id`.
pub(crate) async fn handle<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: RequestId,
    conn: Conn,
) -> Conn {
    if conn.method() != Method::Get {
        return conn
            .with_status(Status::MethodNotAllowed)
            .with_response_header(KnownHeaderName::Allow, "GET")
            .halt();
    }
    let Some(parts) = IdParts::parse(&id) else {
        return Refusal::unknown(Reason::NoRecord).answer(conn, ROLE);
    };
    let (outcome, reason, status) = look_up(process, &id, parts).await;
    let answer = serde_json::json!({
        "request_id": &*id,
        "outcome": outcome.as_str(),
        "reason": reason.map(Reason::as_str),
        "status": (status != 0).then_some(status),
    });
    let conn = conn
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_response_header(headers::OUTCOME, outcome.as_str());
    conn.ok(answer.to_string())
}

async fn look_up<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
    parts: IdParts,
) -> (Outcome, Option<Reason>, u16) {
    let own = process.ownership.incarnation();
    if parts.gate == own {
        let now = process.clock.now();
        let known = process.requests.ask(id, age(process, id), own, now);
        return (known.outcome, known.reason, known.status.unwrap_or(0));
    }
    let map = process.replica.map();
    let Some(gate) = map.node(parts.gate) else {
        return (Outcome::Unknown, Some(Reason::NoRecord), 0);
    };
    let asked = ask(process, id, gate.row.peer_addr).await;
    asked.unwrap_or((Outcome::Unknown, Some(Reason::PeerUnreachable), 0))
}
