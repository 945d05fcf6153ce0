//! Connections outside any pool, for calls that are meant for one process.

use crate::body::Body;
use crate::client::{Connection, PoolSettings, SendError, connect, reusable_until, set_host};
use crate::socket;
use crate::status::require_final;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ibiscove_types::{BootClock, SinceBoot};
use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// What the stream of a connection knows of the present request.
#[derive(Default)]
struct WriteState {
    /// Nothing may be written later.
    write_by: Option<SinceBoot>,
    /// Its outcome is reported; nothing more may be written.
    is_over: bool,
    /// Whether any of the request may have left this process.
    has_written: bool,
    /// Whether a write was refused because it was late.
    is_late: bool,
}

/// A stream that refuses to write after a latest moment.
struct TimedStream<C> {
    stream: TcpStream,
    clock: C,
    state: Arc<Mutex<WriteState>>,
}

impl<C: BootClock + Unpin> AsyncRead for TimedStream<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<C: BootClock + Unpin> AsyncWrite for TimedStream<C> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let mut state = lock(&this.state);
        if state.is_over || is_past(state.write_by, &this.clock) {
            state.is_late = !state.is_over;
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        state.has_written |= written.is_ready();
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

fn is_past(write_by: Option<SinceBoot>, clock: &impl BootClock) -> bool {
    write_by.is_some_and(|write_by| clock.since_boot() > write_by)
}

fn lock(state: &Mutex<WriteState>) -> MutexGuard<'_, WriteState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection whose requests reach the process that accepted it, or none: unlike
/// a [`Pool`](crate::Pool), it never replaces a connection that has failed.
/// Dropping it closes the connection.
pub struct DirectConnection<C> {
    addr: SocketAddr,
    clock: C,
    write_state: Arc<Mutex<WriteState>>,
    stream: TcpStream,
    connection: Connection,
    is_used: bool,
    max_idle: Duration,
    /// Until when it may be reused; none if it must be closed.
    reusable_until: Option<Instant>,
}

impl<C: BootClock + Unpin> DirectConnection<C> {
    /// Connects to an address. Of the settings, those of idle connections have no effect.
    pub async fn open(
        addr: SocketAddr,
        settings: &PoolSettings,
        clock: C,
    ) -> Result<Self, SendError> {
        let stream = connect(addr, settings).await?;
        let write_state = Arc::<Mutex<WriteState>>::default();
        let timed_stream = TimedStream {
            stream: stream.clone(),
            clock: clock.clone(),
            state: Arc::clone(&write_state),
        };
        let connection = Connection::start(addr, timed_stream, settings, ()).await?;
        Ok(Self {
            addr,
            clock,
            write_state,
            stream,
            connection,
            is_used: false,
            max_idle: settings.max_idle,
            reusable_until: Some(Instant::now() + settings.max_idle),
        })
    }

    /// Sends a request and waits for the head of its response, whose body must be
    /// read to its end before the next request.
    ///
    /// Nothing is written after `write_by`: the clock is read directly before each
    /// call of the operating system that writes, whatever the request has waited for
    /// until then. Only a pause between these two can make a write late. A write that
    /// is refused closes the connection.
    pub async fn send(
        &mut self,
        mut req: Request<Body>,
        write_by: Option<SinceBoot>,
    ) -> Result<Response<Incoming>, SendError> {
        let addr = self.addr;
        if is_past(write_by, &self.clock) {
            return Err(SendError::TooLate { addr });
        }
        set_host(&mut req, addr);
        self.reusable_until = None;
        // A new connection takes a request at once; on a kept one, the driver may not
        // have processed the end of the last response yet.
        let is_used = std::mem::replace(&mut self.is_used, true);
        if is_used && self.connection.sender.ready().await.is_err() {
            return Err(SendError::NotSent { addr });
        }
        *lock(&self.write_state) = WriteState {
            write_by,
            ..WriteState::default()
        };
        match self.connection.sender.try_send_request(req).await {
            Ok(response) => {
                require_final(response.status().as_u16())
                    .map_err(|cause| SendError::NoAnswer { addr, cause })?;
                self.reusable_until = reusable_until(&response, self.max_idle);
                Ok(response)
            }
            Err(err) => {
                let mut state = lock(&self.write_state);
                state.is_over = true;
                Err(match (state.has_written, state.is_late) {
                    (false, true) => SendError::TooLate { addr },
                    (false, false) => SendError::NotSent { addr },
                    (true, _) => SendError::Lost {
                        addr,
                        cause: err.into_error(),
                    },
                })
            }
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
