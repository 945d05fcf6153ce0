//! Load: callers whose reads are pipelined through a node to an upstream.

mod support;

use event_listener::Event;
use hyper::body::Incoming;
use hyper::{Request, Response};
use ibiscove_http::{Body, Pool, PoolSettings, Server, ServerSettings};
use ibiscove_proxy::HeaderNames;
use ibiscove_router::RouterSettings;
use ibiscove_store::MemoryPlatform;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicI64;
use std::sync::{Arc, Mutex, MutexGuard};
use support::{
    CountingUpstream, node_settings, start_node_beside, start_node_with, wait_until_served,
};

/// Requests to `/signs/together/ROUND/N` of a round that have to be at the upstream at
/// a time before it answers any of them.
const TOGETHER: usize = 3;

#[derive(Clone, Default)]
struct Meeting {
    present: Arc<Mutex<HashSet<String>>>,
    changed: Arc<Event>,
}

impl Meeting {
    /// Waits until enough requests of a round are present, this one among them.
    async fn join(&self, path: &str) {
        self.lock().insert(path.to_owned());
        self.changed.notify(usize::MAX);
        let round = path.rsplit_once('/').map_or(path, |(round, _)| round);
        let of_round = |other: &&String| other.starts_with(&format!("{round}/"));
        loop {
            let changed = self.changed.listen();
            if self.lock().iter().filter(of_round).count() >= TOGETHER {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<String>> {
        self.present.lock().expect("no holder panics")
    }
}

/// Starts an upstream whose answers are the paths of their requests.
async fn serve_upstream(meeting: Meeting) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let handle = move |req: Request<Incoming>| {
        let meeting = meeting.clone();
        async move {
            let path = req.uri().path().to_owned();
            if path.starts_with("/signs/together") {
                meeting.join(&path).await;
            }
            let names = HeaderNames::default();
            let mut response = Response::new(Body::<()>::whole(path));
            if let Some(id) = req.headers().get(&names.request_id) {
                let headers = response.headers_mut();
                headers.insert(names.request_id, id.clone());
            }
            response
        }
    };
    smol::spawn(Server::default().run(listener, ServerSettings::default(), handle)).detach();
    addr
}

/// Sends requests for `paths` at once and returns all bytes of the answers.
async fn exchange(addr: SocketAddr, paths: &[String]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("the node listens");
    for (at, path) in paths.iter().enumerate() {
        let close = match at + 1 == paths.len() {
            true => "Connection: close\r\n",
            false => "",
        };
        let head = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n{close}\r\n");
        let sent = stream.write_all(head.as_bytes()).await;
        sent.expect("the node accepts bytes");
    }
    let mut read = Vec::new();
    let all = stream.read_to_end(&mut read).await;
    all.expect("the node closes the connection in order");
    String::from_utf8_lossy(&read).into_owned()
}

#[test]
fn pipelined_reads_are_at_their_upstream_together() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let meeting = Meeting::default();
        let upstream = serve_upstream(meeting.clone()).await;
        let born_ms = Arc::new(AtomicI64::new(1));
        let grantee = CountingUpstream::default();
        let (router, callers) =
            start_node_beside(90, "gallery", &table, grantee, upstream, born_ms).await;
        assert!(router.apply_config("7".into()));
        let pool = Pool::new(PoolSettings::default());
        wait_until_served(&pool, callers, "/signs/alone").await;
        // Requests end after half a second. A slow machine may need several rounds until
        // three have met; if the node sent them on one after the other, none would.
        for round in 0..40 {
            let mut paths = [1, 2, 3]
                .map(|n| format!("/signs/together/{round}/{n}"))
                .to_vec();
            paths.push("/signs/last".into());
            let answers = exchange(callers, &paths).await;
            assert_eq!(
                answers.matches("HTTP/1.1 ").count(),
                paths.len(),
                "{answers}"
            );
            if answers.matches("HTTP/1.1 200").count() < paths.len() {
                continue;
            }
            let places: Vec<_> = paths
                .iter()
                .map(|path| answers.find(path.as_str()))
                .collect();
            assert!(places.is_sorted(), "{answers}");
            return;
        }
        panic!("the requests of a pipeline did not reach their upstream together");
    });
}

/// Guards against early answers that nobody reads yet, and that keep slots and
/// connections of the upstream because the node has no memory to take them over.
#[test]
fn without_memory_for_their_answers_reads_are_at_their_upstream_in_turn() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let meeting = Meeting::default();
        let upstream = serve_upstream(meeting.clone()).await;
        let settings = RouterSettings {
            max_response_memory: 1 << 20,
            ..node_settings(91, "gallery", upstream)
        };
        let grantee = CountingUpstream::default();
        let born_ms = Arc::new(AtomicI64::new(1));
        let (router, callers) = start_node_with(91, settings, &table, grantee, born_ms).await;
        assert!(router.apply_config("7".into()));
        let pool = Pool::new(PoolSettings::default());
        wait_until_served(&pool, callers, "/signs/alone").await;
        let mut paths = [1, 2, 3].map(|n| format!("/signs/together/0/{n}")).to_vec();
        paths.push("/signs/last".into());
        let answers = exchange(callers, &paths).await;
        assert_eq!(answers.matches("HTTP/1.1 ").count(), paths.len());
        // The first waits for the two behind it until its deadline.
        assert!(!answers.starts_with("HTTP/1.1 200"), "{answers}");
    });
}
