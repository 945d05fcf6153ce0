//! Connections to the next hop, with failures to connect distinguishable.
//!
//! A request whose connection was never opened has certainly not been received.
//! Every other failure may come after the next hop has read the request, so
//! `not-run` is certain only if the error carries the marker that this module
//! adds to connect errors.

use ibiscove_types::Clock;
use smol::future::FutureExt;
use std::future::Future;
use std::io;
use std::time::Duration;
use trillium_server_common::{Connector, Url, async_trait};
use trillium_smol::{ClientConfig, SmolTransport, async_net::TcpStream};

/// Marks an error that occurred before the connection was open.
#[derive(Debug, thiserror::Error)]
#[error("cannot connect: {0}")]
struct ConnectFailed(io::Error);

/// Opens TCP connections within a timeout and marks failures to connect.
pub(crate) struct MarkingConnector<C> {
    config: ClientConfig,
    clock: C,
    timeout: Duration,
}

impl<C: Clock> MarkingConnector<C> {
    pub(crate) fn new(clock: C, timeout: Duration) -> Self {
        Self {
            config: ClientConfig::default().with_nodelay(true),
            clock,
            timeout,
        }
    }
}

#[async_trait]
impl<C: Clock> Connector for MarkingConnector<C> {
    type Transport = SmolTransport<TcpStream>;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let timeout = async {
            self.clock.sleep(self.timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = self.config.connect(url).or(timeout).await;
        connected.map_err(|err| io::Error::other(ConnectFailed(err)))
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, fut: Fut) {
        smol::spawn(fut).detach();
    }
}

/// Returns whether the connection of a failed request was never opened.
pub(crate) fn connection_never_opened(err: &io::Error) -> bool {
    err.get_ref()
        .is_some_and(|inner| inner.is::<ConnectFailed>())
}
