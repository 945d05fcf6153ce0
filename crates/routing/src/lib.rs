//! Per-request routing decisions: at-most-once execution, admission control and
//! load balancing.
//!
//! Each decision is a small type or function of plain inputs: time and randomness
//! are passed in, and the crate holds no socket, task or lock, so that each can
//! be tested and benchmarked on its own. The node and proxy crates combine
//! them. `docs/requests.md` lists the alternatives considered for each decision.

pub mod admission;
pub mod caller_timeouts;
pub mod choice;
pub mod crash_watch;
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
pub mod pacing;
pub mod placement;
pub mod planner;
pub mod quarantine;
pub mod queue;
pub mod refusals;
pub mod retry;
pub mod sketch;
pub mod speed;
pub mod unserved;
