//! Settings of a node.

use crate::transport::ConnectionLimits;
use ibiscove_ownership::OwnershipSettings;
use ibiscove_routing::dedup::DedupSettings;
use ibiscove_routing::outcomes::OutcomeTableSettings;
use ibiscove_types::{DataCentre, Region, ServiceKind};
use ibiscove_wire::SharedKey;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Settings of a node. Every address may have port 0, for which a free port is
/// used.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The instance's name, for display.
    pub name: String,
    /// The instance's region.
    pub region: Region,
    /// The instance's data centre.
    pub data_centre: DataCentre,
    /// Where callers send requests.
    pub caller_addr: SocketAddr,
    /// Where the local upstream announces itself.
    pub upstream_addr: SocketAddr,
    /// Where operators and monitoring send calls.
    pub admin_addr: SocketAddr,
    /// Where peers send control messages.
    pub peer_addr: SocketAddr,
    /// Where peers forward requests.
    pub forward_addr: SocketAddr,
    /// The key that all nodes of the cluster share.
    pub cluster_key: SharedKey,
    /// The token of operators' calls; if none, all are refused.
    pub operator_token: Option<SharedKey>,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Limits of the connections of one address.
    pub connection_limits: ConnectionLimits,
    /// Time after its last announcement from which an upstream counts as gone.
    pub announce_timeout: Duration,
    /// Timeout for opening a connection to another node or the upstream.
    pub connect_timeout: Duration,
    /// Settings of the records of requests' outcomes.
    pub outcome_table: OutcomeTableSettings,
    /// Settings of the deduplication window.
    pub dedup_window: DedupSettings,
    /// Settings of ownership.
    pub ownership: OwnershipSettings,
    /// Defaults for services that the inventory does not list.
    pub service_defaults: ServiceDefaults,
    /// Receives the lines of a trace (`docs/traces.md`); none disables
    /// recording.
    pub trace_sink: Option<smol::channel::Sender<String>>,
}

/// Defaults for services that the inventory does not list.
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
