//! Model checker for the ownership of key ranges. It runs nodes with simulated
//! upstreams, clocks, table and network under seeded fault schedules, and
//! checks from the upstreams' side that no key has two holders at a time, that
//! fences rise with each change of owner, and that every key is held again
//! after the last fault.

mod cluster;
mod evacuation;
mod power_loss;
mod regressions;
mod reports;
mod schedules;
mod table;
mod two_holders;
mod upstreams;
