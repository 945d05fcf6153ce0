//! RPC client: calls to peers, over one persistent connection to each.

use crate::messages::{Call, Reply, Request, Response};
use crate::{PeerError, PeerSettings, Peers, auth, codec, frame, traffic};
use ibiscove_io::Yielding;
use smol::channel::{Receiver, Sender};
use smol::future::FutureExt;
use smol::io::{self, AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Capacity of the call queue of one connection.
const MAX_QUEUED_CALLS: usize = 256;
/// Attempts to enqueue one call, each on another connection.
const MAX_ENQUEUE_ATTEMPTS: usize = 3;

/// A client for calls to peers; clones share connections.
#[derive(Clone)]
pub struct PeerClient {
    settings: Arc<PeerSettings>,
    peers: Arc<Mutex<HashMap<SocketAddr, Arc<Peer>>>>,
    is_closed: Arc<AtomicBool>,
}

/// One address, with at most one connection to it.
#[derive(Default)]
struct Peer {
    /// Held while connecting, so that concurrent calls share one connection.
    connect_lock: smol::lock::Mutex<()>,
    connection: Mutex<Option<Connection>>,
}

impl Peer {
    fn live_connection(&self) -> Option<Connection> {
        let connection = self.connection().clone()?;
        (!connection.calls.is_closed()).then_some(connection)
    }

    fn connection(&self) -> MutexGuard<'_, Option<Connection>> {
        let connection = self.connection.lock();
        connection.expect("a holder of the lock panicked")
    }
}

#[derive(Clone)]
struct Connection {
    calls: Sender<Vec<u8>>,
    pending: Arc<PendingCalls>,
}

/// A call that was put in the queue of a connection.
struct QueuedCall {
    connection: Connection,
    id: i64,
    message_len: usize,
    replies_before: u64,
    rx: Receiver<Response>,
}

/// Length of a message, in bytes, above which its progress extends the calls on its
/// connection: shorter ones take less than 0.1 s on a link of 10 Mbit/s.
const LONG_MESSAGE_BYTES: usize = 64 << 10;
/// Rate at which a long request leaves, in bytes per second: a tenth of a link of
/// 10 Mbit/s. Its progress can't be seen, for the kernel buffers it.
const REQUEST_RATE: u32 = 128 << 10;

#[derive(Default)]
struct PendingCalls {
    next_id: AtomicI64,
    /// Replies read so far. If none is read during a call that times out, the
    /// connection is considered dead.
    replies_read: AtomicU64,
    reply_senders: Mutex<HashMap<i64, Sender<Response>>>,
    /// Last time at which a part of a long reply was read, or by which the long requests
    /// have left. Calls are executed and answered in order, so that later ones wait.
    busy_until: Mutex<Option<Instant>>,
}

impl PendingCalls {
    fn reply_senders(&self) -> MutexGuard<'_, HashMap<i64, Sender<Response>>> {
        self.reply_senders
            .lock()
            .expect("a holder of the lock panicked")
    }

    /// Records that a part of a reply of `len` bytes was read.
    fn record_part(&self, len: usize) {
        if len > LONG_MESSAGE_BYTES {
            let mut busy_until = self.busy_until();
            *busy_until = (*busy_until).max(Some(Instant::now()));
        }
    }

    /// Records that a request of `len` bytes was queued.
    fn record_request(&self, len: usize) {
        if len > LONG_MESSAGE_BYTES {
            let mut busy_until = self.busy_until();
            let from = (*busy_until).max(Some(Instant::now()));
            let took = Duration::from_secs_f64(len as f64 / f64::from(REQUEST_RATE));
            *busy_until = from.map(|from| from + took);
        }
    }

    fn busy_until(&self) -> MutexGuard<'_, Option<Instant>> {
        self.busy_until
            .lock()
            .expect("a holder of the lock panicked")
    }

    /// Waits until a call that was queued at `queued_at` has taken too long.
    async fn time_out(&self, queued_at: Instant, settings: &PeerSettings) {
        let limits = settings.message_limits();
        let latest = queued_at + limits.longest(settings.max_frame_bytes);
        loop {
            let silent_since = self.busy_until().unwrap_or(queued_at).max(queued_at);
            let deadline = latest.min(silent_since + settings.call_timeout);
            if deadline <= Instant::now() {
                return;
            }
            smol::Timer::at(deadline).await;
        }
    }

    fn replies_read(&self) -> u64 {
        self.replies_read.load(Ordering::Relaxed)
    }
}

