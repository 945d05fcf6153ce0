//! The request path.
//!
//! A request comes to the [`entry`] of any node, which finds its route, chooses
//! an upstream and sends it to the [`gate`] of the node beside that upstream,
//! over at most one hop. The gate is the only way to its upstream
//! ([`local_upstream`]): it alone knows what runs and waits there, and it says
//! `not-run` only while nothing may have reached the upstream. See
//! `docs/request-path.md`.

pub mod entry;
pub mod forward;
pub mod gate;
pub mod headers;
pub mod local_upstream;
pub mod refusal;
pub mod relay;
pub mod routes;
pub mod serving;
pub mod targets;

pub use entry::{Entry, EntrySettings};
pub use gate::{Gate, GateSettings};
pub use headers::HeaderNames;
pub use local_upstream::{Announcement, LocalUpstream, LocalUpstreamSettings};
pub use routes::{ConfigCell, RouteTable};
