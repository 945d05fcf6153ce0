//! Reads a connection ahead of hyper, within bounds.

use super::PipelineSettings;
use super::framing::{self, Framing, Scan};
use crate::body::{BodyBudget, BodyReservation};
use crate::server::InFlightGuard;
use bytes::{Buf, BytesMut};
use ibiscove_io::{WriteTimeout, Yielding};
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

/// Bytes that are read ahead at a time.
const CHUNK_BYTES: usize = 2 << 10;

/// How far the exchange of a connection has come; shared by its reader and the
/// responses.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    is_answering: AtomicBool,
    has_client_left: AtomicBool,
    has_read_ahead: AtomicBool,
    /// Whether the request that is being answered allows others to start beside it.
    allows_early: AtomicBool,
    /// The connection's task, while it has bytes that it will pass on only when the
    /// response has been sent.
    waiting: Mutex<Option<Waker>>,
    /// Requests whose responses hyper has taken over and not yet written to the socket.
    unwritten: Mutex<Vec<InFlightGuard>>,
}

impl Progress {
    /// Returns whether the client has closed the connection or broken it.
    pub(crate) fn has_client_left(&self) -> bool {
        self.has_client_left.load(Ordering::Acquire)
    }

    /// Returns whether the client has sent bytes behind a request that was not answered.
    pub(crate) fn has_read_ahead(&self) -> bool {
        self.has_read_ahead.load(Ordering::Acquire)
    }

    /// Allows requests to start beside the one that is being answered. Without this,
    /// they wait: until hyper has parsed that request, and if it may have effects that
    /// those behind it are to see.
    pub(crate) fn allow_early(&self) {
        self.allows_early.store(true, Ordering::Release);
    }

    /// Has the task woken when the response is sent.
    fn wait(&self, cx: &Context<'_>) {
        let mut waiting = self.lock();
        match &mut *waiting {
            Some(waker) => waker.clone_from(cx.waker()),
            None => *waiting = Some(cx.waker().clone()),
        }
    }

    /// Ends the requests whose responses have been written to the socket.
    fn end_written(&self) {
        self.unwritten().clear();
    }

    fn unwritten(&self) -> MutexGuard<'_, Vec<InFlightGuard>> {
        self.unwritten
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Option<Waker>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Held by the response to the request that hyper has; dropped when hyper has taken
/// over all of it, after which the next request may be passed on. The request stays in
/// flight until hyper's buffer has been written.
#[derive(Debug)]
pub(crate) struct AnswerGuard {
    progress: Arc<Progress>,
    in_flight: Option<InFlightGuard>,
}

impl AnswerGuard {
    pub(crate) fn new(progress: &Arc<Progress>, in_flight: InFlightGuard) -> Self {
        Self {
            progress: Arc::clone(progress),
            in_flight: Some(in_flight),
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.progress.unwritten().extend(self.in_flight.take());
        self.progress.is_answering.store(false, Ordering::Release);
        if let Some(waker) = self.progress.lock().take() {
            waker.wake();
        }
    }
}

/// A connection of which hyper reads one request at a time. `start` is called with
/// each complete head behind the request that is being answered, and returns whether
/// it has started it.
pub(crate) struct LookAhead<S> {
    stream: Yielding<WriteTimeout<TcpStream>>,
    settings: PipelineSettings,
    max_head_bytes: usize,
    progress: Arc<Progress>,
    start: S,
    /// Whether hyper reads the connection without look-ahead.
    is_opaque: bool,
    /// Bytes of the request that hyper is receiving which it does not have yet.
    rest: u64,
    /// Bytes behind that request.
    buffered: BytesMut,
    /// The memory of these bytes.
    reservation: BodyReservation,
    budget: BodyBudget,
    /// Lengths of the requests at the front of `buffered` that were started.
    started: VecDeque<usize>,
    /// Their sum.
    started_bytes: usize,
    /// Bytes behind them that are known not to contain the end of a head.
    searched: usize,
    /// Whether the request behind them has to wait for its turn.
    is_blocked: bool,
    /// Whether a limit ended the look-ahead of the current request.
    is_at_limit: bool,
}

impl<S: FnMut(&[u8]) -> bool> LookAhead<S> {
    pub(crate) fn new(
        stream: WriteTimeout<TcpStream>,
        settings: PipelineSettings,
        max_head_bytes: usize,
        budget: &BodyBudget,
        progress: Arc<Progress>,
        start: S,
    ) -> Self {
        Self {
            stream: Yielding::new(stream),
            settings,
            max_head_bytes,
            progress,
            start,
            is_opaque: settings.max_requests == 0,
            rest: 0,
            buffered: BytesMut::new(),
            reservation: budget.reserve(),
            budget: budget.clone(),
            started: VecDeque::new(),
            started_bytes: 0,
            searched: 0,
            is_blocked: false,
            is_at_limit: false,
        }
    }