impl PeerClient {
    /// Returns a client without connections; each peer's is opened by the first
    /// call.
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            settings: Arc::new(settings),
            peers: Arc::default(),
            is_closed: Arc::default(),
        }
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        let peers = self.peers();
        let open = peers
            .values()
            .filter(|peer| peer.live_connection().is_some());
        open.count()
    }

    /// Closes all connections and rejects all later calls.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        for peer in self.peers().values() {
            if let Some(connection) = peer.connection().take() {
                connection.calls.close();
            }
        }
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Connection, PeerError> {
        let peer = self.peer(addr);
        if let Some(connection) = peer.live_connection() {
            return Ok(connection);
        }
        let unreachable = |err: io::Error| PeerError::Unreachable {
            addr,
            cause: err.to_string(),
        };
        let connecting = async {
            let _guard = peer.connect_lock.lock().await;
            // Another call may have connected while this one waited for the lock.
            match peer.live_connection() {
                Some(connection) => Ok(connection),
                None => self.connect(addr, &peer).await,
            }
        };
        with_timeout(self.settings.connect_timeout, connecting)
            .await
            .map_err(unreachable)
    }

    async fn connect(&self, addr: SocketAddr, peer: &Peer) -> io::Result<Connection> {
        let mut stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        auth::handshake_as_client(&mut stream, &self.settings.key, self.settings.incarnation)
            .await?;
        let connection = spawn_connection(stream, &self.settings);
        *peer.connection() = Some(connection.clone());
        // Checked after the connection is published, so that either this or
        // `close` closes it.
        if self.is_closed.load(Ordering::SeqCst) {
            connection.calls.close();
            return Err(io::ErrorKind::NotConnected.into());
        }
        Ok(connection)
    }

    /// Puts a call in the queue of its peer's connection.
    ///
    /// An idle connection may close before the call is queued. A closed queue
    /// accepts nothing, so the call is then safe to queue on a new connection.
    async fn enqueue(&self, addr: SocketAddr, request: Request) -> Result<QueuedCall, PeerError> {
        let mut call = Call { id: 0, request };
        for _ in 0..MAX_ENQUEUE_ATTEMPTS {
            let connection = self.connection(addr).await?;
            let pending = &connection.pending;
            call.id = pending.next_id.fetch_add(1, Ordering::Relaxed);
            let message = codec::encode(&call).map_err(|err| PeerError::Unreachable {
                addr,
                cause: err.to_string(),
            })?;
            let message_len = message.len();
            let replies_before = pending.replies_read();
            let (tx, rx) = smol::channel::bounded(1);
            pending.reply_senders().insert(call.id, tx);
            pending.record_request(message_len);
            let sending = async {
                let sent = connection.calls.send(message).await;
                sent.map_err(io::Error::other)
            };
            match with_timeout(self.settings.call_timeout, sending).await {
                Ok(()) => {
                    return Ok(QueuedCall {
                        id: call.id,
                        message_len,
                        replies_before,
                        rx,
                        connection,
                    });
                }
                Err(err) => {
                    connection.pending.reply_senders().remove(&call.id);
                    if err.kind() == io::ErrorKind::TimedOut {
                        return Err(PeerError::Unanswered { addr });
                    }
                }
            }
        }
        let cause = "each connection closed before the call was queued".to_owned();
        Err(PeerError::Unreachable { addr, cause })
    }

    /// Returns the state of an address, created on first use. Creating one
    /// removes unused ones without a connection, so that they do not accumulate
    /// as nodes come and go.
    fn peer(&self, addr: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers();
        if let Some(peer) = peers.get(&addr) {
            return Arc::clone(peer);
        }
        peers.retain(|_, peer| Arc::strong_count(peer) > 1 || peer.live_connection().is_some());
        Arc::clone(peers.entry(addr).or_default())
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Peer>>> {
        self.peers.lock().expect("a holder of the lock panicked")
    }
}

