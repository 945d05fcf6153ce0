//! Anti-entropy: compares digests with random peers, exchanges the rows that
//! differ, and handles the corresponding peer messages.

use crate::push::{candidate_peers, send_push};
use crate::row::TEXT_PREFIX;
use crate::{Replica, ReplicatedRow, SpreadSettings, metrics, push_rows};
use ibiscove_types::rows::node_key;
use ibiscove_types::{Clock, RowVersion};
use ibiscove_wire::messages::{
    DigestAnswer, DigestQuery, Done, Entries, Failed, Fetch, KeyVersion, Push, Report, Request,
    Response,
};
use ibiscove_wire::{PeerError, Peers};
use smol::Executor;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// Limit on the rows fetched in one message.
const MAX_ROWS_PER_FETCH: usize = 256;

/// Handles a peer's request about rows; returns none for any other request.
///
/// The second value holds the rows that were newer than the replica's, for the
/// caller to pass to [`propagate_rows`].
pub fn handle_request(replica: &Replica, req: Request) -> Option<(Response, Vec<ReplicatedRow>)> {
    match req {
        Request::Push(push) => Some(apply_push(replica, push)),
        Request::DigestQuery(query) => Some((
            Response::DigestAnswer(digest_response(replica, &query)),
            Vec::new(),
        )),
        Request::Fetch(fetch) => {
            let rows = replica.rows(fetch.keys);
            let entries = rows.iter().map(ReplicatedRow::to_message).collect();
            Some((Response::Entries(Entries { entries }), Vec::new()))
        }
        Request::ReportQuery(_) => Some((Response::Report(replica_report(replica)), Vec::new())),
        _ => None,
    }
}

/// Applies the intact rows of a push. If some are corrupt, the response is a
/// failure, so that the sender attempts another peer.
fn apply_push(replica: &Replica, push: Push) -> (Response, Vec<ReplicatedRow>) {
    let sent = push.entries.len();
    let rows: Vec<_> = push
        .entries
        .into_iter()
        .filter_map(ReplicatedRow::from_message)
        .collect();
    let response = match rows.len() == sent {
        true => Response::Done(Done {}),
        false => Response::Failed(Failed {
            message: "a pushed row does not match its checksum".to_owned(),
        }),
    };
    (response, replica.apply(rows))
}

/// Returns the replica's configuration versions, age and digest.
pub fn replica_report(replica: &Replica) -> Report {
    let map = replica.map();
    let version = |kind| {
        map.config(kind)
            .map_or(0, |config| config.row.version as i64)
    };
    Report {
        inventory_version: version("inventory"),
        rules_version: version("rules"),
        age_ms: replica.age().as_millis() as i64,
        digest: replica.digest() as i64,
    }
}

/// Returns the replica's digests, or the row versions in the queried buckets.
fn digest_response(replica: &Replica, query: &DigestQuery) -> DigestAnswer {
    if let Some(buckets) = &query.buckets {
        // A possibly stale replica offers no rows: they may have been deleted.
        let versions = match replica.may_be_stale() {
            true => BTreeMap::new(),
            false => replica.versions_in(buckets),
        };
        let versions = versions.into_iter();
        return DigestAnswer {
            same: false,
            versions: versions
                .map(|(key, version)| KeyVersion {
                    key,
                    version: version as i64,
                })
                .collect(),
            bucket_digests: None,
        };
    }
    let digests = replica.digests();
    let same = digests.total() as i64 == query.digest;
    DigestAnswer {
        same,
        versions: Vec::new(),
        bucket_digests: (!same).then(|| digests.to_message()),
    }
}

/// Compares digests with a few random peers every digest interval, until the
/// task is dropped.
///
/// Comparisons start on schedule even if earlier ones are still running, so
/// that an unresponsive peer delays only its own comparison.
pub async fn run_anti_entropy(
    replica: Replica,
    peers: impl Peers,
    clock: impl Clock,
    settings: SpreadSettings,
) {
    let mut rng = settings.rng();
    let compared_at = Mutex::new(clock.now());
    let executor = Executor::new();
    let comparison_loop = async {
        for tick in 0_u64.. {
            clock.sleep(settings.digest_interval).await;
            let age = clock.now().duration_since(*lock(&compared_at));
            replica.set_age(age);
            if age > settings.max_age {
                replica.set_may_be_stale(true);
            }
            let rotate = tick.is_multiple_of(settings.view_rotation_ticks);
            replica.refresh_view(&settings, &mut rng, rotate);
            for addrs in comparison_peers(&replica, &settings, &mut rng) {
                let comparison = async {
                    if repair_with_any(&replica, &peers, &settings, addrs).await {
                        *lock(&compared_at) = clock.now();
                    }
                };
                executor.spawn(comparison).detach();
            }
        }
    };
    executor.run(comparison_loop).await;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a holder of the lock panicked")
}

/// Returns the peers of each comparison of one tick: the first choice, then
/// its substitutes.
fn comparison_peers(
    replica: &Replica,
    settings: &SpreadSettings,
    rng: &mut fastrand::Rng,
) -> Vec<Vec<SocketAddr>> {
    let mut addrs = candidate_peers(replica, settings);
    rng.shuffle(&mut addrs);
    let groups = addrs.chunks(settings.comparison_attempts);
    groups
        .take(settings.comparisons_per_tick)
        .map(<[_]>::to_vec)
        .collect()
}

