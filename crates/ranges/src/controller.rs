//! Carries out a node's part in owning ranges of its upstream's service.
//!
//! Four tasks, each written straight down: one keeps the lease, one keeps the
//! grants, one looks after ranges without a live owner and one moves ranges.

mod coordinate;
mod granting;
mod leasing;
mod moving;

use crate::grants::{GrantSettings, Grantee, Grants};
use crate::lease::{Lease, LeaseSettings};
use crate::load::KeyLoad;
use crate::map::{Owner, RangeMap, Transfer};
use crate::maps::{RangeMaps, VersionedMap};
use crate::rows::{self, Snapshot};
use crate::takeover::Watch;
use event_listener::Event;
use futures_lite::future::zip;
use ibiscove_mesh::{Member, Members};
use ibiscove_store::{Commit, Condition, Table, TableError, Transaction, Write};
use ibiscove_types::{
    BootClock, Clock, Incarnation, Key, NodeName, RowVersion, ServiceName, SinceBoot,
    UpstreamIncarnation,
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Times of a keeper.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControllerSettings {
    /// Times of the lease.
    pub lease: LeaseSettings,
    /// Times of grants.
    pub grants: GrantSettings,
}

/// Shortest pause after a failed call to the table; half of it is drawn by
/// chance, so that nodes that failed together do not come back together.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Releases that wait for their answers at a time, well below the connections
/// that an upstream accepts.
const MAX_RELEASES: usize = 10;
/// Attempts at a change of the map before it is left to the next look.
const MAX_ATTEMPTS: u32 = 6;

/// Whether the upstream beside this node serves a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// It holds the key.
    Serving,
    /// It owns the key, and the grant or a release is under way.
    Moving,
    /// It does not own the key.
    NotOwner,
}

/// What a keeper is given to work with.
pub struct ControllerParts<T, G, C> {
    /// Times.
    pub settings: ControllerSettings,
    /// The divided service.
    pub service: ServiceName,
    /// The node's name.
    pub node: NodeName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The table service.
    pub table: T,
    /// The upstream beside the node.
    pub grantee: G,
    /// The clock.
    pub clock: C,
    /// The other nodes.
    pub members: Members,
    /// The range maps that this node has.
    pub maps: RangeMaps,
    /// Notified of what other nodes should hear at once.
    pub push_heartbeat: Arc<Event>,
}

/// A node's part in owning ranges of one service. Clones share it.
pub struct RangeController<T, G, C> {
    inner: Arc<Inner<T, G, C>>,
}

impl<T, G, C> Clone for RangeController<T, G, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

struct Inner<T, G, C> {
    parts: ControllerParts<T, G, C>,
    state: Mutex<State>,
    /// Something that the tasks act on has changed.
    wake: Event,
    /// Held across a change of the map, so that there is one at a time.
    changing: smol::lock::Mutex<()>,
    /// Releases that wait for their answers; each takes a connection of the
    /// upstream.
    releases: smol::lock::Semaphore,
    /// Held while released ranges are written, so that what becomes ready
    /// meanwhile goes into one transaction.
    batch: smol::lock::Mutex<()>,
}

