//! Pipelined requests: starts requests that may be repeated while the ones before
//! them on their connection are still being answered.
//!
//! [`look_ahead::LookAhead`] reads the socket and passes hyper one request at a time.
//! hyper remains the only parser whose verdict counts and the only writer. What has
//! been started early waits in a [`Queue`] until hyper reaches the same request.

pub(crate) mod framing;
pub(crate) mod look_ahead;
mod queue;

pub(crate) use look_ahead::{LookAhead, Progress};
pub(crate) use queue::{Queue, finish_head};

use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::{Bytes, Incoming};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Limits on requests that are read before the ones before them are answered.
#[derive(Clone, Copy, Debug)]
pub struct PipelineSettings {
    /// Most requests of a connection that are started early. Zero disables look-ahead:
    /// requests of a connection then wait for each other.
    pub max_requests: usize,
    /// Most bytes of a connection that are read ahead, in bytes. Beyond them the client
    /// is not read from until it has its answers.
    pub max_bytes: usize,
    /// Most bytes that all connections of the server read ahead together, in bytes.
    pub max_total_bytes: usize,
}

impl Default for PipelineSettings {
    fn default() -> Self {
        Self {
            max_requests: 0,
            max_bytes: 32 << 10,
            max_total_bytes: 2 << 20,
        }
    }
}

/// The body of a request: none of one that was started early, otherwise that of hyper.
#[derive(Debug)]
pub enum RequestBody {
    /// The request has no body.
    Empty,
    /// The body as it is received.
    Incoming(Incoming),
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Incoming(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Incoming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Incoming(body) => body.size_hint(),
        }
    }
}

/// Serves the requests of a connection.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    type Body: HttpBody<Data = Bytes> + Send + Unpin + 'static;
    type Future: Future<Output = Response<Self::Body>> + Send + 'static;

    /// Serves a request that hyper has read.
    fn handle(&self, req: Request<Incoming>) -> Self::Future;

    /// Returns whether a request may run beside the others of its pipeline.
    fn may_start_early(&self, head: &Parts) -> bool;

    /// Serves a request without a body before its turn; none if it has to wait.
    fn start_early(&self, head: &Parts) -> Option<Self::Future>;
}

/// A handler whose requests wait for their turn.
#[derive(Clone)]
pub(crate) struct InTurn<H>(pub(crate) H);

impl<H, F, B> Handler for InTurn<H>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
{
    type Body = B;
    type Future = F;

    fn handle(&self, req: Request<Incoming>) -> F {
        self.0(req)
    }

    fn may_start_early(&self, _head: &Parts) -> bool {
        false
    }

    fn start_early(&self, _head: &Parts) -> Option<F> {
        None
    }
}

/// A handler of which `may_start` says which requests may start before their turn.
#[derive(Clone)]
pub(crate) struct Pipelined<H, M> {
    pub(crate) handle: H,
    pub(crate) may_start: M,
}

impl<H, M, F, B> Handler for Pipelined<H, M>
where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + Sync + 'static,
    M: Fn(&Parts) -> bool + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
{
    type Body = B;
    type Future = F;

    fn handle(&self, req: Request<Incoming>) -> F {
        (self.handle)(req.map(RequestBody::Incoming))
    }

    fn may_start_early(&self, head: &Parts) -> bool {
        (self.may_start)(head)
    }

    fn start_early(&self, head: &Parts) -> Option<F> {
        self.may_start_early(head).then(|| {
            let req = Request::from_parts(head.clone(), RequestBody::Empty);
            (self.handle)(req)
        })
    }
}
