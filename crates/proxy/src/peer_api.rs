//! The HTTP interface between nodes: forwarded requests, and configurations and
//! range maps for nodes that have older ones.

use crate::forward::RequestMetadata;
use crate::gate::{Gate, KeyOwnership, OutboundRequest, Permit};
use crate::headers::{self, FORWARD, GATE_LOAD, OUTCOME};
use crate::refusal::{Place, Refusal};
use crate::relay::RelayedResponse;
use crate::routes::ConfigCell;
use crate::suspects::Suspects;
use crate::transit::TransitBySender;
use hyper::body::Incoming;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response};
use ibiscove_http::body::{BodyBudget, read_whole, read_within_budget};
use ibiscove_http::{Body, Exchange, Pool, SendError};
use ibiscove_ranges::RangeMaps;
use ibiscove_ranges::map::SectionIndex;
use ibiscove_ranges::maps::SectionUpdate;
use ibiscove_routing::quarantine::CrashRecord;
use ibiscove_types::{BootClock, Clock, Outcome, Reason, ServiceName};
use serde::Serialize;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Path under which a node serves its configuration.
const CONFIG_PATH: &str = "/_ibiscove/config";
/// Path under which a node serves its range maps. A service's name follows, and
/// as the query the epochs of the requesting node's sections.
const RANGES_PATH: &str = "/_ibiscove/ranges/";
/// Path under which a node serves what it knows of requests beside which upstreams
/// have crashed.
const SUSPECTS_PATH: &str = "/_ibiscove/suspects";
/// Largest response of another node: a configuration and the sections of a map are rows
/// of the store, of tens of KiB each.
const MAX_FETCHED_BYTES: usize = 4 << 20;
/// Timeout for fetching a peer's configuration or map.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves requests of other nodes.
pub struct PeerServer<K, C> {
    /// The gate of this node.
    pub gate: Gate<K, C>,
    /// Its configuration.
    pub config: ConfigCell,
    /// Its range maps.
    pub maps: RangeMaps,
    /// What it knows of crashes.
    pub suspects: Suspects,
    /// The clock.
    pub clock: C,
    /// Memory for the bodies of requests.
    pub body_budget: BodyBudget,
    /// How long requests wait on their way.
    pub transit: TransitBySender,
}

impl<K: KeyOwnership, C: Clock + BootClock> PeerServer<K, C> {
    /// Responds to a request of another node.
    pub async fn handle(&self, req: Request<Incoming>) -> RelayedResponse<Permit<K, C>> {
        let path = req.uri().path();
        if path == CONFIG_PATH {
            return match self.config.text() {
                Some(text) => Response::new(Body::whole(text)),
                None => Refusal::not_run(Reason::NoConfiguration).response(),
            };
        }
        if let Some(service) = path.strip_prefix(RANGES_PATH) {
            return self.map_updates(service, req.uri().query().unwrap_or_default());
        }
        if path == SUSPECTS_PATH {
            return respond_json("suspects", &self.suspects.records());
        }
        let mut metadata = RequestMetadata::read(req.headers(), self.clock.now());
        if let Some(metadata) = &mut metadata {
            self.deduct_wait(metadata);
        }
        let fingerprint = metadata.as_ref().and_then(|metadata| metadata.fingerprint);
        let mut response = match self.run_forwarded(metadata, req).await {
            Ok(mut response) => {
                let ran = headers::value(Outcome::Ran.as_str());
                response.headers_mut().insert(OUTCOME, ran);
                response
            }
            Err(refusal) => refusal.response_to_node(),
        };
        let load = self.gate.load();
        response
            .headers_mut()
            .insert(GATE_LOAD, headers::value(&load.to_header()));
        if let Some(report) = self.gate.notice_report() {
            report.write(response.headers_mut());
        }
        self.suspects
            .write_header(fingerprint, response.headers_mut());
        response
    }

    /// Deducts the time that a request has waited on a link, after which its caller may
    /// have left.
    fn deduct_wait(&self, metadata: &mut RequestMetadata) {
        let Some(sent) = metadata.sent else {
            return;
        };
        let now = self.clock.since_boot();
        let wait = self.transit.record(&metadata.entry_node, sent, now);
        metrics::histogram!("ibiscove_transit_wait_seconds").record(wait);
        metadata.deduct(wait);
    }

    async fn run_forwarded(
        &self,
        metadata: Option<RequestMetadata>,
        req: Request<Incoming>,
    ) -> Result<RelayedResponse<Permit<K, C>>, Refusal> {
        let (head, body) = req.into_parts();
        // No caller has written what can't be read here.
        let unreadable = || {
            let metadata_bytes = head.headers.get(FORWARD).map_or(0, |value| value.len());
            log::warn!(metadata_bytes = metadata_bytes;
                "a forwarded request is refused, its metadata or path cannot be read");
            Refusal::not_run(Reason::NodesDisagree).at(Place::PeerMetadata)
        };
        let metadata = metadata.ok_or_else(unreadable)?;
        let path_and_query = head.uri.path_and_query().cloned();
        let path_and_query = path_and_query.ok_or_else(unreadable)?;
        let mut forwarded_headers = head.headers;
        headers::remove_hop_by_hop(&mut forwarded_headers);
        headers::remove_internode(&mut forwarded_headers);
        // The entry has applied the limit of its configuration; the budget bounds memory.
        let read = read_within_budget(body, usize::MAX, &self.body_budget).await;
        let (body, _reservation) = read.map_err(|err| Refusal::of_body(err).at(Place::PeerBody))?;
        let outbound = OutboundRequest {
            method: head.method,
            path_and_query,
            headers: forwarded_headers,
            body,
        };
        self.gate.run(&metadata, &outbound).await
    }

