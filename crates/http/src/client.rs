//! A pool of client connections.

use crate::body::Body;
use crate::socket;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How connections are made and kept.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Time for a connection to be made. A lost opening packet is sent again
    /// after a second, so this allows for one loss.
    pub connect_timeout: Duration,
    /// How long a connection may be idle and still be used again. Below the
    /// idle timeouts of common servers, which start at five seconds.
    pub max_idle: Duration,
    /// Idle connections kept to one address.
    pub max_idle_per_addr: usize,
    /// Whether closing a connection discards what it has not sent.
    pub reset_on_close: bool,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_200),
            max_idle: Duration::from_secs(4),
            max_idle_per_addr: 64,
            reset_on_close: true,
        }
    }
}

/// Why an exchange gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be made; nothing was sent.
    #[error("cannot connect to {addr}: {cause}")]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// What went wrong.
        cause: io::Error,
    },
    /// The connection failed before the request was written; nothing was sent.
    #[error("the request was not sent to {addr}")]
    NotSent {
        /// The address.
        addr: SocketAddr,
    },
    /// The request was sent, at least in part, and no answer came.
    #[error("no answer from {addr}: {cause}")]
    Lost {
        /// The address.
        addr: SocketAddr,
        /// What went wrong.
        cause: hyper::Error,
    },
}

impl SendError {
    /// Whether the request certainly did not leave this process.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, SendError::Lost { .. })
    }
}

/// Connections that are kept for reuse. Clones share them.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    settings: PoolSettings,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    since: Instant,
    /// Until when the server said that it keeps the connection.
    until: Instant,
}

/// A connection and the task that drives it. Dropping it closes the connection
/// at once, which tells the server that nobody waits any more.
struct Connection {
    sender: SendRequest<Body>,
    _driver: smol::Task<()>,
}

/// Time for which a connection that was just given back may still be busy with
/// the end of its answer, which its driver sees on another thread.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

impl Connection {
    /// Whether the connection takes a request within a moment.
    async fn becomes_ready(&mut self) -> bool {
        let timeout = async {
            smol::Timer::after(READY_TIMEOUT).await;
            false
        };
        let ready = async { self.sender.ready().await.is_ok() };
        ready.or(timeout).await
    }
}

/// An answer whose body has not been read, with the connection it came on.
pub struct Exchange {
    /// The answer's head and body.
    pub response: Response<Incoming>,
    /// The connection; to be given back once the body was read to its end.
    pub connection: PooledConnection,
}

/// A connection that an exchange uses. Dropping it closes the connection.
pub struct PooledConnection {
    pool: Pool,
    addr: SocketAddr,
    connection: Connection,
    keep_until: Option<Instant>,
}

impl PooledConnection {
    /// Keeps the connection for reuse. Only for an answer that was read to its
    /// end and was beyond doubt the answer to its request.
    pub fn return_to_pool(self) {
        let Some(until) = self.keep_until else {
            return;
        };
        let idle = Idle {
            connection: self.connection,
            since: Instant::now(),
            until,
        };
        let mut all = self.pool.lock();
        let kept = all.entry(self.addr).or_default();
        if kept.len() < self.pool.inner.settings.max_idle_per_addr {
            kept.push(idle);
        }
    }
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            inner: Arc::new(Inner {
                settings,
                idle: Mutex::default(),
            }),
        }
    }

    /// Sends a request and waits for the head of its answer. Dropping the
    /// future closes the connection. A connection that was idle for longer
    /// than `max_idle` is not used.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<Body>,
        max_idle: Duration,
    ) -> Result<Exchange, SendError> {
        if !req.headers().contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&addr.to_string())
        {
            req.headers_mut().insert(HOST, host);
        }
        while let Some(mut connection) = self.take_idle(addr, max_idle) {
            if !connection.becomes_ready().await {
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

    /// Whether an idle connection to an address can be used now.
    pub fn has_idle(&self, addr: SocketAddr) -> bool {
        let now = Instant::now();
        let max_idle = self.inner.settings.max_idle;
        let all = self.lock();
        let mut kept = all.get(&addr).into_iter().flatten();
        kept.any(|idle| is_fresh(idle, now, max_idle))
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&self) {
        let now = Instant::now();
        let max_idle = self.inner.settings.max_idle;
        self.lock().retain(|_, kept| {
            kept.retain(|idle| is_fresh(idle, now, max_idle));
            !kept.is_empty()
        });
    }

    fn take_idle(&self, addr: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let now = Instant::now();
        let max_idle = max_idle.min(self.inner.settings.max_idle);
        let mut all = self.lock();
        let kept = all.get_mut(&addr)?;
        while let Some(idle) = kept.pop() {
            if is_fresh(&idle, now, max_idle) {
                return Some(idle.connection);
            }
        }
        None
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let settings = &self.inner.settings;
        let timeout = async {
            smol::Timer::after(settings.connect_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let failed = |cause| SendError::Connect { addr, cause };
        let connecting = TcpStream::connect(addr);
        let stream = connecting.or(timeout).await.map_err(failed)?;
        socket::configure(&stream).map_err(failed)?;
        if settings.reset_on_close {
            socket::reset_on_close(&stream).map_err(failed)?;
        }
        metrics::counter!("ibiscove_connections_opened_total").increment(1);
        let (sender, driver) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|cause| failed(io::Error::other(cause)))?;
        let driver = smol::spawn(async move {
            if let Err(err) = driver.await {
                log::debug!("a connection to {addr} ended: {err}");
            }
        });
        Ok(Connection {
            sender,
            _driver: driver,
        })
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut connection: Connection,
        req: Request<Body>,
    ) -> Result<Exchange, (SendError, Option<Request<Body>>)> {
        match connection.sender.try_send_request(req).await {
            Ok(response) => {
                let keep_until = keep_until(&response, self.inner.settings.max_idle);
                let connection = PooledConnection {
                    pool: self.clone(),
                    addr,
                    connection,
                    keep_until,
                };
                Ok(Exchange {
                    response,
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

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.inner
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_fresh(idle: &Idle, now: Instant, max_idle: Duration) -> bool {
    let age = now.saturating_duration_since(idle.since);
    age < max_idle && now < idle.until && !idle.connection.sender.is_closed()
}

/// Share of the server's stated keep-alive time for which a connection is used.
const KEEP_ALIVE_SHARE: f64 = 0.5;

/// Until when a connection may be used again; none when it must be closed.
fn keep_until(answer: &Response<Incoming>, max_idle: Duration) -> Option<Instant> {
    let headers = answer.headers();
    let says_close = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if says_close {
        return None;
    }
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_seconds)
        .map(|seconds| Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_SHARE));
    let keep = stated.unwrap_or(max_idle).min(max_idle);
    Some(Instant::now() + keep)
}

/// The `timeout` of a `Keep-Alive` header, in seconds.
pub fn keep_alive_seconds(value: &str) -> Option<u64> {
    value.split(',').find_map(|part| {
        let (name, seconds) = part.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| seconds.trim().parse().ok()).flatten()
    })
}
