//! Who owns which slot, and for how long this node may act on it.
//!
//! [`Ownership`] keeps this node's row in the platform's table, claims slots
//! by conditional transactions and answers, for each request, whether it may
//! run here ([`Ownership::admit`]). The argument for safety stands in
//! `docs/ownership.md` as numbered invariants; comments here name the invariant
//! that a step keeps.

mod choose;
mod claim;
mod declared;
mod error;
mod evidence;
mod heartbeat;
mod held;
mod hooks;
mod lease;
mod moves;
mod own_row;
pub mod pacing;
mod settings;
mod settle;
mod store;
mod takeover;
mod tasks;
mod upkeep;
mod witness;

pub use error::OwnershipError;
pub use held::Admission;
pub use hooks::{MoveHooks, NoHooks};
pub use ibiscove_types::Acquisition;
pub use settings::OwnershipSettings;

use evidence::Evidence;
use held::HeldSlots;
use ibiscove_spread::{Entry, Replica};
use ibiscove_store::Table;
use ibiscove_types::rows::{self, NODE_PREFIX};
use ibiscove_types::{
    Clock, Incarnation, NodeRow, NodeState, Reason, RowVersion, ServiceKind, Slot, SlotGrant,
    UpstreamSpec,
};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Done, Failed, Proposal, Request, Response, Seal};
use lease::Lease;
use smol::channel::{Receiver, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use witness::Wards;

/// Proposals that wait to be made; more are refused.
const MAX_PROPOSALS: usize = 16;

/// What the inventory says of a service that upstreams announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Whether each key has one owner.
    pub kind: ServiceKind,
    /// Number of hash slots, a power of two.
    pub slot_count: u32,
    /// Upstreams that the inventory expects; 0 when it does not say.
    pub expected_upstreams: u32,
}

/// This node's part in ownership. Clones share it.
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
    /// Jitter and new incarnations.
    rng: Mutex<fastrand::Rng>,
    /// This node's row, as the table last confirmed it.
    own: Mutex<OwnRow>,
    /// Earlier incarnations of this process, which were taken for lost.
    former: Mutex<Vec<Incarnation>>,
    /// Names of the instances that the operator declares lost.
    declared: Mutex<BTreeSet<String>>,
    /// Held across a change of the own row, so that there is one at a time.
    changing: smol::lock::Mutex<()>,
    lease: Lease,
    wards: Wards,
    held: HeldSlots,
    /// The upstream as it last announced itself.
    wanted: Mutex<Option<UpstreamSpec>>,
    /// Members that the upstream's service is to have, and since when this
    /// node has been one.
    expected: Mutex<Option<(u32, Instant)>>,
    /// Tells that the own row should be looked at.
    asked: event_listener::Event,
    /// Tells that rows in the replica have changed.
    rows: event_listener::Event,
    /// Nodes that may be lost, with the seals known of each.
    reports: Mutex<BTreeMap<Incarnation, Evidence>>,
    /// Tells of new reports.
    reported: event_listener::Event,
    /// What this node serves as an heir before the table says so, by ward.
    provisional: Mutex<BTreeMap<Incarnation, Vec<SlotGrant>>>,
    /// Rows that go out to peers.
    outbox: (Sender<Vec<Entry>>, Receiver<Vec<Entry>>),
    /// Moves that planners propose.
    proposals: (Sender<Proposal>, Receiver<Proposal>),
    /// This node leaves: it joins no more.
    leaving: AtomicBool,
    halted: AtomicBool,
}

