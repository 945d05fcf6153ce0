//! One node: its listeners, its tasks and the state that they share.
//!
//! A node runs beside one upstream instance and plays every role. Callers
//! reach [`entry`], which finds the key's owner and forwards over at most one
//! hop; the owner's [`gate`] is the only way to its upstream. The modules
//! follow life spans: [`process`] lives as long as the node, a listener's
//! connections belong to the HTTP library, and [`exchange`] lives for one
//! request.

mod admin;
mod announce;
mod attempt;
mod balance;
mod beside;
mod connector;
mod entry;
mod exchange;
mod framing;
mod gate;
mod headers;
mod limiter;
mod listen;
pub mod operators;
mod outcome_route;
mod peers;
mod plan;
mod problem;
mod process;
mod recorder;
mod request_id;
mod requests;
mod services;
mod settings;
mod spreading;
mod started;
pub mod status;
mod telemetry;
mod transport;
mod versioned;
mod work;

pub use requests::DedupHandoverHooks;
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

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be listened on.
    #[error("cannot listen on {addr} ({role}): {cause}")]
    Listen {
        /// What the address is for.
        role: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What went wrong.
        cause: io::Error,
    },
    /// The table could not be read or this node not registered in it.
    #[error("cannot join: {0}")]
    Join(#[from] OwnershipError),
}

/// The addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddrs {
    /// For callers.
    pub caller: SocketAddr,
    /// For the upstream beside the node.
    pub upstream: SocketAddr,
    /// For operators and monitoring.
    pub admin: SocketAddr,
    /// For control messages of peers.
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
    /// Listens, joins the cluster and starts every task.
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
        // Nodes that start at the same time may all have read the table before
        // any had registered. Of two that read it again, the later one to
        // register sees the other.
        process.ownership.load_table().await?;
        process.recorder.start(&process.settings, &process.clock);
        let listeners = vec![
            caller.serve(entry::handler(Arc::clone(&process)), &process.settings),
            forward.serve(gate::handler(Arc::clone(&process)), &process.settings),
            upstream.serve(announce::handler(Arc::clone(&process)), &process.settings),
            admin.serve(admin::handler(Arc::clone(&process)), &process.settings),
        ];
        let mut tasks = process.start_tasks();
        tasks.push(smol::spawn(spreading::read_texts(Arc::clone(&process))));
        tasks.push(smol::spawn(balance::run(Arc::clone(&process))));
        tasks.push(peer_task);
        Ok(Self {
            process,
            addrs,
            listeners,
            tasks,
        })
    }

    /// The addresses that the node listens on.
    pub fn addrs(&self) -> NodeAddrs {
        self.addrs
    }

    /// This run of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.process.ownership.incarnation()
    }

    /// The map as this node sees it.
    pub fn map(&self) -> Arc<ClusterMap> {
        self.process.replica.map()
    }

    /// This node's row, as the table last confirmed it.
    pub fn row(&self) -> NodeRow {
        self.process.ownership.row()
    }

    /// This node's part in ownership.
    pub fn ownership(&self) -> &Ownership<P, PeerClient, C, DedupHandoverHooks<C>> {
        &self.process.ownership
    }

    /// Leaves: gives its slots away, lets requests in flight end, then stops.
    ///
    /// Waits at most twice the drain timeout: once for the work at this node's
    /// upstream, once for answers that are still being sent.
    pub async fn drain(self) -> Result<(), OwnershipError> {
        self.process.recorder.drain(&self.process.clock);
        let released = self.process.ownership.drain().await;
        let clock = self.process.clock.clone();
        let limit = clock.now() + self.process.settings.ownership.drain_timeout;
        for listener in self.listeners {
            let left = limit.saturating_duration_since(clock.now());
            listener.stop(clock.sleep(left)).await;
        }
        stop(self.tasks).await;
        released
    }

    /// Stops at once, as a killed process does: no row is written, no peer is
    /// told, and requests in flight are cut.
    pub async fn kill(self) {
        self.process.ownership.halt();
        stop(self.tasks).await;
        for listener in self.listeners {
            listener.cut().await;
        }
        self.process.peers.close();
    }
}

async fn stop(tasks: Vec<smol::Task<()>>) {
    for task in tasks {
        task.cancel().await;
    }
}
