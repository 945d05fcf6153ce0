//! Anti-entropy: heartbeats carry the versions of each node's configuration and
//! range maps, and a node fetches the newer ones from its peers.

use crate::{Router, crash_news, map_news};
use ibiscove_mesh::Member;
use ibiscove_mesh::heartbeat::Content;
use ibiscove_proxy::config_transfer;
use ibiscove_proxy::peer_api::{self, FetchError};
use ibiscove_ranges::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, NodeName, ServiceName};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time that a node which follows the source of the configuration waits for a
/// newer one from there before it is fetched from the peer that has it.
const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(250);
/// Time for which a node that is behind waits for the members of its data centre before
/// it asks others. The followers of each data centre learn of a version at about the same
/// time, and it reaches the others of theirs over two or three hops of some 100 ms.
const OTHER_DATA_CENTRE_DELAY: Duration = Duration::from_millis(400);
/// Longest delay before other nodes fetch it, so that they do not all ask the
/// same peer at once.
const MAX_SPREAD_CONFIG_DELAY: Duration = Duration::from_millis(60);

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Handles a heartbeat: applies its news and fetches what else its sender has
    /// newer.
    pub(crate) fn handle_heartbeat(&self, member: &Member, is_new: bool, content: Content) {
        if content.evacuations.is_some() || content.has_room_for_evacuations() {
            self.apply_evacuation_news(member, content.evacuations);
        }
        map_news::apply(&self.inner.maps, content.news.map_changes);
        let now = self.inner.clock.now();
        crash_news::apply(
            &self.inner.suspects,
            content.news.crashes,
            &member.name,
            now,
        );
        self.compare_suspects(member, content.crashes_digest, now);
        if is_new {
            // The new member may not know this node yet.
            self.inner.heartbeat_due.notify(usize::MAX);
        }
        if let Some(controller) = self.inner.range_controller.get() {
            controller.observe_lease(member);
        }
        let in_force = self.inner.config.version();
        self.inner
            .config_lag
            .observe(member.config_version, &member.name, in_force, now);
        if self.may_fetch_config(member, in_force, now)
            && let Some(guard) = self.inner.active_fetches.begin(CONFIG_FETCH_NAME, now)
        {
            let fetch = self.clone().fetch_config(member.clone(), guard);
            smol::spawn(fetch).detach();
        }
        for (service, epoch) in &member.maps {
            if *epoch <= self.inner.maps.epoch(service) {
                continue;
            }
            match self.inner.active_fetches.begin(service, now) {
                Some(guard) => {
                    let fetch = self
                        .clone()
                        .fetch_map(member.clone(), service.clone(), guard);
                    smol::spawn(fetch).detach();
                }
                None if self.is_near(member) => self.inner.active_fetches.offer(service, member),
                None => {}
            }
        }
    }

    fn is_near(&self, member: &Member) -> bool {
        member.data_centre == self.inner.settings.data_centre
    }

    /// Fetches what a member knows of crashes if that differs from what this node
    /// knows.
    fn compare_suspects(&self, member: &Member, digest: u64, now: Instant) {
        let suspects = &self.inner.suspects;
        if digest != 0
            && digest != suspects.digest()
            && let Some(guard) = self.inner.active_fetches.begin(SUSPECTS_FETCH_NAME, now)
        {
            let fetch = self.clone().fetch_suspects(member.clone(), digest, guard);
            smol::spawn(fetch).detach();
        }
    }

    async fn fetch_suspects(self, peer: Member, digest: u64, _guard: FetchGuard) {
        let inner = &self.inner;
        let delay = MAX_MAP_FETCH_DELAY.mul_f64(fastrand::f64());
        inner.clock.sleep(delay).await;
        if !inner.suspects.begin_comparison(digest) {
            return;
        }
        let (suspects, name) = (&inner.suspects, &peer.name);
        let fetching =
            peer_api::fetch_suspects(&inner.peers, &inner.clock, peer.gate, suspects, name);
        if let Err(err) = fetching.await {
            suspects.forget_comparison();
            log::log!(level(&err), peer = &**name;
                "what a peer knows of crashes was not fetched: {err}");
        }
    }

    /// Returns whether a member has a newer configuration that this node may fetch from
    /// it now. Members of the same data centre come first: from there a version passes
    /// between data centres once and not once for each node.
    fn may_fetch_config(&self, member: &Member, in_force: u64, now: Instant) -> bool {
        let inner = &self.inner;
        let version = member.config_version;
        if version <= in_force
            || inner.rejected_config.is(version)
            || inner.config_download.is_newer_arriving(version, now)
        {
            return false;
        }
        let lag = inner.config_lag.lag(in_force, now);
        in_force == 0
            || member.data_centre == inner.settings.data_centre
            || lag.is_some_and(|lag| lag.behind >= OTHER_DATA_CENTRE_DELAY)
    }

    async fn fetch_config(self, peer: Member, _guard: FetchGuard) {
        let inner = &self.inner;
        let delay = match (inner.config.version(), self.follows_config()) {
            (0, _) => Duration::ZERO,
            (_, true) => CONFIG_FETCH_DELAY,
            (_, false) => MAX_SPREAD_CONFIG_DELAY.mul_f64(fastrand::f64()),
        };
        inner.clock.sleep(delay).await;
        if peer.config_version <= inner.config.version() {
            return;
        }
        let fetched = config_transfer::fetch_config(
            &inner.peers,
            &inner.clock,
            peer.gate,
            peer.config_version,
            &inner.config,
            &inner.config_download,
        );
        match fetched.await {
            Ok(Some(fetched)) => {
                if self.apply_config(fetched.text) {
                    log::info!(peer = &*peer.name, version = inner.config.version();
                        "configuration taken from a peer");
                } else if let Some(version) = fetched.verified_version
                    && version > inner.config.version()
                {
                    inner.rejected_config.set(version);
                }
            }
            // Another fetch completes the text, or the peer has sent what it was asked for
            // of a version that was replaced.
            Ok(None) => {}
            Err(err) => {
                inner.config_lag.record_failure(err.cause());
                log::log!(level(&err), peer = &*peer.name;
                    "a newer configuration was not fetched: {err}");
                inner.clock.sleep(FAILED_FETCH_DELAY).await;
            }
        }
    }

    async fn fetch_map(self, peer: Member, service: ServiceName, guard: FetchGuard) {
        let inner = &self.inner;
        let mut delay = MAX_MAP_FETCH_DELAY.mul_f64(fastrand::f64());
        if !self.is_near(&peer) {
            delay += NEAR_PEER_DELAY;
        }
        inner.clock.sleep(delay).await;
        let peer = guard.choose_peer(peer);
        let epoch = peer.maps.iter().find(|(name, _)| *name == service);
        if epoch.is_none_or(|(_, epoch)| *epoch <= inner.maps.epoch(&service)) {
            return;
        }
        metrics::counter!("ibiscove_map_fetches_total").increment(1);
        let result =
            peer_api::fetch_map(&inner.peers, &inner.clock, peer.gate, &service, &inner.maps).await;
        match result {
            Ok(()) => log::debug!(service = &*service; "range map taken from a peer"),
            Err(err) => {
                log::log!(level(&err), peer = &*peer.name, service = &*service;
                    "a newer range map was not fetched: {err}");
            }
        }
    }
}

