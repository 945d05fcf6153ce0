//! Admission control for the local upstream.
//!
//! The gate checks with ownership whether the request may run here now,
//! deduplicates non-idempotent requests, attaches the fence and sends the
//! request to the upstream. It reports `not-run` only if no byte can have been
//! sent to the upstream, or if the upstream refused the fence.

use crate::exchange::{ExchangeError, ReqBody, exchange, read_body, set_body};
use crate::headers;
use crate::limiter::{Permit, PermitRequest};
use crate::local_upstream::ObservedUpstream;
use crate::process::Process;
use crate::refusal::Refusal;
use crate::request_id::RequestIdParts;
use crate::request_metadata::{self, RequestMetadata};
use crate::request_records::{RequestRecords, ownership_term};
use crate::sent_request::SentRequest;
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
/// Longest accepted idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// A gate's response to a request.
pub(crate) enum GateResponse {
    /// The upstream's response, of which only the head has been read.
    Upstream(Box<(ClientConn, SentRequest)>),
    /// The stored response to an earlier request with the same key.
    Stored(StoredResponse),
}

impl GateResponse {
    /// Sends the response to the caller or the entry.
    pub(crate) async fn respond(self, conn: Conn) -> Conn {
        match self {
            GateResponse::Upstream(response) => {
                let (response, sent) = *response;
                forward_response(conn, response, sent).await
            }
            GateResponse::Stored(stored) => replay(conn, stored),
        }
    }
}

/// Serves the address to which peers forward requests.
pub(crate) fn handler<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) -> impl Handler {
    move |conn: Conn| {
        let process = Arc::clone(&process);
        async move { handle(&process, conn).await }
    }
}

async fn handle<P: Table + Objects, C: Clock>(process: &Process<P, C>, mut conn: Conn) -> Conn {
    let key = &process.settings.cluster_key;
    let signed_target =
        request_metadata::signed_target(conn.method(), conn.inner().path_and_query());
    let metadata = match RequestMetadata::read(conn.request_headers(), key, &signed_target) {
        Ok(metadata) => metadata,
        Err(reason) => return Refusal::not_run(reason).respond(conn, ROLE),
    };
    let body = match read_body(&mut conn, process.clock.sleep(metadata.timeout)).await {
        Ok(body) => body,
        Err(_) => return Refusal::not_run(Reason::CallerStalled).respond(conn, ROLE),
    };
    let result = run(process, &mut conn, &metadata, &body).await;
    if let Some(load) = process.local_upstream.load() {
        let load = format!("{:.3}", load.relative_to_limit());
        conn.response_headers_mut().insert(headers::LOAD, load);
    }
    match result {
        Ok(response) => response.respond(conn).await,
        Err(refusal) => refusal.respond(conn, ROLE),
    }
}

/// Runs a request at the local upstream.
pub(crate) async fn run<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    metadata: &RequestMetadata,
    body: &ReqBody,
) -> Result<GateResponse, Refusal> {
    let now = process.clock.now();
    let (admission, upstream) = admit(process, metadata, now).map_err(Refusal::not_run)?;
    if let Some(slot) = metadata.slot {
        process.balance.record_request(slot, metadata.key_hash);
    }
    let keyed = keyed_request(process, conn, metadata, body, now).map_err(Refusal::not_run)?;
    if let Some(keyed) = &keyed {
        match process
            .records
            .begin_keyed(keyed, ownership_term(&admission), now)
        {
            Decision::Run => {}
            Decision::Replay(stored) => return Ok(GateResponse::Stored(stored)),
            Decision::Refuse(outcome, reason) => return Err(Refusal { outcome, reason }),
        }
    }
    let keyed = PendingKeyedRequest::new(process, keyed);
    let deadline = now + metadata.timeout;
    let permit = acquire_permit(process, conn, metadata, &upstream, deadline).await?;
    let sent = begin_request(process, metadata, keyed, admission, permit)?;
    let spec = &*upstream.spec;
    let outbound = upstream_request(process, conn, metadata, sent.fence(), spec);
    let is_bound_by_lease = !metadata.idempotent && !spec.checks_fences && metadata.slot.is_some();
    let timeout = deadline_or_lease_end(process, deadline, is_bound_by_lease);
    match exchange(conn, outbound, body, timeout).await {
        Ok(response) => evaluate_response(response, sent, process.clock.now()),
        Err(err) => {
            let refusal = exchange_refusal(err);
            sent.record_failure(refusal.outcome, refusal.reason, process.clock.now());
            Err(refusal)
        }
    }
}

