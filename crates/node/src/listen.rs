//! HTTP listeners.
//!
//! A listener guarantees three things that its handlers rely on: a request
//! that reaches a handler is framed without doubt ([`crate::framing`]), a
//! connection costs a bounded amount while its caller is slow or silent
//! ([`crate::transport`]), and [`Listener::cut`] ends every connection at once,
//! with the handler's future, as the end of the process would.
//!
//! Connections run on the HTTP library's executor, control tasks on smol's own,
//! so that a busy upstream delays no heartbeat.

use crate::framing;
use crate::problem::Refusal;
use crate::transport::{ConnectionLimits, Phase, Stage, Transport};
use crate::{NodeSettings, StartError};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use ibiscove_types::{Incarnation, Reason};
use smol::Timer;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use trillium::{Conn, Handler, KnownHeaderName};
use trillium_http::{Conn as HttpConn, Error as HttpError, HttpConfig, Stopper};
use trillium_smol::async_global_executor::{Task, spawn};
use trillium_smol::async_net::{TcpListener, TcpStream};

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections above the limit that are told so; further ones are closed.
const MAX_REFUSING: usize = 64;
/// Time for a refused caller to read why.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes taken from a refused caller while it reads why.
const MAX_LINGER_LEN: u64 = 256 << 10;

/// An address that is listened on and not yet served.
pub(crate) struct Bound {
    role: &'static str,
    pub(crate) addr: SocketAddr,
    pub(crate) listener: StdListener,
}

/// Listens on an address, so that peers can be told its port.
pub(crate) fn bind(role: &'static str, addr: SocketAddr) -> Result<Bound, StartError> {
    let open = || {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        Ok(Bound {
            role,
            addr: listener.local_addr()?,
            listener,
        })
    };
    open().map_err(|cause| StartError::Listen { role, addr, cause })
}

impl Bound {
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

/// A served address. Dropping it takes no new connection.
pub(crate) struct Listener {
    stopper: Stopper,
    open: Arc<Connections>,
    accepting: Task<()>,
}

impl Listener {
    /// Takes no new connection, closes idle ones, and waits until the answers
    /// in flight have been sent; after `limit` the rest is cut.
    pub(crate) async fn stop(self, limit: impl Future<Output = ()>) {
        self.accepting.cancel().await;
        self.stopper.stop();
        self.open.all_closed().or(limit).await;
        self.open.cut();
        self.open.all_closed().await;
    }

    /// Ends every connection at once.
    pub(crate) async fn cut(self) {
        self.accepting.cancel().await;
        self.open.cut();
        self.open.all_closed().await;
    }
}

/// The open connections of a listener.
#[derive(Default)]
struct Connections {
    count: AtomicUsize,
    refusing: AtomicUsize,
    is_cut: AtomicBool,
    changed: Event,
}

impl Connections {
    fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    async fn was_cut(&self) {
        self.until(|| self.is_cut.load(Ordering::SeqCst)).await;
    }

    async fn all_closed(&self) {
        let open = || self.count.load(Ordering::SeqCst) + self.refusing.load(Ordering::SeqCst);
        self.until(|| open() == 0).await;
    }

