//! HTTP server with cancellation and graceful shutdown.

use crate::body::BodyBudget;
use crate::pipeline::look_ahead::AnswerGuard;
use crate::pipeline::{
    Handler, InTurn, LookAhead, PipelineSettings, Pipelined, Progress, Queue, RequestBody,
    finish_head, framing,
};
use crate::socket;
use bytes::Bytes;
use event_listener::Event;
use http_body::Body as HttpBody;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::rt::{Sleep, Timer};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use ibiscove_io::WriteTimeout;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Delay after a failed accept, which mostly means that no file descriptor is
/// free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a closed connection is read from: a round trip or two.
const MAX_LINGER: Duration = Duration::from_millis(500);
/// Bytes that are read from it at most.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// Limits on request heads and on the time that a client may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Who connects to the server: a label of its log lines and metrics.
    pub clients: &'static str,
    /// Largest request head, in bytes. HTTP libraries commonly allow 8 to 64
    /// KiB.
    pub max_head_bytes: usize,
    /// Most fields of a request head; hyper's own limit by default.
    pub max_fields: usize,
    /// Timeout of receiving a head, including the idle time before it. Longer
    /// than common idle timeouts of clients, so that they close first.
    pub head_timeout: Duration,
    /// Timeout of the client to take at least some of a response. Longer than it takes a
    /// client that is busy to read.
    pub write_timeout: Duration,
    /// Limits on pipelined requests.
    pub pipeline: PipelineSettings,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            clients: "others",
            max_head_bytes: 64 << 10,
            max_fields: 100,
            head_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
            pipeline: PipelineSettings::default(),
        }
    }
}

/// A server whose connections can be closed gracefully.
#[derive(Clone, Default)]
pub struct Server {
    shared: Arc<ServerState>,
}

#[derive(Debug, Default)]
pub(crate) struct ServerState {
    is_draining: AtomicBool,
    drain_started: Event,
    in_flight: AtomicUsize,
}

impl ServerState {
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl Server {
    /// Accepts connections of `listener` until the returned future is dropped.
    /// Each request is served by `handle`, whose future is dropped when the
    /// client closes the connection.
    pub async fn run<H, F, B>(self, listener: TcpListener, settings: ServerSettings, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        // No request of this handler may start early, so none is read ahead.
        let settings = ServerSettings {
            pipeline: PipelineSettings::default(),
            ..settings
        };
        self.accept(listener, settings, InTurn(handle)).await;
    }

    /// The same for clients that pipeline requests. Those without a body that
    /// `may_start` allows are served while the ones before them are being answered, if it
    /// allows these too, within the limits of [`ServerSettings::pipeline`]; only requests
    /// that may run more than once may be allowed.
    pub async fn run_pipelined<H, M, F, B>(
        self,
        listener: TcpListener,
        settings: ServerSettings,
        may_start: M,
        handle: H,
    ) where
        H: Fn(Request<RequestBody>) -> F + Clone + Send + Sync + 'static,
        M: Fn(&Parts) -> bool + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let handler = Pipelined { handle, may_start };
        self.accept(listener, settings, handler).await;
    }

