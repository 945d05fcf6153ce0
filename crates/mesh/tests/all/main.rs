//! Tests of the mesh without a network.

mod followers;
mod heartbeats;
mod spread;
mod support;
