//! Messages between nodes, and the connections that carry them.
//!
//! Messages are thrift structs ([`messages`], made from `idl/peer.thrift`),
//! framed by a length on TCP. Both ends of a connection prove that they hold
//! the cluster's shared key before any call is taken; see
//! `docs/peer-protocol.md`.
//!
//! Callers rely on [`Peers`], so that tests can put a fake in its place.

mod auth;
mod bounded;
mod client;
mod codec;
mod frame;
mod server;
mod traffic;

#[allow(missing_docs, clippy::all, unused_qualifications, rustdoc::all)]
#[rustfmt::skip]
#[path = "generated.rs"]
pub mod messages;

use ibiscove_types::Incarnation;
use messages::{Request, Response};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

pub use auth::SharedKey;
pub use client::PeerClient;
pub use codec::{CodecError, decode, encode};
pub use server::serve;

/// How this node speaks to peers.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The key that all nodes of the cluster share.
    pub key: SharedKey,
    /// How long connecting and proving the key may take.
    pub connect_timeout: Duration,
    /// How long one call may take.
    pub call_timeout: Duration,
    /// How long a connection without calls is kept. A node compares rows with
    /// others at random: without an end it would come to hold a connection to
    /// every node. Shorter than [`PeerSettings::server_idle_timeout`], so that the
    /// client closes first.
    pub client_idle_timeout: Duration,
    /// Largest message taken, in bytes.
    pub max_frame_bytes: usize,
    /// Silence after which the server closes a connection.
    pub server_idle_timeout: Duration,
    /// Connections of peers that the server keeps open.
    pub max_connections: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            incarnation: 0,
            key: SharedKey::default(),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_millis(1_000),
            client_idle_timeout: Duration::from_secs(15),
            max_frame_bytes: 4 << 20,
            server_idle_timeout: Duration::from_secs(300),
            max_connections: 4_096,
        }
    }
}

/// Why a call to a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection could be made, so the peer has not seen the call.
    #[error("peer {addr} unreachable: {cause}")]
    Unreachable {
        /// The peer.
        addr: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The call was sent and its answer lost.
    #[error("peer {addr} did not answer")]
    Unanswered {
        /// The peer.
        addr: SocketAddr,
    },
    /// The peer could not carry out the call.
    #[error("peer {addr} failed: {message}")]
    Failed {
        /// The peer.
        addr: SocketAddr,
        /// The peer's own words.
        message: String,
    },
}

/// Calls to other nodes.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Sends a request to the peer at `addr` and waits for its response.
    fn call(
        &self,
        addr: SocketAddr,
        req: Request,
    ) -> impl Future<Output = Result<Response, PeerError>> + Send;
}

/// Answers the calls of other nodes.
///
/// Calls of one connection are answered in order, so a handler must not wait
/// for the network.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// Answers one call of the node `from`.
    fn handle(&self, from: Incarnation, req: Request) -> impl Future<Output = Response> + Send;
}
