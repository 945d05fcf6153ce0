//! Byte streams that share an executor fairly and give up peers that take nothing.
//!
//! [`LateSource`] bounds what is relayed after a deadline, and [`Transfer`] ends one that
//! makes no progress.
//!
//! Every connection of a node, to callers, upstreams, other nodes and the store,
//! passes a [`Yielding`]: whatever its peer sends, it can't keep the tasks of other
//! connections from running.

mod late_source;
mod transfer_limit;
mod write_timeout;
mod yielding;

pub use late_source::{DeadlinePassed, LateSource};
pub use transfer_limit::{Transfer, TransferLimits};
pub use write_timeout::WriteTimeout;
pub use yielding::{MAX_READY_BYTES, MAX_READY_CALLS, Yielding};
