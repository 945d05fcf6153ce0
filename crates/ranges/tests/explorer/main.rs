//! Explores ownership of key ranges by seed: nodes with their upstreams lose
//! processes, time, the table and each other, and a checker watches from the
//! upstreams' side who holds which key.

mod endpoint;
mod schedules;
mod table;
mod traps;
mod world;
