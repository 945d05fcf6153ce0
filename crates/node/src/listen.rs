//! HTTP listeners.
//!
//! A listener guarantees to its handlers that a request is framed unambiguously
//! ([`crate::framing`]), that a connection costs a bounded amount while its
//! caller is slow or inactive ([`crate::transport`]), and that
//! [`Listener::abort`] ends every connection at once, including the handler's
//! future, as the end of the process would.
//!
//! Connections run on the HTTP library's executor and control tasks on that of
//! smol, so that a saturated upstream delays no heartbeat.

use crate::framing;
use crate::refusal::Refusal;
use crate::transport::{ConnectionLimits, SharedStage, Stage, Transport};
use crate::{NodeSettings, StartError};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use ibiscove_types::{Incarnation, Reason};
use smol::Timer;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener as StdListener};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use trillium::{Conn, Handler, KnownHeaderName};
use trillium_http::{Conn as HttpConn, Error as HttpError, HttpConfig, Stopper};
use trillium_smol::async_global_executor::{Task, spawn};
use trillium_smol::async_net::{TcpListener, TcpStream};

/// Delay after a failed accept, so that a lack of file descriptors causes no
/// busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections above the limit that get a refusal; further ones are closed
/// without one.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Time for a refused caller to read the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes read from a refused caller meanwhile.
const MAX_LINGER_BYTES: u64 = 256 << 10;

/// An address that is listened on and not yet served.
pub(crate) struct BoundListener {
    role: &'static str,
    pub(crate) addr: SocketAddr,
    pub(crate) listener: StdListener,
}

/// Listens on an address, so that its port is known before it is served.
pub(crate) fn bind(role: &'static str, addr: SocketAddr) -> Result<BoundListener, StartError> {
    let open = || {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        Ok(BoundListener {
            role,
            addr: listener.local_addr()?,
            listener,
        })
    };
    open().map_err(|cause| StartError::Listen { role, addr, cause })
}

impl BoundListener {
    /// Serves HTTP with `handler`.
    pub(crate) fn serve(self, handler: impl Handler, settings: &NodeSettings) -> Listener {
        let listener = TcpListener::try_from(self.listener)
            .expect("a listening socket can be registered with the reactor");
        let server = Server {
            role: self.role,
            handler,
            http: HttpConfig::default().with_head_max_len(settings.max_head_bytes),
            limits: settings.connection_limits.clone(),
            stopper: Stopper::new(),
            open: Arc::default(),
        };
        Listener {
            stopper: server.stopper.clone(),
            open: Arc::clone(&server.open),
            accepting: spawn(accept(listener, Arc::new(server))),
        }
    }
}

/// A served address. Dropping it stops accepting connections.
pub(crate) struct Listener {
    stopper: Stopper,
    open: Arc<Connections>,
    accepting: Task<()>,
}

impl Listener {
    /// Stops accepting connections, closes idle ones, and waits until the
    /// responses in flight have been sent; after `limit` the rest is aborted.
    pub(crate) async fn stop(self, limit: impl Future<Output = ()>) {
        self.accepting.cancel().await;
        self.stopper.stop();
        self.open.all_closed().or(limit).await;
        self.open.abort();
        self.open.all_closed().await;
    }

    /// Aborts every connection at once.
    pub(crate) async fn abort(self) {
        self.accepting.cancel().await;
        self.open.abort();
        self.open.all_closed().await;
    }
}

/// The open connections of a listener.
#[derive(Default)]
struct Connections {
    count: AtomicUsize,
    refused: AtomicUsize,
    is_aborted: AtomicBool,
    changed: Event,
}