impl Peers for PeerClient {
    async fn call(&self, addr: SocketAddr, req: Request) -> Result<Response, PeerError> {
        if self.is_closed.load(Ordering::SeqCst) {
            let cause = "the peer client is closed".to_owned();
            return Err(PeerError::Unreachable { addr, cause });
        }
        let kind = traffic::request_kind(&req);
        let call = self.enqueue(addr, req);
        let QueuedCall {
            connection,
            id,
            message_len,
            replies_before,
            rx,
        } = call.await?;
        traffic::count_sent(kind, message_len);
        let exchange = async { rx.recv().await.ok() };
        let timeout = async {
            let pending = &connection.pending;
            pending.time_out(Instant::now(), &self.settings).await;
            None
        };
        let response = exchange.or(timeout).await;
        connection.pending.reply_senders().remove(&id);
        match response {
            Some(Response::Failed(failed)) => Err(PeerError::Failed {
                addr,
                message: failed.message,
            }),
            Some(response) => Ok(response),
            None => {
                // A half-open connection looks alive for minutes. If no reply
                // at all arrived during the call, the next call reconnects.
                if connection.pending.replies_read() == replies_before {
                    connection.calls.close();
                }
                Err(PeerError::Unanswered { addr })
            }
        }
    }
}

/// Runs a future with a timeout.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    fut: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        smol::Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    fut.or(timeout).await
}

fn spawn_connection(stream: TcpStream, settings: &Arc<PeerSettings>) -> Connection {
    let (tx, rx) = smol::channel::bounded(MAX_QUEUED_CALLS);
    let pending = Arc::new(PendingCalls::default());
    let task = drive_connection(stream, rx, Arc::clone(&pending), Arc::clone(settings));
    smol::spawn(task).detach();
    Connection { calls: tx, pending }
}

/// Drives one connection until either direction fails or no call is made for
/// the idle timeout.
async fn drive_connection(
    stream: TcpStream,
    calls: Receiver<Vec<u8>>,
    pending: Arc<PendingCalls>,
    settings: Arc<PeerSettings>,
) {
    let (rx, tx) = (Yielding::new(stream.clone()), Yielding::new(stream));
    let writing = write_calls(tx, &calls, &pending, &settings);
    let reading = read_replies(rx, Arc::clone(&pending), &settings);
    if let Err(err) = writing.or(reading).await {
        log::debug!("peer client: connection closed: {err}");
    }
    calls.close();
    // Dropping the senders ends every pending call as unanswered.
    pending.reply_senders().clear();
}

async fn write_calls(
    mut stream: impl AsyncWrite + Unpin,
    calls: &Receiver<Vec<u8>>,
    pending: &PendingCalls,
    settings: &PeerSettings,
) -> io::Result<()> {
    loop {
        let call = with_timeout(settings.client_idle_timeout, async {
            Ok(calls.recv().await.ok())
        });
        match call.await {
            Ok(Some(message)) => frame::write(&mut stream, &message).await?,
            Ok(None) => break,
            // Calls that are already queued are still received after the close.
            Err(_) if pending.reply_senders().is_empty() => drop(calls.close()),
            Err(_) => {}
        }
    }
    if !pending.reply_senders().is_empty() {
        // Calls queued during the close keep their time for a reply.
        smol::Timer::after(settings.call_timeout).await;
    }
    Ok(())
}

async fn read_replies(
    mut stream: impl AsyncRead + Unpin,
    pending: Arc<PendingCalls>,
    settings: &PeerSettings,
) -> io::Result<()> {
    let limits = settings.message_limits();
    loop {
        let on_part = |len| pending.record_part(len);
        let reading = frame::read_in_parts(&mut stream, settings.max_frame_bytes, limits, on_part);
        let bytes = reading.await?;
        let reply: Reply = codec::decode(&bytes).map_err(io::Error::other)?;
        traffic::count_received(traffic::response_kind(&reply.response), bytes.len());
        pending.replies_read.fetch_add(1, Ordering::Relaxed);
        let pending_call = pending.reply_senders().remove(&reply.id);
        match pending_call {
            // The channel is full or closed if the call has timed out.
            Some(tx) => drop(tx.try_send(reply.response)),
            None => log::debug!(id = reply.id; "peer client: reply discarded: its call has ended"),
        }
    }
}
