//! One node: its listeners, its tasks and the state that they share.
//!
//! A node runs beside one upstream instance, its local upstream, and has two
//! roles. As [`entry`] it accepts callers' requests, finds the upstream that
//! each is for and forwards it over at most one hop. As [`gate`] it performs
//! admission control for its local upstream, which gets requests from nowhere
//! else.
//!
//! The keys of a divided service are hashed to slots. Each slot has one owner,
//! the node whose upstream serves it, under a fence that increases with every
//! change of owner; it serves the slot only while its lease lasts. A shared
//! service has no owners: any of its upstreams may serve a request.
//!
//! Modules are separated by lifetime: [`process`] lives as long as the node,
//! connections belong to the HTTP library, and [`exchange`] lives for one
//! request.

mod admin;
mod announce;
mod attempt;
mod balance;
mod connector;
mod entry;
mod exchange;
mod framing;
mod gate;
mod headers;
mod limiter;
mod listen;
mod local_upstream;
pub mod operators;
mod outcome_route;
mod parsed_config;
mod peers;
mod plan;
mod process;
mod refusal;
mod request_id;
mod request_metadata;
mod request_records;
mod sent_request;
mod services;
mod settings;
mod spreading;
pub mod status;
mod telemetry;
mod trace_recorder;
mod transport;

pub use request_records::DedupHandoverHooks;
pub use settings::{NodeSettings, ServiceDefaults};
pub use transport::ConnectionLimits;

use ibiscove_ownership::{Ownership, OwnershipError};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, ClusterMap, Incarnation, NodeRow};
use ibiscove_wire::PeerClient;
use listen::Listener;
use process::Process;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a node failed to start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[error("cannot listen on {addr} ({role}): {cause}")]
    Listen {
        /// The role of the address.
        role: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The I/O error.
        cause: io::Error,
    },
    /// The table could not be read, or this node could not be registered in it.
    #[error("cannot join: {0}")]
    Join(#[from] OwnershipError),
}

/// The addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddrs {
    /// For callers.
    pub caller: SocketAddr,
    /// For the local upstream.
    pub upstream: SocketAddr,
    /// For operators and monitoring.
    pub admin: SocketAddr,
    /// For control messages from peers.
    pub peer: SocketAddr,
    /// For requests that peers forward.
    pub forward: SocketAddr,
}

/// A running node.
pub struct Node<P, C> {
    process: Arc<Process<P, C>>,
    addrs: NodeAddrs,
    listeners: Vec<Listener>,
    tasks: Vec<smol::Task<()>>,
}

impl<P: Table + Objects, C: Clock> Node<P, C> {
    /// Listens, joins the cluster and starts all tasks.
    pub async fn start(settings: NodeSettings, platform: P, clock: C) -> Result<Self, StartError> {
        let _ = telemetry::recorder();
        let caller = listen::bind("caller", settings.caller_addr)?;
        let upstream = listen::bind("upstream", settings.upstream_addr)?;
        let admin = listen::bind("admin", settings.admin_addr)?;
        let forward = listen::bind("forward", settings.forward_addr)?;
        let peer = listen::bind("peer", settings.peer_addr)?;
        let addrs = NodeAddrs {
            caller: caller.addr,
            upstream: upstream.addr,
            admin: admin.addr,
            peer: peer.addr,
            forward: forward.addr,
        };
        let process = Arc::new(Process::new(settings, addrs, platform, clock));
        let peer_task = smol::spawn(peers::serve(Arc::clone(&process), peer));
        process.ownership.load_table().await?;
        process.ownership.register().await?;
        // Nodes that start concurrently may all have read the table before any
        // of them had registered. Of two that read it again, the one that
        // registered last sees the other.
        process.ownership.load_table().await?;
        process
            .recorder
            .record_start(&process.settings, &process.clock);
        let listeners = vec![
            caller.serve(entry::handler(Arc::clone(&process)), &process.settings),
            forward.serve(gate::handler(Arc::clone(&process)), &process.settings),
            upstream.serve(announce::handler(Arc::clone(&process)), &process.settings),
            admin.serve(admin::handler(Arc::clone(&process)), &process.settings),
        ];
        let mut tasks = process.start_tasks();
        tasks.push(smol::spawn(spreading::fetch_missing_texts(Arc::clone(
            &process,
        ))));
        tasks.push(smol::spawn(balance::run(Arc::clone(&process))));
        tasks.push(peer_task);
        Ok(Self {
            process,
            addrs,
            listeners,
            tasks,
        })
    }

    /// Returns the addresses that the node listens on.
    pub fn addrs(&self) -> NodeAddrs {
        self.addrs
    }

    /// Returns the incarnation, which identifies this run of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.process.ownership.incarnation()
    }

    /// Returns the cluster map of the local replica.
    pub fn map(&self) -> Arc<ClusterMap> {
        self.process.replica.map()
    }

    /// Returns this node's row, as last confirmed by the table.
    pub fn row(&self) -> NodeRow {
        self.process.ownership.row()
    }

    /// Returns the ownership state of this node.
    pub fn ownership(&self) -> &Ownership<P, PeerClient, C, DedupHandoverHooks<C>> {
        &self.process.ownership
    }

    /// Leaves the cluster: hands its slots over, lets requests in flight
    /// finish, then stops.
    ///
    /// Waits at most twice the drain timeout: once for the requests at the
    /// local upstream, once for responses that are still being sent.
    pub async fn drain(self) -> Result<(), OwnershipError> {
        self.process.recorder.record_drain(&self.process.clock);
        let released = self.process.ownership.drain().await;
        let clock = self.process.clock.clone();
        let stop_at = clock.now() + self.process.settings.ownership.drain_timeout;
        for listener in self.listeners {
            let remaining = stop_at.saturating_duration_since(clock.now());
            listener.stop(clock.sleep(remaining)).await;
        }
        cancel(self.tasks).await;
        released
    }

    /// Stops at once, as a killed process does: no row is written, no peer is
    /// notified, and requests in flight are aborted.
    pub async fn kill(self) {
        self.process.ownership.halt();
        cancel(self.tasks).await;
        for listener in self.listeners {
            listener.abort().await;
        }
        self.process.peers.close();
    }
}

async fn cancel(tasks: Vec<smol::Task<()>>) {
    for task in tasks {
        task.cancel().await;
    }
}
