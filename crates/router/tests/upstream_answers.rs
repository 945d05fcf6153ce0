//! Answers of faulty upstreams: late, repeated, broken off.

mod support;

use hyper::header::HeaderName;
use ibiscove_http::{Pool, PoolSettings};
use ibiscove_proxy::HeaderNames;
use ibiscove_ranges::HoldReport;
use ibiscove_router::Router;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU32, Ordering};
use std::time::Duration;
use support::raw::{answer, get_on_new_connection, read_head, serve_raw};
use support::{
    CountingUpstream, announcement, node_settings, parse_config, send_request, start_node_beside,
    wait_until_served,
};
use yare::parameterized;

/// Starts a node beside an upstream at `addr` and waits until it serves.
async fn start_node_before(number: u8, addr: SocketAddr) -> SocketAddr {
    let table = MemoryPlatform::default();
    let born_ms = Arc::new(AtomicI64::new(1));
    let grantee = CountingUpstream::default();
    let (router, entry) =
        start_node_beside(number, "gallery", &table, grantee, addr, born_ms).await;
    assert!(router.apply_config("7".into()));
    wait_until_served(&Pool::new(PoolSettings::default()), entry, "/signs/1").await;
    entry
}

fn refusal(request_id: Option<&str>) -> String {
    let id = request_id.map(|id| format!("Ibiscove-Request-Id: {id}\r\n"));
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nIbiscove-Not-Run: 1\r\n{}Content-Length: 0\r\n\r\n",
        id.unwrap_or_default()
    )
}

/// An upstream that runs requests with `repeat` in their path, and then writes an earlier
/// refusal once more in place of the answer if it has answered on the connection before.
#[derive(Clone)]
struct RepeatingUpstream {
    earlier_id: Option<&'static str>,
    runs: Arc<AtomicU32>,
}

impl RepeatingUpstream {
    async fn serve(self, mut stream: TcpStream) {
        let mut is_kept = false;
        while let Some(head) = read_head(&mut stream).await {
            let is_repeat = head.path.contains("repeat");
            if is_repeat {
                self.runs.fetch_add(1, Ordering::SeqCst);
            }
            let answer = match is_repeat && is_kept {
                true => refusal(self.earlier_id),
                false => answer(&head.request_id),
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            is_kept = true;
        }
    }
}

/// Guards against `not-run` for a request that runs, and against running it twice,
/// because a faulty upstream wrote an earlier refusal once more on a kept connection.
#[parameterized(
    with_the_earlier_id = { 51, Some("earlier") },
    without_an_id = { 52, None },
)]
fn repeated_refusal_of_an_earlier_request_is_not_believed(
    number: u8,
    earlier_id: Option<&'static str>,
) {
    smol::block_on(async {
        let upstream = RepeatingUpstream {
            earlier_id,
            runs: Arc::default(),
        };
        let serving = upstream.clone();
        let addr = serve_raw(move |stream| serving.clone().serve(stream)).await;
        let entry = start_node_before(number, addr).await;
        let pool = Pool::new(PoolSettings::default());
        assert_eq!(send_request(&pool, entry, "/orders/1").await.0, 200);
        let (status, body) = send_request(&pool, entry, "/orders/repeat").await;
        assert_eq!(status, 502, "{body}");
        assert!(body.contains("unknown"), "{body}");
        assert_eq!(upstream.runs.load(Ordering::SeqCst), 1);
    });
}

/// A refusal without an id is that of the only request on its connection.
#[test]
fn refusal_without_an_id_on_a_new_connection_is_believed() {
    smol::block_on(async {
        let addr = serve_raw(|mut stream| async move {
            let Some(head) = read_head(&mut stream).await else {
                return;
            };
            let answer = match head.path.contains("refused") {
                true => refusal(None),
                false => answer(&head.request_id),
            };
            // The connection ends here, so the next request gets a new one.
            let _ = stream.write_all(answer.as_bytes()).await;
        })
        .await;
        let entry = start_node_before(53, addr).await;
        let pool = Pool::new(PoolSettings::default());
        smol::Timer::after(Duration::from_millis(50)).await;
        let (status, body) = send_request(&pool, entry, "/orders/refused").await;
        assert!(
            status == 503 && body.contains("not-run"),
            "{status}: {body}"
        );
    });
}