    async fn until(&self, holds: impl Fn() -> bool) {
        loop {
            let changed = self.changed.listen();
            if holds() {
                return;
            }
            changed.await;
        }
    }
}

/// One place in a count of connections, until it is dropped.
struct Place<F: Fn(&Connections) -> &AtomicUsize> {
    open: Arc<Connections>,
    count: F,
}

impl<F: Fn(&Connections) -> &AtomicUsize> Place<F> {
    /// Takes a place while fewer than `max` are taken.
    fn take(open: &Arc<Connections>, count: F, max: usize) -> Option<Self> {
        let taken = count(open).fetch_add(1, Ordering::SeqCst);
        let place = Self {
            open: Arc::clone(open),
            count,
        };
        (taken < max).then_some(place)
    }
}

impl<F: Fn(&Connections) -> &AtomicUsize> Drop for Place<F> {
    fn drop(&mut self) {
        let left = (self.count)(&self.open).fetch_sub(1, Ordering::SeqCst) - 1;
        if left == 0 {
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
            Ok((stream, _)) => start(stream, &server),
            Err(err) => {
                log::warn!(role = server.role; "accepting a connection failed: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Gives a connection a task of its own, or refuses it.
fn start(stream: TcpStream, server: &Arc<Server<impl Handler>>) {
    let max = server.limits.max_connections;
    if let Some(place) = Place::take(&server.open, |open| &open.count, max) {
        let server = Arc::clone(server);
        let task = async move {
            serve(stream, &server).or(server.open.was_cut()).await;
            drop(place);
        };
        return spawn(task).detach();
    }
    let refusal = Refusal::not_run(Reason::TooManyConnections);
    refusal.count(server.role);
    if let Some(place) = Place::take(&server.open, |open| &open.refusing, MAX_REFUSING) {
        let open = Arc::clone(&server.open);
        let task = async move {
            tell(stream, refusal).or(open.was_cut()).await;
            drop(place);
        };
        spawn(task).detach();
    }
}

/// Serves the requests of one connection until either side ends it.
async fn serve(stream: TcpStream, server: &Server<impl Handler>) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(role = server.role; "connection ended: {err}");
        return;
    }
    let peer_ip = stream.peer_addr().ok().map(|addr| addr.ip());
    let phase = Arc::new(Phase::default());
    let transport = Transport::new(stream.clone(), Arc::clone(&phase), server.limits.clone());
    let handle = |mut conn: HttpConn<Transport>| {
        conn.set_peer_ip(peer_ip);
        phase.enter(Stage::Handling);
        let phase = Arc::clone(&phase);
        conn.after_send(move |status| {
            if status.is_success() {
                phase.enter(Stage::Head);
            }
        });
        async { answer(conn.into(), server).await.into_inner() }
    };
    let ended =
        HttpConn::map_with_config(server.http, transport, server.stopper.clone(), handle).await;
    let Err(err) = ended else {
        return;
    };
    match refusal(&err, &phase) {
        Some(refusal) => {
            refusal.count(server.role);
            tell(stream, refusal).await;
        }
        None => log::debug!(role = server.role; "connection ended: {err}"),
    }
}

async fn answer(conn: Conn, server: &Server<impl Handler>) -> Conn {
    match framing::check(conn.inner()) {
        Ok(()) => {
            let conn = server.handler.run(conn).await;
            server.handler.before_send(conn).await
        }
        // What follows on the connection cannot be told apart, so it ends.
        Err(reason) => Refusal::not_run(reason)
            .answer(conn, server.role)
            .with_response_header(KnownHeaderName::Connection, "close"),
    }
}

/// What to tell a caller whose request's head could not be read.
fn refusal(err: &HttpError, phase: &Phase) -> Option<Refusal> {
    // Past the head, an answer may have begun and nothing may be added to it.
    if phase.stage() != Stage::Head {
        return None;
    }
    let reason = match err {
        HttpError::HeadersTooLong | HttpError::Httparse(_) if is_too_large(err) => {
            Reason::HeadTooLarge
        }
        HttpError::Io(err) if err.kind() == io::ErrorKind::TimedOut && phase.head_began() => {
            Reason::CallerStalled
        }
        HttpError::Io(_) | HttpError::Closed => return None,
        _ => Reason::MalformedRequest,
    };
    Some(Refusal::not_run(reason))
}

fn is_too_large(err: &HttpError) -> bool {
    // The parser's own error type is not exported by the HTTP library.
    matches!(err, HttpError::HeadersTooLong) || err.to_string() == "too many headers"
}

/// Writes a refusal outside any request and closes, giving the caller time to
/// read it: closing over unread bytes would reset the connection.
async fn tell(mut stream: TcpStream, refusal: Refusal) {
    let exchange = async {
        stream.write_all(&refusal.to_http()).await?;
        stream.shutdown(Shutdown::Write)?;
        let mut buf = [0; 4096];
        let mut unread = stream.take(MAX_LINGER_LEN);
        while unread.read(&mut buf).await? > 0 {}
        io::Result::Ok(())
    };
    let limit = async {
        Timer::after(LINGER).await;
        Ok(())
    };
    if let Err(err) = exchange.or(limit).await {
        log::debug!("telling a refusal failed: {err}");
    }
}

/// An incarnation no other run has.
pub(crate) fn new_incarnation() -> Incarnation {
    fastrand::u64(1..=i64::MAX as u64)
}
