//! Membership state: the other nodes, each as of its last heartbeat.

use crate::evacuations::Evacuations;
use event_listener::Event;
use ibiscove_types::{
    DataCentre, Incarnation, NodeName, RowVersion, ServiceName, UpstreamIncarnation,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Heartbeat intervals without a heartbeat after which a member is suspected to
/// have failed. Two consecutive lost datagrams are rare on links that lose a
/// few per cent.
const SUSPECT_AFTER_INTERVALS: u32 = 3;
/// Time without a heartbeat after which a member is removed. Long enough for a
/// machine that restarts at its address to receive heartbeats of the others.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// An upstream, as its local node reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Which upstream, and which incarnation of it.
    pub incarnation: UpstreamIncarnation,
    /// Whether it is about to shut down.
    pub draining: bool,
    /// Requests that it processes concurrently; fewer than it has slots while it
    /// names a limit.
    pub concurrency: u32,
    /// Requests in flight or queued at its gate.
    pub load: u32,
    /// Typical latency of a request at the upstream.
    pub service_time: Duration,
    /// How much longer it is slow after its start.
    pub warm_up_remaining: Duration,
}

/// A node, as of its last heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The node's name.
    pub name: NodeName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of its last heartbeat.
    pub sequence: u64,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Address at which its gate accepts requests.
    pub gate: SocketAddr,
    /// The service of its upstream.
    pub service: Option<ServiceName>,
    /// Its upstream, while it has one.
    pub upstream: Option<Upstream>,
    /// Version of its configuration.
    pub config_version: u64,
    /// Sum of the epochs of the sections of each of its range maps.
    pub maps: Vec<(ServiceName, u64)>,
    /// Whether it is about to shut down.
    pub leaving: bool,
    /// Version of its lease row in the table; 0 while it holds no lease.
    pub lease_version: RowVersion,
    /// When its last heartbeat was received.
    pub last_heartbeat: Instant,
}

/// Changes by a heartbeat that require immediate action.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberChange {
    /// The member was not known before, or its process is another incarnation.
    pub is_new: bool,
    /// Its upstream appeared, disappeared or began to drain.
    pub upstream_changed: bool,
}

/// The other nodes that sent heartbeats. Clones share the state.
#[derive(Clone)]
pub struct Members {
    inner: Arc<Inner>,
}

struct Inner {
    base_interval: Duration,
    members: Mutex<BTreeMap<NodeName, Member>>,
    changed: Event,
    evacuations: Evacuations,
}

impl Members {
    /// Creates an empty set. `base_interval` is the heartbeat interval of a
    /// small mesh.
    pub fn new(base_interval: Duration) -> Self {
        Self {
            inner: Arc::new(Inner {
                base_interval,
                members: Mutex::default(),
                changed: Event::new(),
                evacuations: Evacuations::default(),
            }),
        }
    }

    /// Applies a heartbeat, unless it is older than the last one.
    pub fn apply_heartbeat(&self, member: Member) -> MemberChange {
        let mut members = self.lock();
        let change = match members.get(&member.name) {
            Some(existing) if is_stale(&member, existing) => return MemberChange::default(),
            Some(existing) => MemberChange {
                is_new: existing.incarnation != member.incarnation,
                upstream_changed: upstream_state(existing) != upstream_state(&member),
            },
            None => MemberChange {
                is_new: true,
                upstream_changed: true,
            },
        };
        members.insert(Arc::clone(&member.name), member);
        drop(members);
        if change.is_new || change.upstream_changed {
            self.inner.changed.notify(usize::MAX);
        }
        change
    }

    /// Records the load that a gate reported with a response.
    pub fn record_load(&self, name: &str, load: u32, service_time: Duration, concurrency: u32) {
        if let Some(upstream) = self.lock().get_mut(name).and_then(|m| m.upstream.as_mut()) {
            upstream.load = load;
            upstream.service_time = service_time;
            upstream.concurrency = concurrency;
        }
    }