/// Guards against a whole answer made of one whose head broke off.
#[parameterized(
    in_the_status = { 54, "HTTP/1.1 200" },
    in_a_name = { 55, "HTTP/1.1 200 OK\r\nIbiscove-Request-Id: ID\r\nContent-Le" },
    in_a_value = { 56, "HTTP/1.1 200 OK\r\nIbiscove-Request-Id: ID\r\nContent-Length: 1" },
    before_its_last_line = { 57, "HTTP/1.1 200 OK\r\nIbiscove-Request-Id: ID\r\nContent-Length: 0\r\n" },
    in_its_last_line = { 58, "HTTP/1.1 200 OK\r\nIbiscove-Request-Id: ID\r\n\r" },
)]
fn answer_that_breaks_off_in_its_head_is_no_success(number: u8, part: &'static str) {
    smol::block_on(async {
        let addr = serve_raw(move |mut stream| async move {
            while let Some(head) = read_head(&mut stream).await {
                let breaks = head.path.contains("break");
                let answer = match breaks {
                    true => part.replace("ID", &head.request_id),
                    false => answer(&head.request_id),
                };
                if stream.write_all(answer.as_bytes()).await.is_err() || breaks {
                    return;
                }
            }
        })
        .await;
        let entry = start_node_before(number, addr).await;
        let pool = Pool::new(PoolSettings::default());
        for path in ["/orders/break", "/signs/break"] {
            let (status, body) = send_request(&pool, entry, path).await;
            assert_eq!(status, 502, "{path}: {body}");
            assert!(body.contains("unknown"), "{path}: {body}");
        }
    });
}

