//! Calls of the operating system that the standard library does not offer.

use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

pub const SIGTERM: i32 = 15;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    addr: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    #[link_name = "kill"]
    fn c_kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockAddrIn, len: u32) -> i32;
}

pub fn kill(pid: i32, signal: i32) {
    unsafe { c_kill(pid, signal) };
}

/// Connects like a client behind a link with small windows: segments as on Ethernet, and
/// a receive buffer of `window` bytes.
pub fn connect_with_window(addr: SocketAddrV4, window: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let to = SockAddrIn {
        family: AF_INET as u16,
        port: addr.port().to_be(),
        addr: u32::from_ne_bytes(addr.ip().octets()),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in [
            (SOL_SOCKET, SO_RCVBUF, window),
            (IPPROTO_TCP, TCP_MAXSEG, 1400),
        ] {
            if setsockopt(fd, level, name, &value, 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect(fd, &to, size_of::<SockAddrIn>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Returns how many bytes the operating system holds that the other end of a connection
/// on this machine has written and this end has not read.
pub fn queued_bytes(stream: &TcpStream) -> io::Result<usize> {
    let (own, other) = (hex(stream.local_addr()?), hex(stream.peer_addr()?));
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let mut bytes = 0;
    for line in table.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [_, from, to, _, queues, ..] = words[..] else {
            continue;
        };
        let Some((sent, received)) = queues.split_once(':') else {
            continue;
        };
        let queue = match (from == own && to == other, from == other && to == own) {
            (true, _) => received,
            (_, true) => sent,
            _ => continue,
        };
        bytes += usize::from_str_radix(queue, 16).map_err(io::Error::other)?;
    }
    Ok(bytes)
}

fn hex(addr: std::net::SocketAddr) -> String {
    match addr {
        std::net::SocketAddr::V4(addr) => {
            let ip = u32::from_ne_bytes(addr.ip().octets());
            format!("{ip:08X}:{:04X}", addr.port())
        }
        std::net::SocketAddr::V6(_) => String::new(),
    }
}
