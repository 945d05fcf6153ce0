//! Tests of replication, with a manually advanced clock, seeded random choices
//! and a simulated network.

mod cluster;
mod replica;
mod replication;
mod support;
mod table;
