//! Socket options that make unresponsive connections fail.

use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

/// Time that sent bytes may remain unacknowledged before a connection to another
/// machine fails. Longer than a lost packet's retransmissions on a metropolitan link.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time after which a connection is probed, and the interval of probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged probes after which a connection fails.
pub const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of all connections of the request path.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Makes the connection fail when sent bytes remain unacknowledged for `timeout`, so that
/// a machine that is cut off shows before a request's deadline. While the peer's window is
/// closed it fails too, even if the peer acknowledges each probe: this is only for peers
/// that read what they are sent at once.
pub fn fail_unacknowledged(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Makes closing the connection discard unsent bytes, so that a cancelled
/// request cannot arrive later.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Returns whether a stream is open and there is nothing to read from it.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
}
