//! HTTP client with a connection pool.

use crate::body::Body;
use crate::socket;
use crate::status::{NoAnswer, require_final};
use event_listener::Event;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use ibiscove_io::Yielding;
use smol::future::FutureExt;
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Settings of a connection pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Timeout of connecting. A lost SYN is retransmitted after one second, so
    /// this allows for one loss.
    pub connect_timeout: Duration,
    /// Idle time up to which a connection may be reused. Below the idle timeouts
    /// of common servers, which start at five seconds.
    pub max_idle: Duration,
    /// Maximum number of idle connections to one address.
    pub max_idle_per_addr: usize,
    /// Time that sent bytes may remain unacknowledged before a connection fails, see
    /// [`socket::fail_unacknowledged`]; none for peers that may read late.
    pub unacknowledged_timeout: Option<Duration>,
    /// Whether closing a connection discards unsent bytes.
    pub reset_on_close: bool,
    /// Largest head of a response, in bytes; no connection buffers more of what it
    /// receives. As large as [`ServerSettings::max_head_bytes`](crate::ServerSettings).
    pub max_head_bytes: usize,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_200),
            max_idle: Duration::from_secs(4),
            max_idle_per_addr: 64,
            unacknowledged_timeout: None,
            reset_on_close: true,
            max_head_bytes: 64 << 10,
        }
    }
}

/// Why an exchange returned no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be made; nothing was sent.
    #[error("cannot connect to {addr}: {cause}")]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// The cause of the failure.
        cause: io::Error,
    },
    /// The connection failed before the request was written; nothing was sent.
    #[error("the request was not sent to {addr}")]
    NotSent {
        /// The address.
        addr: SocketAddr,
    },
    /// The latest moment for writing the request had passed; nothing was sent.
    #[error("the request was too late to be sent to {addr}")]
    TooLate {
        /// The address.
        addr: SocketAddr,
    },
    /// The request was sent, and what came back is no answer.
    #[error("no answer from {addr}: {cause}")]
    NoAnswer {
        /// The address.
        addr: SocketAddr,
        /// The status that came back.
        cause: NoAnswer,
    },
    /// The request was sent, at least in part, and no response was received.
    #[error("no answer from {addr}: {cause}")]
    Lost {
        /// The address.
        addr: SocketAddr,
        /// The cause of the failure.
        cause: hyper::Error,
    },
}

impl SendError {
    /// Returns whether the request certainly did not leave this process.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, SendError::NoAnswer { .. } | SendError::Lost { .. })
    }

    /// Returns whether no process listens at the address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, SendError::Connect { cause, .. }
            if cause.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// A pool of reusable connections. Clones share it.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<PoolState>,
}

struct PoolState {
    settings: PoolSettings,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Number of open connections, idle or in use, to each address that has any.
    open: Mutex<HashMap<SocketAddr, usize>>,
    /// Notified when the last connection to an address has been closed.
    closed: Event,
}

/// Counts a connection of a pool as open.
struct OpenConnection {
    pool: Arc<PoolState>,
    addr: SocketAddr,
}

impl OpenConnection {
    fn new(pool: &Arc<PoolState>, addr: SocketAddr) -> Self {
        *pool.open().entry(addr).or_default() += 1;
        Self {
            pool: Arc::clone(pool),
            addr,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut open = self.pool.open();
        let Some(count) = open.get_mut(&self.addr) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            open.remove(&self.addr);
            drop(open);
            self.pool.closed.notify(usize::MAX);
        }
    }
}

impl PoolState {
    fn open(&self) -> MutexGuard<'_, HashMap<SocketAddr, usize>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// End of the keep-alive time that the server stated.
    reusable_until: Instant,
}

/// A connection and the task that drives it. Dropping it closes the connection
/// at once, so that the server can cancel the request.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    /// Whether a response has come on it.
    has_answered: bool,
    _driver: smol::Task<()>,
}

/// Time that a connection just returned to the pool may need to become ready:
/// its driver processes the end of the response on another thread.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

