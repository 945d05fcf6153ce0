//! HTTP/1.1 server and client of the request path, on hyper's connection types
//! and smol's reactor.
//!
//! [`server::Server`] accepts connections and passes each request to a
//! function; when the caller closes the connection, that function's future is
//! dropped, which cancels all work for the request. [`client::Pool`] keeps
//! connections to other nodes, to the upstream and to the table service. It
//! guarantees that a request whose error is [`client::SendError::NotSent`] has
//! not left this process, and that a connection is reused only if its last
//! exchange completed.
//!
//! `docs/house-style.md` explains why the other listeners use another HTTP
//! library.

pub mod body;
pub mod client;
pub mod headers;
pub mod server;
pub mod socket;

pub use body::Body;
pub use client::{Exchange, Pool, PoolSettings, SendError};
pub use server::{Server, ServerSettings};
