//! Carries out a node's part in the ownership of its service's ranges.
//!
//! Four concurrent tasks: one renews the lease, one issues and renews grants,
//! one assigns ranges without a live owner, and one moves ranges.

mod coordinate;
mod eras;
mod evacuation;
mod granting;
mod leasing;
mod map_updates;
mod moving;

use crate::grants::reports::{HoldList, HoldReport};
use crate::grants::{GrantDelivery, GrantSettings, Grantee, Grants, max_grant_duration};
use crate::lease::{Lease, LeaseSettings};
use crate::load::KeyLoad;
use crate::map::{MapSection, Owner, RangeMap, SectionIndex};
use crate::maps::RangeMaps;
use crate::rows::{self, Snapshot};
use crate::takeover::LeaseObservations;
use eras::{InheritedClaims, SeenEra, sync_grants};
use event_listener::Event;
use futures_lite::future::zip;
use ibiscove_mesh::{Member, Members};
use ibiscove_store::era::era_of;
use ibiscove_store::{Table, TableError};
use ibiscove_types::{
    BootClock, Clock, Incarnation, Key, NodeName, RowVersion, ServiceName, SinceBoot,
    UpstreamIncarnation,
};
use moving::PendingTransfer;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Lease and grant timing of a [`RangeController`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ControllerSettings {
    /// Lease timing.
    pub lease: LeaseSettings,
    /// Grant timing.
    pub grants: GrantSettings,
    /// Whether the service starts for the first time, so that no upstream can hold a
    /// range when the process starts; matters once the table has named an era.
    pub is_first_start: bool,
}

/// Longest delay before a failed table call is retried. Random jitter shortens
/// it by up to a half, so that nodes that failed together do not retry
/// together.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Concurrent release calls, well below the connections that an upstream
/// accepts.
const MAX_CONCURRENT_RELEASES: usize = 10;

/// State of a key at the local upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The upstream holds a confirmed grant of the key.
    Serving,
    /// The upstream owns the key, and its grant or its release is in progress.
    Moving,
    /// The upstream does not own the key.
    NotOwner,
}

/// Dependencies of a [`RangeController`].
pub struct ControllerDependencies<T, G, C> {
    /// Lease and grant timing.
    pub settings: ControllerSettings,
    /// The divided service.
    pub service: ServiceName,
    /// The name of this node.
    pub node: NodeName,
    /// The incarnation of this node's process.
    pub incarnation: Incarnation,
    /// The table service.
    pub table: T,
    /// The local upstream.
    pub grantee: G,
    /// The clock.
    pub clock: C,
    /// The other nodes.
    pub members: Members,
    /// The range maps that this node has received.
    pub maps: RangeMaps,
    /// Notified when the next heartbeat is due immediately.
    pub heartbeat_due: Arc<Event>,
}

/// Controls this node's part in the ownership of one service's ranges. Clones
/// share its state.
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
    deps: ControllerDependencies<T, G, C>,
    state: Mutex<State>,
    /// Notified when state that the tasks depend on has changed.
    state_changed: Event,
    /// Serialises map updates of this node.
    map_update: smol::lock::Mutex<()>,
    /// Limits concurrent release calls; each uses a connection to the upstream.
    release_permits: smol::lock::Semaphore,
    /// Held while released ranges are written, so that ranges released in the
    /// meantime share one transaction.
    transfer_batch: smol::lock::Mutex<()>,
}

struct State {
    /// The incarnation of the local upstream, while it is up.
    incarnation: Option<UpstreamIncarnation>,
    /// When the node last heard of it. What arrived then may have been sent long before.
    heard_at: Option<Instant>,
    /// The incarnation that `grants` were issued to.
    granted_to: Option<UpstreamIncarnation>,
    /// The upstream has said that it shuts down.
    is_upstream_leaving: bool,
    /// The node is shutting down.
    is_node_leaving: bool,
    /// From when on the upstream hands its ranges over, while its data centre is
    /// evacuated.
    evacuated_from: Option<Instant>,
    lease: Lease,
    grants: Grants,
    load: KeyLoad,
    lease_observations: LeaseObservations,
    utilisation: f64,
    service_time: Duration,
    /// Transfers of released ranges that are not written to the map yet.
    pending_transfers: Vec<PendingTransfer>,
    /// When a move to a joining member, or one that balances load or speed, was
    /// last planned.
    last_balanced: Option<Instant>,
    /// When the current upstream incarnation announced itself first.
    joined_at: Option<Instant>,
    /// The upstream seems to reject a range, so the map is to be read again.
    is_map_doubted: bool,
    /// The era of the table, as this node knows it.
    era: Option<SeenEra>,
    /// What an earlier process of this node claimed beside the same incarnation.
    inherited_claims: Option<InheritedClaims>,
    /// Sections whose rows exist and could not be read at the last attempt.
    unreadable: BTreeSet<SectionIndex>,
}

