//! Connections whose answers are checked before another HTTP library parses them: it
//! panics at statuses that it does not know, and keeps heads of chunks without limit.

use crate::chunk_heads::ChunkHeadWatch;
use crate::status::StatusWatch;
use ibiscove_io::Yielding;
use smol::io::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use trillium_http::Status;
use trillium_server_common::{Connector, Transport, Url, async_trait};

/// Opens connections whose reads fail at a status that is no answer, or that the library
/// cannot represent, and at a chunk whose head is too long.
#[derive(Clone, Debug)]
pub struct CheckedConnector<C>(pub C);

#[async_trait]
impl<C: Connector> Connector for CheckedConnector<C> {
    type Transport = CheckedTransport<C::Transport>;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let transport = self.0.connect(url).await?;
        Ok(CheckedTransport {
            transport: Yielding::new(transport),
            watch: StatusWatch::default(),
            chunk_heads: ChunkHeadWatch::default(),
        })
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, fut: Fut) {
        self.0.spawn(fut);
    }
}

/// A connection of a [`CheckedConnector`]. The library writes a request whole, or up to
/// the answer that asks for its body, before it reads.
#[derive(Debug)]
pub struct CheckedTransport<T> {
    transport: Yielding<T>,
    watch: StatusWatch,
    chunk_heads: ChunkHeadWatch,
}

/// A status that the library cannot represent, so that it cannot be passed on.
#[derive(Debug, thiserror::Error)]
#[error("status {0} is not known")]
struct UnknownStatus(u16);

impl<T: Transport> CheckedTransport<T> {
    fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        let transport = self.transport.get_ref();
        let invalid = |err: Box<dyn std::error::Error + Send + Sync>| {
            let peer = transport.peer_addr().ok().flatten();
            let peer = peer.map(|peer| peer.to_string()).unwrap_or_default();
            log::warn!(peer = &*peer; "an answer is given up, and its connection closed: {err}");
            io::Error::new(io::ErrorKind::InvalidData, err)
        };
        let status = self.watch.read(bytes).map_err(|err| invalid(err.into()))?;
        match status {
            Some(status) if Status::try_from(status).is_err() => {
                metrics::counter!("ibiscove_odd_statuses_total").increment(1);
                Err(invalid(UnknownStatus(status).into()))
            }
            _ => self
                .chunk_heads
                .read(bytes)
                .map_err(|err| invalid(err.into())),
        }
    }
}

impl<T: Transport> AsyncRead for CheckedTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.transport).poll_read(cx, buf))?;
        self.check(&buf[..len])?;
        Poll::Ready(Ok(len))
    }
}

impl<T: Transport> AsyncWrite for CheckedTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.watch.expect_answer();
        self.chunk_heads.expect_head();
        Pin::new(&mut self.transport).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_close(cx)
    }
}

impl<T: Transport> Transport for CheckedTransport<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.transport.get_mut().set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.transport.get_mut().set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.transport.get_mut().set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.transport.get_ref().peer_addr()
    }
}
