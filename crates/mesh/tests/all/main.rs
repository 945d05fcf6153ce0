//! Tests of the mesh without a network.

mod directory;
mod evacuations;
mod followers;
mod heartbeats;
mod spread;
mod support;
