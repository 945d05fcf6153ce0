//! Fetching of newer configurations, range maps and crash records from other nodes.

use super::{AFTER_QUERY, EPOCH_SEPARATOR, RANGES_PATH, SUSPECTS_PATH};
use crate::gate::OutboundRequest;
use crate::headers::MORE_PAGES;
use crate::refusal::Refusal;
use crate::suspects::Suspects;
use bytes::Bytes;
use hyper::Method;
use hyper::http::uri::PathAndQuery;
use ibiscove_chunks::ChunkError;
use ibiscove_http::body::{ReadBytes, ReadError, next_data};
use ibiscove_http::{Exchange, Pool, SendError};
use ibiscove_io::{Transfer, TransferLimits};
use ibiscove_ranges::RangeMaps;
use ibiscove_ranges::map::SectionIndex;
use ibiscove_ranges::maps::SectionUpdate;
use ibiscove_routing::quarantine::CrashRecord;
use ibiscove_types::{Clock, Reason, ServiceName, format_fingerprint};
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
/// Limits on the rest of a transfer after the head of its first response.
const LIMITS: TransferLimits = TransferLimits {
    silence: MAX_SILENCE,
    min_rate: MIN_RATE,
};
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
    /// A path is not valid.
    #[error("the path {0} is not valid")]
    InvalidPath(String),
    /// The response ends within a chunk.
    #[error("the response ends within a chunk")]
    Truncated,
    /// A chunk is damaged, or the text that the chunks make.
    #[error(transparent)]
    Chunk(#[from] ChunkError),
    /// The peer makes too many transfers at present.
    #[error("the peer is busy with other transfers")]
    Busy {
        /// Time after which it is likely to accept one.
        retry_after: Duration,
    },
    /// The peer went silent, or sent too slowly.
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
            Self::Busy { .. } => "busy",
            Self::TimedOut => "timed-out",
        }
    }
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
    let mut transfer = PeerTransfer::begin(pool, clock, peer);
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
    let mut transfer = PeerTransfer::begin(pool, clock, peer);
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let text = after.map(format_fingerprint).unwrap_or_default();
        let path = format!("{SUSPECTS_PATH}?{AFTER_QUERY}{text}");
        let path = path.parse().map_err(|_| FetchError::InvalidPath(path))?;
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

/// Fetches a response of a peer that is not in pages.
pub(crate) async fn fetch(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    path: PathAndQuery,
) -> Result<Bytes, FetchError> {
    let page = PeerTransfer::begin(pool, clock, peer).fetch(path).await?;
    Ok(page.body)
}

/// A response of a peer.
struct FetchedPage {
    body: Bytes,
    has_more: bool,
}

/// A transfer from a peer in one or more pages. Its time is limited by the bytes that
/// have arrived, so that a slow link is not given up while it delivers, and a peer that
/// hardly sends does not hold up the node.
struct PeerTransfer<'a, C> {
    pool: &'a Pool,
    clock: &'a C,
    peer: SocketAddr,
    began: Instant,
    /// What has arrived; none before the first head.
    progress: Option<Transfer>,
}

impl<'a, C: Clock> PeerTransfer<'a, C> {
    fn begin(pool: &'a Pool, clock: &'a C, peer: SocketAddr) -> Self {
        Self {
            pool,
            clock,
            peer,
            began: clock.now(),
            progress: None,
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
        self.record(0);
        let status = response.status();
        let refusal = Refusal::from_response(&response);
        let has_more = response.headers().contains_key(MORE_PAGES);
        let mut body = response.into_body();
        let mut read = ReadBytes::default();
        while let Some(data) = self
            .within_limits(next_data(&mut body))
            .await?
            .map_err(ReadError::from)?
        {
            self.record(data.len());
            read.push(data);
            if read.len() > MAX_FETCHED_BYTES {
                let limit = MAX_FETCHED_BYTES;
                return Err(ReadError::TooLong { limit }.into());
            }
        }
        connection.return_to_pool();
        match refusal {
            Some(refusal) if refusal.reason == Reason::Overloaded => Err(FetchError::Busy {
                retry_after: refusal.retry_after,
            }),
            _ if !status.is_success() => Err(FetchError::Status(status.as_u16())),
            _ => Ok(FetchedPage {
                body: read.into_bytes(),
                has_more,
            }),
        }
    }

    /// Records that a head or bytes of a body have arrived.
    fn record(&mut self, bytes: usize) {
        let now = self.clock.now();
        let progress = self
            .progress
            .get_or_insert_with(|| Transfer::new(LIMITS, now));
        progress.record(bytes, now);
    }

    /// Waits for the next bytes within the limits on silence and on slowness.
    async fn within_limits<T>(&self, next: impl Future<Output = T>) -> Result<T, FetchError> {
        let before_head = self.began + MAX_SILENCE;
        let deadline = self
            .progress
            .map_or(before_head, |progress| progress.deadline());
        let timeout = async {
            let left = deadline.saturating_duration_since(self.clock.now());
            self.clock.sleep(left).await;
            Err(FetchError::TimedOut)
        };
        async { Ok(next.await) }.or(timeout).await
    }
}

fn format_epochs(epochs: &[Option<u64>]) -> String {
    let text = |epoch: &Option<u64>| epoch.map(|epoch| epoch.to_string()).unwrap_or_default();
    let texts: Vec<String> = epochs.iter().map(text).collect();
    texts.join(&EPOCH_SEPARATOR.to_string())
}
