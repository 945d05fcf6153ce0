//! RPC between nodes: message types, client and server.
//!
//! Messages are thrift structs ([`messages`], generated from
//! `idl/peer.thrift`), length-prefixed on TCP. Both ends of a connection prove
//! that they hold the cluster's shared key before any call is accepted; see
//! `docs/peer-protocol.md`.
//!
//! Field names of the messages are fixed by the protocol. In them, a `ward` is
//! a node that a witness monitors, and an `heir` its successor: a node that
//! takes over its slots when it is lost.
//!
//! Other crates depend on the trait [`Peers`], so that tests can substitute a
//! fake.

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

use ibiscove_io::TransferLimits;
use ibiscove_types::Incarnation;
use messages::{Request, Response};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

pub use auth::SharedKey;
pub use client::PeerClient;
pub use codec::{CodecError, decode, encode};
pub use server::serve;

/// Settings of the RPC client and server.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The key that all nodes of the cluster share.
    pub key: SharedKey,
    /// Timeout of connecting, including the handshake.
    pub connect_timeout: Duration,
    /// Timeout of one call. While a long message is under way on its connection, it is
    /// the longest time without progress.
    pub call_timeout: Duration,
    /// Time without calls after which the client closes a connection. A node
    /// compares rows with randomly chosen nodes, so without this limit it would
    /// eventually hold a connection to every node. Shorter than
    /// [`PeerSettings::server_idle_timeout`], so that the client closes first.
    pub client_idle_timeout: Duration,
    /// Largest accepted message, in bytes.
    pub max_frame_bytes: usize,
    /// Time without calls after which the server closes a connection.
    pub server_idle_timeout: Duration,
    /// Maximum number of connections that the server keeps open.
    pub max_connections: usize,
}

impl PeerSettings {
    /// Returns the limits on a message that is under way.
    pub(crate) fn message_limits(&self) -> TransferLimits {
        TransferLimits {
            silence: self.call_timeout,
            min_rate: MIN_RATE,
        }
    }
}

/// Lowest mean rate of a long message, in bytes per second: what one of some forty
/// connections gets on a link of 10 Mbit/s.
const MIN_RATE: u32 = 32 << 10;

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

/// Why a call to a peer returned no response.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection could be made, so the peer has not received the call.
    #[error("peer {addr} unreachable: {cause}")]
    Unreachable {
        /// The peer.
        addr: SocketAddr,
        /// The cause of the failure.
        cause: String,
    },
    /// The call may have been sent; no response was received.
    #[error("no response from peer {addr}")]
    Unanswered {
        /// The peer.
        addr: SocketAddr,
    },
    /// The peer could not execute the call.
    #[error("peer {addr} failed: {message}")]
    Failed {
        /// The peer.
        addr: SocketAddr,
        /// The peer's error text.
        message: String,
    },
}

/// Sends calls to other nodes.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Sends a request to the peer at `addr` and waits for its response.
    fn call(
        &self,
        addr: SocketAddr,
        req: Request,
    ) -> impl Future<Output = Result<Response, PeerError>> + Send;
}

/// Executes the calls of other nodes.
///
/// Calls of one connection are executed in order, so an implementation must not
/// wait for the network.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// Executes one call of the node `from`.
    fn handle(&self, from: Incarnation, req: Request) -> impl Future<Output = Response> + Send;
}
