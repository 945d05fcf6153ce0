//! Connections outside any pool, for calls that are meant for one process.

use crate::body::Body;
use crate::client::{Connection, PoolSettings, SendError, connect, reusable_until, set_host};
use crate::socket;
use hyper::body::Incoming;
use hyper::{Request, Response};
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A connection whose requests reach the process that accepted it, or none: unlike
/// a [`Pool`](crate::Pool), it never replaces a connection that has failed.
/// Dropping it closes the connection.
pub struct DirectConnection {
    addr: SocketAddr,
    stream: TcpStream,
    connection: Connection,
    is_used: bool,
    max_idle: Duration,
    /// Until when it may be reused; none if it must be closed.
    reusable_until: Option<Instant>,
}

impl DirectConnection {
    /// Connects to an address. Of the settings, those of a pool have no effect.
    pub async fn open(addr: SocketAddr, settings: &PoolSettings) -> Result<Self, SendError> {
        let stream = connect(addr, settings).await?;
        let connection = Connection::start(addr, stream.clone()).await?;
        Ok(Self {
            addr,
            stream,
            connection,
            is_used: false,
            max_idle: settings.max_idle,
            reusable_until: Some(Instant::now() + settings.max_idle),
        })
    }

    /// Sends a request and waits for the head of its response, whose body must be
    /// read to its end before the next request.
    pub async fn send(&mut self, mut req: Request<Body>) -> Result<Response<Incoming>, SendError> {
        let addr = self.addr;
        set_host(&mut req, addr);
        self.reusable_until = None;
        // A new connection takes a request at once; on a kept one, the driver may not
        // have processed the end of the last response yet.
        let is_used = std::mem::replace(&mut self.is_used, true);
        if is_used && self.connection.sender.ready().await.is_err() {
            return Err(SendError::NotSent { addr });
        }
        match self.connection.sender.try_send_request(req).await {
            Ok(response) => {
                self.reusable_until = reusable_until(&response, self.max_idle);
                Ok(response)
            }
            Err(mut err) => Err(match err.take_message() {
                Some(_) => SendError::NotSent { addr },
                None => SendError::Lost {
                    addr,
                    cause: err.into_error(),
                },
            }),
        }
    }

    /// Returns whether the connection is closed. Between two exchanges this shows a
    /// close by the server as soon as the operating system knows of it.
    pub fn is_closed(&self) -> bool {
        self.connection.sender.is_closed() || !socket::is_quiet(&self.stream)
    }

    /// Returns whether another request may be sent now.
    pub fn is_reusable(&self) -> bool {
        let now = Instant::now();
        self.reusable_until.is_some_and(|end| now < end) && !self.is_closed()
    }
}
