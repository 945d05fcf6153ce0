//! Decisions about single requests: at most once, limits, choice of upstream.
//!
//! Each decision is a small type or function of plain inputs. The clock's
//! readings and the random source are passed in, no socket, task or lock lives
//! here, and so each can be tested and measured by itself. The node crate
//! wires them together. `docs/requests.md` gives for each the ways weighed.

pub mod admission;
pub mod caller_timeouts;
pub mod choice;
pub mod deadline;
pub mod dedup;
pub mod first_sent;
pub mod hang_detector;
pub mod health;
pub mod latency;
pub mod latency_estimate;
pub mod limit;
pub mod meter;
pub mod outcomes;
pub mod placement;
pub mod planner;
pub mod queue;
pub mod refusals;
pub mod retry;
pub mod sketch;
pub mod unserved;
