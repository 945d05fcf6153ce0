//! Accepts connections and serves the requests on them.

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

/// Pause after a failed accept, which mostly means that descriptors ran out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Limits on what a peer may send and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Largest head of a request, in bytes. HTTP libraries commonly allow 8 to
    /// 64 KiB.
    pub max_head_bytes: usize,
    /// Time for a head, and for the silence before the next one. Longer than
    /// the usual idle timeouts of clients, so that they close first.
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

/// A listener whose connections can be ended gracefully.
#[derive(Clone, Default)]
pub struct Server {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    draining: AtomicBool,
    drain: Event,
    busy: AtomicUsize,
}

impl Server {
    /// Serves `listener` until the task is dropped. Each request is answered
    /// by `handle`, whose future is dropped when the peer hangs up.
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
                    log::warn!("cannot accept a connection: {err}");
                    smol::Timer::after(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Closes connections as they become idle; answers say so from now on.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
        self.shared.drain.notify(usize::MAX);
    }

    /// Requests that are being answered.
    pub fn in_flight(&self) -> usize {
        self.shared.busy.load(Ordering::Acquire)
    }
}

/// Counts a request as being answered until its body has been sent.
struct Busy(Arc<Shared>);

impl Busy {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.busy.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A body that counts its request as busy until it has been sent.
struct Counted<B> {
    body: B,
    _busy: Busy,
}

impl<B: HttpBody + Unpin> HttpBody for Counted<B> {
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
    shared: Arc<Shared>,
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
        log::debug!("a connection ended before it was served: {err}");
        return;
    }
    let counted = Arc::clone(&shared);
    let service = service_fn(move |req| {
        let busy = Busy::new(&counted);
        let answer = handle(req);
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| Counted { body, _busy: busy }))
        }
    });
    let drained = shared.drain.listen();
    let connection = http1::Builder::new()
        .timer(SmolTimer)
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.max_head_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    if !shared.draining.load(Ordering::Acquire) {
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
    // Errors of a connection are its peer's: hang-ups and malformed requests.
    let _ = connection.await;
}

/// Hyper's timers on smol's reactor.
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
