//! The state that lives as long as the node.

use crate::balance::BalanceState;
use crate::connector::MarkingConnector;
use crate::listen::new_incarnation;
use crate::local_upstream::LocalUpstream;
use crate::parsed_config::ParsedConfig;
use crate::request_records::{DedupHandoverHooks, RequestRecords};
use crate::services::Services;
use crate::telemetry;
use crate::trace_recorder::TraceRecorder;
use crate::{NodeAddrs, NodeSettings};
use ibiscove_config::store::ConfigStore;
use ibiscove_config::{Inventory, Rules};
use ibiscove_http::CheckedConnector;
use ibiscove_ownership::{Ownership, ServiceSpec};
use ibiscove_spread::Replica;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, ConfigRow, NodeRow, NodeState};
use ibiscove_wire::{PeerClient, PeerSettings};
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use trillium_client::Client;

/// Interval between two checks of the losses that the inventory declares.
const DECLARED_LOSS_INTERVAL: Duration = Duration::from_secs(1);

/// The state that all tasks of a node share.
pub(crate) struct Process<P, C> {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: C,
    pub(crate) replica: Replica,
    pub(crate) peer_settings: PeerSettings,
    pub(crate) peers: PeerClient,
    pub(crate) ownership: Ownership<P, PeerClient, C, DedupHandoverHooks<C>>,
    pub(crate) http: Client,
    /// When this node started, on its own clock.
    pub(crate) started_at: Instant,
    pub(crate) local_upstream: LocalUpstream,
    pub(crate) records: Arc<RequestRecords>,
    pub(crate) services: Services,
    pub(crate) balance: BalanceState,
    pub(crate) recorder: TraceRecorder,
    inventory: ParsedConfig<Inventory>,
    rules: ParsedConfig<Rules>,
    pub(crate) configs: ConfigStore<P, C>,
    platform: P,
}

impl<P: Table + Objects, C: Clock> Process<P, C> {
    pub(crate) fn new(settings: NodeSettings, addrs: NodeAddrs, platform: P, clock: C) -> Self {
        let incarnation = new_incarnation();
        let row = NodeRow {
            incarnation,
            name: settings.name.clone(),
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
            peer_addr: addrs.peer,
            forward_addr: addrs.forward,
            caller_addr: addrs.caller,
            state: NodeState::Live,
            upstream: None,
            witnesses: Vec::new(),
            heirs: Vec::new(),
            grants: Vec::new(),
            absorbed: Vec::new(),
        };
        let peer_settings = PeerSettings {
            incarnation,
            key: settings.cluster_key.clone(),
            ..Default::default()
        };
        let peers = PeerClient::new(peer_settings.clone());
        let replica = Replica::default();
        let records = Arc::new(RequestRecords::new(
            settings.outcome_table,
            settings.dedup_window,
        ));
        let configs = ConfigStore::new(platform.clone(), clock.clone());
        let ownership = Ownership::new(
            settings.ownership.clone(),
            row,
            platform.clone(),
            replica.clone(),
            peers.clone(),
            clock.clone(),
            DedupHandoverHooks {
                records: Arc::clone(&records),
                clock: clock.clone(),
            },
        );
        let connector = CheckedConnector(MarkingConnector::new(
            clock.clone(),
            settings.connect_timeout,
        ));
        let http = Client::new(connector).with_default_pool();
        let started_at = clock.now();
        let recorder = TraceRecorder::new(&settings);
        Self {
            settings,
            recorder,
            clock,
            replica,
            peer_settings,
            peers,
            ownership,
            http,
            started_at,
            local_upstream: LocalUpstream::default(),
            records,
            services: Services::default(),
            balance: BalanceState::new(started_at),
            inventory: ParsedConfig::new("inventory"),
            rules: ParsedConfig::new("rules"),
            configs,
            platform,
        }
    }

    /// Starts the tasks that run until the node stops.
    pub(crate) fn start_tasks(self: &Arc<Self>) -> Vec<smol::Task<()>> {
        let spread_settings = crate::spreading::spread_settings(self);
        let spreading = ibiscove_spread::run_anti_entropy(
            self.replica.clone(),
            self.peers.clone(),
            self.clock.clone(),
            spread_settings.clone(),
        );
        let table_watch = ibiscove_spread::watch_table(
            self.replica.clone(),
            self.peers.clone(),
            self.platform.clone(),
            self.clock.clone(),
            spread_settings,
        );
        vec![
            smol::spawn(spreading),
            smol::spawn(table_watch),
            smol::spawn(self.ownership.clone().run()),
            smol::spawn(run_metrics_upkeep(self.clock.clone())),
            smol::spawn(report_declared_losses(Arc::clone(self))),
        ]
    }

    /// Returns the inventory in force on this node.
    pub(crate) fn inventory(&self) -> Arc<Inventory> {
        let parse = |row: &ConfigRow| Inventory::parse(&row.body);
        self.inventory.get(&self.replica.map(), parse)
    }

    /// Returns the rules in force on this node.
    pub(crate) fn rules(&self) -> Arc<Rules> {
        let parse = |row: &ConfigRow| Rules::parse(&row.body);
        self.rules.get(&self.replica.map(), parse)
    }

    /// Returns how the keys of a service are divided.
    pub(crate) fn service_spec(&self, service: &str) -> ServiceSpec {
        let defaults = self.settings.service_defaults;
        match self.inventory().service(service) {
            Some(entry) => ServiceSpec {
                kind: entry.kind,
                slot_count: entry.slots,
                expected_upstreams: entry.upstreams,
            },
            None => ServiceSpec {
                kind: defaults.kind,
                slot_count: defaults.slot_count,
                expected_upstreams: 0,
            },
        }
    }
}

/// Reports to ownership which instances the inventory declares lost, until the
/// task is dropped.
async fn report_declared_losses<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) {
    loop {
        process.clock.sleep(DECLARED_LOSS_INTERVAL).await;
        let inventory = process.inventory();
        let names = inventory.lost.iter().map(|lost| lost.instance.clone());
        process.ownership.declare_lost(names);
    }
}

/// Merges new samples into the histograms until the task is dropped.
async fn run_metrics_upkeep(clock: impl Clock) {
    let Some(recorder) = telemetry::recorder() else {
        return;
    };
    loop {
        clock.sleep(telemetry::UPKEEP_INTERVAL).await;
        recorder.run_upkeep();
    }
}
