//! Peers that take nothing, for a while or for ever.

use ibiscove_io::WriteTimeout;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_millis(600);

/// Returns a stream with a timeout and its peer.
async fn pair() -> (WriteTimeout<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let stream = TcpStream::connect(addr).await.expect("it listens");
    let (peer, _) = listener.accept().await.expect("a connection waits");
    (WriteTimeout::new(stream, TIMEOUT), peer)
}

/// Guards against memory that a peer keeps occupied which never reads.
#[test]
fn write_fails_when_the_peer_takes_nothing_for_the_timeout() {
    smol::block_on(async {
        let (mut stream, _peer) = pair().await;
        let started = Instant::now();
        let written = stream.write_all(&vec![0; 64 << 20]).await;
        let err = written.expect_err("it does not fit into the sockets");
        assert_eq!(err.kind(), ErrorKind::TimedOut);
        assert!(started.elapsed() >= TIMEOUT);
    });
}

/// Each pause is shorter than the timeout, all of them together are longer.
#[test]
fn write_to_a_peer_that_pauses_completes() {
    smol::block_on(async {
        let (mut stream, mut peer) = pair().await;
        let reading = smol::spawn(async move {
            let mut buf = vec![0; 16 << 20];
            for _ in 0..4 {
                smol::Timer::after(TIMEOUT / 2).await;
                peer.read_exact(&mut buf).await.expect("all of it comes");
            }
        });
        let written = stream.write_all(&vec![0; 64 << 20]).await;
        written.expect("the peer goes on reading");
        reading.await;
    });
}
