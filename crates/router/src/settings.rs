//! Settings of a node.

use ibiscove_http::PipelineSettings;
use ibiscove_proxy::{EntrySettings, GateSettings, LocalUpstreamSettings};
use ibiscove_ranges::ControllerSettings;
use ibiscove_types::{DataCentre, NodeName, ServiceName};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct RouterAddrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes: forwarded requests, configuration and maps.
    pub peers: SocketAddr,
    /// For heartbeats of other nodes.
    pub heartbeats: SocketAddr,
    /// Of the local upstream.
    pub upstream: SocketAddr,
    /// For the metrics page; none disables it.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The node's name; a restarted process keeps it.
    pub node: NodeName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The service of its local upstream.
    pub service: Option<ServiceName>,
    /// Its addresses.
    pub addrs: RouterAddrs,
    /// Time between two heartbeats to one member of a small mesh.
    pub heartbeat_interval: Duration,
    /// Time for which a node that shuts down keeps serving at least, so that
    /// callers and other nodes notice: two readiness checks of one second.
    pub min_shutdown_duration: Duration,
    /// Time after which a node that shuts down exits in any case.
    pub max_shutdown_duration: Duration,
    /// Most bytes of requests' bodies that the node keeps at a time. A body is kept
    /// whole until its request has ended, so that it can be sent again.
    pub max_body_memory: usize,
    /// Most bytes of responses that the node keeps at a time. The beginning of a
    /// response is read before it is relayed, so that one that breaks off there can be
    /// replaced; without memory for it the response is streamed as it comes.
    pub max_response_memory: usize,
    /// Limits on the requests that callers send before the ones before them are
    /// answered. None but idempotent ones start early.
    pub pipeline: PipelineSettings,
    /// Whether evacuations are applied to this node, so that its gate refuses requests
    /// until it has heard whether its data centre is evacuated.
    pub awaits_evacuations: bool,
    /// Settings of the entry.
    pub entry: EntrySettings,
    /// Settings of the gate.
    pub gate: GateSettings,
    /// Settings of the failure detector of the local upstream.
    pub local_upstream: LocalUpstreamSettings,
    /// Settings of the range controller.
    pub range_controller: ControllerSettings,
}

impl Default for RouterSettings {
    fn default() -> Self {
        let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        Self {
            node: "node".into(),
            data_centre: "default".into(),
            service: None,
            addrs: RouterAddrs {
                callers: any,
                peers: any,
                heartbeats: any,
                upstream: any,
                metrics: None,
            },
            heartbeat_interval: Duration::from_millis(400),
            min_shutdown_duration: Duration::from_millis(2_600),
            max_shutdown_duration: Duration::from_millis(5_400),
            max_body_memory: 32 << 20,
            max_response_memory: 16 << 20,
            pipeline: PipelineSettings {
                max_requests: 16,
                ..PipelineSettings::default()
            },
            awaits_evacuations: false,
            entry: EntrySettings::default(),
            gate: GateSettings::default(),
            local_upstream: LocalUpstreamSettings::default(),
            range_controller: ControllerSettings::default(),
        }
    }
}
