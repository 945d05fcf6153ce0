//! Streams that return control to the executor.

use smol::io::{AsyncRead, AsyncWrite};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Calls that may complete one after the other before one is pending.
pub const MAX_READY_CALLS: usize = 32;
/// Bytes that these calls may transfer before one is pending. A parser that takes
/// 10 ns for each byte holds its thread for less than a millisecond.
pub const MAX_READY_BYTES: usize = 64 << 10;

/// A stream whose operations are pending now and then although its peer is ready.
///
/// An executor runs a task until one of its operations is pending. A parser that
/// discards what it reads, such as interim responses or the leading zeros of a chunk
/// size, reads on for as long as its peer sends, and nothing else runs on its thread,
/// timeouts included. So after [`MAX_READY_CALLS`] or [`MAX_READY_BYTES`] the next
/// operation is pending once and wakes its task, which goes to the back of the queue.
#[derive(Debug)]
pub struct Yielding<S> {
    stream: S,
    ready_calls: usize,
    ready_bytes: usize,
}

impl<S> Yielding<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            ready_calls: 0,
            ready_bytes: 0,
        }
    }

    /// Returns the stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Returns the stream.
    pub fn get_mut(&mut self) -> &mut S {
        &mut self.stream
    }

    /// Runs an operation that transfers bytes unless the task has to yield first.
    fn poll_transfer(
        &mut self,
        cx: &mut Context<'_>,
        transfer: impl FnOnce(Pin<&mut S>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>>
    where
        S: Unpin,
    {
        if self.ready_calls >= MAX_READY_CALLS || self.ready_bytes >= MAX_READY_BYTES {
            self.reset();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let transferred = transfer(Pin::new(&mut self.stream), cx);
        match &transferred {
            Poll::Ready(Ok(len)) => {
                self.ready_calls += 1;
                self.ready_bytes = self.ready_bytes.saturating_add(*len);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.reset(),
        }
        transferred
    }

    fn reset(&mut self) {
        self.ready_calls = 0;
        self.ready_bytes = 0;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Yielding<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_transfer(cx, |stream, cx| stream.poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Yielding<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_transfer(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_transfer(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
