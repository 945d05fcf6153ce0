//! The exchange of a request and its response with the upstream: the headers that
//! it gets, and what its response proves.

use super::{Gate, KeyOwnership, OutboundRequest, Permit};
use crate::forward::RequestMetadata;
use crate::headers::{self, HeaderNames};
use crate::local_upstream::ObservedUpstream;
use crate::refusal::Refusal;
use crate::relay::{RelayedResponse, read_response};
use crate::upstream_notice::UpstreamNotice;
use hyper::{HeaderMap, StatusCode};
use ibiscove_http::{Exchange, SendError};
use ibiscove_types::{Clock, Reason};
use std::time::{Duration, Instant};

impl<K: KeyOwnership, C: Clock> Gate<K, C> {
    pub(super) fn upstream_headers(
        &self,
        metadata: &RequestMetadata,
        outbound: &OutboundRequest,
        upstream: &ObservedUpstream,
        remaining: Duration,
    ) -> HeaderMap {
        let names = &self.inner.names;
        let mut to = outbound.headers.clone();
        headers::remove_internode(&mut to);
        let remaining_ms = remaining.as_millis().max(1).to_string();
        to.insert(names.deadline_ms.clone(), headers::value(&remaining_ms));
        let id = &upstream.announcement.incarnation.id;
        to.insert(names.expected_upstream.clone(), headers::value(id));
        match &metadata.caller_service {
            Some(service) => {
                to.insert(names.caller_service.clone(), headers::value(service));
            }
            None => {
                to.remove(&names.caller_service);
            }
        }
        to
    }

    /// Applies what an answer says about the upstream. An answer that is not that of
    /// the request, or comes from another upstream at the address, says nothing.
    pub(super) fn record_notice(
        &self,
        metadata: &RequestMetadata,
        upstream: &ObservedUpstream,
        exchange: &Exchange,
        sent_at: Instant,
    ) {
        let names = &self.inner.names;
        let from = exchange.response.headers();
        if !echoes_request(metadata, from, names)
            || exchange.response.status() == StatusCode::MISDIRECTED_REQUEST
        {
            return;
        }
        let local_upstream = &self.inner.local_upstream;
        let notice = UpstreamNotice::read(from, names);
        let now = self.inner.clock.now();
        let incarnation = &upstream.announcement.incarnation;
        let begins_draining = local_upstream.record_notice(incarnation, notice, sent_at, now);
        if begins_draining && let Some(keys) = self.inner.key_ownership.get() {
            keys.record_upstream_leaving(incarnation);
        }
        if let Some(current) = local_upstream.current() {
            self.inner.apply_rate_limit(&current, now);
            self.inner.pacing_due.notify(1);
        }
    }

    /// Checks that a response belongs to this request and is the upstream's own.
    pub(super) async fn verify_response(
        &self,
        metadata: &RequestMetadata,
        exchange: Exchange,
        permit: Permit<K, C>,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        let names = &self.inner.names;
        let from = exchange.response.headers();
        let echoes = echoes_request(metadata, from, names);
        let is_refusal = from.contains_key(&names.not_executed)
            || exchange.response.status() == StatusCode::MISDIRECTED_REQUEST;
        // A refusal without an id may be an earlier one, repeated on a kept connection.
        let is_own = echoes || (exchange.is_first && !from.contains_key(&names.request_id));
        if is_refusal && is_own {
            let status = exchange.response.status().as_u16();
            log::info!(request = &*metadata.request_id, status, echoes;
                "upstream did not run the request");
            self.record_upstream_refusal(exchange.response.status());
            return Err(Refusal::not_run(Reason::UpstreamRefused));
        }
        let needs_proof = needs_proof(exchange.response.status());
        let is_proven = names
            .proof
            .as_ref()
            .is_none_or(|proof| from.contains_key(proof));
        if !echoes || (needs_proof && !is_proven) {
            let status = exchange.response.status().as_u16();
            log::warn!(request = &*metadata.request_id, status, echoes, is_proven, is_refusal;
                "an answer of the upstream is not that of its request");
            return Err(Refusal::unknown(Reason::UpstreamLost));
        }
        let budget = &self.inner.response_budget;
        let read = read_response(exchange, Some(permit), budget, metadata.deadline).await;
        let mut response = read.map_err(|err| {
            log::info!(request = &*metadata.request_id; "the upstream's answer broke off: {err}");
            Refusal::unknown(Reason::UpstreamLost)
        })?;
        headers::remove_hop_by_hop(response.headers_mut());
        headers::remove_verdict(response.headers_mut());
        Ok(response)
    }

    pub(super) async fn send_refusal(
        &self,
        metadata: &RequestMetadata,
        upstream: &ObservedUpstream,
        err: &SendError,
    ) -> Refusal {
        log::info!(request = &*metadata.request_id,
            upstream = &*upstream.announcement.incarnation.id;
            "the upstream gave no answer: {err}");
        if err.is_connection_refused() {
            self.record_refused(&upstream.announcement.incarnation)
                .await;
        }
        match err.is_unsent() {
            true => Refusal::not_run(Reason::UpstreamUnreachable),
            false => Refusal::unknown(Reason::UpstreamLost),
        }
    }
}

/// Returns whether an answer with this status is passed on only if its upstream has proven
/// that it is its own. The caller relies on it: a success is the result, 3xx and 4xx ask for
/// another request, and 503 and some of 4xx promise that the request has not run. The other
/// failures say no more than 502 does.
fn needs_proof(status: StatusCode) -> bool {
    !status.is_server_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

fn echoes_request(metadata: &RequestMetadata, from: &HeaderMap, names: &HeaderNames) -> bool {
    headers::text(from, &names.request_id) == Some(&*metadata.request_id)
}
