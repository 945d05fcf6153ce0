//! A node of the request path: assembles its components and runs their tasks.
//!
//! [`Router::start`] opens the listeners and starts all tasks. Its user passes in
//! configurations and the upstream's announcements. All decisions are made in
//! the crates that it assembles. See `docs/request-path.md`.

mod catch_up;
pub mod crash_news;
mod evacuation;
mod join;
mod maintenance;
pub mod map_news;
mod metrics_page;
mod settings;
mod shutdown;
mod stored_suspects;
mod stored_withdrawals;

pub use ibiscove_mesh::evacuations::{EvacuationState, Reading as EvacuationReading};
pub use settings::{RouterAddrs, RouterSettings};

use bytes::Bytes;
use event_listener::Event;
use ibiscove_http::body::BodyBudget;
use ibiscove_http::{Pool, PoolSettings, Server, ServerSettings, socket};
use ibiscove_mesh::directory::Introductions;
use ibiscove_mesh::evacuations::EvacuationNews;
use ibiscove_mesh::heartbeat::News;
use ibiscove_mesh::{Members, Upstream, followers, heartbeat};
use ibiscove_proxy::config_transfer::ConfigDownload;
use ibiscove_proxy::entry::{EntryDependencies, NodeIdentity};
use ibiscove_proxy::local_upstream::AnnouncementEffect;
use ibiscove_proxy::panics::respond_despite_panic;
use ibiscove_proxy::peer_api::PeerServer;
use ibiscove_proxy::suspects::Suspects;
use ibiscove_proxy::transfer_pacing::TransferPacing;
use ibiscove_proxy::transit::TransitBySender;
use ibiscove_proxy::{
    Announcement, ConfigCell, ConfigLag, Entry, Gate, HeaderNames, LocalUpstream, RouteTable,
};
use ibiscove_ranges::{
    ControllerDependencies, Grantee, HoldList, HoldReport, RangeController, RangeMaps,
};
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, Incarnation};
use ibiscove_wire::messages::Presence;
use smol::future::FutureExt;
use smol::net::{TcpListener, UdpSocket};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Parses the text of a configuration.
pub type ParseConfig = fn(&[u8]) -> Result<RouteTable, String>;

