//! How the text of the configuration passes from node to node: in chunks, of which a node
//! asks for those that its own text lacks. See docs/design/transfers.md.
//!
//! What has arrived is kept until the version is in force, so an exchange that fails costs
//! its chunks only, and several peers may be asked for different chunks at a time.

use crate::peer_api::{FetchError, fetch};
use crate::routes::ConfigCell;
use bytes::{BufMut, Bytes, BytesMut};
use hyper::http::uri::PathAndQuery;
use ibiscove_chunks::{Assembly, ChunkError, Manifest};
use ibiscove_http::Pool;
use ibiscove_types::Clock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Path under which a node serves its configuration: as a whole, or what
/// [`MANIFEST_QUERY`] asks for.
pub(crate) const CONFIG_PATH: &str = "/_ibiscove/config";
/// Query for the manifest of a long configuration. A short one, and that of a node of an
/// earlier release, comes as a whole.
const MANIFEST_QUERY: &str = "form=manifest";
/// Path under which a node serves chunks of its configuration. The query holds the
/// version and the indices, separated by commas.
pub(crate) const CHUNKS_PATH: &str = "/_ibiscove/config/chunks";
/// Begins the body of a response that is a manifest. No configuration begins with it.
const MANIFEST_PREFIX: &[u8] = b"ibiscove-manifest ";

/// Longest text that is sent as a whole. At 10 Mbit/s it takes 7 ms, about as long as the
/// additional exchange for a manifest.
const MAX_WHOLE_BYTES: usize = 8 << 10;
/// Content that one response carries unless a single chunk has more. Compressed it takes
/// some 15 ms of a link of 10 Mbit/s, so that callers' responses pass in between.
const BATCH_BYTES: usize = 64 << 10;
/// Most chunks in one request, by which its path stays short.
const MAX_BATCH_CHUNKS: usize = 64;
/// Time after which chunks are asked of another peer, too.
const CHUNK_HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Time without a new chunk after which a download has stalled: nobody may have its version
/// any more, or another text under the same number. Longer than a chunk is awaited from one
/// peer, shorter than two peers in a row take to be given up.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time for one response after which its peer is left for another. At the sender's limit
/// it waits for up to 200 ms, and takes some 15 ms of a link of 10 Mbit/s.
const SLOW_RESPONSE: Duration = Duration::from_millis(400);

/// Why a node does not serve what it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unserved {
    /// It has no configuration.
    NoConfiguration,
    /// The chunks are of a version that is not in force here, or do not exist.
    NoSuchChunks,
}

/// Returns the body of the response to a request for the configuration.
pub(crate) fn respond(config: &ConfigCell, query: Option<&str>) -> Result<Bytes, Unserved> {
    let text = config.text().ok_or(Unserved::NoConfiguration)?;
    if query != Some(MANIFEST_QUERY) || text.len() <= MAX_WHOLE_BYTES {
        return Ok(text);
    }
    let chunked = config.chunked().ok_or(Unserved::NoConfiguration)?;
    let mut body = MANIFEST_PREFIX.to_vec();
    match serde_json::to_writer(&mut body, chunked.manifest()) {
        Ok(()) => Ok(body.into()),
        Err(err) => {
            log::error!("a manifest cannot be serialised, the text is served whole: {err}");
            Ok(text)
        }
    }
}

/// Returns the body of the response to a request for chunks: each with its length ahead,
/// as a number of 32 bits.
pub(crate) fn respond_chunks(config: &ConfigCell, query: &str) -> Result<Bytes, Unserved> {
    let chunked = config.chunked().ok_or(Unserved::NoConfiguration)?;
    let mut numbers = query.split(',').map(|text| text.parse::<u64>().ok());
    if numbers.next().flatten() != Some(chunked.manifest().version) {
        return Err(Unserved::NoSuchChunks);
    }
    let mut body = BytesMut::new();
    for index in numbers.take(MAX_BATCH_CHUNKS) {
        let index = index.and_then(|index| usize::try_from(index).ok());
        let chunk = index.and_then(|index| chunked.compressed(index));
        let chunk = chunk.ok_or(Unserved::NoSuchChunks)?;
        body.put_u32(chunk.len() as u32);
        body.put(chunk);
    }
    Ok(body.freeze())
}

