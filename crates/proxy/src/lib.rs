//! The request path.
//!
//! Each node has two roles. A caller's request arrives at the [`entry`] of any
//! node, which finds its route, selects an upstream and sends the request to the
//! [`gate`] of that upstream's node, over at most one hop. The gate admits all
//! requests to its [`local_upstream`], so it alone knows what runs and waits
//! there. It responds `not-run` only if the upstream certainly did not run the
//! request. See `docs/request-path.md`.

pub mod config_lag;
pub mod config_transfer;
pub mod entry;
pub mod forward;
pub mod gate;
pub mod headers;
pub mod local_upstream;
pub mod panics;
pub mod peer_api;
pub mod refusal;
pub mod relay;
pub mod routes;
pub mod suspects;
pub mod transfer_pacing;
pub mod transit;
pub mod upstream_notice;
pub mod upstream_selection;
pub mod withdrawals;

pub use config_lag::ConfigLag;
pub use entry::{Entry, EntrySettings};
pub use gate::{Gate, GateSettings};
pub use headers::HeaderNames;
pub use local_upstream::{Announcement, LocalUpstream, LocalUpstreamSettings};
pub use routes::{ConfigCell, RouteTable};