/// Returns the level at which a failed fetch is logged: busy peers are expected whenever
/// many nodes are behind.
fn level(err: &FetchError) -> log::Level {
    match err {
        FetchError::Busy { .. } => log::Level::Debug,
        _ => log::Level::Warn,
    }
}

/// Longest delay before newer sections of a range map are fetched. Meanwhile most
/// arrive as news, and the members that lack them do not all ask at once.
const MAX_MAP_FETCH_DELAY: Duration = Duration::from_millis(120);

/// Time after which another peer is asked when one was busy or has failed. Heartbeats of
/// others arrive faster than that, and a holder has room again after one request of 16 KB,
/// 32 ms.
const FAILED_FETCH_DELAY: Duration = Duration::from_millis(20);
/// Time for which a fetch from another data centre waits for a peer of this one, which
/// has most likely been told in the same time as this node: as long as near peers wait.
const NEAR_PEER_DELAY: Duration = MAX_MAP_FETCH_DELAY;

/// Identifies the configuration among the active fetches; no service has this
/// name.
const CONFIG_FETCH_NAME: &str = "";
/// Identifies what is known of crashes among them.
const SUSPECTS_FETCH_NAME: &str = "/suspects";

/// Time after which an item is fetched from another peer, too: a slow one must not keep
/// a newer version from this node until the fetch times out.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Most fetches of an item at a time. Those of a configuration ask for different chunks, so
/// that a third costs nothing and two slow peers don't hold it up.
fn max_fetches(item: &str) -> usize {
    match item {
        CONFIG_FETCH_NAME => 3,
        _ => 2,
    }
}

