//! HTTP/1.1 server and client of the request path, on hyper's connection types
//! and smol's reactor.
//!
//! [`server::Server`] accepts connections and passes each request to a
//! function; when the caller closes the connection, that function's future is
//! dropped, which cancels all work for the request. [`client::Pool`] keeps
//! connections to other nodes, to the upstream and to the table service. It
//! guarantees that a request whose error is [`client::SendError::NotSent`] has
//! not left this process, and that a connection is reused only if its last
//! exchange completed. [`direct::DirectConnection`] is for calls that are meant for
//! one process, and not for whichever listens at its address.
//!
//! `docs/house-style.md` explains why the other listeners use another HTTP
//! library.

pub mod body;
pub mod checked;
pub mod chunk_heads;
pub mod client;
pub mod direct;
pub mod headers;
pub mod pipeline;
pub mod server;
pub mod socket;
pub mod status;

pub use body::Body;
pub use checked::CheckedConnector;
pub use chunk_heads::ChunkHeadWatch;
pub use client::{Exchange, Pool, PoolSettings, SendError};
pub use direct::DirectConnection;
pub use pipeline::{PipelineSettings, RequestBody};
pub use server::{Server, ServerSettings};
