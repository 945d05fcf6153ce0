//! Finds in the log files of several processes what became of a request, who
//! had a key, or what happened in a span of time.
//!
//! [`lines::Log`] reads the files, whatever state they are in; [`find`] chooses
//! the lines that matter and orders them. The events that it knows are those of
//! `docs/OPERATIONS.md`. Nothing here touches a file or a network.

mod events;
pub mod lines;
mod timeline;

pub use events::Subject;
pub use lines::{Line, Log};
pub use timeline::{Query, Role, Step, Timeline, find};