impl State {
    /// Returns whether all ranges are to move away.
    fn is_leaving(&self) -> bool {
        self.is_upstream_leaving || self.is_node_leaving
    }

    /// Returns how long ago the upstream was heard of, in milliseconds.
    fn heard_ms(&self, now: Instant) -> Option<u64> {
        let age = now.saturating_duration_since(self.heard_at?);
        Some(age.as_millis() as u64)
    }
}

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    /// Returns a controller that is idle until [`RangeController::run`].
    pub fn new(deps: ControllerDependencies<T, G, C>) -> Self {
        let now = deps.clock.now();
        let grants = Grants::after_restart(&deps.settings.grants, deps.clock.since_boot());
        Self {
            inner: Arc::new(Inner {
                deps,
                state: Mutex::new(State {
                    incarnation: None,
                    heard_at: None,
                    granted_to: None,
                    is_upstream_leaving: false,
                    is_node_leaving: false,
                    evacuated_from: None,
                    lease: Lease::default(),
                    grants,
                    load: KeyLoad::new(now),
                    lease_observations: LeaseObservations::default(),
                    utilisation: 0.0,
                    service_time: Duration::ZERO,
                    pending_transfers: Vec::new(),
                    last_balanced: None,
                    joined_at: None,
                    is_map_doubted: false,
                    era: None,
                    inherited_claims: None,
                    unreadable: BTreeSet::new(),
                }),
                state_changed: Event::new(),
                map_update: smol::lock::Mutex::new(()),
                release_permits: smol::lock::Semaphore::new(MAX_CONCURRENT_RELEASES),
                transfer_batch: smol::lock::Mutex::new(()),
            }),
        }
    }

    /// Runs until the task is dropped.
    pub async fn run(self) {
        let leases_and_grants = zip(self.maintain_lease(), self.maintain_grants());
        let assignment_and_moves = zip(self.coordinate(), self.move_ranges());
        zip(leases_and_grants, assignment_and_moves).await;
    }

    /// Records an announcement of the local upstream; `is_leaving` says whether it is
    /// shutting down.
    pub fn record_announcement(&self, incarnation: &UpstreamIncarnation, is_leaving: bool) {
        let now = self.inner.deps.clock.now();
        let mut state = self.state();
        state.heard_at = Some(now);
        let is_unchanged = state.incarnation.as_ref() == Some(incarnation)
            && state.is_upstream_leaving == is_leaving;
        if is_unchanged {
            drop(state);
            // Wakes the task that sends grants which wait for a fresh
            // announcement.
            self.inner.state_changed.notify(usize::MAX);
            return;
        }
        if state.granted_to.as_ref() != Some(incarnation) {
            if state.granted_to.is_some() {
                // The next incarnation may take the ranges over at once: an address is
                // used again only once its last process has ended.
                state.grants = state.grants.after_restart_of_upstream();
            }
            state.granted_to = Some(incarnation.clone());
            state.joined_at = Some(now);
            state.lease.clear();
        }
        state.incarnation = Some(incarnation.clone());
        state.is_upstream_leaving = is_leaving;
        drop(state);
        self.inner.state_changed.notify(usize::MAX);
    }

    /// Applies a report of the local upstream, when grants travel in the answers,
    /// and returns what the upstream is to hold. Without a lease or a map there is
    /// no list, and the upstream keeps what it holds until that expires.
    pub fn exchange_report(
        &self,
        incarnation: &UpstreamIncarnation,
        report: &HoldReport,
    ) -> Option<HoldList> {
        let now = self.inner.deps.clock.since_boot();
        let settings = &self.inner.deps.settings.grants;
        let mut state = self.state();
        let owner = self.local_owner(&state)?;
        if owner.life != *incarnation || settings.delivery != GrantDelivery::Reports {
            return None;
        }
        let map = self.current_map()?;
        sync_grants(
            &mut state.grants,
            &map,
            self.inner.deps.table.era()?,
            &owner,
        );
        if state.grants.apply_report(report) {
            log::warn!(service = &*self.inner.deps.service, epoch = map.epoch();
                "the upstream holds less than it was granted");
            state.is_map_doubted = true;
        }
        let lease_end = self.lease_end(&state);
        let duration = lease_end.and_then(|end| max_grant_duration(settings, end, now));
        let list = duration.map(|duration| state.grants.answer_report(settings, duration, now));
        drop(state);
        self.inner.state_changed.notify(usize::MAX);
        list
    }

    /// Starts to move all ranges away, because the node is shutting down.
    pub fn leave(&self) {
        self.state().is_node_leaving = true;
        self.inner.state_changed.notify(usize::MAX);
    }

    /// Records that the local upstream serves nobody. Whatever shows that, its process may
    /// still run and hold its keys, so its grants last until they expire
    /// (`docs/design/ends.md`).
    pub fn record_upstream_gone(&self) {
        let now = self.inner.deps.clock.since_boot();
        let mut state = self.state();
        let Some(incarnation) = state.incarnation.take() else {
            return;
        };
        let is_leaving = state.is_upstream_leaving;
        let heard_ms = state.heard_ms(self.inner.deps.clock.now());
        let waits = state.grants.latest_expiry().saturating_sub(now);
        drop(state);
        log::warn!(
            service = &*self.inner.deps.service, upstream = &*incarnation.id,
            born_ms = incarnation.born_ms, is_leaving, heard_ms:? = heard_ms,
            waits_ms = waits.as_millis() as u64;
            "keys of the upstream wait for the end of its grants"
        );
        self.inner.state_changed.notify(usize::MAX);
    }

    /// Returns whether a request for a key may be sent to the local upstream
    /// now.
    pub fn key_status(&self, key: Key) -> KeyStatus {
        let now = self.inner.deps.clock.since_boot();
        let state = self.state();
        if state.grants.is_granted(key, now) {
            return KeyStatus::Serving;
        }
        let Some(owner) = self.local_owner(&state) else {
            return KeyStatus::NotOwner;
        };
        let is_owned = self
            .current_map()
            .is_some_and(|map| map.assignment_of(key).owner.as_ref() == Some(&owner));
        match is_owned {
            true => KeyStatus::Moving,
            false => KeyStatus::NotOwner,
        }
    }

    /// Records that a request for a key occupied a concurrency slot of the
    /// upstream for `took`.
    pub fn record_work(&self, key: Key, took: Duration) {
        let now = self.inner.deps.clock.now();
        self.state().load.record(key, took, now);
    }

    /// Records the requests in flight or queued at the gate per concurrency slot,
    /// and their typical latency.
    pub fn record_utilisation(&self, utilisation: f64, service_time: Duration) {
        /// Weight of a new sample; samples come a few times a second.
        const SMOOTHING_FACTOR: f64 = 0.3;
        let mut state = self.state();
        state.service_time = service_time;
        state.utilisation += (utilisation - state.utilisation) * SMOOTHING_FACTOR;
    }

    /// Records the lease row version from a node's heartbeat.
    pub fn observe_lease(&self, member: &Member) {
        if member.lease_version > 0 {
            let now = self.inner.deps.clock.since_boot();
            self.state()
                .lease_observations
                .observe(&member.name, member.lease_version, now);
        }
    }

    /// Returns the version of this node's lease row; 0 while it holds no lease.
    pub fn lease_version(&self) -> RowVersion {
        let state = self.state();
        match self.holds_lease(&state) {
            true => state.lease.version.unwrap_or(0),
            false => 0,
        }
    }

    /// Returns whether this node owns any range.
    pub fn owns_any_range(&self) -> bool {
        let map = self.current_map();
        map.is_some_and(|map| map.owned_by_node(&self.inner.deps.node).next().is_some())
    }

    fn lease_end(&self, state: &State) -> Option<SinceBoot> {
        state.lease.end(&self.inner.deps.settings.lease)
    }

    fn holds_lease(&self, state: &State) -> bool {
        let now = self.inner.deps.clock.since_boot();
        self.lease_end(state).is_some_and(|end| now < end)
    }

    fn local_owner(&self, state: &State) -> Option<Owner> {
        state.incarnation.clone().map(|life| Owner {
            node: NodeName::clone(&self.inner.deps.node),
            life,
        })
    }

    fn current_map(&self) -> Option<Arc<RangeMap>> {
        self.inner.deps.maps.get(&self.inner.deps.service)
    }

    fn current_map_or_unowned(&self) -> Arc<RangeMap> {
        self.current_map()
            .unwrap_or_else(|| Arc::new(RangeMap::unowned()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Each lock covers a single read or update, which leaves the state
        // consistent even when it panics.
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the other members that may own ranges now. One that holds no lease of
    /// the present era yet may not: its absence would not show in the table. Nor may
    /// one in an evacuated data centre.
    fn eligible_members(&self) -> Vec<Member> {
        let now = self.inner.deps.clock.now();
        let era = self.inner.deps.table.era();
        let evacuated = self.inner.deps.members.evacuations().names();
        let mut eligible_members = Vec::new();
        self.inner
            .deps
            .members
            .for_each_alive_of(&self.inner.deps.service, now, |member| {
                let is_ready = member.upstream.as_ref().is_some_and(|up| !up.draining);
                let is_leased =
                    member.lease_version > 0 && Some(era_of(member.lease_version)) == era;
                let is_evacuated = evacuated.contains(&member.data_centre);
                if is_ready && is_leased && !is_evacuated {
                    eligible_members.push(member.clone());
                }
            });
        eligible_members
    }

    async fn wait_before_retry(&self) {
        let delay = RETRY_DELAY.mul_f64(0.5 + fastrand::f64() / 2.0);
        self.inner.deps.clock.sleep(delay).await;
    }

    /// Reads all rows of the service in the present era.
    async fn read_rows(&self) -> Result<Snapshot, TableError> {
        let era = self.known_era().await?;
        let rows = self.scan_in(era).await?;
        let service = &self.inner.deps.service;
        let snapshot = match Snapshot::parse(service, era, &rows) {
            Ok(snapshot) => snapshot,
            Err(err) => {
                log::error!(
                    "the range rows of {service} are invalid, nothing is read from them: {err}"
                );
                return Err(TableError::Unavailable(err.to_string()));
            }
        };
        let now = self.inner.deps.clock.since_boot();
        let mut state = self.state();
        for (node, version) in &snapshot.leases {
            state.lease_observations.observe(node, *version, now);
        }
        state.unreadable = snapshot.unreadable.iter().map(|(_, it)| *it).collect();
        drop(state);
        for (version, section) in &snapshot.sections {
            self.accept_section(*version, Arc::clone(section));
        }
        Ok(snapshot)
    }

    /// Reads one section of the map.
    async fn read_section(&self, section: SectionIndex) -> Result<(), TableError> {
        let era = self.known_era().await?;
        let key = rows::section_key(&self.inner.deps.service, era, section);
        let Some(row) = self.get_in(era, &key).await? else {
            return Ok(());
        };
        match rows::parse_section(&key, section, &row) {
            Ok(parsed) => {
                self.state().unreadable.remove(&section);
                self.accept_section(row.version, Arc::new(parsed));
            }
            Err(err) => {
                self.state().unreadable.insert(section);
                log::error!("a section of the range map is ignored: {err}");
            }
        }
        Ok(())
    }

    fn accept_section(&self, version: RowVersion, section: Arc<MapSection>) {
        let (index, epoch) = (section.index(), section.epoch());
        if self
            .inner
            .deps
            .maps
            .accept(&self.inner.deps.service, version, section)
        {
            log::info!(service = &*self.inner.deps.service, section = index, version, epoch;
                "range map taken");
            self.inner.state_changed.notify(usize::MAX);
        }
    }
}