impl Connection {
    /// Starts HTTP on a connected stream. The guard is dropped once the connection is
    /// closed by either side.
    pub(crate) async fn start<S, G>(
        addr: SocketAddr,
        stream: S,
        settings: &PoolSettings,
        guard: G,
    ) -> Result<Self, SendError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
        G: Send + 'static,
    {
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(settings.max_head_bytes)
            .handshake(FuturesIo::new(Yielding::new(stream)))
            .await
            .map_err(|cause| SendError::Connect {
                addr,
                cause: io::Error::other(cause),
            })?;
        let driver = smol::spawn(async move {
            let _guard = guard;
            if let Err(err) = driver.await {
                log::debug!("HTTP client: connection to {addr} closed: {err}");
            }
        });
        Ok(Self {
            sender,
            has_answered: false,
            _driver: driver,
        })
    }

    /// Waits until the connection accepts a request; returns whether it does so
    /// within [`READY_TIMEOUT`].
    async fn wait_until_ready(&mut self) -> bool {
        let timeout = async {
            smol::Timer::after(READY_TIMEOUT).await;
            false
        };
        let ready = async { self.sender.ready().await.is_ok() };
        ready.or(timeout).await
    }
}

/// A response whose body has not been read, and its connection.
pub struct Exchange {
    /// The response with its unread body.
    pub response: Response<Incoming>,
    /// Whether it is the first one on its connection, so that it can't belong to an
    /// earlier request.
    pub is_first: bool,
    /// The connection, to be returned to the pool once the body was read to its
    /// end.
    pub connection: PooledConnection,
}

/// A connection taken from a pool by an exchange. Dropping it closes the
/// connection.
pub struct PooledConnection {
    pool: Pool,
    addr: SocketAddr,
    connection: Connection,
    reusable_until: Option<Instant>,
}