/// A configuration that is being fetched. Clones share it.
#[derive(Clone, Default)]
pub struct ConfigDownload(Arc<Mutex<Download>>);

#[derive(Default)]
struct Download {
    /// The newest version of which a peer has sent the manifest.
    assembly: Option<Assembly>,
    /// When each chunk was asked for that has not arrived. Indices are those of the
    /// assembly's manifest.
    requested: HashMap<usize, Instant>,
    /// When the last manifest or chunk arrived; none if a chunk was not what the manifest
    /// describes.
    last_progress: Option<Instant>,
    /// Whether the text was put together. Its chunks are kept for the next version until
    /// this one is in force.
    is_taken: bool,
}

impl Download {
    fn version(&self) -> Option<u64> {
        let assembly = self.assembly.as_ref();
        assembly.map(|assembly| assembly.manifest().version)
    }

    fn has_stalled(&self, now: Instant) -> bool {
        self.last_progress
            .is_none_or(|at| now.saturating_duration_since(at) >= STALL_TIME)
    }
}

/// The text of a configuration that was fetched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchedConfig {
    /// The text.
    pub text: Bytes,
    /// Its version, if the text is known to be that one, undamaged.
    pub verified_version: Option<u64>,
}

/// The chunks of one request. Dropping it lets others ask for those that have not arrived.
struct Batch<'a> {
    download: &'a ConfigDownload,
    version: u64,
    indices: Vec<usize>,
}

impl ConfigDownload {
    /// Returns whether a newer version than `version` is arriving. An older one is worth
    /// its bytes only once that has stalled.
    pub fn is_newer_arriving(&self, version: u64, now: Instant) -> bool {
        let download = self.lock();
        !download.is_taken
            && download.version().is_some_and(|newer| newer > version)
            && !download.has_stalled(now)
    }

    /// Returns whether the chunks of a version can be asked for.
    fn has_manifest(&self, version: u64, now: Instant) -> bool {
        let download = self.lock();
        download.version() == Some(version) && (download.is_taken || !download.has_stalled(now))
    }

    /// Begins with a version, unless it has begun or a newer one is arriving.
    fn begin(&self, manifest: Manifest, earlier: Option<&Bytes>, now: Instant) {
        if self.is_newer_arriving(manifest.version, now) {
            return;
        }
        let mut download = self.lock();
        download.last_progress = Some(now);
        let assembly = match download.assembly.take() {
            Some(assembly) if *assembly.manifest() == manifest => assembly,
            replaced => {
                download.requested.clear();
                download.is_taken = false;
                match replaced {
                    Some(assembly) => assembly.restart(manifest, earlier),
                    None => Assembly::new(manifest, earlier),
                }
            }
        };
        download.assembly = Some(assembly);
    }