/// Answers requests with `odd` in their path with `odd`, in which `ID` stands for the id
/// of the request, and counts the requests that it reads on a connection after that.
async fn serve_odd(odd: &'static str, reused: Arc<AtomicU32>) -> SocketAddr {
    serve_raw(move |mut stream| {
        let reused = Arc::clone(&reused);
        async move {
            let mut was_odd = false;
            while let Some(head) = read_head(&mut stream).await {
                reused.fetch_add(u32::from(was_odd), Ordering::SeqCst);
                was_odd |= head.path.contains("odd");
                let answer = match head.path.contains("odd") {
                    true => odd.replace("ID", &head.request_id),
                    false => answer(&head.request_id),
                };
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    })
    .await
}

/// Guards against relaying what is no answer: a status outside 100 to 599, or an interim
/// or switching one in place of the final one. Its connection is not used again.
#[parameterized(
    status_000 = { 61, "HTTP/1.1 000 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
    status_099 = { 62, "HTTP/1.1 099 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
    final_101 = { 63, "HTTP/1.1 101 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
    final_150 = { 64, "HTTP/1.1 150 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
    final_199 = { 65, "HTTP/1.1 199 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
    status_600 = { 66, "HTTP/1.1 600 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
    status_999 = { 67, "HTTP/1.1 999 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
    refusal_600 = { 68, "HTTP/1.1 600 Odd\r\nIbiscove-Request-Id: ID\r\nIbiscove-Not-Run: 1\r\nContent-Length: 4\r\n\r\ndone" },
    after_an_interim_one = { 69, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 600 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone" },
)]
fn status_that_is_no_answer_becomes_a_truthful_502(number: u8, odd: &'static str) {
    smol::block_on(async {
        let reused = Arc::new(AtomicU32::new(0));
        let addr = serve_odd(odd, Arc::clone(&reused)).await;
        let entry = start_node_before(number, addr).await;
        let pool = Pool::new(PoolSettings::default());
        for path in ["/orders/odd", "/signs/odd"] {
            let (status, body) = send_request(&pool, entry, path).await;
            assert_eq!(status, 502, "{path}: {body}");
            assert!(body.contains("unknown"), "{path}: {body}");
        }
        assert_eq!(send_request(&pool, entry, "/orders/1").await.0, 200);
        assert_eq!(reused.load(Ordering::SeqCst), 0);
    });
}

/// Interim answers are skipped, and unusual final ones are the upstream's to choose.
#[parameterized(
    interim = { 70, "HTTP/1.1 150 Odd\r\n\r\nHTTP/1.1 200 OK\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone", 200 },
    lowest = { 71, "HTTP/1.1 299 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone", 299 },
    highest = { 72, "HTTP/1.1 599 Odd\r\nIbiscove-Request-Id: ID\r\nContent-Length: 4\r\n\r\ndone", 599 },
)]
fn unusual_answer_is_relayed(number: u8, odd: &'static str, expected: u16) {
    smol::block_on(async {
        let addr = serve_odd(odd, Arc::default()).await;
        let entry = start_node_before(number, addr).await;
        let pool = Pool::new(PoolSettings::default());
        let (status, body) = send_request(&pool, entry, "/orders/odd").await;
        assert_eq!((status, &*body), (expected, "done"));
    });
}

/// A very long answer is streamed, so that its beginning arrives.
#[parameterized(
    five_billion = { 73, 5_000_000_000 },
    hundred_billion = { 74, 99_999_999_999 },
)]
fn beginning_of_a_very_long_answer_is_passed_on(number: u8, length: u64) {
    smol::block_on(async {
        let addr = serve_raw(move |mut stream| async move {
            while let Some(head) = read_head(&mut stream).await {
                let answer = match head.path.contains("long") {
                    true => format!(
                        "HTTP/1.1 200 OK\r\nIbiscove-Request-Id: {}\r\n\
                         Content-Length: {length}\r\n\r\n{}",
                        head.request_id,
                        "x".repeat(1 << 20)
                    ),
                    false => answer(&head.request_id),
                };
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .await;
        let entry = start_node_before(number, addr).await;
        assert_eq!(get_on_new_connection(entry, "/signs/long").await, Some(200));
    });
}

/// Guards against an answer that the upstream has not given itself, passed on as its own: one
/// of 3xx and 4xx blames the caller, and 429 and 503 promise that the request has not run.
#[parameterized(
    redirect = { 131, 302, false, (502, "unknown") },
    not_found = { 132, 404, false, (502, "unknown") },
    timeout = { 133, 408, false, (502, "unknown") },
    too_many = { 134, 429, false, (502, "unknown") },
    unavailable = { 135, 503, false, (502, "unknown") },
    success = { 136, 200, false, (502, "unknown") },
    proven_not_found = { 137, 404, true, (404, "done") },
    proven_unavailable = { 138, 503, true, (503, "done") },
    error = { 139, 500, false, (500, "done") },
    late = { 140, 504, false, (504, "done") },
)]
fn answer_without_proof_is_not_passed_on_as_the_upstreams(
    number: u8,
    status: u16,
    is_proven: bool,
    expected: (u16, &str),
) {
    smol::block_on(async {
        let addr = serve_raw(move |mut stream| async move {
            while let Some(head) = read_head(&mut stream).await {
                let proof = if is_proven { "X-Proof: 1\r\n" } else { "" };
                let answer = answer(&head.request_id);
                let answer = answer.replace("200 OK\r\n", &format!("{status} X\r\n{proof}"));
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
        .await;
        let settings = node_settings(number, "gallery", addr);
        let entry = settings.addrs.callers;
        let names = HeaderNames {
            proof: Some(HeaderName::from_static("x-proof")),
            ..HeaderNames::default()
        };
        let (table, grantee) = (MemoryPlatform::default(), CountingUpstream::default());
        let started = Router::start(settings, names, table, grantee, SystemClock, parse_config);
        let router = started.await.expect("the addresses are free");
        assert!(router.apply_config("7".into()));
        let announced = announcement(number, &"gallery".into(), 1, 1);
        router.apply_announcement(announced, &HoldReport::default());
        let pool = Pool::new(PoolSettings::default());
        let (status, body) = send_request(&pool, entry, "/orders/1").await;
        assert_eq!(status, expected.0, "{body}");
        assert!(body.contains(expected.1), "{body}");
    });
}
