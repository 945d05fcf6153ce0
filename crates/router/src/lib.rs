//! A node of the request path, assembled.
//!
//! [`Router::start`] listens and starts every task; the caller feeds it
//! configurations and the upstream's announcements. It owns no decision: those
//! are in the crates that it puts together. See `docs/request-path.md`.

mod catch_up;
mod join;
mod maintenance;
mod metrics_page;
mod settings;
mod shutdown;

pub use settings::{RouterAddrs, RouterSettings};

use bytes::Bytes;
use event_listener::Event;
use ibiscove_http::{Pool, PoolSettings, Server, ServerSettings};
use ibiscove_mesh::{Members, Upstream, heartbeat};
use ibiscove_proxy::entry::{EntryParts, Identity};
use ibiscove_proxy::serving::PeerServer;
use ibiscove_proxy::{
    Announcement, ConfigCell, Entry, Gate, HeaderNames, LocalUpstream, RouteTable,
};
use ibiscove_ranges::{ControllerParts, Grantee, RangeController, RangeMaps};
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, Incarnation};
use ibiscove_wire::messages::Presence;
use smol::net::{TcpListener, UdpSocket};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads a configuration from the text that operators wrote.
pub type ParseConfig = fn(&[u8]) -> Result<RouteTable, String>;

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {addr} ({role}): {cause}")]
pub struct ListenError {
    /// What the address is for.
    pub role: &'static str,
    /// The address.
    pub addr: SocketAddr,
    /// What went wrong.
    pub cause: io::Error,
}

/// A running node. Clones share it.
pub struct Router<T, G, C> {
    inner: Arc<Inner<T, G, C>>,
}

impl<T, G, C> Clone for Router<T, G, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

pub(crate) type Keys<T, G, C> = RangeController<T, G, C>;