/// Waits for a permit of the upstream.
async fn acquire_permit<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &mut Conn,
    metadata: &RequestMetadata,
    upstream: &ObservedUpstream,
    deadline: Instant,
) -> Result<Permit, Refusal> {
    let now = process.clock.now();
    let req = PermitRequest {
        class: metadata.key_hash,
        deadline,
        now,
        queue_capacity: process.rules().queue_limit(&metadata.service),
    };
    let timeout = process.clock.sleep(deadline::remaining(deadline, now));
    let permit = upstream.limiter.acquire(req, timeout);
    let permit = conn.cancel_on_disconnect(permit).await;
    let waited = process.clock.now().saturating_duration_since(now);
    metrics::histogram!("ibiscove_queue_seconds").record(waited);
    permit
        .unwrap_or(Err(Reason::CallerGone))
        .map_err(Refusal::not_run)
}

/// Completes when a request at the upstream must be given up.
///
/// Invariant: at an upstream that does not check fences, no request that must
/// not run twice continues past the lease; see docs/requests.md.
async fn deadline_or_lease_end<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    until: Instant,
    is_bound_by_lease: bool,
) {
    loop {
        let now = process.clock.now();
        let lease_end = match is_bound_by_lease {
            true => process.ownership.lease_end(now),
            false => Some(until),
        };
        match deadline::time_until_lease_check(until, lease_end, now) {
            Some(remaining) => process.clock.sleep(remaining).await,
            None => return,
        }
    }
}

fn admit<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    metadata: &RequestMetadata,
    now: Instant,
) -> Result<(Admission, ObservedUpstream), Reason> {
    let gate = RequestIdParts::parse(&metadata.request_id).map(|id| id.gate);
    if gate != Some(process.ownership.incarnation()) {
        return Err(Reason::NotOwner);
    }
    let upstream = process
        .local_upstream
        .current(now, process.settings.announce_timeout)
        .ok_or(Reason::NoUpstream)?;
    if upstream.draining {
        return Err(Reason::Draining);
    }
    if upstream.spec.service != metadata.service {
        return Err(Reason::NotOwner);
    }
    Ok((process.ownership.admit(metadata.slot)?, upstream))
}

/// Returns the request's entry for the deduplication window; none if it has no
/// idempotency key or may run twice anyway.
fn keyed_request<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &Conn,
    metadata: &RequestMetadata,
    body: &ReqBody,
    now: Instant,
) -> Result<Option<KeyedRequest>, Reason> {
    let key = headers::text(conn.request_headers(), headers::IDEMPOTENCY_KEY);
    let Some(key) = key.filter(|_| !metadata.idempotent) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(Reason::BadHeader);
    }
    let method = conn.method();
    let head = format!(
        "{method} {}\n{:?}\n",
        conn.inner().path_and_query(),
        body.len()
    );
    let fingerprint = hash::checksum(&[head.as_bytes(), body.bytes()].concat());
    let wall_time = process.clock.wall();
    let age = metadata
        .first_sent
        .or_else(|| ibiscove_routing::first_sent::age_of_key(key, wall_time));
    Ok(Some(KeyedRequest {
        slot: metadata.slot,
        key: key.into(),
        fingerprint,
        first_sent: age.and_then(|age| now.checked_sub(age)),
    }))
}

/// A keyed request that the deduplication window admitted and that has not been
/// sent yet. Dropping it admits a duplicate.
struct PendingKeyedRequest {
    records: Arc<RequestRecords>,
    keyed: Option<KeyedRequest>,
}

impl PendingKeyedRequest {
    fn new<P, C>(process: &Process<P, C>, keyed: Option<KeyedRequest>) -> Self {
        Self {
            records: Arc::clone(&process.records),
            keyed,
        }
    }
}

