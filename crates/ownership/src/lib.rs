//! Slot ownership: leases, failure detection, takeover and planned moves.
//!
//! [`Ownership`] maintains this node's row in the platform's table, claims
//! slots by conditional transactions and decides for each request whether it
//! may run here ([`Ownership::admit`]). A slot is one of the hash ranges of a
//! service's keys. A node's lease is granted by its witnesses, other nodes that
//! monitor its heartbeats. A witness that receives none for the length of a
//! lease seals the node: it never acknowledges that node again. A majority of
//! seals permits the successors that the node's row names to take its slots
//! over, each under a higher fence, the number that lets an upstream reject an
//! earlier owner. An incarnation is one run of a node under one row.
//!
//! The safety argument is in `docs/ownership.md` as numbered invariants;
//! comments here name the invariant that a step preserves.

mod admission;
mod claim;
mod declared_losses;
mod error;
mod heartbeat;
mod hooks;
mod lease;
mod own_row;
pub mod pacing;
mod planned_moves;
mod reassign;
mod reconcile;
mod seals;
mod selection;
mod settings;
mod store;
mod takeover;
mod tasks;
mod witness;

pub use admission::Admission;
pub use error::OwnershipError;
pub use hooks::{MoveHooks, NoHooks};
pub use ibiscove_types::Acquisition;
pub use settings::OwnershipSettings;

use admission::HeldSlots;
use ibiscove_spread::{Replica, ReplicatedRow};
use ibiscove_store::Table;
use ibiscove_types::rows::{self, NODE_PREFIX};
use ibiscove_types::{
    Clock, Incarnation, NodeRow, NodeState, Reason, RowVersion, ServiceKind, Slot, SlotGrant,
    UpstreamSpec,
};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Done, Failed, Proposal, Request, Response, Seal};
use lease::Lease;
use seals::SealSet;
use smol::channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use witness::MonitoredNodes;

/// Queued move proposals; more are refused.
const MAX_PROPOSALS: usize = 16;

/// Inventory entry of a service that upstreams announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Whether each key has one owner.
    pub kind: ServiceKind,
    /// Number of hash slots, a power of two.
    pub slot_count: u32,
    /// Number of upstreams that the inventory lists; 0 when it does not.
    pub expected_upstreams: u32,
}

/// Ownership state and protocol of this node. Clones share it.
pub struct Ownership<T, N, C, H> {
    inner: Arc<Inner<T, N, C, H>>,
}

impl<T, N, C, H> Clone for Ownership<T, N, C, H> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

struct Inner<T, N, C, H> {
    settings: OwnershipSettings,
    table: T,
    peers: N,
    clock: C,
    hooks: H,
    replica: Replica,
    /// Source of jitter and of new incarnations.
    rng: Mutex<fastrand::Rng>,
    /// This node's row, as the table last confirmed it.
    own_row: Mutex<OwnRow>,
    /// Earlier incarnations of this process that other nodes sealed or retired.
    former_incarnations: Mutex<Vec<Incarnation>>,
    /// Names of the instances that the operator declares lost.
    declared_lost: Mutex<BTreeSet<String>>,
    /// Serialises changes of this node's row.
    own_row_lock: smol::lock::Mutex<()>,
    lease: Lease,
    monitored: MonitoredNodes,
    held_slots: HeldSlots,
    /// The local upstream as it last announced itself.
    announced_upstream: Mutex<Option<UpstreamSpec>>,
    /// Number of members that the inventory lists for the service, and when the
    /// local upstream first announced itself.
    expected_members: Mutex<Option<(u32, Instant)>>,
    /// Notified when this node's row should be checked.
    row_check_requested: event_listener::Event,
    /// Notified when rows in the replica have changed.
    replica_changed: event_listener::Event,
    /// Nodes that may be lost, with the seals received for each.
    suspects: Mutex<BTreeMap<Incarnation, SealSet>>,
    /// Notified when a suspect or a seal is added.
    suspects_changed: event_listener::Event,
    /// Grants served as a successor before the table records them, by lost
    /// node.
    provisional_grants: Mutex<BTreeMap<Incarnation, Vec<SlotGrant>>>,
    /// Rows to push to peers.
    outbox: (Sender<Vec<ReplicatedRow>>, Receiver<Vec<ReplicatedRow>>),
    /// Moves that planners propose.
    proposals: (Sender<Proposal>, Receiver<Proposal>),
    /// Set when this node leaves: it does not join again.
    leaving: AtomicBool,
    halted: AtomicBool,
}