struct Inner<T, G, C> {
    settings: RouterSettings,
    incarnation: Incarnation,
    sequence: AtomicU64,
    table: T,
    grantee: G,
    clock: C,
    parse_config: ParseConfig,
    config: ConfigCell,
    members: Members,
    maps: RangeMaps,
    local_upstream: LocalUpstream,
    gate: Gate<Keys<T, G, C>, C>,
    entry: Entry<Keys<T, G, C>, C>,
    keeper: OnceLock<Keys<T, G, C>>,
    /// Connections to other nodes.
    peers: Pool,
    callers: Server,
    peer_server: Server,
    /// Makes the next heartbeat due at once.
    pushed: Arc<Event>,
    /// What is being fetched from other nodes.
    fetching: catch_up::ActiveFetches,
    /// The node takes no new callers and gives its keys away.
    leaving: AtomicBool,
    /// Other nodes send nothing more to its gate.
    turned_away: AtomicBool,
    started: Instant,
}

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Listens and starts every task.
    pub async fn start(
        settings: RouterSettings,
        names: HeaderNames,
        table: T,
        grantee: G,
        clock: C,
        parse_config: ParseConfig,
    ) -> Result<Self, ListenError> {
        metrics_page::install();
        let callers = listen("callers", settings.addrs.callers).await?;
        let peers = listen("peers", settings.addrs.peers).await?;
        let mesh = bind_udp("heartbeats", settings.addrs.heartbeats).await?;
        let pushed = Arc::new(Event::new());
        let config = ConfigCell::default();
        let members = Members::new(settings.heartbeat_interval);
        let maps = RangeMaps::default();
        let local_upstream = LocalUpstream::new(
            settings.local_upstream,
            settings.addrs.upstream,
            Arc::clone(&pushed),
        );
        let upstream_pool = Pool::new(PoolSettings::default());
        let gate = Gate::new(
            settings.gate,
            names.clone(),
            clock.clone(),
            local_upstream.clone(),
            upstream_pool,
        );
        let peer_pool = Pool::new(PoolSettings {
            max_idle: settings.entry.max_idle,
            ..PoolSettings::default()
        });
        let entry = Entry::new(EntryParts {
            settings: settings.entry,
            names,
            identity: Identity {
                node: Arc::clone(&settings.node),
                data_centre: Arc::clone(&settings.data_centre),
                service: settings.service.clone(),
            },
            clock: clock.clone(),
            config: config.clone(),
            members: members.clone(),
            maps: maps.clone(),
            local_upstream: local_upstream.clone(),
            gate: gate.clone(),
            pool: peer_pool.clone(),
        });
        let router = Self {
            inner: Arc::new(Inner {
                incarnation: new_incarnation(clock.wall()),
                sequence: AtomicU64::new(1),
                table,
                grantee,
                started: clock.now(),
                clock,
                parse_config,
                config,
                members,
                maps,
                local_upstream,
                gate,
                entry,
                keeper: OnceLock::new(),
                peers: peer_pool,
                callers: Server::default(),
                peer_server: Server::default(),
                pushed,
                fetching: catch_up::ActiveFetches::default(),
                leaving: AtomicBool::new(false),
                turned_away: AtomicBool::new(false),
                settings,
            }),
        };
        router.start_tasks(callers, peers, mesh);
        if let Some(addr) = router.inner.settings.addrs.metrics {
            let page = listen("metrics", addr).await?;
            smol::spawn(metrics_page::serve(page)).detach();
        }
        Ok(router)
    }

    fn start_tasks(&self, callers: TcpListener, peers: TcpListener, mesh: UdpSocket) {
        let inner = &self.inner;
        let entry = inner.entry.clone();
        let serve_callers = inner
            .callers
            .clone()
            .run(callers, ServerSettings::default(), {
                move |req| {
                    let entry = entry.clone();
                    async move { entry.handle(req).await }
                }
            });
        let peer_handler = Arc::new(PeerServer {
            gate: inner.gate.clone(),
            config: inner.config.clone(),
            maps: inner.maps.clone(),
            clock: inner.clock.clone(),
        });
        let serve_peers = inner
            .peer_server
            .clone()
            .run(peers, ServerSettings::default(), {
                move |req| {
                    let handler = Arc::clone(&peer_handler);
                    async move { handler.handle(req).await }
                }
            });
        smol::spawn(serve_callers).detach();
        smol::spawn(serve_peers).detach();
        let known = join::Known::default();
        let own = self.clone();
        let extra = known.clone();
        let members = inner.members.clone();
        smol::spawn(heartbeat::send(
            mesh.clone(),
            members.clone(),
            inner.clock.clone(),
            Arc::clone(&inner.pushed),
            move || own.presence(),
            move || extra.addresses(),
        ))
        .detach();
        let router = self.clone();
        smol::spawn(heartbeat::receive(
            mesh,
            members,
            inner.clock.clone(),
            move |member, is_new| router.heard(member, is_new),
        ))
        .detach();
        smol::spawn(self.clone().join(known)).detach();
        smol::spawn(self.clone().upkeep()).detach();
    }

    /// Takes a configuration as its operator wrote it. One that cannot be read
    /// is left aside and the last good one stays in force.
    pub fn apply_config(&self, text: Bytes) -> bool {
        let table = match (self.inner.parse_config)(&text) {
            Ok(table) => table,
            Err(err) => {
                metrics::counter!("ibiscove_config_refused_total").increment(1);
                log::error!(in_force = self.inner.config.version();
                    "a configuration was left aside: {err}");
                return false;
            }
        };
        let taken = self.inner.config.take(table, text);
        if taken {
            self.keep_keys();
            self.inner.pushed.notify(usize::MAX);
        }
        taken
    }

    /// Takes what the upstream beside this node says of itself.
    pub fn apply_announcement(&self, announcement: Announcement) {
        let now = self.inner.clock.now();
        self.inner
            .local_upstream
            .apply_announcement(announcement, now);
        self.tell_keeper();
    }

    /// The upstream beside this node leaves.
    pub fn begin_upstream_draining(&self, id: &str) {
        self.inner
            .local_upstream
            .begin_draining(id, self.inner.clock.now());
        self.tell_keeper();
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.inner.leaving.load(Ordering::Acquire) && self.inner.config.version() > 0
    }

    /// Starts to look after keys once the configuration says that the service
    /// of the upstream beside this node is divided.
    fn keep_keys(&self) {
        let inner = &self.inner;
        let Some(service) = inner.settings.service.clone() else {
            return;
        };
        let is_divided = inner
            .config
            .get()
            .is_some_and(|table| table.is_divided(&service));
        if !is_divided || inner.keeper.get().is_some() {
            return;
        }
        let keeper = RangeController::new(ControllerParts {
            settings: inner.settings.keeper,
            service,
            node: Arc::clone(&inner.settings.node),
            incarnation: inner.incarnation,
            table: inner.table.clone(),
            grantee: inner.grantee.clone(),
            clock: inner.clock.clone(),
            members: inner.members.clone(),
            maps: inner.maps.clone(),
            push_heartbeat: Arc::clone(&inner.pushed),
        });
        if inner.keeper.set(keeper.clone()).is_ok() {
            inner.gate.set_keys(keeper.clone());
            smol::spawn(keeper.run()).detach();
            self.tell_keeper();
        }
    }

    fn tell_keeper(&self) {
        let Some(keeper) = self.inner.keeper.get() else {
            return;
        };
        if let Some(present) = self.inner.local_upstream.current() {
            let is_leaving =
                present.draining_since.is_some() || self.inner.leaving.load(Ordering::Acquire);
            keeper.record_announcement(&present.announcement.incarnation, is_leaving);
        }
    }

    /// What this node says of itself in a heartbeat.
    fn presence(&self) -> Presence {
        let inner = &self.inner;
        let load = inner.gate.load();
        let upstream = inner.local_upstream.current().map(|present| Upstream {
            incarnation: present.announcement.incarnation.clone(),
            draining: present.draining_since.is_some(),
            slots: present.announcement.concurrency,
            load: load.load,
            service_time: load.service_time,
            warm_up_remaining: present.announcement.warm_up_remaining.saturating_sub(
                inner
                    .clock
                    .now()
                    .saturating_duration_since(present.received_at),
            ),
        });
        Presence {
            node: inner.settings.node.to_string(),
            incarnation: inner.incarnation as i64,
            sequence: inner.sequence.fetch_add(1, Ordering::Relaxed) as i64,
            data_centre: inner.settings.data_centre.to_string(),
            gate_port: inner.settings.addrs.peers.port().into(),
            service_name: inner
                .settings
                .service
                .as_ref()
                .map(|service| service.to_string()),
            upstream: upstream.as_ref().map(heartbeat::upstream_presence),
            config_version: inner.config.version() as i64,
            maps: heartbeat::map_versions(inner.maps.versions()),
            leaving: inner.turned_away.load(Ordering::Acquire),
            lease_version: inner
                .keeper
                .get()
                .map_or(0, |keeper| keeper.lease_version()) as i64,
        }
    }
}

/// Later runs of a process have higher incarnations, so that others can tell
/// which of two heartbeats is the newer one.
fn new_incarnation(wall: SystemTime) -> Incarnation {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX >> 1)
}

/// Listens for what `role` is for.
pub async fn listen(role: &'static str, addr: SocketAddr) -> Result<TcpListener, ListenError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|cause| ListenError { role, addr, cause })
}

async fn bind_udp(role: &'static str, addr: SocketAddr) -> Result<UdpSocket, ListenError> {
    let bound = UdpSocket::bind(addr).await;
    bound.map_err(|cause| ListenError { role, addr, cause })
}
