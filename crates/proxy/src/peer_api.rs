//! The HTTP interface between nodes: forwarded requests, and configurations and
//! range maps for nodes that have older ones.

use crate::config_transfer::{self, CHUNKS_PATH, CONFIG_PATH, Unserved};
use crate::forward::RequestMetadata;
use crate::gate::{Gate, KeyOwnership, OutboundRequest, Permit};
use crate::headers::{self, FORWARD, GATE_LOAD, OUTCOME};
use crate::refusal::{Place, Refusal};
use crate::relay::RelayedResponse;
use crate::routes::ConfigCell;
use crate::suspects::Suspects;
use crate::transfer_pacing::TransferPacing;
use crate::transit::TransitBySender;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use ibiscove_http::Body;
use ibiscove_http::body::{BodyBudget, read_within_budget};
use ibiscove_ranges::RangeMaps;
use ibiscove_types::{BootClock, Clock, Outcome, Reason, parse_fingerprint};
use page::Page;
use serde::Serialize;

mod fetch;
mod page;

pub(crate) use fetch::fetch;
pub use fetch::{FetchError, fetch_map, fetch_suspects};

/// Path under which a node serves its range maps. A service's name follows, and
/// as the query the epochs of the requesting node's sections.
const RANGES_PATH: &str = "/_ibiscove/ranges/";
/// Path under which a node serves what it knows of requests beside which upstreams
/// have crashed.
const SUSPECTS_PATH: &str = "/_ibiscove/suspects";
/// Query for the page of crash records after a fingerprint, or for the first page if
/// none follows.
const AFTER_QUERY: &str = "after=";
/// Longest response that isn't paced. Changes of range maps and small changes of the
/// configuration stay prompt while a large configuration spreads; one takes 3 ms of a link
/// of 10 Mbit/s.
const MAX_UNPACED_BYTES: usize = 4 << 10;

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
    /// Limit on the rate of what is sent to nodes that have older states.
    pub pacing: TransferPacing,
}

impl<K: KeyOwnership, C: Clock + BootClock> PeerServer<K, C> {
    /// Responds to a request of another node.
    pub async fn handle(&self, req: Request<Incoming>) -> RelayedResponse<Permit<K, C>> {
        let path = req.uri().path();
        let query = req.uri().query();
        if path == CONFIG_PATH {
            return self
                .respond_config(config_transfer::respond(&self.config, query))
                .await;
        }
        if path == CHUNKS_PATH {
            let query = query.unwrap_or_default();
            let chunks = config_transfer::respond_chunks(&self.config, query);
            return self.respond_config(chunks).await;
        }
        if let Some(service) = path.strip_prefix(RANGES_PATH) {
            let epochs = parse_epochs(query.unwrap_or_default());
            let updates = self.maps.updates_since(service, &epochs);
            return self.respond_page("range map", updates).await;
        }
        if path == SUSPECTS_PATH {
            return self.crash_records(query).await;
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

    /// Responds with crash records: a page of them, or all to a node that does not ask
    /// for a page and would not ask for the next one.
    async fn crash_records<G>(&self, query: Option<&str>) -> Response<Body<G>> {
        let after = query.and_then(|query| query.strip_prefix(AFTER_QUERY));
        let records = self
            .suspects
            .records_after(after.and_then(parse_fingerprint));
        match after {
            Some(_) => self.respond_page("suspects", records.into_iter()).await,
            None => self.respond(Page::of_all("suspects", &records)).await,
        }
    }

    async fn respond_page<G, T: Serialize>(
        &self,
        what: &str,
        items: impl Iterator<Item = T>,
    ) -> Response<Body<G>> {
        let page = Page::of_first(what, items);
        self.respond(page).await
    }

    /// Responds with a page at the rate of this node's transfers.
    async fn respond<G>(&self, page: Result<Page, Refusal>) -> Response<Body<G>> {
        let page = match page {
            Ok(page) => page,
            Err(refusal) => return refusal.response(),
        };
        match self.pace(page.body.len()).await {
            Ok(()) => page.response(),
            Err(busy) => busy.response(),
        }
    }

    /// Responds with what another node asks for of the configuration, at the same rate.
    async fn respond_config<G>(&self, body: Result<Bytes, Unserved>) -> Response<Body<G>> {
        let body = match body {
            Ok(body) => body,
            Err(Unserved::NoConfiguration) => {
                return Refusal::not_run(Reason::NoConfiguration).response();
            }
            Err(Unserved::NoSuchChunks) => {
                let mut response = Response::new(Body::whole(Bytes::new()));
                *response.status_mut() = StatusCode::NOT_FOUND;
                return response;
            }
        };
        match self.pace(body.len()).await {
            Ok(()) => Response::new(Body::whole(body)),
            Err(busy) => busy.response(),
        }
    }

    /// Waits until a transfer of `bytes` may start; refuses it if that takes too long.
    async fn pace(&self, bytes: usize) -> Result<(), Refusal> {
        if bytes <= MAX_UNPACED_BYTES {
            return Ok(());
        }
        match self.pacing.reserve(bytes, self.clock.now()) {
            Ok(wait) => {
                self.clock.sleep(wait).await;
                Ok(())
            }
            Err(busy) => {
                metrics::counter!("ibiscove_transfers_refused_total").increment(1);
                let refusal = Refusal::not_run(Reason::Overloaded);
                Err(refusal.with_retry_after(busy.retry_after))
            }
        }
    }
}

/// Separates the epochs of sections in a query; an empty text stands for a
/// section that the node does not have.
const EPOCH_SEPARATOR: char = ',';

fn parse_epochs(query: &str) -> Vec<Option<u64>> {
    let texts = query.split(EPOCH_SEPARATOR);
    texts.map(|text| text.parse().ok()).collect()
}
