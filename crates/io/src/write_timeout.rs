//! Streams whose writes fail when their peer takes nothing.

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// A stream whose writes fail with [`io::ErrorKind::TimedOut`] once its peer has taken
/// nothing for some time, because it is gone or does not read.
///
/// `TCP_USER_TIMEOUT` can't do this for a peer that reads late: while its window is
/// closed, the kernel also fails connections whose peer acknowledges each probe.
#[derive(Debug)]
pub struct WriteTimeout<S> {
    stream: S,
    timeout: Duration,
    /// Set while a write is pending.
    timer: Option<Timer>,
}

impl<S> WriteTimeout<S> {
    /// Wraps a stream.
    pub fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            timer: None,
        }
    }

    /// Returns the stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    fn apply<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.apply(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.apply(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        self.apply(cx, flushed)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
