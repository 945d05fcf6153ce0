//! The HTTP adapter when the platform fails: it says `Unavailable` only when
//! nothing was done, and `Unanswered` whenever something may have been.

use ibiscove_standin::{Faults, FaultyPlatform};
use ibiscove_store::http::{HttpPlatform, HttpSettings};
use ibiscove_store::{MemoryPlatform, Objects, Table, TableError, Transaction};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use yare::parameterized;

/// What the adapter may say of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Said {
    Done,
    Unavailable,
    Unanswered,
}

fn said<A>(result: &Result<A, TableError>) -> Said {
    match result {
        Ok(_) => Said::Done,
        Err(TableError::Unavailable(_)) => Said::Unavailable,
        Err(TableError::Unanswered(_)) => Said::Unanswered,
    }
}

fn adapter(addr: SocketAddr, timeout_ms: u64) -> HttpPlatform {
    HttpPlatform::new(HttpSettings {
        addr,
        timeout: Duration::from_millis(timeout_ms),
    })
}

fn row() -> Transaction {
    let mut txn = Transaction::default();
    txn.replace("a", None, b"1".to_vec());
    txn
}

/// Two rows, which go over the transaction route.
fn rows() -> Transaction {
    let mut txn = row();
    txn.replace("b", None, b"1".to_vec());
    txn
}

#[parameterized(
    none = { |_| {}, 20_000, Said::Done, Some(true) },
    down = { |f| f.down = true, 20_000, Said::Unavailable, Some(false) },
    answer_lost = { |f| f.lost_answers = 1, 20_000, Said::Unanswered, Some(true) },
    // Whether a slow write is done is open, which is what Unanswered says.
    slow = { |f| f.delay = Duration::from_secs(3), 50, Said::Unanswered, None },
)]
fn a_write_under_faults(
    fault: fn(&mut Faults),
    timeout_ms: u64,
    expected: Said,
    is_done: Option<bool>,
) {
    for txn in [row(), rows()] {
        smol::block_on(async {
            let memory = MemoryPlatform::default();
            let faulty = FaultyPlatform::new(memory.clone());
            faulty.set(fault);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
            let addr = listener.local_addr().expect("a bound address");
            ibiscove_standin::platform::serve(listener, faulty).expect("it serves");
            let result = adapter(addr, timeout_ms).commit(txn).await;
            assert_eq!(said(&result), expected, "{result:?}");
            let done = memory.get("a").await.expect("an answer").is_some();
            assert!(is_done.is_none_or(|expected| done == expected));
        });
    }
}

#[test]
fn a_refused_connection_had_no_effect() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    drop(listener);
    smol::block_on(async {
        let adapter = adapter(addr, 20_000);
        assert_eq!(said(&adapter.commit(row()).await), Said::Unavailable);
        assert_eq!(said(&adapter.get("a").await), Said::Unavailable);
        assert_eq!(said(&adapter.fetch("a").await), Said::Unavailable);
    });
}

/// A server that answers every request with the same bytes.
fn answering(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buf = [0; 4096];
            // The test sees whatever goes wrong here as a lost answer.
            let _ = stream.read(&mut buf);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    addr
}

#[parameterized(
    closed = { "" },
    not_http = { "hello\r\n\r\n" },
    no_etag = { "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n" },
    odd_etag = { "HTTP/1.1 204 No Content\r\nETag: \"x\"\r\nConnection: close\r\n\r\n" },
    not_json = { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{]" },
    other_json = { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}" },
    cut_off = { "HTTP/1.1 200 OK\r\nContent-Length: 99\r\nConnection: close\r\n\r\n{" },
    server_error = { "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    redirect = { "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    unauthorised = { "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
)]
fn an_answer_that_makes_no_sense_tells_nothing(answer: &'static str) {
    smol::block_on(async {
        let adapter = adapter(answering(answer), 20_000);
        assert_eq!(said(&adapter.commit(row()).await), Said::Unanswered);
        assert_eq!(said(&adapter.commit(rows()).await), Said::Unanswered);
        assert_eq!(said(&adapter.get("a").await), Said::Unanswered);
        assert_eq!(said(&adapter.scan("a").await), Said::Unanswered);
        assert_eq!(said(&adapter.list("a").await), Said::Unanswered);
    });
}

#[parameterized(
    redirect = { "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    unauthorised = { "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
    server_error = { "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" },
)]
fn an_object_counts_as_stored_or_read_only_on_success(answer: &'static str) {
    smol::block_on(async {
        let adapter = adapter(answering(answer), 20_000);
        assert_eq!(
            said(&adapter.put("a", b"1".to_vec()).await),
            Said::Unanswered
        );
        assert_eq!(said(&adapter.fetch("a").await), Said::Unanswered);
    });
}