impl Connections {
    fn abort(&self) {
        self.is_aborted.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    async fn aborted(&self) {
        self.wait_until(|| self.is_aborted.load(Ordering::SeqCst))
            .await;
    }

    async fn all_closed(&self) {
        let open = || self.count.load(Ordering::SeqCst) + self.refused.load(Ordering::SeqCst);
        self.wait_until(|| open() == 0).await;
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        loop {
            let changed = self.changed.listen();
            if condition() {
                return;
            }
            changed.await;
        }
    }
}

/// One unit of a connection count, released when it is dropped.
struct ConnectionGuard<F: Fn(&Connections) -> &AtomicUsize> {
    open: Arc<Connections>,
    count: F,
}

impl<F: Fn(&Connections) -> &AtomicUsize> ConnectionGuard<F> {
    /// Acquires a unit while fewer than `max` are in use.
    fn try_acquire(open: &Arc<Connections>, count: F, max: usize) -> Option<Self> {
        let occupied = count(open).fetch_add(1, Ordering::SeqCst);
        let guard = Self {
            open: Arc::clone(open),
            count,
        };
        (occupied < max).then_some(guard)
    }
}

impl<F: Fn(&Connections) -> &AtomicUsize> Drop for ConnectionGuard<F> {
    fn drop(&mut self) {
        let remaining = (self.count)(&self.open).fetch_sub(1, Ordering::SeqCst) - 1;
        if remaining == 0 {
            self.open.changed.notify(usize::MAX);
        }
    }
}

/// What all connections of a listener share.
struct Server<H> {
    role: &'static str,
    handler: H,
    http: HttpConfig,
    limits: ConnectionLimits,
    stopper: Stopper,
    open: Arc<Connections>,
}

async fn accept(listener: TcpListener, server: Arc<Server<impl Handler>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_connection(stream, &server);
                // Callers may connect faster than they are accepted.
                futures_lite::future::yield_now().await;
            }
            Err(err) => {
                log::warn!(
                    role = server.role;
                    "listener: accepting a connection failed, retries: {err}"
                );
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Spawns a task for a connection, or refuses it.
fn spawn_connection(stream: TcpStream, server: &Arc<Server<impl Handler>>) {
    let max = server.limits.max_connections;
    if let Some(guard) = ConnectionGuard::try_acquire(&server.open, |open| &open.count, max) {
        let server = Arc::clone(server);
        let task = async move {
            serve(stream, &server).or(server.open.aborted()).await;
            drop(guard);
        };
        return spawn(task).detach();
    }
    let refusal = Refusal::not_run(Reason::TooManyConnections);
    refusal.count(server.role);
    if let Some(guard) =
        ConnectionGuard::try_acquire(&server.open, |open| &open.refused, MAX_REFUSED_CONNECTIONS)
    {
        let open = Arc::clone(&server.open);
        let task = async move {
            send_refusal(stream, refusal).or(open.aborted()).await;
            drop(guard);
        };
        spawn(task).detach();
    }
}

/// Serves the requests of one connection until either side closes it.
async fn serve(stream: TcpStream, server: &Server<impl Handler>) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(role = server.role; "listener: a connection ended with an error: {err}");
        return;
    }
    let peer_ip = stream.peer_addr().ok().map(|addr| addr.ip());
    let stage = Arc::new(SharedStage::default());
    let transport = Transport::new(stream.clone(), Arc::clone(&stage), server.limits.clone());
    // Until the handler returns, nothing of the response has been written.
    let is_handler_running = AtomicBool::new(false);
    let handle = |mut conn: HttpConn<Transport>| {
        conn.set_peer_ip(peer_ip);
        stage.set(Stage::Handling);
        is_handler_running.store(true, Ordering::SeqCst);
        let stage = Arc::clone(&stage);
        let is_handler_running = &is_handler_running;
        conn.after_send(move |status| {
            if status.is_success() {
                stage.set(Stage::Head);
            }
        });
        async move {
            let conn = handle_request(conn.into(), server).await.into_inner();
            is_handler_running.store(false, Ordering::SeqCst);
            conn
        }
    };
    let serving = HttpConn::map_with_config(server.http, transport, server.stopper.clone(), handle);
    // A handler shares nothing with others that it leaves half changed: what it holds is
    // released as it is dropped, as when its caller disconnects.
    let refusal = match AssertUnwindSafe(serving).catch_unwind().await {
        Ok(Ok(_)) => return,
        Ok(Err(err)) => {
            log::debug!(role = server.role; "listener: a connection ended with an error: {err}");
            head_refusal(&err, &stage)
        }
        Err(_) => is_handler_running
            .load(Ordering::SeqCst)
            .then_some(Refusal::unknown(Reason::Internal)),
    };
    if let Some(refusal) = refusal {
        refusal.count(server.role);
        send_refusal(stream, refusal).await;
    }
}

async fn handle_request(conn: Conn, server: &Server<impl Handler>) -> Conn {
    match framing::check(conn.inner()) {
        Ok(()) => {
            let conn = server.handler.run(conn).await;
            server.handler.before_send(conn).await
        }
        // What follows on the connection cannot be parsed reliably, so it is
        // closed.
        Err(reason) => Refusal::not_run(reason)
            .respond(conn, server.role)
            .with_response_header(KnownHeaderName::Connection, "close"),
    }
}

/// Returns the refusal for a request whose head could not be read.
fn head_refusal(err: &HttpError, stage: &SharedStage) -> Option<Refusal> {
    // After the head, a response may have begun, to which nothing may be added.
    if stage.get() != Stage::Head {
        return None;
    }
    let reason = match err {
        HttpError::HeadersTooLong | HttpError::Httparse(_) if is_too_large(err) => {
            Reason::HeadTooLarge
        }
        HttpError::Io(err) if err.kind() == io::ErrorKind::TimedOut && stage.has_head_begun() => {
            Reason::CallerStalled
        }
        HttpError::Io(_) | HttpError::Closed => return None,
        _ => Reason::MalformedRequest,
    };
    Some(Refusal::not_run(reason))
}

fn is_too_large(err: &HttpError) -> bool {
    // The HTTP library does not export the parser's own error type.
    matches!(err, HttpError::HeadersTooLong) || err.to_string() == "too many headers"
}

/// Writes a refusal outside any request and closes the connection once the
/// caller had time to read it: closing with unread bytes would reset the
/// connection.
async fn send_refusal(mut stream: TcpStream, refusal: Refusal) {
    let exchange = async {
        stream.write_all(&refusal.to_http()).await?;
        stream.shutdown(Shutdown::Write)?;
        let mut buf = [0; 4096];
        let mut unread = stream.take(MAX_LINGER_BYTES);
        while unread.read(&mut buf).await? > 0 {}
        io::Result::Ok(())
    };
    let limit = async {
        Timer::after(LINGER_TIMEOUT).await;
        Ok(())
    };
    if let Err(err) = exchange.or(limit).await {
        log::debug!("listener: sending a refusal failed, the connection is closed: {err}");
    }
}

/// Returns an incarnation that no other run of a node has.
pub(crate) fn new_incarnation() -> Incarnation {
    fastrand::u64(1..=i64::MAX as u64)
}
