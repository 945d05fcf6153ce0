//! Fetching of newer configurations, range maps and crash records from other nodes.

use super::{AFTER_QUERY, CONFIG_PATH, EPOCH_SEPARATOR, RANGES_PATH, SUSPECTS_PATH};
use crate::gate::OutboundRequest;
use crate::headers::MORE_PAGES;
use crate::suspects::Suspects;
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode};
use ibiscove_http::body::{ReadBytes, ReadError, next_data};
use ibiscove_http::{Exchange, Pool, SendError};
use ibiscove_ranges::RangeMaps;
use ibiscove_ranges::map::SectionIndex;
use ibiscove_ranges::maps::SectionUpdate;
use ibiscove_routing::quarantine::CrashRecord;
use ibiscove_types::{Clock, ServiceName, format_fingerprint};
use smol::future::FutureExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest response of another node: nodes without pages send a whole configuration, map
/// or set of crash records, of up to some hundred KiB each.
const MAX_FETCHED_BYTES: usize = 4 << 20;
/// Most pages of a transfer, as many as make up the largest response.
const MAX_PAGES: usize = 64;
/// Time after which a peer that sends nothing is given up: the longest wait of a transfer
/// at its sender, and a lost packet on a link with a round trip of 200 ms.
const MAX_SILENCE: Duration = Duration::from_millis(800);
/// Slowest rate in bytes a second at which a transfer goes on: what is left to each of
/// two transfers on a link of 10 Mbit/s of which requests use all but 3 %.
const MIN_RATE: u32 = 16_000;
/// Time that a transfer may take beyond that of its bytes at [`MIN_RATE`]: two silences.
const TRANSFER_GRACE: Duration = Duration::from_millis(1_600);
/// Idle time up to which a connection is reused, as long as a fetch may hold it silent.
const MAX_IDLE: Duration = MAX_SILENCE;

/// Why a peer's configuration or map could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The peer could not be reached or did not respond.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response was truncated or too long.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The peer responded with an error status.
    #[error("the peer responded with status {0}")]
    Status(u16),
    /// The response cannot be parsed.
    #[error("the peer's response is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The service's name is not valid in a path.
    #[error("the service name {0} is not valid in a path")]
    InvalidServiceName(ServiceName),
    /// The peer makes too many transfers at present.
    #[error("the peer is busy with other transfers")]
    Busy,
    /// The peer sent nothing for [`MAX_SILENCE`].
    #[error("the peer did not respond in time")]
    TimedOut,
    /// The peer sent less than [`MIN_RATE`] allows.
    #[error("the peer sends too slowly")]
    TooSlow,
}

/// Fetches the source text of a peer's configuration.
pub async fn fetch_config(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
) -> Result<Bytes, FetchError> {
    let mut transfer = Transfer::begin(pool, clock, peer);
    let page = transfer
        .fetch(PathAndQuery::from_static(CONFIG_PATH))
        .await?;
    Ok(page.body)
}

/// Fetches the sections of a service's range map of which a peer has a newer
/// state, page by page, and applies each page at once. If the fetch fails, the next one
/// asks for the other sections only, whichever the peer.
pub async fn fetch_map(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    service: &ServiceName,
    maps: &RangeMaps,
) -> Result<(), FetchError> {
    let mut transfer = Transfer::begin(pool, clock, peer);
    let mut unusable = BTreeSet::new();
    for _ in 0..MAX_PAGES {
        let mut epochs = maps.epochs(service);
        for (section, epoch) in epochs.iter_mut().enumerate() {
            if unusable.contains(&section) {
                // Otherwise each page would begin with them again.
                *epoch = Some(u64::MAX);
            }
        }
        let path = format!("{RANGES_PATH}{service}?{}", format_epochs(&epochs));
        let path = path
            .parse()
            .map_err(|_| FetchError::InvalidServiceName(Arc::clone(service)))?;
        let page = transfer.fetch(path).await?;
        let updates: Vec<(SectionIndex, SectionUpdate)> = serde_json::from_slice(&page.body)?;
        let is_last = updates.is_empty() || !page.has_more;
        for (section, update) in updates {
            if !maps.accept_update(service, section, update) {
                unusable.insert(section);
            }
        }
        if is_last {
            break;
        }
    }
    Ok(())
}

