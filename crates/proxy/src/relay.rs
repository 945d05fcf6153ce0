//! Relays responses: buffers short ones, streams long ones.

use hyper::Response;
use hyper::body::Incoming;
use ibiscove_http::body::{BodyBudget, ReadBytes, read_ahead};
use ibiscove_http::client::PooledConnection;
use ibiscove_http::{Body, Exchange};
use std::time::Instant;

/// Bytes of a response that are read before it is relayed. Most responses fit,
/// so a truncated one can be retried.
const READ_AHEAD_BYTES: usize = 256 << 10;
/// Memory that must be free before a request is served ahead of its turn: the
/// beginnings of all responses of a pipeline of common length.
const EARLY_RESPONSE_BYTES: usize = 16 * READ_AHEAD_BYTES;

/// Keeps the connection and the permit until a response has been streamed.
pub struct StreamGuard<P> {
    _connection: PooledConnection,
    _permit: Option<P>,
}

/// A response on its way to the caller.
pub type RelayedResponse<P> = Response<Body<StreamGuard<P>>>;

/// Returns whether `budget` has memory for responses that are not sent yet. Without it,
/// each would hold its permit and its connection until its turn.
pub fn has_room_for_early_responses(budget: &BodyBudget) -> bool {
    budget.available() >= EARLY_RESPONSE_BYTES
}

/// Reads a response's body, or its beginning when it is long or the budget of all
/// responses has no room for it; the rest is to come before `deadline`. If this reads it to its end, the connection is reused
/// and the permit released.
pub async fn read_response<P>(
    exchange: Exchange,
    permit: Option<P>,
    budget: &BodyBudget,
    deadline: Instant,
) -> Result<RelayedResponse<P>, hyper::Error> {
    let Exchange {
        response,
        connection,
        ..
    } = exchange;
    let (head, mut body): (_, Incoming) = response.into_parts();
    let mut read = ReadBytes::default();
    let mut reservation = budget.reserve();
    let is_whole = read_ahead(&mut body, READ_AHEAD_BYTES, &mut reservation, &mut read).await?;
    let rest = match is_whole {
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
    let body = Body::relayed(read, reservation, rest, deadline);
    Ok(Response::from_parts(head, body))
}