    /// Responds with the sections of a service's map that are newer than the
    /// epochs in the query.
    fn map_updates<G>(&self, service: &str, query: &str) -> Response<Body<G>> {
        let updates = self.maps.updates_since(service, &parse_epochs(query));
        respond_json("range map", &updates)
    }
}

/// Responds to another node with `content`, named by `what` in the log.
fn respond_json<G>(what: &str, content: &impl Serialize) -> Response<Body<G>> {
    match serde_json::to_vec(content) {
        Ok(body) => Response::new(Body::whole(body)),
        Err(err) => {
            log::error!(what = what; "cannot be serialised and is not served: {err}");
            Refusal::not_run(Reason::NoOwner).response()
        }
    }
}

/// Separates the epochs of sections in a query; an empty text stands for a
/// section that the node does not have.
const EPOCH_SEPARATOR: char = ',';

fn format_epochs(epochs: &[Option<u64>]) -> String {
    let text = |epoch: &Option<u64>| epoch.map(|epoch| epoch.to_string()).unwrap_or_default();
    let texts: Vec<String> = epochs.iter().map(text).collect();
    texts.join(&EPOCH_SEPARATOR.to_string())
}

fn parse_epochs(query: &str) -> Vec<Option<u64>> {
    let texts = query.split(EPOCH_SEPARATOR);
    texts.map(|text| text.parse().ok()).collect()
}

/// Why a peer's configuration or map could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The peer could not be reached or did not respond.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response was truncated or too long.
    #[error(transparent)]
    Read(#[from] ibiscove_http::body::ReadError),
    /// The peer responded with an error status.
    #[error("the peer responded with status {0}")]
    Status(u16),
    /// The response cannot be parsed.
    #[error("the peer's response is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The service's name is not valid in a path.
    #[error("the service name {0} is not valid in a path")]
    InvalidServiceName(ServiceName),
    /// The timeout passed without a response.
    #[error("the peer did not respond in time")]
    TimedOut,
}

impl FetchError {
    /// Returns the kind of the error, as a label of metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Send(_) => "not-reached",
            Self::Read(_) => "broken-off",
            Self::Status(_) => "status",
            Self::Malformed(_) => "malformed",
            Self::InvalidServiceName(_) => "service-name",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Fetches the source text of a peer's configuration.
pub async fn fetch_config(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
) -> Result<bytes::Bytes, FetchError> {
    fetch(pool, clock, peer, PathAndQuery::from_static(CONFIG_PATH)).await
}

/// Fetches the sections of a service's range map of which a peer has a newer
/// state, and applies them.
pub async fn fetch_map(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    service: &ServiceName,
    maps: &RangeMaps,
) -> Result<(), FetchError> {
    let epochs = format_epochs(&maps.epochs(service));
    let path = format!("{RANGES_PATH}{service}?{epochs}");
    let path = path
        .parse()
        .map_err(|_| FetchError::InvalidServiceName(Arc::clone(service)))?;
    let body = fetch(pool, clock, peer, path).await?;
    let updates: Vec<(SectionIndex, SectionUpdate)> = serde_json::from_slice(&body)?;
    for (section, update) in updates {
        maps.accept_update(service, section, update);
    }
    Ok(())
}

/// Fetches what a peer knows of requests beside which upstreams have crashed.
pub async fn fetch_suspects(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
) -> Result<Vec<CrashRecord>, FetchError> {
    let path = PathAndQuery::from_static(SUSPECTS_PATH);
    Ok(serde_json::from_slice(
        &fetch(pool, clock, peer, path).await?,
    )?)
}

async fn fetch(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    path: PathAndQuery,
) -> Result<bytes::Bytes, FetchError> {
    let outbound = OutboundRequest {
        method: Method::GET,
        path_and_query: path,
        headers: Default::default(),
        body: Default::default(),
    };
    let fetching = async {
        let sent = pool
            .send(peer, outbound.to_http(Default::default()), FETCH_TIMEOUT)
            .await?;
        let Exchange {
            response,
            connection,
            ..
        } = sent;
        let status = response.status();
        let body = read_whole(response.into_body(), MAX_FETCHED_BYTES).await?;
        connection.return_to_pool();
        match status.is_success() {
            true => Ok(body),
            false => Err(FetchError::Status(status.as_u16())),
        }
    };
    let timeout = async {
        clock.sleep(FETCH_TIMEOUT).await;
        Err(FetchError::TimedOut)
    };
    fetching.or(timeout).await
}