#[derive(Clone, Debug)]
struct OwnRow {
    row: NodeRow,
    version: Option<RowVersion>,
}

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// A node's part, not yet registered. `row` says who and where it is.
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
        let wards = Wards::new(settings.lease);
        Self {
            inner: Arc::new(Inner {
                settings,
                table,
                peers,
                clock,
                hooks,
                replica,
                rng: Mutex::new(rng),
                own: Mutex::new(OwnRow { row, version: None }),
                former: Mutex::default(),
                declared: Mutex::default(),
                changing: smol::lock::Mutex::new(()),
                lease,
                wards,
                held: HeldSlots::default(),
                wanted: Mutex::default(),
                expected: Mutex::default(),
                asked: event_listener::Event::new(),
                rows: event_listener::Event::new(),
                reports: Mutex::default(),
                reported: event_listener::Event::new(),
                provisional: Mutex::default(),
                outbox: smol::channel::unbounded(),
                proposals: smol::channel::bounded(MAX_PROPOSALS),
                leaving: AtomicBool::new(false),
                halted: AtomicBool::new(false),
            }),
        }
    }

    /// This run of the node. A node that was taken for lost goes on as another
    /// incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.own().row.incarnation
    }

    /// This node's row, as the table last confirmed it.
    pub fn row(&self) -> NodeRow {
        self.own().row.clone()
    }

    /// Asks whether a request may run here now.
    ///
    /// The admission must be kept until the upstream has answered: a planned
    /// move waits for the admissions of its slot.
    pub fn admit(&self, slot: Option<Slot>) -> Result<Admission, Reason> {
        let now = self.inner.clock.now();
        if slot.is_none() {
            // Whoever may run a shared request needs no lease for it.
            if self.own().row.state != NodeState::Live {
                return Err(Reason::Draining);
            }
            return self
                .inner
                .held
                .admit(None, now, now + self.inner.settings.lease);
        }
        let end = self.lease_end(now).ok_or(Reason::LeaseExpired)?;
        self.inner.held.admit(slot, now, end)
    }

    /// When this node's lease ends, if it holds one now.
    pub fn lease_end(&self, now: Instant) -> Option<Instant> {
        if self.inner.halted.load(Ordering::Acquire) {
            return None;
        }
        self.inner.lease.end(now).filter(|end| now < *end)
    }

    /// Whether a loss of this node now would be covered without the table:
    /// every slot has an heir, and a majority of the witnesses knows it. Slots
    /// that it serves as an heir and has not settled have none.
    pub fn is_takeover_ready(&self) -> bool {
        let row = self.row();
        let is_settled = self.provisional().is_empty();
        let has_heirs = row.grants.iter().all(|grant| grant.heir.is_some());
        is_settled && has_heirs && !row.witnesses.is_empty() && self.inner.lease.is_confirmed()
    }

    /// Registers this node in the table, with witnesses from the start: a row
    /// without any could not be taken over from.
    pub async fn register(&self) -> Result<(), OwnershipError> {
        let map = self.inner.replica.map();
        let (witnesses, _) = choose::review(&self.row(), &map, |_| false);
        self.change_own_row(|row| {
            if row.witnesses.is_empty() {
                row.witnesses.clone_from(&witnesses);
            }
        })
        .await?;
        // Of two nodes that register at once, one finds the other here.
        self.load_table().await
    }

    /// Takes the announcement of the upstream beside this node, and waits
    /// until the node's row says so.
    pub async fn announce(
        &self,
        spec: UpstreamSpec,
        service: ServiceSpec,
    ) -> Result<(), OwnershipError> {
        if self.own().row.upstream.as_ref() == Some(&spec) {
            return Ok(());
        }
        self.ensure_service(&spec.service, service).await?;
        let now = self.inner.clock.now();
        lock(&self.inner.expected).get_or_insert((service.expected_upstreams, now));
        *self.wanted() = Some(spec.clone());
        // The change is made by a task that no caller's hang-up can cut short.
        self.inner.asked.notify(usize::MAX);
        let registered = async {
            loop {
                let changed = self.inner.lease.changed.listen();
                if self.own().row.upstream.as_ref() == Some(&spec) {
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

    /// Reads the whole table into the replica, as a starting node does.
    pub async fn load_table(&self) -> Result<(), OwnershipError> {
        for prefix in [NODE_PREFIX, rows::SERVICE_PREFIX, rows::CONFIG_PREFIX] {
            let rows = self.inner.table.scan(prefix).await?;
            let rows = rows
                .into_iter()
                .map(|(key, row)| (key, row.version, row.body));
            ibiscove_spread::load(&self.inner.replica, rows);
        }
        Ok(())
    }

    /// Gives up every slot once its work in flight has ended, then retires.
    ///
    /// Work that goes on after the drain timeout, which is longer than a lease,
    /// was admitted under a lease that has ended.
    pub async fn drain(&self) -> Result<(), OwnershipError> {
        self.inner.leaving.store(true, Ordering::Release);
        self.inner.held.refuse_all(Reason::Draining);
        let timeout = self.inner.settings.drain_timeout;
        let until = self.inner.clock.now() + timeout.max(self.inner.settings.lease);
        if let Err(err) = self.hand_over_as_work_ends(until).await {
            log::warn!("slots stay until all work in flight has ended: {err}");
        }
        let left = until.saturating_duration_since(self.inner.clock.now());
        let limit = self.inner.clock.sleep(left);
        smol::future::or(self.inner.held.idle(None), limit).await;
        let mut released = self.hand_over_all().await;
        if matches!(
            released,
            Err(OwnershipError::NoReceiver | OwnershipError::RequestsInFlight)
        ) {
            released = self.release_slots().await;
        }
        if let Err(OwnershipError::TooFewWitnesses) = released {
            let _one_at_a_time = self.inner.changing.lock().await;
            released = self.retire_own_row().await;
        }
        self.flush().await;
        if released.is_ok() {
            self.await_wards().await;
        }
        released
    }

    /// Goes on as a witness until no row names this node as one, for a while:
    /// a ward that lost two witnesses at once could not be taken over from.
    async fn await_wards(&self) {
        let replaced = async {
            while self.is_named_as_witness() {
                let changed = self.inner.rows.listen();
                let look = self.inner.clock.sleep(self.inner.settings.review_interval);
                smol::future::or(changed, look).await;
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
            .any(|witness| self.was_me(*witness))
    }

    /// Serves nothing from now on, as if the process had been killed.
    pub fn halt(&self) {
        self.inner.halted.store(true, Ordering::Release);
    }

    /// Answers a peer's message about leases; none when it is about
    /// something else.
    pub fn respond(&self, _from: Incarnation, req: &Request) -> Option<Response> {
        let now = self.inner.clock.now();
        match req {
            Request::Heartbeat(heartbeat) => {
                let ack = match self.was_me(heartbeat.witness as Incarnation) {
                    true => self.inner.wards.heartbeat(heartbeat, now),
                    false => witness::refusal(),
                };
                Some(Response::HeartbeatAck(ack))
            }
            Request::SealQuery(query) => {
                let witness = query.witness as Incarnation;
                let seal = match self.was_me(witness) {
                    true => self
                        .inner
                        .wards
                        .seal(witness, query.ward as Incarnation, now),
                    false => Seal::new(false, 0, false, None),
                };
                Some(Response::Seal(seal))
            }
            Request::SealNotice(notice) => {
                self.take_notice(notice);
                Some(Response::Done(Done {}))
            }
            Request::Proposal(proposal) => {
                let taken = self.inner.proposals.0.try_send(proposal.clone());
                Some(match taken {
                    Ok(()) => Response::Done(Done {}),
                    Err(_) => Response::Failed(Failed {
                        message: "too many proposals".to_owned(),
                    }),
                })
            }
            _ => None,
        }
    }

    /// Tells that rows in the replica have changed.
    pub fn notify_rows_changed(&self) {
        self.inner.rows.notify(usize::MAX);
    }

    /// Whether a leaving node has nothing left to give up.
    fn has_left(&self) -> bool {
        self.is_leaving() && self.own().row.state == NodeState::Retired
    }

    fn is_leaving(&self) -> bool {
        self.inner.leaving.load(Ordering::Acquire)
    }

    /// Whether an incarnation is, or was, of this process.
    pub(crate) fn was_me(&self, incarnation: Incarnation) -> bool {
        self.incarnation() == incarnation || lock(&self.inner.former).contains(&incarnation)
    }

    fn has_lease(&self, now: Instant) -> bool {
        self.lease_end(now).is_some()
    }

    /// Serves no slot any more under this incarnation: its row is retired, or
    /// about to be.
    fn serve_nothing(&self) {
        {
            let mut own = self.own();
            own.row.state = NodeState::Retired;
            own.row.grants.clear();
        }
        self.provisional().clear();
        self.refresh_held();
    }

    /// Serves what the own row grants, and what it does not grant yet.
    fn refresh_held(&self) {
        let row = self.own().row.clone();
        let mut provisional = self.provisional();
        provisional.retain(|ward, _| !row.absorbed.contains(ward));
        let more = provisional.values().flatten().copied();
        let grants: Vec<SlotGrant> = row.grants.iter().copied().chain(more).collect();
        self.inner.held.replace(grants, self.inner.clock.now());
    }

    fn own(&self) -> MutexGuard<'_, OwnRow> {
        lock(&self.inner.own)
    }

    fn wanted(&self) -> MutexGuard<'_, Option<UpstreamSpec>> {
        lock(&self.inner.wanted)
    }

    fn reports(&self) -> MutexGuard<'_, BTreeMap<Incarnation, Evidence>> {
        lock(&self.inner.reports)
    }

    fn provisional(&self) -> MutexGuard<'_, BTreeMap<Incarnation, Vec<SlotGrant>>> {
        lock(&self.inner.provisional)
    }

    fn rng(&self) -> MutexGuard<'_, fastrand::Rng> {
        lock(&self.inner.rng)
    }
}

fn lock<V>(mutex: &Mutex<V>) -> MutexGuard<'_, V> {
    mutex.lock().expect("a holder of the lock panicked")
}
