//! Integration tests: each module drives real nodes on loopback.

mod admin;
mod capacity;
mod cli;
mod contracts;
mod demo;
mod edges;
mod guarantees;
mod mesh;
mod operators;
mod ownership;
mod processes;
mod requests;
mod soak;
mod starting;
mod stopping;
mod streams;
mod support;
mod upstreams;
