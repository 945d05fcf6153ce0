//! HTTP/1.1 connections of the request path, on hyper's connection types and
//! smol's reactor.
//!
//! [`server::Server`] accepts connections and hands each request to a function;
//! a caller that hangs up drops that function's future, which cancels all work
//! below it. [`client::Pool`] keeps connections to other nodes, to the upstream
//! and to the table service. What the pool promises: a request whose error is
//! [`client::SendError::NotSent`] has not left this process, and a connection
//! is used again only when its last exchange ended whole.
//!
//! `docs/house-style.md` says why this is not the HTTP library of the other
//! listeners.

pub mod body;
pub mod client;
pub mod headers;
pub mod server;
pub mod socket;

pub use body::Body;
pub use client::{Exchange, Pool, PoolSettings, SendError};
pub use server::{Server, ServerSettings};
