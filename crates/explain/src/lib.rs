//! Log correlation across processes: the course of a request, the owners of a
//! key, or all events in a span of time.
//!
//! [`lines::Log`] parses log files, which may be damaged; [`build_timeline`]
//! selects the relevant lines and orders them. It knows the events listed in
//! `docs/OPERATIONS.md`. This crate accesses no files and no network.

mod events;
pub mod lines;
mod timeline;

pub use events::Subject;
pub use lines::{Line, Log};
pub use timeline::{Query, Role, Step, Timeline, build_timeline};
