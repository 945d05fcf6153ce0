//! Exclusive ownership of key ranges.
//!
//! The keys of a divided service are partitioned into ranges. The range map, one
//! row of the table service for each section of the keys, assigns each range an
//! owner and a fencing token (its fence). An owner is one incarnation of an upstream, together with
//! the node that runs beside it. That node may grant its local upstream the
//! ranges while it holds a lease: one row of its own that it renews by
//! conditional writes. A node that takes ranges over from an unresponsive one
//! must have observed the same version of that lease row for a whole lease
//! term. `docs/ranges.md` argues the safety of this as numbered invariants, to
//! which comments here refer.
//!
//! [`map`], [`grants`], [`lease`], [`balance`] and [`takeover`] hold the
//! decisions and do no I/O; [`controller`] carries the decisions out.

pub mod balance;
pub mod contention;
pub mod controller;
pub mod grants;
pub mod lease;
pub mod load;
pub mod map;
pub mod maps;
pub mod rows;
pub mod takeover;

pub use controller::{ControllerDependencies, ControllerSettings, RangeController};
pub use grants::reports::{HeldRange, HoldList, HoldReport, ListedGrant, ReleasedRange};
pub use grants::{GrantCall, GrantDelivery, GrantReply, Grantee, ReleaseCall, ReleaseReply};
pub use map::{Assignment, KeyRange, MapSection, Owner, RangeMap};
pub use maps::RangeMaps;
