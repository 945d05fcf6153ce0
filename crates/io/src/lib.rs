//! Byte streams that share an executor fairly.
//!
//! Every connection of a node, to callers, upstreams, other nodes and the store,
//! passes a [`Yielding`]: whatever its peer sends, it can't keep the tasks of other
//! connections from running.

mod yielding;

pub use yielding::{MAX_READY_BYTES, MAX_READY_CALLS, Yielding};