struct State {
    /// The upstream beside the node, while it lives.
    life: Option<UpstreamIncarnation>,
    /// The life that `grants` were made to.
    granted_to: Option<UpstreamIncarnation>,
    /// The upstream or the node is about to end: everything is given away.
    is_leaving: bool,
    lease: Lease,
    grants: Grants,
    load: KeyLoad,
    watch: Watch,
    utilisation: f64,
    service_time: Duration,
    /// Transfers of own ranges that are released and wait to be written.
    pending: Vec<Transfer>,
    /// When a range was last moved for the sake of load.
    balanced: Option<Instant>,
    /// Since when this upstream has been one of the service.
    joined: Option<Instant>,
}

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    /// A keeper that does nothing until [`RangeController::run`].
    pub fn new(parts: ControllerParts<T, G, C>) -> Self {
        let now = parts.clock.now();
        let grants = Grants::after_restart(&parts.settings.grants, parts.clock.since_boot());
        Self {
            inner: Arc::new(Inner {
                parts,
                state: Mutex::new(State {
                    life: None,
                    granted_to: None,
                    is_leaving: false,
                    lease: Lease::default(),
                    grants,
                    load: KeyLoad::new(now),
                    watch: Watch::default(),
                    utilisation: 0.0,
                    service_time: Duration::ZERO,
                    pending: Vec::new(),
                    balanced: None,
                    joined: None,
                }),
                wake: Event::new(),
                changing: smol::lock::Mutex::new(()),
                releases: smol::lock::Semaphore::new(MAX_RELEASES),
                batch: smol::lock::Mutex::new(()),
            }),
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        let lease = zip(self.keep_lease(), self.keep_grants());
        let ranges = zip(self.coordinate(), self.move_ranges());
        zip(lease, ranges).await;
    }

    /// The upstream beside the node announced itself.
    pub fn record_announcement(&self, life: &UpstreamIncarnation, is_draining: bool) {
        let mut state = self.state();
        let is_known = state.life.as_ref() == Some(life) && state.is_leaving == is_draining;
        if is_known {
            drop(state);
            // Grants that need a fresh announcement go out now.
            self.inner.wake.notify(usize::MAX);
            return;
        }
        if state.granted_to.as_ref() != Some(life) {
            if state.granted_to.is_some() {
                // The life before held its grants at this address; they ended
                // with it.
                state.grants = Grants::default();
            }
            state.granted_to = Some(life.clone());
            state.joined = Some(self.inner.parts.clock.now());
            state.lease.lost();
        }
        state.life = Some(life.clone());
        state.is_leaving = is_draining;
        drop(state);
        self.inner.wake.notify(usize::MAX);
    }

    /// The node is about to end: gives everything away.
    pub fn leave(&self) {
        self.state().is_leaving = true;
        self.inner.wake.notify(usize::MAX);
    }

    /// The upstream beside the node is gone. When `is_certain` its grants have
    /// ended with it, else they may last until they run out.
    pub fn record_upstream_gone(&self, is_certain: bool) {
        let mut state = self.state();
        if state.life.is_none() {
            return;
        }
        if is_certain {
            state.grants = Grants::default();
        }
        state.life = None;
        drop(state);
        self.inner.wake.notify(usize::MAX);
    }

    /// Whether a request for a key may be sent to the upstream now.
    pub fn key_status(&self, key: Key) -> KeyStatus {
        let now = self.inner.parts.clock.since_boot();
        let state = self.state();
        if state.grants.serves(key, now) {
            return KeyStatus::Serving;
        }
        let Some(owner) = self.owner(&state) else {
            return KeyStatus::NotOwner;
        };
        let is_mine = self
            .map()
            .is_some_and(|known| known.map.locate(key).owner.as_ref() == Some(&owner));
        match is_mine {
            true => KeyStatus::Moving,
            false => KeyStatus::NotOwner,
        }
    }

    /// A request for a key kept the upstream busy for `took`.
    pub fn record_work(&self, key: Key, took: Duration) {
        let now = self.inner.parts.clock.now();
        self.state().load.note(key, took, now);
    }

    /// Requests that run or wait at the gate, for each slot, and the usual time
    /// of one.
    pub fn record_utilisation(&self, utilisation: f64, service_time: Duration) {
        /// Weight of a new sample; samples come a few times a second.
        const WEIGHT: f64 = 0.3;
        let mut state = self.state();
        state.service_time = service_time;
        state.utilisation += (utilisation - state.utilisation) * WEIGHT;
    }

    /// A heartbeat told the version of a node's lease row.
    pub fn observe_lease(&self, member: &Member) {
        if member.lease_version > 0 {
            let now = self.inner.parts.clock.since_boot();
            self.state()
                .watch
                .note(&member.name, member.lease_version, now);
        }
    }

    /// Version of this node's lease row; 0 while it holds no lease.
    pub fn lease_version(&self) -> RowVersion {
        let state = self.state();
        match self.holds_lease(&state) {
            true => state.lease.version.unwrap_or(0),
            false => 0,
        }
    }

    /// Whether this node owns any range.
    pub fn owns_any_range(&self) -> bool {
        let known = self.map();
        known.is_some_and(|known| {
            known
                .map
                .owned_by_node(&self.inner.parts.node)
                .next()
                .is_some()
        })
    }

    fn lease_end(&self, state: &State) -> Option<SinceBoot> {
        state.lease.end(&self.inner.parts.settings.lease)
    }

    fn holds_lease(&self, state: &State) -> bool {
        let now = self.inner.parts.clock.since_boot();
        self.lease_end(state).is_some_and(|end| now < end)
    }

    fn owner(&self, state: &State) -> Option<Owner> {
        state.life.clone().map(|life| Owner {
            node: NodeName::clone(&self.inner.parts.node),
            life,
        })
    }

    fn map(&self) -> Option<VersionedMap> {
        self.inner.parts.maps.get(&self.inner.parts.service)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Each lock is held for one look-up or change, which leaves the state
        // whole even when it panics.
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Members that may own ranges now, without this node.
    fn candidates(&self) -> Vec<Member> {
        let now = self.inner.parts.clock.now();
        let mut candidates = Vec::new();
        self.inner
            .parts
            .members
            .for_each_alive_of(&self.inner.parts.service, now, |member| {
                let is_ready = member.upstream.as_ref().is_some_and(|up| !up.draining);
                if is_ready && member.lease_version > 0 {
                    candidates.push(member.clone());
                }
            });
        candidates
    }

    async fn pause(&self) {
        let pause = RETRY_PAUSE.mul_f64(0.5 + fastrand::f64() / 2.0);
        self.inner.parts.clock.sleep(pause).await;
    }

    /// Reads all rows of the service.
    async fn read_rows(&self) -> Result<Snapshot, TableError> {
        let rows = self
            .inner
            .parts
            .table
            .scan(&rows::prefix(&self.inner.parts.service))
            .await?;
        let snapshot = match Snapshot::read(&self.inner.parts.service, &rows) {
            Ok(snapshot) => snapshot,
            Err(err) => {
                log::error!(
                    "the rows of {} cannot be used: {err}",
                    self.inner.parts.service
                );
                return Err(TableError::Unavailable(err.to_string()));
            }
        };
        let now = self.inner.parts.clock.since_boot();
        let mut state = self.state();
        for (node, version) in &snapshot.leases {
            state.watch.note(node, *version, now);
        }
        drop(state);
        if let Some((version, map)) = &snapshot.map {
            self.accept_map(*version, map.clone());
        }
        Ok(snapshot)
    }

    fn accept_map(&self, version: RowVersion, map: RangeMap) {
        let epoch = map.epoch();
        if self
            .inner
            .parts
            .maps
            .accept(&self.inner.parts.service, version, Arc::new(map))
        {
            log::info!(service = &*self.inner.parts.service, version, epoch; "range map taken");
            self.inner.wake.notify(usize::MAX);
        }
    }

    /// Changes the map by what `plan` makes of the newest one, together with
    /// `also`. None of `plan` means that nothing is left to change.
    ///
    /// A change whose answer was lost is decided by reading the map again: the
    /// plan is made anew on what it says.
    async fn change_map(
        &self,
        also: impl Fn() -> Transaction,
        plan: impl Fn(&RangeMap) -> Option<Vec<Transfer>>,
    ) -> Result<bool, TableError> {
        let _one_at_a_time = self.inner.changing.lock().await;
        let mut last = TableError::Unavailable("the map kept changing".to_owned());
        for _ in 0..MAX_ATTEMPTS {
            let known = self.map();
            let (version, map) = match &known {
                Some(known) => (Some(known.version), RangeMap::clone(&known.map)),
                None => (None, RangeMap::unowned()),
            };
            let Some(transfers) = plan(&map) else {
                return Ok(false);
            };
            let next = map.with(&transfers);
            let mut txn = also();
            let key = rows::map_key(&self.inner.parts.service);
            let body = serde_json::to_vec(&next)
                .map_err(|err| TableError::Unavailable(format!("map not written: {err}")))?;
            // The map comes first, so that its version is the first returned.
            txn.conditions.insert(
                0,
                Condition {
                    key: key.clone(),
                    version,
                },
            );
            txn.writes.insert(
                0,
                Write {
                    key,
                    body: Some(body),
                },
            );
            match self.inner.parts.table.commit(txn).await {
                Ok(Commit::Done(versions)) => {
                    for transfer in &transfers {
                        log_transfer(&self.inner.parts.service, transfer, next.epoch());
                    }
                    metrics::counter!("ibiscove_range_transfers_total")
                        .increment(transfers.len() as u64);
                    self.accept_map(versions.first().copied().unwrap_or_default(), next);
                    self.inner.parts.push_heartbeat.notify(usize::MAX);
                    return Ok(true);
                }
                Ok(Commit::Conflict(key)) => {
                    last = TableError::Unavailable(format!("row {key} has changed"));
                }
                Err(err) => {
                    last = err;
                    self.pause().await;
                }
            }
            if let Err(err) = self.read_rows().await {
                last = err;
                self.pause().await;
            }
        }
        Err(last)
    }
}

fn log_transfer(service: &str, transfer: &Transfer, fence: u64) {
    log::info!(
        service = service,
        first = transfer.range.first,
        last = transfer.range.last,
        fence = fence,
        to = transfer.to.as_ref().map_or("", |owner| &*owner.node),
        handover = transfer.handover.is_some();
        "keys change owner"
    );
}
