//! Trace replay: runs recorded or written sequences of events against real
//! nodes and checks invariants of the result.
//!
//! A [`Trace`] is read from JSON lines (`docs/traces.md`). [`replay`] executes
//! its events on real nodes with stand-ins for upstreams and platform, and
//! records a [`History`]; [`check()`] evaluates the promises that the trace
//! states against the history. Promises are safety and eventual-service
//! properties, never about speed, so a trace gives the same result every time.

mod check;
mod cluster;
mod format;
mod history;
mod player;

pub use check::{Violation, check};
pub use format::{Announce, Change, Event, Line, Node, ParseError, Promise, Request, Trace};
pub use history::{CallerResponse, ChangeResult, DrainResult, Execution, History, VersionSample};
pub use player::{ReplayError, replay};
