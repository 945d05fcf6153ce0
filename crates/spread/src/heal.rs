//! Comparing digests with random peers, and answering their messages.

use crate::entry::TEXT_PREFIX;
use crate::push::{other_peers, push};
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

/// Most rows asked for in one message.
const MAX_FETCH: usize = 256;

/// Answers a peer's message about rows; none when it is about something else.
///
/// The second value holds the rows that were new here and go on to others.
pub fn handle_request(replica: &Replica, req: Request) -> Option<(Response, Vec<ReplicatedRow>)> {
    match req {
        Request::Push(push) => Some(take_push(replica, push)),
        Request::DigestQuery(query) => {
            Some((Response::DigestAnswer(compare(replica, &query)), Vec::new()))
        }
        Request::Fetch(fetch) => {
            let rows = replica.rows(fetch.keys);
            let entries = rows.iter().map(ReplicatedRow::to_message).collect();
            Some((Response::Entries(Entries { entries }), Vec::new()))
        }
        Request::ReportQuery(_) => Some((Response::Report(replica_report(replica)), Vec::new())),
        _ => None,
    }
}

/// Takes what can be taken, and says so when that is not everything: the
/// sender then tries another peer.
fn take_push(replica: &Replica, push: Push) -> (Response, Vec<ReplicatedRow>) {
    let sent = push.entries.len();
    let entries: Vec<_> = push
        .entries
        .into_iter()
        .filter_map(ReplicatedRow::from_message)
        .collect();
    let response = match entries.len() == sent {
        true => Response::Done(Done {}),
        false => Response::Failed(Failed {
            message: "a row was damaged on its way".to_owned(),
        }),
    };
    (response, replica.apply(entries))
}

/// The versions of the configuration here, and how fresh they are.
pub fn replica_report(replica: &Replica) -> Report {
    let map = replica.map();
    let version = |what| {
        map.config(what)
            .map_or(0, |config| config.row.version as i64)
    };
    Report {
        inventory_version: version("inventory"),
        rules_version: version("rules"),
        age_ms: replica.age().as_millis() as i64,
        digest: replica.digest() as i64,
    }
}

fn compare(replica: &Replica, query: &DigestQuery) -> DigestAnswer {
    if let Some(buckets) = &query.buckets {
        // From suspect rows a peer takes none, for they may have been deleted.
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

/// Compares digests with a few random peers again and again.
///
/// Comparisons start on time whether or not earlier ones have ended, so that a
/// silent peer costs its own comparison and no other.
pub async fn run_anti_entropy(
    replica: Replica,
    peers: impl Peers,
    clock: impl Clock,
    settings: SpreadSettings,
) {
    let mut rng = settings.rng();
    let compared_at = Mutex::new(clock.now());
    let executor = Executor::new();
    let comparing = async {
        for tick in 0_u64.. {
            clock.sleep(settings.digest_interval).await;
            let age = clock.now().duration_since(*lock(&compared_at));
            replica.set_age(age);
            if age > settings.max_age {
                replica.set_may_be_stale(true);
            }
            let rotate = tick.is_multiple_of(settings.view_rotation_ticks);
            replica.renew_view(&settings, &mut rng, rotate);
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
    executor.run(comparing).await;
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a holder of the lock panicked")
}

/// The peers of each comparison of one tick: one, and others in its place.
fn comparison_peers(
    replica: &Replica,
    settings: &SpreadSettings,
    rng: &mut fastrand::Rng,
) -> Vec<Vec<SocketAddr>> {
    let mut addrs = other_peers(replica, settings);
    rng.shuffle(&mut addrs);
    let groups = addrs.chunks(settings.comparison_attempts);
    groups
        .take(settings.comparisons_per_tick)
        .map(<[_]>::to_vec)
        .collect()
}

/// Compares with the first peer, and with another in place of one that fails;
/// gives whether one did not.
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
                metrics::failed("compare");
                log::debug!("comparison of digests: {err}");
            }
        }
    }
    false
}

/// Compares with one peer: takes what it has newer, gives what is newer here.
pub async fn repair_with_peer(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addr: SocketAddr,
) -> Result<(), PeerError> {
    fetch_texts(replica, peers, settings, addr).await?;
    let answer = query(peers, addr, replica, None).await?;
    if answer.same {
        replica.set_may_be_stale(false);
        return Ok(());
    }
    let theirs = answer.bucket_digests.unwrap_or_default();
    let buckets = replica.digests().differing(&theirs);
    if buckets.is_empty() {
        return Ok(());
    }
    let answer = query(peers, addr, replica, Some(buckets.clone())).await?;
    let theirs: BTreeMap<String, RowVersion> = answer
        .versions
        .into_iter()
        .map(|row| (row.key, row.version as RowVersion))
        .collect();
    let ours = replica.versions_in(&buckets);
    take(replica, peers, settings, addr, newer_keys(&theirs, &ours)).await?;
    give(replica, peers, settings, addr, newer_keys(&ours, &theirs)).await
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
        Response::DigestAnswer(answer) => Ok(answer),
        _ => Err(unexpected(addr)),
    }
}

fn unexpected(addr: SocketAddr) -> PeerError {
    PeerError::Failed {
        addr,
        message: "another answer than was asked for".to_owned(),
    }
}

/// Fetches rows that the peer has newer.
async fn take(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addr: SocketAddr,
    wanted: Vec<String>,
) -> Result<(), PeerError> {
    for keys in wanted.chunks(MAX_FETCH) {
        let entries = fetch(peers, addr, keys.to_vec()).await?;
        let newer = replica.apply(entries);
        push_rows(replica, peers, settings, &newer).await;
    }
    if wanted.is_empty() {
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
        return Err(unexpected(addr));
    };
    let entries = entries.entries.into_iter();
    Ok(entries.filter_map(ReplicatedRow::from_message).collect())
}

/// Fetches the texts that configuration rows wait for, and passes on the rows
/// that this completes.
async fn fetch_texts(
    replica: &Replica,
    peers: &impl Peers,
    settings: &SpreadSettings,
    addr: SocketAddr,
) -> Result<(), PeerError> {
    let wanted = replica.missing_texts().into_iter();
    let keys: Vec<_> = wanted
        .map(|digest| format!("{TEXT_PREFIX}{digest}"))
        .collect();
    if keys.is_empty() {
        return Ok(());
    }
    for text in fetch(peers, addr, keys).await? {
        let completed = replica.supply_text(text.body.to_vec());
        push_rows(replica, peers, settings, &completed).await;
    }
    Ok(())
}

/// Pushes on what was new here, and fetches the texts that new rows wait for
/// from the peer that sent them.
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
        metrics::failed("text");
        log::debug!("text of a change: {err}");
    }
}

/// Gives the peer rows that are newer here.
async fn give(
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
    for keys in keys.chunks(MAX_FETCH) {
        let rows = replica.rows(keys);
        push(
            peers,
            addr,
            rows.iter().map(ReplicatedRow::to_message).collect(),
        )
        .await?;
    }
    Ok(())
}

/// Keys of `from` that `base` lacks or has in a lower version.
fn newer_keys(
    from: &BTreeMap<String, RowVersion>,
    base: &BTreeMap<String, RowVersion>,
) -> Vec<String> {
    let newer = from
        .iter()
        .filter(|(key, version)| base.get(*key).is_none_or(|b| b < *version));
    newer.map(|(key, _)| key.clone()).collect()
}
