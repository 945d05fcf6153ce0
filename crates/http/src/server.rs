//! HTTP server with cancellation and graceful shutdown.

use crate::socket;
use bytes::Bytes;
use event_listener::Event;
use http_body::Body as HttpBody;
use hyper::body::Incoming;
use hyper::rt::{Sleep, Timer};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::future::FutureExt;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Delay after a failed accept, which mostly means that no file descriptor is
/// free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on request heads and on the time that a client may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Largest request head, in bytes. HTTP libraries commonly allow 8 to 64
    /// KiB.
    pub max_head_bytes: usize,
    /// Timeout of receiving a head, including the idle time before it. Longer
    /// than common idle timeouts of clients, so that they close first.
    pub head_timeout: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 << 10,
            head_timeout: Duration::from_secs(75),
        }
    }
}

/// A server whose connections can be closed gracefully.
#[derive(Clone, Default)]
pub struct Server {
    shared: Arc<ServerState>,
}

#[derive(Default)]
struct ServerState {
    is_draining: AtomicBool,
    drain_started: Event,
    in_flight: AtomicUsize,
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
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let shared = Arc::clone(&self.shared);
                    smol::spawn(serve_connection(shared, stream, settings, handle.clone()))
                        .detach();
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

    /// Returns the number of requests whose response has not been sent.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Acquire)
    }
}

/// Counts a request as in flight until its response body has been sent.
struct InFlightGuard(Arc<ServerState>);

impl InFlightGuard {
    fn new(shared: &Arc<ServerState>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A response body that counts its request as in flight until it has been sent.
struct CountedBody<B> {
    body: B,
    _in_flight: InFlightGuard,
}

impl<B: HttpBody + Unpin> HttpBody for CountedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

async fn serve_connection<H, F, B>(
    shared: Arc<ServerState>,
    stream: TcpStream,
    settings: ServerSettings,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: HttpBody<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    if let Err(err) = socket::configure(&stream) {
        log::debug!("HTTP server: connection closed, its options cannot be set: {err}");
        return;
    }
    let counted = Arc::clone(&shared);
    let service = service_fn(move |req| {
        let in_flight = InFlightGuard::new(&counted);
        let response = handle(req);
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| CountedBody {
                body,
                _in_flight: in_flight,
            }))
        }
    });
    let drained = shared.drain_started.listen();
    let connection = http1::Builder::new()
        .timer(SmolTimer)
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.max_head_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    if !shared.is_draining.load(Ordering::Acquire) {
        let ended = async {
            let _ = connection.as_mut().await;
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
    connection.as_mut().graceful_shutdown();
    // Errors here are caused by the client: it closed the connection or sent a
    // malformed request.
    let _ = connection.await;
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
