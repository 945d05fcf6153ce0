//! What a node answers to other nodes: forwarded requests, and its
//! configuration and range maps for those that are behind.

use crate::forward::Work;
use crate::gate::{Call, Gate, KeyOwner, Permit};
use crate::headers::{self, GATE_LOAD, OUTCOME};
use crate::refusal::Refusal;
use crate::relay::Reply;
use crate::routes::ConfigCell;
use hyper::body::Incoming;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response};
use ibiscove_http::body::read_whole;
use ibiscove_http::{Body, Exchange, Pool, SendError};
use ibiscove_ranges::RangeMaps;
use ibiscove_types::{Clock, Outcome, Reason, ServiceName};
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Path of the configuration.
const CONFIG_PATH: &str = "/_ibiscove/config";
/// Path of the range maps; a service's name follows, and as the query the
/// epoch of the map that the asking node has.
const RANGES_PATH: &str = "/_ibiscove/ranges/";
/// Largest body that is taken from another node, in bytes.
const MAX_BODY: usize = 64 << 20;
/// Time for a peer's configuration or map.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves the address for other nodes.
pub struct PeerServer<K, C> {
    /// The gate of this node.
    pub gate: Gate<K, C>,
    /// Its configuration.
    pub config: ConfigCell,
    /// Its range maps.
    pub maps: RangeMaps,
    /// The clock.
    pub clock: C,
}

impl<K: KeyOwner, C: Clock> PeerServer<K, C> {
    /// Answers a call of another node.
    pub async fn handle(&self, req: Request<Incoming>) -> Reply<Permit<K, C>> {
        let path = req.uri().path();
        if path == CONFIG_PATH {
            return match self.config.text() {
                Some(text) => Response::new(Body::whole(text)),
                None => Refusal::not_run(Reason::NoConfiguration).answer(),
            };
        }
        if let Some(service) = path.strip_prefix(RANGES_PATH) {
            let epoch = req.uri().query().and_then(|query| query.parse().ok());
            return self.map(service, epoch);
        }
        let mut reply = match self.forwarded(req).await {
            Ok(mut reply) => {
                let ran = headers::value(Outcome::Ran.as_str());
                reply.headers_mut().insert(OUTCOME, ran);
                reply
            }
            Err(refusal) => refusal.answer(),
        };
        let load = self.gate.load();
        let load = format!("{},{}", load.load, load.service_time.as_micros());
        reply.headers_mut().insert(GATE_LOAD, headers::value(&load));
        reply
    }

    async fn forwarded(&self, req: Request<Incoming>) -> Result<Reply<Permit<K, C>>, Refusal> {
        let (head, body) = req.into_parts();
        let bad = Refusal::not_run(Reason::BadHeader);
        let work = Work::read(&head.headers, self.clock.now()).ok_or(bad)?;
        let target = head.uri.path_and_query().cloned().ok_or(bad)?;
        let mut passed_on = head.headers;
        headers::remove_hop_by_hop(&mut passed_on);
        headers::remove_between_nodes(&mut passed_on);
        let body = read_whole(body, MAX_BODY).await;
        let body = body.map_err(|_| Refusal::not_run(Reason::CallerStalled))?;
        let call = Call {
            method: head.method,
            target,
            headers: passed_on,
            body,
        };
        self.gate.run(&work, &call).await
    }

    fn map<G>(&self, service: &str, epoch: Option<u64>) -> Response<Body<G>> {
        let Some(update) = self.maps.update_since(service, epoch) else {
            return Refusal::not_run(Reason::NoOwner).answer();
        };
        match serde_json::to_vec(&update) {
            Ok(body) => Response::new(Body::whole(body)),
            Err(err) => {
                log::error!("the range map of {service} cannot be written: {err}");
                Refusal::not_run(Reason::NoOwner).answer()
            }
        }
    }
}

/// Why a peer's configuration or map could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The peer could not be reached or did not answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// Its answer broke off or was too long.
    #[error(transparent)]
    Read(#[from] ibiscove_http::body::ReadError),
    /// It does not have what was asked for.
    #[error("the peer answered {0}")]
    Status(u16),
    /// Its answer is not what was asked for.
    #[error("the peer's answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The name of the service does not fit into a path.
    #[error("the service {0} cannot be asked for")]
    Name(ServiceName),
    /// No answer came in time.
    #[error("the peer did not answer in time")]
    TimedOut,
}

/// Fetches the text of a peer's configuration.
pub async fn fetch_config(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
) -> Result<bytes::Bytes, FetchError> {
    fetch(pool, clock, peer, PathAndQuery::from_static(CONFIG_PATH)).await
}

/// Fetches a peer's map of a service and takes it if it is newer.
pub async fn fetch_map(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    service: &ServiceName,
    maps: &RangeMaps,
) -> Result<(), FetchError> {
    let epoch = maps.get(service).map(|known| known.map.epoch());
    let query = epoch.map_or_else(String::new, |epoch| format!("?{epoch}"));
    let path = format!("{RANGES_PATH}{service}{query}");
    let path = path
        .parse()
        .map_err(|_| FetchError::Name(Arc::clone(service)))?;
    let body = fetch(pool, clock, peer, path).await?;
    maps.accept_update(service, serde_json::from_slice(&body)?);
    Ok(())
}

async fn fetch(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    path: PathAndQuery,
) -> Result<bytes::Bytes, FetchError> {
    let call = Call {
        method: Method::GET,
        target: path,
        headers: Default::default(),
        body: Default::default(),
    };
    let fetching = async {
        let sent = pool
            .send(peer, call.request(Default::default()), FETCH_TIMEOUT)
            .await?;
        let Exchange {
            response,
            connection,
        } = sent;
        let status = response.status();
        let body = read_whole(response.into_body(), MAX_BODY).await?;
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
