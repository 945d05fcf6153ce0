//! A proxy on the way to the store. Its open connections can go silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The link. Clones share it.
#[derive(Clone)]
pub struct Link {
    /// Connections with a lower number than this are silent.
    silent_below: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Link {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let link = Self {
            silent_below: Arc::default(),
            opened: Arc::default(),
        };
        let listener = TcpListener::bind(listen)?;
        let accepting = link.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let number = accepting.opened.fetch_add(1, Ordering::AcqRel);
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                if let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) {
                    accepting.forward(number, near, far_out);
                    accepting.forward(number, far, near_out);
                }
            }
        });
        Ok(link)
    }

    /// Makes all open connections silent for good; new ones work. Returns their number.
    pub fn silence_open(&self) -> u64 {
        let opened = self.opened.load(Ordering::Acquire);
        self.silent_below.store(opened, Ordering::Release);
        opened
    }

    fn forward(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let silent_below = Arc::clone(&self.silent_below);
        std::thread::spawn(move || {
            let is_silent = || number < silent_below.load(Ordering::Acquire);
            let mut chunk = [0; 16 << 10];
            loop {
                let read = from.read(&mut chunk).unwrap_or(0);
                if is_silent() {
                    // What comes is dropped; the connection stays open.
                    match read {
                        0 => std::thread::park(),
                        _ => continue,
                    }
                }
                if read == 0 || to.write_all(&chunk[..read]).is_err() {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
    }
}
