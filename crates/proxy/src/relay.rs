//! Relays responses: buffers short ones, streams long ones.

use hyper::Response;
use hyper::body::Incoming;
use ibiscove_http::body::read_up_to;
use ibiscove_http::client::PooledConnection;
use ibiscove_http::{Body, Exchange};
use std::collections::VecDeque;

/// Bytes of a response that are read before it is relayed. Most responses fit,
/// so a truncated one can be retried.
const READ_AHEAD_BYTES: usize = 256 << 10;

/// Keeps the connection and the permit until a response has been streamed.
pub struct StreamGuard<P> {
    _connection: PooledConnection,
    _permit: Option<P>,
}

/// A response on its way to the caller.
pub type RelayedResponse<P> = Response<Body<StreamGuard<P>>>;

/// Reads a response's body, or its beginning when it is long. If this reads it to
/// its end, the connection is reused and the permit released.
pub async fn read_response<P>(
    exchange: Exchange,
    permit: Option<P>,
) -> Result<RelayedResponse<P>, hyper::Error> {
    let Exchange {
        response,
        connection,
        ..
    } = exchange;
    let (head, mut body): (_, Incoming) = response.into_parts();
    let mut chunks = VecDeque::new();
    let rest = match read_up_to(&mut body, READ_AHEAD_BYTES, &mut chunks).await? {
        true => {
            connection.return_to_pool();
            None
        }
        false => {
            let guard = StreamGuard {
                _connection: connection,
                _permit: permit,
            };
            Some((body, guard))
        }
    };
    Ok(Response::from_parts(head, Body::streamed(chunks, rest)))
}
