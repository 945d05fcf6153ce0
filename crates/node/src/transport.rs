//! The byte stream of one connection, with timeouts.
//!
//! The HTTP library waits for bytes without limit. This transport closes the
//! connection of a caller that is inactive between requests, that does not
//! finish a request's head in time, or that does not read its response. While a
//! handler runs it waits without limit, because the request's own deadline
//! applies. Nor does the library bound what it keeps, of the head of a chunk or behind
//! a request that is being handled; both are bounded here.

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use ibiscove_http::ChunkHeadWatch;
use ibiscove_io::{WriteTimeout, Yielding};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use trillium_smol::async_net::TcpStream;

/// Bytes that are read behind a request while it is handled. Beyond them the caller is
/// not read from, and its disconnecting not noticed, until the response is sent.
const MAX_READ_AHEAD: usize = 64 << 10;

/// Limits of one listener's connections.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Connections that may be open at a time.
    pub max_connections: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Timeout for a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Timeout for the caller to read at least some of its response.
    pub write_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A request's head, or the rest of a body that the handler left unread.
    Head,
    /// The handler, or the caller reading the response.
    Handling,
}

/// The stage of a connection, shared by its transport and its handler.
#[derive(Debug, Default)]
pub(crate) struct SharedStage {
    is_handling: AtomicBool,
    has_head_begun: AtomicBool,
    /// Number of heads waited for so far, by which the transport detects a new
    /// one.
    awaited_heads: AtomicU32,
}

impl SharedStage {
    pub(crate) fn set(&self, stage: Stage) {
        if stage == Stage::Head {
            self.has_head_begun.store(false, Ordering::SeqCst);
            self.awaited_heads.fetch_add(1, Ordering::SeqCst);
        }
        let is_handling = stage == Stage::Handling;
        self.is_handling.store(is_handling, Ordering::SeqCst);
    }

    pub(crate) fn get(&self) -> Stage {
        match self.is_handling.load(Ordering::SeqCst) {
            true => Stage::Handling,
            false => Stage::Head,
        }
    }

    /// Returns whether a byte has arrived since the last response.
    pub(crate) fn has_head_begun(&self) -> bool {
        self.has_head_begun.load(Ordering::SeqCst)
    }
}

/// The byte stream of one connection.
#[derive(Debug)]
pub(crate) struct Transport {
    stream: Yielding<WriteTimeout<TcpStream>>,
    stage: Arc<SharedStage>,
    limits: ConnectionLimits,
    /// Timer of the idle and head timeouts.
    read_timer: Timer,
    /// Number of the head that `read_timer` is set for.
    timed_head: u32,
    chunk_heads: ChunkHeadWatch,
    /// Bytes that were read behind the request that is being handled.
    read_ahead: usize,
}

impl Transport {
    pub(crate) fn new(
        stream: TcpStream,
        stage: Arc<SharedStage>,
        limits: ConnectionLimits,
    ) -> Self {
        Self {
            stream: Yielding::new(WriteTimeout::new(stream, limits.write_timeout)),
            stage,
            read_timer: Timer::after(limits.idle_timeout),
            limits,
            timed_head: 0,
            chunk_heads: ChunkHeadWatch::default(),
            read_ahead: 0,
        }
    }

    /// Reads while a request is handled: the rest of its body, and what follows it.
    fn poll_read_handling(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // The end of the handler wakes the task.
        if self.read_ahead >= MAX_READ_AHEAD {
            return Poll::Pending;
        }
        let handled_before = self.stage.awaited_heads.load(Ordering::SeqCst);
        let is_behind = self.chunk_heads.complete_messages() > handled_before.into();
        let len = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if is_behind {
            self.read_ahead += len;
        }
        Poll::Ready(Ok(len))
    }

    /// Reads while waiting for a head, within the idle and head timeouts.
    fn poll_read_head(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let head = self.stage.awaited_heads.load(Ordering::SeqCst);
        if head != self.timed_head {
            self.timed_head = head;
            self.read_ahead = 0;
            self.read_timer.set_after(self.limits.idle_timeout);
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let has_read_bytes = matches!(read, Poll::Ready(Ok(len)) if len > 0);
        if has_read_bytes && !self.stage.has_head_begun.swap(true, Ordering::SeqCst) {
            self.read_timer.set_after(self.limits.head_timeout);
        }
        // The timer has precedence: a caller that sends one byte at a time must
        // not extend the timeout.
        match self.read_timer.poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => read,
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = match self.stage.get() {
            Stage::Head => self.poll_read_head(cx, buf),
            Stage::Handling => self.poll_read_handling(cx, buf),
        };
        let len = ready!(read)?;
        self.chunk_heads.read(&buf[..len])?;
        Poll::Ready(Ok(len))
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl trillium_http::transport::Transport for Transport {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.stream.get_ref().get_ref().peer_addr().map(Some)
    }
}
