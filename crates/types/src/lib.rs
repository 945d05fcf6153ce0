//! Ids, table rows, the key map and the clock.
//!
//! Every other area depends on this crate and on nothing of each other's
//! internals. It holds data and pure functions only; no task, no socket and no
//! lock lives here.
//!
//! The rows in [`rows`] are what the platform's table service keeps, so their
//! serialised form is an interface: see `docs/ownership.md`.

pub mod clock;
pub mod hash;
pub mod ids;
pub mod map;
pub mod outcome;
pub mod rows;

pub use clock::{BootClock, Clock, SinceBoot, SystemClock};
pub use ids::{
    DataCentre, Fence, Incarnation, Key, NodeName, Region, RequestId, RowVersion, ServiceName,
    Slot, UpstreamIncarnation,
};
pub use map::{ClusterMap, Owner};
pub use outcome::{Outcome, Reason};
pub use rows::{
    Acquisition, ConfigRow, NodeRow, NodeState, ServiceKind, ServiceRow, SlotGrant, TakeoverRecord,
    UpstreamSpec,
};
