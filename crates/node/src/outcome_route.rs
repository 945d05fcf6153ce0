//! `GET /_ibiscove/outcomes/{id}`: the outcome of a request.
//!
//! The query also seals the id: an attempt that has not started by then never
//! does, so that the response stays true.

use crate::attempt::{attempt_age, query_outcome};
use crate::entry::ROLE;
use crate::headers;
use crate::process::Process;
use crate::refusal::Refusal;
use crate::request_id::RequestIdParts;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Outcome, Reason, RequestId};
use trillium::{Conn, KnownHeaderName, Method, Status};

/// Path prefix of the route; the request id follows.
pub(crate) const PREFIX: &str = "/_ibiscove/outcomes/";

/// Responds with the outcome of the request `id`.
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
    let Some(parts) = RequestIdParts::parse(&id) else {
        return Refusal::unknown(Reason::NoRecord).respond(conn, ROLE);
    };
    let (outcome, reason, status) = find_outcome(process, &id, parts).await;
    let body = serde_json::json!({
        "request_id": &*id,
        "outcome": outcome.as_str(),
        "reason": reason.map(Reason::as_str),
        "status": (status != 0).then_some(status),
    });
    let conn = conn
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_response_header(headers::OUTCOME, outcome.as_str());
    conn.ok(body.to_string())
}

async fn find_outcome<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    id: &RequestId,
    parts: RequestIdParts,
) -> (Outcome, Option<Reason>, u16) {
    let own = process.ownership.incarnation();
    if parts.gate == own {
        let now = process.clock.now();
        let recorded = process
            .records
            .query(id, attempt_age(process, id), own, now);
        return (
            recorded.outcome,
            recorded.reason,
            recorded.status.unwrap_or(0),
        );
    }
    let map = process.replica.map();
    let Some(gate) = map.node(parts.gate) else {
        return (Outcome::Unknown, Some(Reason::NoRecord), 0);
    };
    let queried = query_outcome(process, id, gate.row.peer_addr).await;
    queried.unwrap_or((Outcome::Unknown, Some(Reason::PeerUnreachable), 0))
}
