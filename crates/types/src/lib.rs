//! Identifiers, table rows, the cluster map and the clock.
//!
//! The shared vocabulary of all other crates, which do not depend on each
//! other's internals. This crate holds data types and pure functions only: it
//! spawns no task, opens no socket and holds no lock.
//!
//! The platform's table service stores the rows in [`rows`], so their
//! serialised form is an interface: see `docs/ownership.md`.

pub mod clock;
pub mod hash;
pub mod ids;
pub mod map;
pub mod outcome;
pub mod rows;

pub use clock::{BootClock, Clock, SinceBoot, SystemClock};
pub use hash::{
    Fingerprint, FingerprintParts, checksum, fingerprint, format_fingerprint, parse_fingerprint,
};
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