#[derive(Clone, Debug)]
struct OwnRow {
    row: NodeRow,
    version: Option<RowVersion>,
}

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Creates the state of a node that is not registered yet. `row` gives its
    /// identity and addresses.
    pub fn new(
        settings: OwnershipSettings,
        row: NodeRow,
        table: T,
        replica: Replica,
        peers: N,
        clock: C,
        hooks: H,
    ) -> Self {
        let rng = fastrand::Rng::with_seed(row.incarnation);
        let term = settings.lease.saturating_sub(settings.drift_margin);
        let lease = Lease::new(term);
        let monitored = MonitoredNodes::new(settings.lease);
        Self {
            inner: Arc::new(Inner {
                settings,
                table,
                peers,
                clock,
                hooks,
                replica,
                rng: Mutex::new(rng),
                own_row: Mutex::new(OwnRow { row, version: None }),
                former_incarnations: Mutex::default(),
                declared_lost: Mutex::default(),
                own_row_lock: smol::lock::Mutex::new(()),
                lease,
                monitored,
                held_slots: HeldSlots::default(),
                announced_upstream: Mutex::default(),
                expected_members: Mutex::default(),
                row_check_requested: event_listener::Event::new(),
                replica_changed: event_listener::Event::new(),
                suspects: Mutex::default(),
                suspects_changed: event_listener::Event::new(),
                provisional_grants: Mutex::default(),
                outbox: smol::channel::unbounded(),
                proposals: smol::channel::bounded(MAX_PROPOSALS),
                leaving: AtomicBool::new(false),
                halted: AtomicBool::new(false),
            }),
        }
    }

    /// Returns the current incarnation. A node that others retired continues as
    /// another one.
    pub fn incarnation(&self) -> Incarnation {
        self.own_row().row.incarnation
    }

    /// Returns this node's row, as the table last confirmed it.
    pub fn row(&self) -> NodeRow {
        self.own_row().row.clone()
    }

    /// Admits a request to this node, or returns why it may not run here.
    ///
    /// The admission must be held until the upstream has responded: a planned
    /// move waits for the admissions of its slot.
    pub fn admit(&self, slot: Option<Slot>) -> Result<Admission, Reason> {
        let now = self.inner.clock.now();
        if slot.is_none() {
            // Requests to a shared service need no lease.
            if self.own_row().row.state != NodeState::Live {
                return Err(Reason::Draining);
            }
            return self
                .inner
                .held_slots
                .admit(None, now, now + self.inner.settings.lease);
        }
        let end = self.lease_end(now).ok_or(Reason::LeaseExpired)?;
        self.inner.held_slots.admit(slot, now, end)
    }

    /// Returns when this node's lease ends, if it holds one at `now`.
    pub fn lease_end(&self, now: Instant) -> Option<Instant> {
        if self.inner.halted.load(Ordering::Acquire) {
            return None;
        }
        self.inner.lease.end(now).filter(|end| now < *end)
    }

    /// Returns whether this node's slots could be taken over without the table:
    /// every slot has a successor, and a majority of the witnesses holds the
    /// row that names them. Slots that it serves as a successor and that the
    /// table does not record yet have none.
    pub fn is_takeover_ready(&self) -> bool {
        let row = self.row();
        let is_recorded = self.provisional_grants().is_empty();
        let has_successors = row.grants.iter().all(|grant| grant.heir.is_some());
        is_recorded
            && has_successors
            && !row.witnesses.is_empty()
            && self.inner.lease.is_row_held_by_majority()
    }

    /// Registers this node in the table, with witnesses from the start: a node
    /// without any could not be sealed, so its slots could not be taken over.
    pub async fn register(&self) -> Result<(), OwnershipError> {
        let map = self.inner.replica.map();
        let (witnesses, _) = selection::select(&self.row(), &map, |_| false);
        self.update_own_row(|row| {
            if row.witnesses.is_empty() {
                row.witnesses.clone_from(&witnesses);
            }
        })
        .await?;
        // When two nodes register concurrently, at least one sees the other
        // here.
        self.load_table().await
    }

    /// Records the announcement of the local upstream, and waits until this
    /// node's row contains it.
    pub async fn announce(
        &self,
        spec: UpstreamSpec,
        service: ServiceSpec,
    ) -> Result<(), OwnershipError> {
        if self.own_row().row.upstream.as_ref() == Some(&spec) {
            return Ok(());
        }
        self.ensure_service_row(&spec.service, service).await?;
        let now = self.inner.clock.now();
        lock(&self.inner.expected_members).get_or_insert((service.expected_upstreams, now));
        *self.announced_upstream() = Some(spec.clone());
        // A background task writes the row, so that a disconnecting caller
        // cannot cancel the change.
        self.inner.row_check_requested.notify(usize::MAX);
        let registered = async {
            loop {
                let changed = self.inner.lease.changed.listen();
                if self.own_row().row.upstream.as_ref() == Some(&spec) {
                    return Ok(());
                }
                changed.await;
            }
        };
        let limit = async {
            self.inner
                .clock
                .sleep(self.inner.settings.announce_timeout)
                .await;
            Err(OwnershipError::RegistrationPending)
        };
        smol::future::or(registered, limit).await
    }

    /// Reads the whole table into the replica when a node starts.
    pub async fn load_table(&self) -> Result<(), OwnershipError> {
        for prefix in [NODE_PREFIX, rows::SERVICE_PREFIX, rows::CONFIG_PREFIX] {
            let rows = self.inner.table.scan(prefix).await?;
            let rows = rows
                .into_iter()
                .map(|(key, row)| (key, row.version, row.body));
            ibiscove_spread::apply_rows(&self.inner.replica, rows);
        }
        Ok(())
    }

    /// Moves or vacates every slot once its requests have ended, then retires
    /// this node's row.
    ///
    /// Requests that outlast the drain timeout, which is longer than a lease,
    /// were admitted under a lease that has ended.
    pub async fn drain(&self) -> Result<(), OwnershipError> {
        self.inner.leaving.store(true, Ordering::Release);
        self.inner.held_slots.refuse_all(Reason::Draining);
        let timeout = self.inner.settings.drain_timeout;
        let until = self.inner.clock.now() + timeout.max(self.inner.settings.lease);
        if let Err(err) = self.move_idle_slots(until).await {
            log::warn!("slots cannot be moved one by one, waiting for all requests to end: {err}");
        }
        let remaining = until.saturating_duration_since(self.inner.clock.now());
        let limit = self.inner.clock.sleep(remaining);
        smol::future::or(self.inner.held_slots.await_idle(None), limit).await;
        let mut released = self.move_all_slots().await;
        if matches!(
            released,
            Err(OwnershipError::NoReceiver | OwnershipError::RequestsInFlight)
        ) {
            released = self.vacate_slots().await;
        }
        if let Err(OwnershipError::TooFewWitnesses) = released {
            let _own_row_guard = self.inner.own_row_lock.lock().await;
            released = self.retire_own_row().await;
        }
        self.flush_outbox().await;
        if released.is_ok() {
            self.await_witness_replacement().await;
        }
        released
    }

    /// Continues as a witness until no row names this node as one, for a
    /// limited time: a monitored node that lost two witnesses at once could not
    /// be sealed.
    async fn await_witness_replacement(&self) {
        let replaced = async {
            while self.is_named_as_witness() {
                let changed = self.inner.replica_changed.listen();
                let poll = self.inner.clock.sleep(self.inner.settings.review_interval);
                smol::future::or(changed, poll).await;
            }
        };
        let limit = self
            .inner
            .clock
            .sleep(self.inner.settings.witness_replacement_timeout);
        smol::future::or(replaced, limit).await;
    }

    fn is_named_as_witness(&self) -> bool {
        let map = self.inner.replica.map();
        map.live_nodes()
            .flat_map(|node| &node.row.witnesses)
            .any(|witness| self.is_own_incarnation(*witness))
    }

    /// Stops serving at once, as if the process had been killed.
    pub fn halt(&self) {
        self.inner.halted.store(true, Ordering::Release);
    }

    /// Responds to a peer's request that concerns leases or moves; none for any
    /// other request. On the wire, a `ward` is the monitored node that sends
    /// heartbeats to a witness.
    pub fn respond(&self, _from: Incarnation, req: &Request) -> Option<Response> {
        let now = self.inner.clock.now();
        match req {
            Request::Heartbeat(heartbeat) => {
                let ack = match self.is_own_incarnation(heartbeat.witness as Incarnation) {
                    true => self.inner.monitored.acknowledge(heartbeat, now),
                    false => witness::refusal(),
                };
                Some(Response::HeartbeatAck(ack))
            }
            Request::SealQuery(query) => {
                let witness = query.witness as Incarnation;
                let seal = match self.is_own_incarnation(witness) {
                    true => self
                        .inner
                        .monitored
                        .seal(witness, query.ward as Incarnation, now),
                    false => Seal::new(false, 0, false, None),
                };
                Some(Response::Seal(seal))
            }
            Request::SealNotice(notice) => {
                self.record_seal_notice(notice);
                Some(Response::Done(Done {}))
            }
            Request::Proposal(proposal) => {
                let queued = self.inner.proposals.0.try_send(proposal.clone());
                Some(match queued {
                    Ok(()) => Response::Done(Done {}),
                    Err(_) => Response::Failed(Failed {
                        message: "too many proposals".to_owned(),
                    }),
                })
            }
            _ => None,
        }
    }

    /// Signals that rows in the replica have changed.
    pub fn notify_rows_changed(&self) {
        self.inner.replica_changed.notify(usize::MAX);
    }

    /// Returns whether a leaving node has retired its row.
    fn has_retired(&self) -> bool {
        self.is_leaving() && self.own_row().row.state == NodeState::Retired
    }

    fn is_leaving(&self) -> bool {
        self.inner.leaving.load(Ordering::Acquire)
    }

    /// Returns whether an incarnation is this process's current or an earlier
    /// one.
    pub(crate) fn is_own_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation() == incarnation
            || lock(&self.inner.former_incarnations).contains(&incarnation)
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_end(now).is_some()
    }

    /// Stops serving every slot under this incarnation: its row is retired, or
    /// about to be.
    fn stop_serving(&self) {
        {
            let mut own = self.own_row();
            own.row.state = NodeState::Retired;
            own.row.grants.clear();
        }
        self.provisional_grants().clear();
        self.refresh_held_slots();
    }

    /// Serves the grants of this node's row and the provisional ones.
    fn refresh_held_slots(&self) {
        let row = self.own_row().row.clone();
        let mut provisional_grants = self.provisional_grants();
        provisional_grants.retain(|lost, _| !row.absorbed.contains(lost));
        let provisional = provisional_grants.values().flatten().copied();
        let grants: Vec<SlotGrant> = row.grants.iter().copied().chain(provisional).collect();
        self.inner
            .held_slots
            .replace_grants(grants, self.inner.clock.now());
    }

    fn own_row(&self) -> MutexGuard<'_, OwnRow> {
        lock(&self.inner.own_row)
    }

    fn announced_upstream(&self) -> MutexGuard<'_, Option<UpstreamSpec>> {
        lock(&self.inner.announced_upstream)
    }

    fn suspects(&self) -> MutexGuard<'_, BTreeMap<Incarnation, SealSet>> {
        lock(&self.inner.suspects)
    }

    fn provisional_grants(&self) -> MutexGuard<'_, BTreeMap<Incarnation, Vec<SlotGrant>>> {
        lock(&self.inner.provisional_grants)
    }

    fn rng(&self) -> MutexGuard<'_, fastrand::Rng> {
        lock(&self.inner.rng)
    }
}

fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().expect("a holder of the lock panicked")
}
