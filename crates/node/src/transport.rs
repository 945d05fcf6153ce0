//! The byte stream of one connection, with an end to its patience.
//!
//! The HTTP library waits for bytes without limit. This transport gives up a
//! caller that is silent between requests, that does not finish a request's
//! head in time, or that does not read its answer. While a handler runs it
//! waits without limit: there the request's own deadline holds.

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use trillium_smol::async_net::TcpStream;

/// What one listener's connections may cost.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Connections that are open at a time.
    pub max_connections: usize,
    /// Time without a request before a connection is closed.
    pub idle_timeout: Duration,
    /// Time for a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Time in which a caller must read something of its answer.
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
    /// The handler, or the caller's reading of the answer.
    Handling,
}

/// What a connection waits for, shared by its transport and its handler.
#[derive(Debug, Default)]
pub(crate) struct Phase {
    is_handling: AtomicBool,
    head_began: AtomicBool,
    /// Counts the heads waited for, so that the transport sees a new one.
    heads: AtomicU32,
}

impl Phase {
    pub(crate) fn enter(&self, stage: Stage) {
        if stage == Stage::Head {
            self.head_began.store(false, Ordering::SeqCst);
            self.heads.fetch_add(1, Ordering::SeqCst);
        }
        let is_handling = stage == Stage::Handling;
        self.is_handling.store(is_handling, Ordering::SeqCst);
    }

    pub(crate) fn stage(&self) -> Stage {
        match self.is_handling.load(Ordering::SeqCst) {
            true => Stage::Handling,
            false => Stage::Head,
        }
    }

    /// Whether a byte has come since the last answer.
    pub(crate) fn head_began(&self) -> bool {
        self.head_began.load(Ordering::SeqCst)
    }
}

/// The byte stream of one connection.
#[derive(Debug)]
pub(crate) struct Transport {
    stream: TcpStream,
    phase: Arc<Phase>,
    limits: ConnectionLimits,
    /// Ends the wait for a head.
    read_timer: Timer,
    /// The head that `read_timer` is for.
    head: u32,
    /// Runs while the caller reads nothing.
    write_timer: Option<Timer>,
}

impl Transport {
    pub(crate) fn new(stream: TcpStream, phase: Arc<Phase>, limits: ConnectionLimits) -> Self {
        Self {
            stream,
            phase,
            read_timer: Timer::after(limits.idle_timeout),
            limits,
            head: 0,
            write_timer: None,
        }
    }

    /// Reads on while a head is waited for.
    fn poll_read_head(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let head = self.phase.heads.load(Ordering::SeqCst);
        if head != self.head {
            self.head = head;
            self.read_timer.set_after(self.limits.idle_timeout);
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read_some = matches!(read, Poll::Ready(Ok(len)) if len > 0);
        if read_some && !self.phase.head_began.swap(true, Ordering::SeqCst) {
            self.read_timer.set_after(self.limits.head_timeout);
        }
        // The timer goes first: one byte at a time must not put off the end.
        match self.read_timer.poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => read,
        }
    }

    /// Passes on the result of a write, or ends it when nothing was taken for
    /// too long.
    fn poll_written<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let limit = self.limits.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| Timer::after(limit));
        ready!(timer.poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.phase.stage() {
            Stage::Head => self.poll_read_head(cx, buf),
            Stage::Handling => Pin::new(&mut self.stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.poll_written(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.poll_written(cx, flushed)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl trillium_http::transport::Transport for Transport {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.stream.peer_addr().map(Some)
    }
}