/// The active fetches by what they fetch, so that few are made at a time. The
/// heartbeats of all nodes announce a newer version while it is being fetched.
#[derive(Clone, Default)]
pub(crate) struct ActiveFetches(Arc<Mutex<BTreeMap<String, FetchesOfItem>>>);

/// The active fetches of one item.
struct FetchesOfItem {
    count: usize,
    last_began: Instant,
    /// A peer of this data centre that has announced the item meanwhile.
    offer: Option<Member>,
    /// Peers that these fetches have asked.
    asked: Vec<NodeName>,
}

/// An active fetch. Dropping it allows the next one of the same item.
struct FetchGuard {
    active: ActiveFetches,
    item: String,
}

impl ActiveFetches {
    /// Begins a fetch unless one of the same item is active that has just begun, or too
    /// many are.
    fn begin(&self, item: &str, now: Instant) -> Option<FetchGuard> {
        match self.lock().entry(item.to_owned()) {
            Entry::Vacant(vacant) => {
                vacant.insert(FetchesOfItem {
                    count: 1,
                    last_began: now,
                    offer: None,
                    asked: Vec::new(),
                });
            }
            Entry::Occupied(mut occupied) => {
                let fetches = occupied.get_mut();
                let has_just_begun =
                    now.saturating_duration_since(fetches.last_began) < HEDGE_DELAY;
                if has_just_begun || fetches.count >= max_fetches(item) {
                    return None;
                }
                fetches.count += 1;
                fetches.last_began = now;
            }
        }
        Some(FetchGuard {
            active: self.clone(),
            item: item.to_owned(),
        })
    }

    /// Lets a fetch of the item that has not asked a peer yet ask this one.
    fn offer(&self, item: &str, peer: &Member) {
        if let Some(fetches) = self.lock().get_mut(item)
            && !fetches.asked.contains(&peer.name)
        {
            fetches.offer.get_or_insert_with(|| peer.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, FetchesOfItem>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FetchGuard {
    /// Returns the peer to ask: the one of this data centre that was offered, otherwise
    /// the one whose heartbeat began the fetch.
    fn choose_peer(&self, announcing: Member) -> Member {
        let mut active = self.active.lock();
        let Some(fetches) = active.get_mut(&self.item) else {
            return announcing;
        };
        let peer = fetches.offer.take().unwrap_or(announcing);
        fetches.asked.push(Arc::clone(&peer.name));
        peer
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        let mut active = self.active.lock();
        let Some(fetches) = active.get_mut(&self.item) else {
            return;
        };
        fetches.count -= 1;
        if fetches.count == 0 {
            active.remove(&self.item);
        }
    }
}

/// The newest version of the configuration that this node could not parse. It isn't
/// fetched again from each member that has it.
#[derive(Default)]
pub(crate) struct RejectedConfig(AtomicU64);

impl RejectedConfig {
    fn is(&self, version: u64) -> bool {
        self.0.load(Ordering::Relaxed) == version
    }

    fn set(&self, version: u64) {
        self.0.store(version, Ordering::Relaxed);
    }
}
