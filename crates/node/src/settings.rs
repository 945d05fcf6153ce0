//! What a node is told at its start.

use crate::transport::ConnectionLimits;
use ibiscove_ownership::OwnershipSettings;
use ibiscove_routing::dedup::DedupSettings;
use ibiscove_routing::outcomes::OutcomeTableSettings;
use ibiscove_types::{DataCentre, Region, ServiceKind};
use ibiscove_wire::SharedKey;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// What a node is told at its start. Every address may have port 0, which
/// takes a free one.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The instance's name, for people.
    pub name: String,
    /// The instance's region.
    pub region: Region,
    /// The instance's data centre.
    pub data_centre: DataCentre,
    /// Where callers send requests.
    pub caller_addr: SocketAddr,
    /// Where the upstream beside the node announces itself.
    pub upstream_addr: SocketAddr,
    /// Where operators and monitoring ask.
    pub admin_addr: SocketAddr,
    /// Where peers send control messages.
    pub peer_addr: SocketAddr,
    /// Where peers forward requests.
    pub forward_addr: SocketAddr,
    /// The key that all nodes of the cluster share.
    pub cluster_key: SharedKey,
    /// The token of operators' calls; none refuses them all.
    pub operator_token: Option<SharedKey>,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// What the connections of one address may cost.
    pub connection_limits: ConnectionLimits,
    /// Time for an upstream that announces itself to be heard again.
    pub announce_timeout: Duration,
    /// Time for a connection to another node or the upstream to open.
    pub connect_timeout: Duration,
    /// What is kept of the outcomes of requests.
    pub outcome_table: OutcomeTableSettings,
    /// What is kept for repeats of requests.
    pub dedup_window: DedupSettings,
    /// Timings of ownership.
    pub ownership: OwnershipSettings,
    /// What holds for services that the inventory does not list.
    pub service_defaults: ServiceDefaults,
    /// Where lines of a trace go (`docs/traces.md`); none records nothing.
    pub trace_sink: Option<smol::channel::Sender<String>>,
}

/// What holds for services that the inventory does not list.
#[derive(Clone, Copy, Debug)]
pub struct ServiceDefaults {
    /// Whether each key has one owner.
    pub kind: ServiceKind,
    /// Number of hash slots, a power of two.
    pub slot_count: u32,
}

impl Default for ServiceDefaults {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Divided,
            slot_count: ibiscove_config::inventory::DEFAULT_SLOTS,
        }
    }
}

impl Default for NodeSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: "node".to_owned(),
            region: "default".into(),
            data_centre: "default".into(),
            caller_addr: any_port,
            upstream_addr: any_port,
            admin_addr: any_port,
            peer_addr: any_port,
            forward_addr: any_port,
            cluster_key: SharedKey::default(),
            operator_token: None,
            max_head_bytes: 8 << 10,
            connection_limits: ConnectionLimits::default(),
            announce_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_millis(500),
            outcome_table: OutcomeTableSettings::default(),
            dedup_window: DedupSettings::default(),
            ownership: OwnershipSettings::default(),
            service_defaults: ServiceDefaults::default(),
            trace_sink: None,
        }
    }
}
