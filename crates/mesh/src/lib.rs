//! Membership and failure detection in the mesh of all nodes.
//!
//! Nodes find each other through one row each in the table service, then
//! exchange heartbeats, one datagram to every other node. A heartbeat carries
//! what other nodes base decisions on: the node's local upstream and its load,
//! and the versions of its configuration and range maps, so that a node whose
//! copy is older fetches the newer one. [`members::Members`] holds the state,
//! [`heartbeat`] sends and receives it, [`directory`] finds the first peers.
//! All of this is advisory: no guarantee relies on it. See `docs/mesh.md`.

pub mod directory;
pub mod evacuations;
pub mod followers;
pub mod heartbeat;
pub mod members;

pub use evacuations::Evacuations;
pub use members::{Member, Members, Upstream};