/// An address on which a node could not listen.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {addr} ({role}): {cause}")]
pub struct ListenError {
    /// The purpose of the address.
    pub role: &'static str,
    /// The address.
    pub addr: SocketAddr,
    /// The error.
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

pub(crate) type Controller<T, G, C> = RangeController<T, G, C>;

struct Inner<T, G, C> {
    settings: RouterSettings,
    incarnation: Incarnation,
    sequence: AtomicU64,
    table: T,
    grantee: G,
    clock: C,
    parse_config: ParseConfig,
    config: ConfigCell,
    config_lag: ConfigLag,
    members: Members,
    maps: RangeMaps,
    local_upstream: LocalUpstream,
    suspects: Suspects,
    gate: Gate<Controller<T, G, C>, C>,
    entry: Entry<Controller<T, G, C>, C>,
    range_controller: OnceLock<Controller<T, G, C>>,
    /// Connections to other nodes.
    peers: Pool,
    /// The gate's connections to the local upstream.
    /// Memory for the bodies of requests of callers and other nodes.
    body_budget: BodyBudget,
    callers: Server,
    peer_server: Server,
    /// Notified when the next heartbeat is due immediately.
    heartbeat_due: Arc<Event>,
    /// Notified when this node's presence is to be passed on as news.
    spread_due: Event,
    /// Whether a change of evacuations is to be passed on, in a datagram of its own.
    is_evacuation_unspread: AtomicBool,
    /// Held while what is known of evacuations is passed to the gate and the range
    /// controller, so that both end up with the latest.
    evacuation_enforcement: Mutex<()>,
    /// Configurations and maps that are being fetched from other nodes.
    active_fetches: catch_up::ActiveFetches,
    /// The newer configuration that is being fetched.
    config_download: ConfigDownload,
    rejected_config: catch_up::RejectedConfig,
    /// Whether the node is shutting down: not ready for callers, and its ranges
    /// move to other nodes.
    is_shutting_down: AtomicBool,
    /// Whether its heartbeats ask other nodes to send no more requests to its
    /// gate.
    is_withdrawn: AtomicBool,
    started: Instant,
}

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Opens the listeners and starts all tasks.
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
        let heartbeat_due = Arc::new(Event::new());
        let config = ConfigCell::default();
        let config_lag = ConfigLag::default();
        let members = Members::new(settings.heartbeat_interval);
        let maps = RangeMaps::default();
        let local_upstream = LocalUpstream::new(
            settings.local_upstream,
            settings.addrs.upstream,
            Arc::clone(&heartbeat_due),
        );
        local_upstream.await_withdrawals();
        let suspects = Suspects::new(clock.now(), clock.wall());
        let upstream_pool = Pool::new(PoolSettings::default());
        let response_budget = BodyBudget::new(settings.max_response_memory);
        let gate = Gate::new(
            settings.gate,
            names.clone(),
            clock.clone(),
            local_upstream.clone(),
            suspects.clone(),
            upstream_pool,
            response_budget.clone(),
        );
        let peer_pool = Pool::new(PoolSettings {
            max_idle: settings.entry.max_idle,
            unacknowledged_timeout: Some(socket::USER_TIMEOUT),
            ..PoolSettings::default()
        });
        let body_budget = BodyBudget::new(settings.max_body_memory);
        let entry = Entry::new(EntryDependencies {
            settings: settings.entry,
            names,
            identity: NodeIdentity {
                node: Arc::clone(&settings.node),
                data_centre: Arc::clone(&settings.data_centre),
                service: settings.service.clone(),
            },
            clock: clock.clone(),
            config: config.clone(),
            config_lag: config_lag.clone(),
            members: members.clone(),
            maps: maps.clone(),
            local_upstream: local_upstream.clone(),
            gate: gate.clone(),
            suspects: suspects.clone(),
            pool: peer_pool.clone(),
            body_budget: body_budget.clone(),
            response_budget,
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
                config_lag,
                members,
                maps,
                local_upstream,
                suspects,
                gate,
                entry,
                range_controller: OnceLock::new(),
                peers: peer_pool,
                body_budget,
                callers: Server::default(),
                peer_server: Server::default(),
                heartbeat_due,
                spread_due: Event::new(),
                is_evacuation_unspread: AtomicBool::new(false),
                evacuation_enforcement: Mutex::default(),
                active_fetches: catch_up::ActiveFetches::default(),
                config_download: ConfigDownload::default(),
                rejected_config: catch_up::RejectedConfig::default(),
                is_shutting_down: AtomicBool::new(false),
                is_withdrawn: AtomicBool::new(false),
                settings,
            }),
        };
        router.update_evacuation();
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
        let early_entry = inner.entry.clone();
        let caller_settings = ServerSettings {
            clients: "callers",
            pipeline: inner.settings.pipeline,
            ..ServerSettings::default()
        };
        let serve_callers = inner.callers.clone().run_pipelined(
            callers,
            caller_settings,
            move |head| early_entry.may_start_early(head),
            move |req| {
                let entry = entry.clone();
                // Otherwise each connection has room for a request, even while it is idle.
                let work = Box::pin(async move { entry.handle(req).await });
                respond_despite_panic(work, "entry")
            },
        );
        let peer_handler = Arc::new(PeerServer {
            gate: inner.gate.clone(),
            config: inner.config.clone(),
            maps: inner.maps.clone(),
            suspects: inner.suspects.clone(),
            clock: inner.clock.clone(),
            body_budget: inner.body_budget.clone(),
            transit: TransitBySender::default(),
            pacing: TransferPacing::default(),
        });
        let peer_settings = ServerSettings {
            clients: "nodes",
            max_head_bytes: caller_settings.max_head_bytes + ADDED_HEAD_BYTES,
            max_fields: caller_settings.max_fields + ADDED_FIELDS,
            ..ServerSettings::default()
        };
        let serve_peers = inner.peer_server.clone().run(peers, peer_settings, {
            move |req| {
                let handler = Arc::clone(&peer_handler);
                let work = Box::pin(async move { handler.handle(req).await });
                respond_despite_panic(work, "gate")
            }
        });
        smol::spawn(serve_callers).detach();
        smol::spawn(serve_peers).detach();
        let addresses = Introductions::default();
        let own = self.clone();
        let unconfirmed = addresses.clone();
        let members = inner.members.clone();
        smol::spawn(heartbeat::send(
            mesh.clone(),
            members.clone(),
            inner.clock.clone(),
            Arc::clone(&inner.heartbeat_due),
            move || own.presence(),
            move || unconfirmed.next_round(),
        ))
        .detach();
        let own = self.clone();
        let router = self.clone();
        smol::spawn(heartbeat::spread(
            mesh.clone(),
            members.clone(),
            move || own.presence(),
            async move || router.next_news().await,
        ))
        .detach();
        let router = self.clone();
        smol::spawn(heartbeat::receive(
            mesh,
            members,
            inner.clock.clone(),
            move |member, is_new, content| router.handle_heartbeat(member, is_new, content),
        ))
        .detach();
        smol::spawn(inner.gate.clone().run_pacing()).detach();
        smol::spawn(self.clone().join(addresses)).detach();
        smol::spawn(self.clone().store_suspects()).detach();
        smol::spawn(self.clone().store_withdrawals()).detach();
        smol::spawn(self.clone().run_maintenance()).detach();
    }

    /// Waits until sections of range maps are stored, a configuration is applied or
    /// upstreams have crashed; returns what one datagram each passes on.
    async fn next_news(&self) -> Vec<News> {
        let inner = &self.inner;
        let maps_changed = inner.maps.changed();
        let suspects_changed = inner.suspects.changed();
        let spread_due = inner.spread_due.listen();
        let mut map_news = inner.maps.take_news();
        let mut crash_news = inner.suspects.take_news();
        let is_unspread = inner.is_evacuation_unspread.load(Ordering::Acquire);
        if map_news.is_empty() && crash_news.is_empty() && !is_unspread {
            maps_changed.or(spread_due).or(suspects_changed).await;
            inner.clock.sleep(NEWS_COALESCE_DELAY).await;
            map_news = inner.maps.take_news();
            crash_news.extend(inner.suspects.take_news());
        }
        let map_batches = map_news::batches(map_news).into_iter();
        let mut batches: Vec<News> = map_batches
            .map(|map_changes| News {
                map_changes,
                ..News::default()
            })
            .collect();
        batches.extend(crash_news::batches(crash_news));
        let is_unspread = inner.is_evacuation_unspread.swap(false, Ordering::AcqRel);
        if batches.is_empty() || is_unspread {
            // The presence alone tells of the newer configuration and of evacuations.
            batches.insert(0, News::default());
        }
        batches
    }

    /// Returns whether this node follows the source of the configuration itself,
    /// rather than learning of changes from other nodes.
    pub fn follows_config(&self) -> bool {
        let settings = &self.inner.settings;
        let now = self.inner.clock.now();
        self.inner.config.version() == 0
            || followers::is_follower(
                &settings.node,
                &settings.data_centre,
                &self.inner.members,
                now,
            )
    }

    /// Applies the text of a configuration if it is newer. An invalid one is
    /// rejected and the current one stays in force. Returns whether it is applied.
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
        let is_applied = self.inner.config.replace_if_newer(table, text);
        if is_applied {
            self.update_config_lag();
            self.inner
                .config_download
                .forget(self.inner.config.version());
            self.apply_cold_start();
            self.start_range_controller();
            self.inner.spread_due.notify(usize::MAX);
        }
        is_applied
    }

    /// Compares the configuration in force with the newest one that is known.
    pub(crate) fn update_config_lag(&self) {
        let inner = &self.inner;
        inner
            .config_lag
            .update(inner.config.version(), inner.clock.now());
    }

    /// Applies an announcement of the local upstream, with the ranges that it
    /// reports. Returns its effect, and what the upstream is to hold, if grants travel
    /// in the answers.
    ///
    /// An announcement that is ignored renews nothing: its upstream has sent a newer one
    /// since, or may be an earlier incarnation.
    pub fn apply_announcement(
        &self,
        announcement: Announcement,
        report: &HoldReport,
    ) -> (AnnouncementEffect, Option<HoldList>) {
        let now = self.inner.clock.now();
        let incarnation = announcement.incarnation.clone();
        let effect = self
            .inner
            .local_upstream
            .apply_announcement(announcement, now);
        self.inner.gate.observe_upstream();
        self.update_range_controller();
        match effect {
            AnnouncementEffect::Stale | AnnouncementEffect::Contested => return (effect, None),
            AnnouncementEffect::Changed => self.inner.gate.record_successor(&incarnation),
            AnnouncementEffect::Unchanged => {}
        }
        let controller = self.inner.range_controller.get();
        let list =
            controller.and_then(|controller| controller.exchange_report(&incarnation, report));
        (effect, list)
    }

    /// Withdraws the local upstream from service after it reported that it leaves. That
    /// is to be acknowledged once [`Router::withdrawals_stored`] says so.
    pub fn withdraw_upstream(&self, id: &str) {
        let clock = &self.inner.clock;
        self.inner
            .local_upstream
            .withdraw(id, clock.now(), clock.wall());
        self.update_range_controller();
    }

    /// Returns whether callers should send requests to this node.
    pub fn is_ready(&self) -> bool {
        !self.inner.is_shutting_down.load(Ordering::Acquire) && self.inner.config.version() > 0
    }

    /// Passes on what the configuration says of cold upstreams of the local service.
    fn apply_cold_start(&self) {
        let service = self.inner.settings.service.as_ref();
        let table = self.inner.config.get();
        let service = service
            .zip(table.as_ref())
            .and_then(|(name, table)| table.services.get(name));
        let cold_start = service.and_then(|service| service.cold_start.clone());
        self.inner.gate.set_cold_start(cold_start);
    }

    /// Starts the range controller once the configuration declares the service of
    /// the local upstream as divided.
    fn start_range_controller(&self) {
        let inner = &self.inner;
        let Some(service) = inner.settings.service.clone() else {
            return;
        };
        let is_divided = inner
            .config
            .get()
            .is_some_and(|table| table.is_divided(&service));
        if !is_divided || inner.range_controller.get().is_some() {
            return;
        }
        let controller = RangeController::new(ControllerDependencies {
            settings: inner.settings.range_controller,
            service,
            node: Arc::clone(&inner.settings.node),
            incarnation: inner.incarnation,
            table: inner.table.clone(),
            grantee: inner.grantee.clone(),
            clock: inner.clock.clone(),
            members: inner.members.clone(),
            maps: inner.maps.clone(),
            heartbeat_due: Arc::clone(&inner.heartbeat_due),
        });
        if inner.range_controller.set(controller.clone()).is_ok() {
            inner.gate.set_key_ownership(controller.clone());
            self.update_evacuation();
            if inner.is_shutting_down.load(Ordering::Acquire) {
                controller.leave();
            }
            smol::spawn(controller.run()).detach();
            self.update_range_controller();
        }
    }

    /// Returns whether all withdrawals so far are stored, for which it waits a while. A
    /// withdrawal that is acknowledged without this is forgotten if all processes are
    /// killed.
    pub async fn withdrawals_stored(&self) -> bool {
        let stored = async {
            self.inner
                .local_upstream
                .withdrawals()
                .wait_until_stored()
                .await;
            true
        };
        let timeout = async {
            self.inner.clock.sleep(STORE_WITHDRAWAL_TIMEOUT).await;
            false
        };
        stored.or(timeout).await
    }

    pub(crate) fn update_range_controller(&self) {
        let Some(controller) = self.inner.range_controller.get() else {
            return;
        };
        if let Some(upstream) = self.inner.local_upstream.current() {
            let is_leaving = upstream.draining_since.is_some();
            controller.record_announcement(&upstream.announcement.incarnation, is_leaving);
        }
    }

    /// Returns the content of this node's heartbeat.
    fn presence(&self) -> Presence {
        let inner = &self.inner;
        let load = inner.gate.load();
        let upstream = inner.local_upstream.current().map(|current| Upstream {
            incarnation: current.announcement.incarnation.clone(),
            draining: current.draining_since.is_some(),
            concurrency: load.concurrency,
            load: load.load,
            service_time: load.service_time,
            warm_up_remaining: current.announcement.warm_up_remaining.saturating_sub(
                inner
                    .clock
                    .now()
                    .saturating_duration_since(current.received_at),
            ),
        });
        let mut presence = Presence {
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
            maps: heartbeat::map_epochs(inner.maps.all_epochs()),
            leaving: inner.is_withdrawn.load(Ordering::Acquire),
            map_changes: None,
            crashes_digest: Some(inner.suspects.digest() as i64).filter(|digest| *digest != 0),
            crashes: None,
            lease_version: inner
                .range_controller
                .get()
                .map_or(0, |controller| controller.lease_version())
                as i64,
            evacuations_version: None,
            evacuations: None,
        };
        let evacuations = inner.members.evacuations();
        EvacuationNews::encode(evacuations.news(inner.clock.now()), &mut presence);
        presence
    }
}

/// Time within which a withdrawal is stored or its acknowledgement refused. Upstreams
/// wait a second for an acknowledgement.
const STORE_WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes by which the head of a forwarded request may be longer than the caller's: the
/// metadata of a request, whose names the configuration bounds.
const ADDED_HEAD_BYTES: usize = 16 << 10;
/// Fields that it may have in addition: the metadata and an id, and those of later versions.
const ADDED_FIELDS: usize = 8;

/// Time for which changes of range maps are coalesced before they are passed on.
const NEWS_COALESCE_DELAY: Duration = Duration::from_millis(5);

/// Returns an incarnation that is higher than those of earlier runs, so that
/// other nodes can order heartbeats across restarts.
fn new_incarnation(wall: SystemTime) -> Incarnation {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX >> 1)
}

/// Opens a TCP listener. `role` names its purpose in errors.
pub async fn listen(role: &'static str, addr: SocketAddr) -> Result<TcpListener, ListenError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|cause| ListenError { role, addr, cause })
}

async fn bind_udp(role: &'static str, addr: SocketAddr) -> Result<UdpSocket, ListenError> {
    let bound = UdpSocket::bind(addr).await;
    bound.map_err(|cause| ListenError { role, addr, cause })
}
