//! Who else is there.
//!
//! Nodes find each other through one row each in the table service and keep in
//! touch by heartbeats, one datagram to every other node. A heartbeat carries
//! what others decide by: the upstream beside the node and its load, and the
//! versions of configuration and range maps that it has, so that whoever is
//! behind fetches the newer one from it. [`members::Members`] is the state,
//! [`heartbeat`] moves it, [`directory`] finds the first peers. What is learnt
//! here is advice: no promise rests on it. See `docs/mesh.md`.

pub mod directory;
pub mod heartbeat;
pub mod members;

pub use members::{Member, Members, Upstream};