impl PooledConnection {
    /// Returns the connection to its pool for reuse. Only valid after a response
    /// that was read to its end and certainly belongs to its request.
    pub fn return_to_pool(self) {
        let Some(reusable_until) = self.reusable_until else {
            return;
        };
        let idle = IdleConnection {
            connection: self.connection,
            idle_since: Instant::now(),
            reusable_until,
        };
        let mut idle_by_addr = self.pool.lock();
        let connections = idle_by_addr.entry(self.addr).or_default();
        if connections.len() < self.pool.inner.settings.max_idle_per_addr {
            connections.push(idle);
        }
    }
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            inner: Arc::new(PoolState {
                settings,
                idle: Mutex::default(),
                open: Mutex::default(),
                closed: Event::new(),
            }),
        }
    }

    /// Sends a request and waits for the head of its response. Dropping the
    /// future closes the connection. Connections that were idle for longer than
    /// `max_idle` are not used.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Body>,
        max_idle: Duration,
    ) -> Result<Exchange, SendError> {
        set_host(&mut req, addr);
        while let Some(mut connection) = self.take_idle(addr, max_idle) {
            if !connection.wait_until_ready().await {
                continue;
            }
            match self.exchange(addr, connection, req).await {
                Err((SendError::NotSent { .. }, Some(unsent))) => req = unsent,
                Err((err, _)) => return Err(err),
                Ok(exchange) => return Ok(exchange),
            }
        }
        let connection = self.connect(addr).await?;
        let sent = self.exchange(addr, connection, req).await;
        sent.map_err(|(err, _)| err)
    }

    /// Returns whether an address refuses connections, so that no process listens
    /// there. A connection that it accepts is kept for reuse.
    pub async fn is_refused(&self, addr: SocketAddr) -> bool {
        match self.connect(addr).await {
            Ok(connection) => {
                let max_idle = self.inner.settings.max_idle;
                let connection = PooledConnection {
                    pool: self.clone(),
                    addr,
                    connection,
                    reusable_until: Some(Instant::now() + max_idle),
                };
                connection.return_to_pool();
                false
            }
            Err(err) => err.is_connection_refused(),
        }
    }

    /// Waits until no connection to an address is open, or for a timeout. Returns
    /// whether none is: as long as one is open, the process at its other end lives, even
    /// if the address refuses new connections.
    pub async fn wait_until_closed(&self, addr: SocketAddr, timeout: Duration) -> bool {
        let closed = async {
            loop {
                let closed = self.inner.closed.listen();
                if !self.inner.open().contains_key(&addr) {
                    return true;
                }
                closed.await;
            }
        };
        let timeout = async {
            smol::Timer::after(timeout).await;
            false
        };
        closed.or(timeout).await
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes connections that can no longer be reused.
    pub fn prune(&self) {
        let now = Instant::now();
        let max_idle = self.inner.settings.max_idle;
        self.lock().retain(|_, connections| {
            connections.retain(|idle| is_reusable(idle, now, max_idle));
            !connections.is_empty()
        });
    }

    fn take_idle(&self, addr: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let now = Instant::now();
        let max_idle = max_idle.min(self.inner.settings.max_idle);
        let mut idle_by_addr = self.lock();
        let connections = idle_by_addr.get_mut(&addr)?;
        while let Some(idle) = connections.pop() {
            if is_reusable(&idle, now, max_idle) {
                return Some(idle.connection);
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let stream = connect(addr, &self.inner.settings).await?;
        let guard = OpenConnection::new(&self.inner, addr);
        Connection::start(addr, stream, &self.inner.settings, guard).await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut connection: Connection,
        req: Request<Body>,
    ) -> Result<Exchange, (SendError, Option<Request<Body>>)> {
        match connection.sender.try_send_request(req).await {
            Ok(response) => {
                // On failure the connection is dropped, and so closed.
                require_final(response.status().as_u16())
                    .map_err(|cause| (SendError::NoAnswer { addr, cause }, None))?;
                let reusable_until = reusable_until(&response, self.inner.settings.max_idle);
                let is_first = !std::mem::replace(&mut connection.has_answered, true);
                let connection = PooledConnection {
                    pool: self.clone(),
                    addr,
                    connection,
                    reusable_until,
                };
                Ok(Exchange {
                    response,
                    is_first,
                    connection,
                })
            }
            Err(mut err) => Err(match err.take_message() {
                Some(unsent) => (SendError::NotSent { addr }, Some(unsent)),
                None => {
                    let cause = err.into_error();
                    (SendError::Lost { addr, cause }, None)
                }
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.inner
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects a stream to an address.
pub(crate) async fn connect(
    addr: SocketAddr,
    settings: &PoolSettings,
) -> Result<TcpStream, SendError> {
    let timeout = async {
        smol::Timer::after(settings.connect_timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let failed = |cause| SendError::Connect { addr, cause };
    let connecting = TcpStream::connect(addr);
    let stream = connecting.or(timeout).await.map_err(failed)?;
    socket::configure(&stream).map_err(failed)?;
    if let Some(timeout) = settings.unacknowledged_timeout {
        socket::fail_unacknowledged(&stream, timeout).map_err(failed)?;
    }
    if settings.reset_on_close {
        socket::reset_on_close(&stream).map_err(failed)?;
    }
    metrics::counter!("ibiscove_connections_opened_total").increment(1);
    Ok(stream)
}

/// Sets the `Host` header, if there is none, to the address.
pub(crate) fn set_host(req: &mut Request<Body>, addr: SocketAddr) {
    if !req.headers().contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&addr.to_string())
    {
        req.headers_mut().insert(HOST, host);
    }
}

fn is_reusable(idle: &IdleConnection, now: Instant, max_idle: Duration) -> bool {
    let age = now.saturating_duration_since(idle.idle_since);
    age < max_idle && now < idle.reusable_until && !idle.connection.sender.is_closed()
}

/// Fraction of the server's stated keep-alive time during which a connection is
/// reused.
const KEEP_ALIVE_FRACTION: f64 = 0.5;

/// Returns until when a connection may be reused; none if it must be closed.
pub(crate) fn reusable_until(response: &Response<Incoming>, max_idle: Duration) -> Option<Instant> {
    let headers = response.headers();
    let is_closing = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if is_closing {
        return None;
    }
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_seconds)
        .map(|seconds| Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION));
    let keep_alive = stated.unwrap_or(max_idle).min(max_idle);
    Some(Instant::now() + keep_alive)
}

/// Returns the `timeout` parameter of a `Keep-Alive` header, in seconds.
pub fn keep_alive_seconds(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| {
        let (name, seconds) = part.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| seconds.trim().parse().ok()).flatten()
    })
}

#[cfg(test)]
#[path = "../tests/unit/client.rs"]
mod tests;