    /// Removes members that have sent no heartbeat for a long time.
    pub fn prune(&self, now: Instant) {
        let age = |member: &Member| now.saturating_duration_since(member.last_heartbeat);
        self.lock().retain(|_, member| age(member) < REMOVE_AFTER);
    }

    /// Returns the heartbeat interval per member. It grows with the mesh, so
    /// that a node's share of the traffic is bounded.
    pub fn interval(&self) -> Duration {
        interval(self.inner.base_interval, self.lock().len())
    }

    /// Returns whether a member's last heartbeat is recent enough to send it
    /// requests.
    pub fn is_alive(&self, member: &Member, now: Instant) -> bool {
        self.is_alive_within(member, self.interval(), now)
    }

    /// Returns the same for a known heartbeat interval.
    pub(crate) fn is_alive_within(
        &self,
        member: &Member,
        interval: Duration,
        now: Instant,
    ) -> bool {
        !member.leaving
            && now.saturating_duration_since(member.last_heartbeat)
                < interval * SUSPECT_AFTER_INTERVALS
    }

    /// Returns the evacuated data centres, whose members are sent no requests.
    pub fn evacuations(&self) -> &Evacuations {
        &self.inner.evacuations
    }

    /// Returns a member by name.
    pub fn get(&self, name: &str) -> Option<Member> {
        self.lock().get(name).cloned()
    }

    /// Returns the number of members, alive or not.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns every member, alive or not.
    pub fn all(&self) -> Vec<Member> {
        self.lock().values().cloned().collect()
    }

    /// Returns the addresses of up to `count` random members.
    pub fn sample(&self, count: usize, rng: &mut fastrand::Rng) -> Vec<IpAddr> {
        let members = self.lock();
        let addrs = members.values().map(|member| member.gate.ip());
        rng.choose_multiple(addrs, count)
    }

    /// Calls `visit` with every member, alive or not, and the current heartbeat
    /// interval.
    pub fn for_each(&self, mut visit: impl FnMut(&Member, Duration)) {
        let members = self.lock();
        let interval = interval(self.inner.base_interval, members.len());
        members.values().for_each(|member| visit(member, interval));
    }

    /// Returns the members whose last heartbeat is recent.
    pub fn alive(&self, now: Instant) -> Vec<Member> {
        let interval = self.interval();
        let mut all = self.all();
        all.retain(|member| self.is_alive_within(member, interval, now));
        all
    }

    /// Calls `visit` with each live member whose upstream belongs to a service.
    /// Members are not cloned, since this runs for each request.
    pub fn for_each_alive_of(&self, service: &str, now: Instant, mut visit: impl FnMut(&Member)) {
        let interval = self.interval();
        for member in self.lock().values() {
            let is_of_service = member.service.as_deref() == Some(service);
            if is_of_service && self.is_alive_within(member, interval, now) {
                visit(member);
            }
        }
    }

    /// Returns a listener that is notified of the next change of members or of
    /// their upstreams.
    pub fn changed(&self) -> event_listener::EventListener {
        self.inner.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeName, Member>> {
        self.inner
            .members
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Additional heartbeat interval per member, which limits a node to about 65
/// datagrams a second.
const EXTRA_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(15);

/// Returns the heartbeat interval in a mesh of `members`.
pub fn interval(base: Duration, members: usize) -> Duration {
    base.max(EXTRA_INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX))
}

/// Returns whether a heartbeat was overtaken: it is of an earlier incarnation
/// of the process, or has an earlier sequence number.
fn is_stale(member: &Member, existing: &Member) -> bool {
    (member.incarnation, member.sequence) <= (existing.incarnation, existing.sequence)
}

fn upstream_state(member: &Member) -> (Option<(&UpstreamIncarnation, bool)>, bool) {
    let upstream = member.upstream.as_ref();
    let state = upstream.map(|upstream| (&upstream.incarnation, upstream.draining));
    (state, member.leaving)
}