/// Fetches what a peer, named by `source` in the log, knows of requests beside which
/// upstreams have crashed, page by page, and takes over each page at once.
pub async fn fetch_suspects(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    suspects: &Suspects,
    source: &str,
) -> Result<(), FetchError> {
    let mut transfer = Transfer::begin(pool, clock, peer);
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let text = after.map(format_fingerprint).unwrap_or_default();
        let path = PathAndQuery::try_from(format!("{SUSPECTS_PATH}?{AFTER_QUERY}{text}"))
            .expect("a fingerprint is valid in a query");
        let page = transfer.fetch(path).await?;
        let records: Vec<CrashRecord> = serde_json::from_slice(&page.body)?;
        let last = records.iter().map(|record| record.fingerprint).max();
        suspects.merge(records, source, clock.now());
        if !page.has_more || last <= after {
            break;
        }
        after = last;
    }
    Ok(())
}

/// A response of a peer.
struct FetchedPage {
    body: Bytes,
    has_more: bool,
}

/// A transfer from a peer in one or more pages. Its time is limited by the bytes that
/// have arrived, so that a slow link is not given up while it delivers, and a peer that
/// hardly sends does not hold up the node.
struct Transfer<'a, C> {
    pool: &'a Pool,
    clock: &'a C,
    peer: SocketAddr,
    began: Instant,
    received: usize,
}

impl<'a, C: Clock> Transfer<'a, C> {
    fn begin(pool: &'a Pool, clock: &'a C, peer: SocketAddr) -> Self {
        Self {
            pool,
            clock,
            peer,
            began: clock.now(),
            received: 0,
        }
    }

    async fn fetch(&mut self, path: PathAndQuery) -> Result<FetchedPage, FetchError> {
        let outbound = OutboundRequest {
            method: Method::GET,
            path_and_query: path,
            headers: Default::default(),
            body: Default::default(),
        };
        let request = outbound.to_http(Default::default());
        let sending = self.pool.send(self.peer, request, MAX_IDLE);
        let Exchange {
            response,
            connection,
            ..
        } = self.within_limits(sending).await??;
        let status = response.status();
        let has_more = response.headers().contains_key(MORE_PAGES);
        let mut body = response.into_body();
        let mut read = ReadBytes::default();
        while let Some(data) = self
            .within_limits(next_data(&mut body))
            .await?
            .map_err(ReadError::from)?
        {
            self.received += data.len();
            read.push(data);
            if read.len() > MAX_FETCHED_BYTES {
                let limit = MAX_FETCHED_BYTES;
                return Err(ReadError::TooLong { limit }.into());
            }
        }
        connection.return_to_pool();
        match status {
            StatusCode::SERVICE_UNAVAILABLE => Err(FetchError::Busy),
            _ if !status.is_success() => Err(FetchError::Status(status.as_u16())),
            _ => Ok(FetchedPage {
                body: read.into_bytes(),
                has_more,
            }),
        }
    }

    /// Waits for the next bytes within the limits on silence and on slowness.
    async fn within_limits<T>(&self, next: impl Future<Output = T>) -> Result<T, FetchError> {
        let at_min_rate = Duration::from_secs_f64(self.received as f64 / f64::from(MIN_RATE));
        let latest = self.began + TRANSFER_GRACE + at_min_rate;
        let left = latest.saturating_duration_since(self.clock.now());
        let timeout = async {
            self.clock.sleep(left.min(MAX_SILENCE)).await;
            Err(match left < MAX_SILENCE {
                true => FetchError::TooSlow,
                false => FetchError::TimedOut,
            })
        };
        async { Ok(next.await) }.or(timeout).await
    }
}

fn format_epochs(epochs: &[Option<u64>]) -> String {
    let text = |epoch: &Option<u64>| epoch.map(|epoch| epoch.to_string()).unwrap_or_default();
    let texts: Vec<String> = epochs.iter().map(text).collect();
    texts.join(&EPOCH_SEPARATOR.to_string())
}
