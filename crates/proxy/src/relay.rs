//! Takes an answer off its connection.

use hyper::Response;
use hyper::body::Incoming;
use ibiscove_http::body::read_up_to;
use ibiscove_http::client::PooledConnection;
use ibiscove_http::{Body, Exchange};
use std::collections::VecDeque;

/// Bytes of an answer that are read before it is passed on. Most answers fit,
/// so that one that breaks off can be asked for again.
const READ_AHEAD: usize = 256 << 10;

/// What must live until the rest of an answer has been passed on.
pub struct Guard<P> {
    _connection: PooledConnection,
    _permit: Option<P>,
}

/// An answer on its way to the caller.
pub type Reply<P> = Response<Body<Guard<P>>>;

/// Reads an answer's body, or its beginning when it is long. A connection whose
/// answer was read to its end is kept; a permit is given back then.
pub async fn read_answer<P>(
    exchange: Exchange,
    permit: Option<P>,
) -> Result<Reply<P>, hyper::Error> {
    let Exchange {
        response,
        connection,
    } = exchange;
    let (head, mut body): (_, Incoming) = response.into_parts();
    let mut chunks = VecDeque::new();
    let rest = match read_up_to(&mut body, READ_AHEAD, &mut chunks).await? {
        true => {
            connection.return_to_pool();
            None
        }
        false => {
            let guard = Guard {
                _connection: connection,
                _permit: permit,
            };
            Some((body, guard))
        }
    };
    Ok(Response::from_parts(head, Body::streamed(chunks, rest)))
}
