//! Fetching of newer configurations, range maps and crash records from other nodes.

use super::{EPOCH_SEPARATOR, RANGES_PATH, SUSPECTS_PATH};
use crate::gate::OutboundRequest;
use bytes::Bytes;
use hyper::Method;
use hyper::http::uri::PathAndQuery;
use ibiscove_chunks::ChunkError;
use ibiscove_http::body::read_whole;
use ibiscove_http::{Exchange, Pool, SendError};
use ibiscove_ranges::RangeMaps;
use ibiscove_ranges::map::SectionIndex;
use ibiscove_ranges::maps::SectionUpdate;
use ibiscove_routing::quarantine::CrashRecord;
use ibiscove_types::{Clock, ServiceName};
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest response of another node: a configuration and the sections of a map are rows
/// of the store, of tens of KiB each.
const MAX_FETCHED_BYTES: usize = 4 << 20;
/// Timeout for fetching a peer's configuration or map.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

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
    /// A path is not valid.
    #[error("the path {0} is not valid")]
    InvalidPath(String),
    /// The response ends within a chunk.
    #[error("the response ends within a chunk")]
    Truncated,
    /// A chunk is damaged, or the text that the chunks make.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
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
            Self::InvalidPath(_) => "path",
            Self::Truncated | Self::Chunk(_) => "chunk",
            Self::TimedOut => "timed-out",
        }
    }
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

pub(crate) async fn fetch(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    path: PathAndQuery,
) -> Result<Bytes, FetchError> {
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

fn format_epochs(epochs: &[Option<u64>]) -> String {
    let text = |epoch: &Option<u64>| epoch.map(|epoch| epoch.to_string()).unwrap_or_default();
    let texts: Vec<String> = epochs.iter().map(text).collect();
    texts.join(&EPOCH_SEPARATOR.to_string())
}
