//! Peers that send without end, whatever they are asked.

use super::*;
use http_body_util::BodyExt;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use yare::parameterized;

/// Far more than the other tasks need.
const PATIENCE: Duration = Duration::from_secs(20);

/// A connection whose peer answers a request with `head`, then `filler` without end, and
/// is never slower than its reader.
struct EndlessStream {
    head: &'static [u8],
    filler: &'static [u8],
    /// Whether a request has been written; before that there is nothing to read.
    is_asked: bool,
    reader: Option<Waker>,
}

impl AsyncRead for EndlessStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.is_asked {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut len = 0;
        while len < buf.len() {
            if self.head.is_empty() {
                self.head = self.filler;
            }
            let part = self.head.len().min(buf.len() - len);
            buf[len..len + part].copy_from_slice(&self.head[..part]);
            self.head = &self.head[part..];
            len += part;
        }
        Poll::Ready(Ok(len))
    }
}

impl AsyncWrite for EndlessStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_asked = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a node that does nothing else while an upstream sends bytes that are no
/// answer: the connection's task never gave its thread back.
#[parameterized(
    interim_answers = { b"", b"HTTP/1.1 102 Processing\r\n\r\n" },
    digits_of_a_chunk_size = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0" },
    blanks_behind_a_chunk_size = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", b" " },
    body = { b"HTTP/1.1 200 OK\r\n\r\n", b"a" },
)]
fn answer_without_end_lets_other_tasks_run(head: &'static [u8], filler: &'static [u8]) {
    let is_done = smol::block_on(async {
        let stream = EndlessStream {
            head,
            filler,
            is_asked: false,
            reader: None,
        };
        let addr = SocketAddr::from(([127, 0, 0, 1], 80));
        let settings = PoolSettings::default();
        let connecting = Connection::start(addr, stream, &settings, ());
        let mut connection = connecting.await.expect("the handshake sends nothing");
        let mut req = Request::new(Body::whole(""));
        set_host(&mut req, addr);
        let _exchange = smol::spawn(async move {
            let response = connection.sender.send_request(req).await;
            let mut body = response.expect("the head is complete").into_body();
            while body.frame().await.is_some() {}
        });
        let other = async {
            // Timers of the executor's own thread are among what must go on.
            for _ in 0..10 {
                let task = smol::spawn(smol::Timer::after(Duration::from_millis(10)));
                task.await;
            }
            true
        };
        let timeout = async {
            smol::Timer::after(PATIENCE).await;
            false
        };
        other.or(timeout).await
    });
    assert!(is_done, "the connection's task keeps its thread");
}
