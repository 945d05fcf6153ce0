//! Integration tests: each module runs real nodes on loopback.

mod admin;
mod capacity;
mod cli;
mod cluster;
mod contracts;
mod demo;
mod edges;
mod guarantees;
mod odd_answers;
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
