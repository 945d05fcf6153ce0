//! The members that this node has heard of.

use event_listener::Event;
use ibiscove_types::{
    DataCentre, Incarnation, NodeName, RowVersion, ServiceName, UpstreamIncarnation,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Silence after which a member is left alone, in heartbeat intervals. Two
/// lost datagrams in a row are rare on links that lose a few in a hundred.
const SUSPECT_INTERVALS: u32 = 3;
/// Silence after which a member is forgotten. Long enough for a machine that
/// restarts at its address to be told of the others by their heartbeats.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// An upstream as the node beside it sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Which upstream, and which life of it.
    pub incarnation: UpstreamIncarnation,
    /// Whether it is about to end.
    pub draining: bool,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Requests that run or wait at its gate.
    pub load: u32,
    /// Usual time of a request there.
    pub service_time: Duration,
    /// How much longer it is slow after its start.
    pub warm_up_remaining: Duration,
}

/// A node, as its last heartbeat told.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The node's name.
    pub name: NodeName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Number of its last heartbeat.
    pub sequence: u64,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where its gate takes requests.
    pub gate: SocketAddr,
    /// The service of its upstream.
    pub service: Option<ServiceName>,
    /// Its upstream, while it has one.
    pub upstream: Option<Upstream>,
    /// The configuration that it has.
    pub config_version: u64,
    /// The range maps that it has.
    pub maps: Vec<(ServiceName, RowVersion)>,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Version of its lease row in the table; 0 when it holds none.
    pub lease_version: RowVersion,
    /// When its last heartbeat came.
    pub last_heartbeat: Instant,
}

/// What changed with a heartbeat, for those who act on it at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberChange {
    /// The member was not known, or is another run of its process.
    pub is_new: bool,
    /// Its upstream came, went or began to drain.
    pub upstream_changed: bool,
}

/// The members that this node has heard of, without itself. Clones share them.
#[derive(Clone)]
pub struct Members {
    inner: Arc<Inner>,
}

struct Inner {
    base_interval: Duration,
    members: Mutex<BTreeMap<NodeName, Member>>,
    changed: Event,
}

impl Members {
    /// Nobody yet. `base_interval` is the time between heartbeats of a small
    /// mesh.
    pub fn new(base_interval: Duration) -> Self {
        Self {
            inner: Arc::new(Inner {
                base_interval,
                members: Mutex::default(),
                changed: Event::new(),
            }),
        }
    }

    /// Takes a heartbeat. One that is older than the last is left aside.
    pub fn apply_heartbeat(&self, member: Member) -> MemberChange {
        let mut members = self.lock();
        let change = match members.get(&member.name) {
            Some(known) if is_older(&member, known) => return MemberChange::default(),
            Some(known) => MemberChange {
                is_new: known.incarnation != member.incarnation,
                upstream_changed: upstream_state(known) != upstream_state(&member),
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

    /// Takes the load that a gate told with an answer.
    pub fn record_load(&self, name: &str, load: u32, service_time: Duration) {
        if let Some(upstream) = self.lock().get_mut(name).and_then(|m| m.upstream.as_mut()) {
            upstream.load = load;
            upstream.service_time = service_time;
        }
    }

    /// Forgets members that have been silent for long.
    pub fn prune(&self, now: Instant) {
        let heard = |member: &Member| now.saturating_duration_since(member.last_heartbeat);
        self.lock().retain(|_, member| heard(member) < FORGET_AFTER);
    }

    /// Time between two heartbeats to the same member. It grows with the mesh
    /// so that a node's share of the traffic stays bounded.
    pub fn interval(&self) -> Duration {
        interval(self.inner.base_interval, self.lock().len())
    }

    /// Whether a member was heard of recently enough to be sent requests.
    pub fn is_alive(&self, member: &Member, now: Instant) -> bool {
        self.is_alive_within(member, self.interval(), now)
    }

    fn is_alive_within(&self, member: &Member, interval: Duration, now: Instant) -> bool {
        !member.leaving
            && now.saturating_duration_since(member.last_heartbeat) < interval * SUSPECT_INTERVALS
    }

    /// A member by name.
    pub fn get(&self, name: &str) -> Option<Member> {
        self.lock().get(name).cloned()
    }

    /// How many members there are, alive or not.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Every member, silent ones included.
    pub fn all(&self) -> Vec<Member> {
        self.lock().values().cloned().collect()
    }

    /// Members that were heard of recently.
    pub fn alive(&self, now: Instant) -> Vec<Member> {
        let interval = self.interval();
        let mut all = self.all();
        all.retain(|member| self.is_alive_within(member, interval, now));
        all
    }

    /// Calls `visit` with each live member whose upstream belongs to a service,
    /// without copying them: this runs for each request.
    pub fn for_each_alive_of(&self, service: &str, now: Instant, mut visit: impl FnMut(&Member)) {
        let interval = self.interval();
        for member in self.lock().values() {
            let is_of = member.service.as_deref() == Some(service);
            if is_of && self.is_alive_within(member, interval, now) {
                visit(member);
            }
        }
    }

    /// Completes at the next change of members or of their upstreams.
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

/// Additional time between heartbeats for each member, so that a node sends
/// some 65 datagrams a second at most.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(15);

/// Time between heartbeats in a mesh of `members`.
pub fn interval(base: Duration, members: usize) -> Duration {
    base.max(INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX))
}

/// A heartbeat that was overtaken: an earlier run of the process, or an
/// earlier number of the same run.
fn is_older(member: &Member, known: &Member) -> bool {
    (member.incarnation, member.sequence) <= (known.incarnation, known.sequence)
}

fn upstream_state(member: &Member) -> (Option<(&UpstreamIncarnation, bool)>, bool) {
    let upstream = member.upstream.as_ref();
    let state = upstream.map(|upstream| (&upstream.incarnation, upstream.draining));
    (state, member.leaving)
}
