//! Metrics of the messages and bytes exchanged between nodes, by message kind.
//!
//! The budget of control traffic is stated in bytes per second and node
//! (`docs/CAPACITY.md`), so each end counts what it sends and receives,
//! including the length prefix of each message.

use crate::frame::HEADER_LEN;
use crate::messages::{Request, Response};

/// Counts a message of `len` bytes that this node sent.
pub(crate) fn count_sent(kind: &'static str, len: usize) {
    count("sent", kind, len);
}

/// Counts a message of `len` bytes that this node received.
pub(crate) fn count_received(kind: &'static str, len: usize) {
    count("received", kind, len);
}

fn count(direction: &'static str, kind: &'static str, len: usize) {
    let bytes = (len + HEADER_LEN) as u64;
    metrics::counter!("ibiscove_peer_messages_total", "direction" => direction, "kind" => kind)
        .increment(1);
    metrics::counter!("ibiscove_peer_bytes_total", "direction" => direction, "kind" => kind)
        .increment(bytes);
}

/// Returns the metric label of a request.
pub(crate) fn request_kind(req: &Request) -> &'static str {
    match req {
        Request::Heartbeat(_) => "heartbeat",
        Request::SealQuery(_) => "seal_query",
        Request::SealNotice(_) => "seal_notice",
        Request::Push(_) => "push",
        Request::DigestQuery(_) => "digest_query",
        Request::Fetch(_) => "fetch",
        Request::OutcomeQuery(_) => "outcome_query",
        Request::Handover(_) => "handover",
        Request::LoadReport(_) => "load_report",
        Request::Proposal(_) => "proposal",
        Request::ReportQuery(_) => "report_query",
    }
}

/// Returns the metric label of a response.
pub(crate) fn response_kind(response: &Response) -> &'static str {
    match response {
        Response::HeartbeatAck(_) => "heartbeat_ack",
        Response::Seal(_) => "seal",
        Response::Done(_) => "done",
        Response::DigestAnswer(_) => "digest_answer",
        Response::Entries(_) => "entries",
        Response::OutcomeAnswer(_) => "outcome_answer",
        Response::Failed(_) => "failed",
        Response::Report(_) => "report",
    }
}
