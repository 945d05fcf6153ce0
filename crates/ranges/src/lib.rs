//! Ownership of key ranges.
//!
//! A divided service has one map row in the table service: ranges that cover
//! all keys, each with an owner and a fence. An owner is one life of an
//! upstream at one node. The node beside it may grant the upstream its ranges
//! while it holds a lease, one row of its own that it renews by conditional
//! writes; whoever takes ranges over from a silent node must have known the
//! same version of that row for a whole lease. `docs/ranges.md` has the
//! argument for safety as numbered invariants; comments here name them.
//!
//! [`map`], [`grants`], [`lease`], [`balance`] and [`takeover`] decide, without
//! tasks or sockets; [`controller`] carries their decisions out.

pub mod balance;
pub mod controller;
pub mod grants;
pub mod lease;
pub mod load;
pub mod map;
pub mod maps;
pub mod rows;
pub mod takeover;

pub use controller::{ControllerParts, ControllerSettings, RangeController};
pub use grants::{GrantCall, GrantReply, Grantee, ReleaseCall, ReleaseReply};
pub use map::{Assignment, KeyRange, Owner, RangeMap};
pub use maps::RangeMaps;
