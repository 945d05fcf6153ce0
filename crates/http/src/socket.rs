//! Socket options that make silent connections fail.

use smol::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;

/// Time for which sent bytes may stay unacknowledged before the connection
/// fails. Longer than a lost packet's retransmissions on a metropolitan link.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which a connection is probed, and the time between probes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection fails.
pub const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options that every connection of the request path has.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Makes closing the connection discard what was not sent yet, so that a
/// request that was given up cannot arrive later.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