    fn poll_socket(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if !matches!(read, Ok(1..)) {
            self.progress.has_client_left.store(true, Ordering::Release);
        }
        Poll::Ready(read)
    }

    /// Passes on bytes of the current request, or all bytes of an opaque connection.
    fn poll_rest(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let limit = match self.is_opaque {
            true => buf.len(),
            false => usize::try_from(self.rest).map_or(buf.len(), |rest| rest.min(buf.len())),
        };
        let len = if self.buffered.is_empty() {
            ready!(self.poll_socket(cx, &mut buf[..limit]))?
        } else {
            let len = limit.min(self.buffered.len());
            self.buffered.copy_to_slice(&mut buf[..len]);
            self.release_if_empty();
            len
        };
        self.rest = self.rest.saturating_sub(len as u64);
        Poll::Ready(Ok(len))
    }

    /// Keeps bytes behind the current request.
    fn keep(&mut self, read: &[u8]) {
        if !read.is_empty() {
            self.progress.has_read_ahead.store(true, Ordering::Release);
            self.buffered.extend_from_slice(read);
        }
    }

    fn release_if_empty(&mut self) {
        if self.buffered.is_empty() {
            self.buffered = BytesMut::new();
            self.reservation = self.budget.reserve();
        }
    }

    /// Reads the next request's head. Returns how many of its bytes are in `buf`, or
    /// none when `poll_rest` is to pass it on.
    fn poll_head(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<Option<usize>>> {
        if let Some(len) = self.started.pop_front() {
            self.started_bytes -= len;
            self.begin(len as u64);
            return Poll::Ready(Ok(None));
        }
        if self.buffered.is_empty() {
            return self.poll_fresh_head(cx, buf);
        }
        loop {
            if framing::has_head_end(&self.buffered, self.searched) {
                match framing::scan(&self.buffered) {
                    Scan::Complete(framing) => {
                        self.begin(framing.total_bytes());
                        self.open_behind(&framing);
                        return Poll::Ready(Ok(None));
                    }
                    Scan::Unsupported => self.is_opaque = true,
                    Scan::Partial => {}
                }
            }
            self.searched = self.buffered.len();
            self.is_opaque |= self.buffered.len() >= self.max_head_bytes;
            if self.is_opaque {
                return Poll::Ready(Ok(None));
            }
            let mut chunk = [0; CHUNK_BYTES];
            match ready!(self.poll_socket(cx, &mut chunk))? {
                0 => self.is_opaque = true,
                len => self.buffered.extend_from_slice(&chunk[..len]),
            }
        }
    }

    /// Reads a request that nothing is known of into `buf`, without a copy unless more
    /// than one request has arrived, or not all of a head.
    fn poll_fresh_head(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<Option<usize>>> {
        let len = ready!(self.poll_socket(cx, buf))?;
        if len == 0 {
            return Poll::Ready(Ok(Some(0)));
        }
        match framing::scan(&buf[..len]) {
            Scan::Complete(framing) => {
                Poll::Ready(Ok(Some(self.pass_first(&framing, &buf[..len]))))
            }
            Scan::Unsupported => {
                self.is_opaque = true;
                Poll::Ready(Ok(Some(len)))
            }
            Scan::Partial => {
                self.buffered.extend_from_slice(&buf[..len]);
                self.searched = len;
                self.poll_head(cx, buf)
            }
        }
    }

    /// Keeps what follows the first request in `read`, and returns how many bytes
    /// belong to that request.
    fn pass_first(&mut self, framing: &Framing, read: &[u8]) -> usize {
        let total = framing.total_bytes();
        let own = usize::try_from(total).map_or(read.len(), |total| total.min(read.len()));
        self.keep(&read[own..]);
        self.open_behind(framing);
        self.begin(total - own as u64);
        own
    }

    /// Begins to look at what follows a request; nothing does if that one closes the
    /// connection.
    fn open_behind(&mut self, request: &Framing) {
        self.searched = 0;
        self.is_blocked = !request.keeps_connection;
    }

    fn begin(&mut self, rest: u64) {
        self.rest = rest;
        self.is_at_limit = false;
        self.progress.allows_early.store(false, Ordering::Release);
        self.progress.is_answering.store(true, Ordering::Release);
    }

    /// Reads ahead while a request is being answered. Ends only when the client has
    /// left.
    fn poll_look_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        loop {
            let kept = self.buffered.len();
            if kept > 0 && !self.reservation.try_grow_to(kept) {
                return self.wait_for_answer(cx, "node-memory");
            }
            self.start_early();
            let room = self.settings.max_bytes.saturating_sub(kept);
            if room == 0 {
                return self.wait_for_answer(cx, "connection-memory");
            }
            let mut chunk = [0; CHUNK_BYTES];
            let read = self.poll_socket(cx, &mut chunk[..room.min(CHUNK_BYTES)]);
            if read.is_pending() && kept > 0 {
                self.progress.wait(cx);
            }
            match ready!(read)? {
                0 => return Poll::Ready(Ok(0)),
                len => self.keep(&chunk[..len]),
            }
        }
    }

    /// Stops to read until the response is sent. Counts that once a response.
    fn wait_for_answer(
        &mut self,
        cx: &Context<'_>,
        limit: &'static str,
    ) -> Poll<io::Result<usize>> {
        self.progress.wait(cx);
        if !std::mem::replace(&mut self.is_at_limit, true) {
            metrics::counter!("ibiscove_look_ahead_waits_total", "limit" => limit).increment(1);
        }
        Poll::Pending
    }

    /// Starts the requests that have been read and need not wait for their turn.
    fn start_early(&mut self) {
        if !self.progress.allows_early.load(Ordering::Acquire) {
            return;
        }
        while !self.is_blocked && self.started.len() < self.settings.max_requests {
            let bytes = &self.buffered[self.started_bytes..];
            if !framing::has_head_end(bytes, self.searched) {
                self.searched = bytes.len();
                return;
            }
            match framing::scan(bytes) {
                Scan::Complete(framing)
                    if framing.can_start_early() && (self.start)(&bytes[..framing.head_bytes]) =>
                {
                    self.started.push_back(framing.head_bytes);
                    self.started_bytes += framing.head_bytes;
                    self.searched = 0;
                }
                Scan::Partial => {
                    self.searched = bytes.len();
                    return;
                }
                _ => {
                    self.is_blocked = true;
                    self.searched = 0;
                }
            }
        }
    }
}

impl<S: FnMut(&[u8]) -> bool + Unpin> AsyncRead for LookAhead<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        loop {
            if this.is_opaque || this.rest > 0 {
                return this.poll_rest(cx, buf);
            }
            if this.progress.is_answering.load(Ordering::Acquire) {
                return this.poll_look_ahead(cx);
            }
            if let Some(len) = ready!(this.poll_head(cx, buf))? {
                return Poll::Ready(Ok(len));
            }
        }
    }
}

impl<S: Unpin> AsyncWrite for LookAhead<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    /// hyper flushes the stream once its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.progress.end_written();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