impl Drop for PendingKeyedRequest {
    fn drop(&mut self) {
        if let Some(keyed) = self.keyed.take() {
            let empty = StoredResponse::default();
            self.records.end_keyed(&keyed, Outcome::NotRun, empty);
        }
    }
}

/// Records the request as sent: from here on it may have reached the upstream.
fn begin_request<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    metadata: &RequestMetadata,
    mut keyed: PendingKeyedRequest,
    admission: Admission,
    permit: Permit,
) -> Result<SentRequest, Refusal> {
    let now = process.clock.now();
    let id = (!metadata.idempotent).then(|| metadata.request_id.clone());
    if let Some(id) = &id {
        process.records.begin(id, now).map_err(Refusal::not_run)?;
    }
    let records = Arc::clone(&process.records);
    let keyed = keyed.keyed.take();
    Ok(SentRequest::new(records, id, keyed, admission, permit, now))
}

fn upstream_request<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    conn: &Conn,
    metadata: &RequestMetadata,
    fence: Option<ibiscove_types::Fence>,
    spec: &UpstreamSpec,
) -> ClientConn {
    let url = format!("http://{}{}", spec.addr, conn.inner().path_and_query());
    let mut outbound = process.http.build_conn(conn.method(), url.as_str());
    headers::copy_forwarded(conn.request_headers(), outbound.request_headers_mut());
    let to = outbound.request_headers_mut();
    let timeout = deadline::next_hop_timeout(metadata.timeout);
    to.insert(headers::REQUEST_ID, metadata.request_id.to_string());
    to.insert(headers::TIMEOUT_MS, timeout.as_millis().to_string());
    if let (Some(slot), Some(fence)) = (metadata.slot, fence) {
        to.insert(headers::SERVICE, metadata.service.to_string());
        to.insert(headers::SLOT, slot.to_string());
        to.insert(headers::FENCE, fence.to_string());
    }
    outbound
}

/// Distinguishes a response from a refusal of the fence, after which the
/// request has certainly not run.
fn evaluate_response(
    response: ClientConn,
    mut sent: SentRequest,
    now: Instant,
) -> Result<GateResponse, Refusal> {
    let status = response.status().map_or(0, |status| status as u16);
    let has_fence_header = headers::text(response.response_headers(), headers::FENCE).is_some();
    if status == Status::PreconditionFailed as u16 && has_fence_header {
        sent.record_failure(Outcome::NotRun, Reason::FenceRefused, now);
        return Err(Refusal::not_run(Reason::FenceRefused));
    }
    let content_type = response
        .response_headers()
        .get_str(KnownHeaderName::ContentType)
        .unwrap_or_default();
    sent.record_response(status, content_type, now);
    Ok(GateResponse::Upstream(Box::new((response, sent))))
}

async fn forward_response(mut conn: Conn, response: ClientConn, sent: SentRequest) -> Conn {
    if let Some(status) = response.status() {
        conn.set_status(status);
    }
    headers::copy_forwarded(response.response_headers(), conn.response_headers_mut());
    conn.response_headers_mut()
        .insert(headers::OUTCOME, Outcome::Ran.as_str());
    set_body(conn, response, sent).await.halt()
}

fn replay(conn: Conn, stored: StoredResponse) -> Conn {
    metrics::counter!("ibiscove_repeats_total").increment(1);
    let Some(body) = stored.body else {
        let refusal = Refusal {
            outcome: Outcome::Ran,
            reason: Reason::AlreadyRan,
        };
        return refusal.respond(conn, ROLE);
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

fn exchange_refusal(err: ExchangeError) -> Refusal {
    match err {
        ExchangeError::Unreachable => Refusal::not_run(Reason::UpstreamUnreachable),
        ExchangeError::Lost => Refusal::unknown(Reason::UpstreamLost),
        ExchangeError::TimedOut => Refusal::unknown(Reason::DeadlineExceeded),
        ExchangeError::CallerGone => Refusal::unknown(Reason::CallerGone),
        ExchangeError::CallerBodyBroken => Refusal::unknown(Reason::CallerStalled),
    }
}