/// Compares with each peer in turn until one comparison succeeds; returns
/// whether one did.
async fn repair_with_any(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addrs: Vec<SocketAddr>,
) -> bool {
    for addr in addrs {
        match repair_with_peer(replica, peers, settings, addr).await {
            Ok(()) => return true,
            Err(err) => {
                metrics::count_failed("compare");
                log::debug!("replication: a comparison with a peer failed: {err}");
            }
        }
    }
    false
}

/// Compares with one peer, fetches the rows of which the peer has a newer
/// version, and pushes those of which the replica does.
pub async fn repair_with_peer(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addr: SocketAddr,
) -> Result<(), PeerError> {
    fetch_texts(replica, peers, settings, addr).await?;
    let response = query(peers, addr, replica, None).await?;
    if response.same {
        replica.set_may_be_stale(false);
        return Ok(());
    }
    let peer_digests = response.bucket_digests.unwrap_or_default();
    let buckets = replica.digests().differing(&peer_digests);
    if buckets.is_empty() {
        return Ok(());
    }
    let response = query(peers, addr, replica, Some(buckets.clone())).await?;
    let peer_versions: BTreeMap<String, RowVersion> = response
        .versions
        .into_iter()
        .map(|row| (row.key, row.version as RowVersion))
        .collect();
    let own_versions = replica.versions_in(&buckets);
    fetch_newer(
        replica,
        peers,
        settings,
        addr,
        newer_keys(&peer_versions, &own_versions),
    )
    .await?;
    push_newer(
        replica,
        peers,
        settings,
        addr,
        newer_keys(&own_versions, &peer_versions),
    )
    .await
}

async fn query(
    peers: &impl Peers,
    addr: SocketAddr,
    replica: &Replica,
    buckets: Option<Vec<i16>>,
) -> Result<DigestAnswer, PeerError> {
    let query = Request::DigestQuery(DigestQuery {
        digest: replica.digest() as i64,
        buckets,
    });
    match peers.call(addr, query).await? {
        Response::DigestAnswer(response) => Ok(response),
        _ => Err(unexpected_response(addr)),
    }
}

fn unexpected_response(addr: SocketAddr) -> PeerError {
    PeerError::Failed {
        addr,
        message: "the response does not match the request".to_owned(),
    }
}

/// Fetches and applies rows of which the peer has a newer version, then the
/// texts that they need.
async fn fetch_newer(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addr: SocketAddr,
    outdated: Vec<String>,
) -> Result<(), PeerError> {
    for keys in outdated.chunks(MAX_ROWS_PER_FETCH) {
        let rows = fetch(peers, addr, keys.to_vec()).await?;
        let newer = replica.apply(rows);
        push_rows(replica, peers, settings, &newer).await;
    }
    if outdated.is_empty() {
        return Ok(());
    }
    fetch_texts(replica, peers, settings, addr).await
}

async fn fetch(
    peers: &impl Peers,
    addr: SocketAddr,
    keys: Vec<String>,
) -> Result<Vec<ReplicatedRow>, PeerError> {
    let Response::Entries(entries) = peers.call(addr, Request::Fetch(Fetch { keys })).await? else {
        return Err(unexpected_response(addr));
    };
    let entries = entries.entries.into_iter();
    Ok(entries.filter_map(ReplicatedRow::from_message).collect())
}

/// Fetches the texts that pending configuration rows need, and pushes the rows
/// that they complete.
async fn fetch_texts(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addr: SocketAddr,
) -> Result<(), PeerError> {
    let fetches = replica.start_text_fetches();
    let digests = fetches.digests.iter();
    let keys: Vec<_> = digests
        .map(|digest| format!("{TEXT_PREFIX}{digest}"))
        .collect();
    if keys.is_empty() {
        return Ok(());
    }
    let texts = fetch(peers, addr, keys).await;
    drop(fetches);
    for text in texts? {
        let completed = replica.supply_text(text.body.to_vec());
        push_rows(replica, peers, settings, &completed).await;
    }
    Ok(())
}

/// Pushes newer rows on to other peers, and fetches the texts that pending rows
/// need from the peer that sent them.
pub async fn propagate_rows(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    sender: Option<SocketAddr>,
    newer: &[ReplicatedRow],
) {
    push_rows(replica, peers, settings, newer).await;
    let Some(addr) = sender else {
        return;
    };
    if let Err(err) = fetch_texts(replica, peers, settings, addr).await {
        metrics::count_failed("text");
        log::debug!("replication: the text of a configuration row was not fetched: {err}");
    }
}

/// Pushes rows of which the replica has a newer version; a possibly stale
/// replica pushes only its node's own row.
async fn push_newer(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addr: SocketAddr,
    mut keys: Vec<String>,
) -> Result<(), PeerError> {
    if replica.may_be_stale() {
        let own = node_key(settings.incarnation);
        keys.retain(|key| *key == own);
    }
    for keys in keys.chunks(MAX_ROWS_PER_FETCH) {
        let rows = replica.rows(keys);
        send_push(
            peers,
            addr,
            rows.iter().map(ReplicatedRow::to_message).collect(),
        )
        .await?;
    }
    Ok(())
}

/// Returns the keys of `from` that `base` lacks or has in a lower version.
fn newer_keys(
    from: &BTreeMap<String, RowVersion>,
    base: &BTreeMap<String, RowVersion>,
) -> Vec<String> {
    let newer = from
        .iter()
        .filter(|(key, version)| base.get(*key).is_none_or(|b| b < *version));
    newer.map(|(key, _)| key.clone()).collect()
}