    async fn accept<H>(self, listener: TcpListener, settings: ServerSettings, handler: H)
    where
        H: Handler,
        <H::Body as HttpBody>::Error: std::error::Error + Send + Sync + 'static,
    {
        let budget = BodyBudget::new(settings.pipeline.max_total_bytes);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let shared = Arc::clone(&self.shared);
                    let (budget, handler) = (budget.clone(), handler.clone());
                    smol::spawn(serve_connection(shared, stream, settings, budget, handler))
                        .detach();
                    // Callers may connect faster than they are accepted.
                    smol::future::yield_now().await;
                }
                Err(err) => {
                    log::warn!("HTTP server: accept failed, retries: {err}");
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Closes connections as they become idle; from now on responses carry
    /// `Connection: close`.
    pub fn drain(&self) {
        self.shared.is_draining.store(true, Ordering::Release);
        self.shared.drain_started.notify(usize::MAX);
    }

    /// Returns the number of requests whose response has not been written to its socket,
    /// and of connections that close with bytes of the client unread.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }
}

/// Counts a request as in flight until its response has been written.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<ServerState>);

impl InFlightGuard {
    pub(crate) fn new(shared: &Arc<ServerState>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A response body that tells when hyper has taken over all of it.
struct AnswerBody<B> {
    /// None if the server itself refuses the request.
    body: Option<B>,
    _answer: AnswerGuard,
}

impl<B: HttpBody + Unpin> HttpBody for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<B::Data>, B::Error>>> {
        match &mut self.body {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(B::is_end_stream)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let none = http_body::SizeHint::with_exact(0);
        self.body.as_ref().map_or(none, B::size_hint)
    }
}

/// One connection of a server.
struct Connection<H: Handler> {
    shared: Arc<ServerState>,
    handler: H,
    queue: Queue<H::Body>,
    progress: Arc<Progress>,
}

impl<H: Handler> Connection<H> {
    /// Serves a request that hyper has read, or awaits the answer if it was started
    /// early.
    fn serve(
        self: &Arc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody<H::Body>>> + use<H> {
        let own = Arc::clone(self);
        let (next, in_flight) = self.queue.take(req, |req| self.start_in_turn(req));
        let answer = AnswerGuard::new(&self.progress, in_flight);
        if next.is_early() {
            self.progress.allow_early();
        }
        async move {
            let response = next.response().await;
            let mut response = response.map(|body| AnswerBody {
                body,
                _answer: answer,
            });
            let is_draining = own.shared.is_draining.load(Ordering::Acquire);
            finish_head(&own.queue, is_draining, response.headers_mut());
            response
        }
    }

    /// Starts a request in its turn.
    fn start_in_turn(&self, req: Request<Incoming>) -> (H::Future, InFlightGuard) {
        let in_flight = InFlightGuard::new(&self.shared);
        let (head, body) = req.into_parts();
        if self.handler.may_start_early(&head) {
            self.progress.allow_early();
        }
        let req = Request::from_parts(head, body);
        (self.handler.handle(req), in_flight)
    }

    /// Starts a request before its turn if that is allowed.
    fn start_early(&self, head: &[u8]) -> bool {
        if self.shared.is_draining.load(Ordering::Acquire) || self.queue.is_closing() {
            return false;
        }
        let Some(head) = framing::parse_head(head) else {
            return false;
        };
        let in_flight = InFlightGuard::new(&self.shared);
        let Some(answer) = self.handler.start_early(&head) else {
            return false;
        };
        self.queue.start(head, answer, in_flight);
        true
    }
}

async fn serve_connection<H>(
    shared: Arc<ServerState>,
    stream: TcpStream,
    settings: ServerSettings,
    budget: BodyBudget,
    handler: H,
) where
    H: Handler,
    <H::Body as HttpBody>::Error: std::error::Error + Send + Sync + 'static,
{
    if let Err(err) = socket::configure(&stream) {
        log::debug!("HTTP server: connection closed, its options cannot be set: {err}");
        return;
    }
    let progress = Arc::<Progress>::default();
    let own = Arc::new(Connection {
        shared: Arc::clone(&shared),
        handler,
        queue: Queue::default(),
        progress: Arc::clone(&progress),
    });
    exchange(own, stream.clone(), settings, &budget).await;
    if progress.has_read_ahead() && !progress.has_client_left() {
        // The end of the process would reset the connection.
        let _in_flight = InFlightGuard::new(&shared);
        linger(stream).await;
    }
}

/// Serves the requests of a connection until either side closes it or the server has
/// drained.
async fn exchange<H>(
    own: Arc<Connection<H>>,
    stream: TcpStream,
    settings: ServerSettings,
    budget: &BodyBudget,
) where
    H: Handler,
    <H::Body as HttpBody>::Error: std::error::Error + Send + Sync + 'static,
{
    let starter = Arc::clone(&own);
    let io = LookAhead::new(
        WriteTimeout::new(stream, settings.write_timeout),
        settings.pipeline,
        settings.max_head_bytes,
        budget,
        Arc::clone(&own.progress),
        move |head: &[u8]| starter.start_early(head),
    );
    let served = Arc::clone(&own);
    let service = service_fn(move |req| {
        let response = served.serve(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let drained = own.shared.drain_started.listen();
    let connection = http1::Builder::new()
        .timer(SmolTimer)
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.max_head_bytes)
        .max_headers(settings.max_fields)
        .serve_connection(FuturesIo::new(io), service);
    let mut connection = std::pin::pin!(connection);
    if !own.shared.is_draining.load(Ordering::Acquire) {
        let ended = async {
            record_end(connection.as_mut().await, settings.clients);
            true
        };
        let draining = async {
            drained.await;
            false
        };
        if ended.or(draining).await {
            return;
        }
    }
    // With requests that were started early, the response to the last of them closes the
    // connection.
    if !own.queue.has_early() {
        connection.as_mut().graceful_shutdown();
    }
    record_end(connection.await, settings.clients);
}

/// Records that hyper could not read a request, which it then answers itself: no handler
/// has seen it. Other errors mean that the client closed the connection.
fn record_end(ended: hyper::Result<()>, clients: &'static str) {
    let Err(err) = ended else {
        return;
    };
    if !err.is_parse() {
        return;
    }
    let kind = match err.is_parse_too_large() {
        true => "too-large",
        false => "malformed",
    };
    metrics::counter!("ibiscove_unreadable_requests_total", "clients" => clients, "kind" => kind)
        .increment(1);
    log::info!(clients = clients, kind = kind;
        "a request cannot be read, its connection is closed: {err}");
}

/// Discards what a client still sends on a connection that this side has closed, for a
/// short time. Closing the socket at once would reset the connection, and could take
/// the last response from a client that has sent further requests.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
    let discard = async {
        let mut buf = [0; 1 << 10];
        let mut left = MAX_LINGER_BYTES;
        while let Ok(len @ 1..) = stream.read(&mut buf).await {
            left = left.saturating_sub(len);
            if left == 0 {
                break;
            }
        }
    };
    let timeout = async {
        smol::Timer::after(MAX_LINGER).await;
    };
    discard.or(timeout).await;
}

/// Implementation of hyper's timers on smol's reactor.
#[derive(Clone, Copy, Debug)]
struct SmolTimer;

struct SmolSleep(smol::Timer);

impl Future for SmolSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

impl Sleep for SmolSleep {}

impl Timer for SmolTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(SmolSleep(smol::Timer::after(duration)))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(SmolSleep(smol::Timer::at(deadline)))
    }

    fn reset(&self, sleep: &mut Pin<Box<dyn Sleep>>, new_deadline: Instant) {
        *sleep = self.sleep_until(new_deadline);
    }
}