    /// Returns the next chunks to ask for; none if the version was replaced by a newer one,
    /// or all its chunks have arrived or were asked for shortly before.
    fn next_batch(&self, version: u64, now: Instant) -> Option<Batch<'_>> {
        let mut download = self.lock();
        let assembly = download.assembly.as_ref()?;
        if assembly.manifest().version != version {
            return None;
        }
        let is_due = |index: &usize| {
            download.requested.get(index).is_none_or(|requested| {
                now.saturating_duration_since(*requested) >= CHUNK_HEDGE_DELAY
            })
        };
        let mut indices = Vec::new();
        let mut bytes = 0;
        for (index, len) in assembly.missing().filter(|(index, _)| is_due(index)) {
            if !indices.is_empty() && bytes + len > BATCH_BYTES || indices.len() >= MAX_BATCH_CHUNKS
            {
                break;
            }
            bytes += len;
            indices.push(index);
        }
        for index in &indices {
            download.requested.insert(*index, now);
        }
        drop(download);
        match indices.is_empty() {
            true => None,
            false => Some(Batch {
                download: self,
                version,
                indices,
            }),
        }
    }

    /// Returns the text if all chunks have arrived, once.
    fn take_complete(&self, version: u64) -> Result<Option<Bytes>, ChunkError> {
        let mut download = self.lock();
        if download.is_taken {
            return Ok(None);
        }
        let assembly = download.assembly.as_ref();
        let complete = assembly
            .filter(|assembly| assembly.manifest().version == version && assembly.is_complete());
        let Some(assembly) = complete else {
            return Ok(None);
        };
        match assembly.finish() {
            Ok(text) => {
                download.is_taken = true;
                Ok(Some(text))
            }
            Err(err) => {
                download.assembly = None;
                Err(err)
            }
        }
    }

    /// Forgets the chunks of versions that are in force or older.
    pub fn forget(&self, in_force: u64) {
        let mut download = self.lock();
        let assembly = download.assembly.as_ref();
        if assembly.is_some_and(|assembly| assembly.manifest().version <= in_force) {
            *download = Download::default();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Download> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Batch<'_> {
    /// Adds the chunks of a response.
    fn insert(&self, body: &[u8], now: Instant) -> Result<(), FetchError> {
        let mut download = self.download.lock();
        let current = download.assembly.as_mut();
        let Some(assembly) = current.filter(|assembly| assembly.manifest().version == self.version)
        else {
            return Ok(());
        };
        let inserted = insert_all(assembly, &self.indices, body);
        download.last_progress = inserted.is_ok().then_some(now);
        inserted
    }

    fn path(&self) -> Result<PathAndQuery, FetchError> {
        let indices: Vec<String> = self.indices.iter().map(usize::to_string).collect();
        let path = format!("{CHUNKS_PATH}?{},{}", self.version, indices.join(","));
        path.parse().map_err(|_| FetchError::InvalidPath(path))
    }
}

fn insert_all(assembly: &mut Assembly, indices: &[usize], body: &[u8]) -> Result<(), FetchError> {
    let mut rest = body;
    for index in indices {
        let (len, after) = rest.split_first_chunk().ok_or(FetchError::Truncated)?;
        let len = u32::from_be_bytes(*len) as usize;
        let (chunk, after) = after.split_at_checked(len).ok_or(FetchError::Truncated)?;
        assembly.insert(*index, chunk)?;
        rest = after;
    }
    Ok(())
}

impl Drop for Batch<'_> {
    fn drop(&mut self) {
        let mut download = self.download.lock();
        let assembly = download.assembly.as_ref();
        if assembly.is_some_and(|assembly| assembly.manifest().version == self.version) {
            for index in &self.indices {
                download.requested.remove(index);
            }
        }
    }
}

/// Fetches a peer's configuration, of which the peer has announced `version`, together
/// with the fetches from other peers that share `download`. Returns the text once it is
/// complete, from one of them. A slow peer is left after a response, for the next one that
/// is asked.
pub async fn fetch_config(
    pool: &Pool,
    clock: &impl Clock,
    peer: SocketAddr,
    version: u64,
    config: &ConfigCell,
    download: &ConfigDownload,
) -> Result<Option<FetchedConfig>, FetchError> {
    let mut version = version;
    if !download.has_manifest(version, clock.now()) {
        let path = format!("{CONFIG_PATH}?{MANIFEST_QUERY}");
        let path = path.parse().map_err(|_| FetchError::InvalidPath(path))?;
        let body = fetch(pool, clock, peer, path).await?;
        let Some(manifest) = body.strip_prefix(MANIFEST_PREFIX) else {
            return Ok(Some(FetchedConfig {
                text: body,
                verified_version: None,
            }));
        };
        let manifest: Manifest = serde_json::from_slice(manifest)?;
        if manifest.version <= config.version() {
            return Ok(None);
        }
        version = manifest.version;
        download.begin(manifest, config.text().as_ref(), clock.now());
    }
    let mut is_slow = false;
    while !is_slow && let Some(batch) = download.next_batch(version, clock.now()) {
        let asked = clock.now();
        let body = fetch(pool, clock, peer, batch.path()?).await?;
        let now = clock.now();
        batch.insert(&body, now)?;
        is_slow = now.saturating_duration_since(asked) >= SLOW_RESPONSE;
        metrics::counter!("ibiscove_config_chunks_fetched_total")
            .increment(batch.indices.len() as u64);
        metrics::counter!("ibiscove_config_chunk_bytes_fetched_total").increment(body.len() as u64);
    }
    let text = download.take_complete(version)?;
    Ok(text.map(|text| FetchedConfig {
        text,
        verified_version: Some(version),
    }))
}
