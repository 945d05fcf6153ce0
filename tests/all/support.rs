//! Helpers that start nodes, as processes or in this process, and send them
//! HTTP requests.

use ibiscove_config::change::{ChangeRequest, ChangeResponse, ConfigKind};
use ibiscove_config::store::{ConfigStore, LocalState};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use trillium_client::Client;

/// Longest time that a test waits for an expected state or response.
pub const AWAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two polls of an awaited state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The shared key that nodes of a test authenticate each other with.
const CLUSTER_KEY: &str = "a key for tests";

/// A node in its own process, which is killed on drop.
pub struct NodeProcess {
    child: Child,
    pub caller: SocketAddr,
    pub upstream: SocketAddr,
}

impl NodeProcess {
    /// Starts `ibiscove node` and waits until it listens.
    pub fn start(name: &str, data_centre: &str, platform: SocketAddr) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_ibiscove"))
            .args(["node", "--name", name, "--data-centre", data_centre])
            .args(["--platform", &format!("http://{platform}")])
            .env("IBISCOVE_CLUSTER_KEY", CLUSTER_KEY)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary under test starts");
        let stderr = child.stderr.take().expect("stderr is piped");
        let mut lines = BufReader::new(stderr).lines();
        let started = lines
            .by_ref()
            .map_while(Result::ok)
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(&line).ok())
            .find(|line| line["message"] == "node started")
            .expect("a node logs that it has started");
        // Drains the pipe: the node would block on a full one.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        let addr = |field: &str| {
            started[field]
                .as_str()
                .and_then(|text| text.parse().ok())
                .expect("an address")
        };
        Self {
            child,
            caller: addr("caller"),
            upstream: addr("upstream"),
        }
    }

    /// Sends SIGTERM, waits for the process and returns whether it exited with
    /// success.
    pub fn terminate(self) -> bool {
        self.signal_term();
        self.wait()
    }

    /// Sends SIGTERM.
    pub fn signal_term(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(
            sent.expect("kill runs").success(),
            "the node exited before it was signalled"
        );
    }

    /// Waits for the process and returns whether it exited with success.
    pub fn wait(mut self) -> bool {
        let status = self.child.wait();
        status.expect("the child can be waited for").success()
    }

    /// Returns the peak resident memory of the process in KiB; `None` once it
    /// has exited or if the system does not report it.
    pub fn peak_rss_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A node in this process and its upstream, of the service named `service`.
pub struct NodeAndUpstream {
    pub node: Node<MemoryPlatform, SystemClock>,
    pub upstream: Upstream,
}

impl NodeAndUpstream {
    /// Starts both and waits until every slot has an owner.
    pub async fn start(settings: NodeSettings, platform: &MemoryPlatform) -> Self {
        let node = Self::start_without_upstream(settings, platform).await;
        let upstream = announce(node.addrs().upstream, Default::default()).await;
        eventually("an owner of every slot", async || {
            let all_owned = node.map().service("service")?.row.vacant.is_empty();
            all_owned.then_some(())
        })
        .await;
        Self { node, upstream }
    }

    pub async fn start_without_upstream(
        settings: NodeSettings,
        platform: &MemoryPlatform,
    ) -> Node<MemoryPlatform, SystemClock> {
        Node::start(settings, platform.clone(), SystemClock)
            .await
            .expect("a node starts")
    }
}

/// Stores a rules version before any node starts.
pub async fn store_rules(platform: &MemoryPlatform, body: &str) {
    let request = ChangeRequest {
        expect: 0,
        author: "a test".to_owned(),
        body: body.to_owned(),
        force: true,
        dry_run: false,
    };
    let store = ConfigStore::new(platform.clone(), SystemClock);
    let known = LocalState::default();
    let changed = store.change(ConfigKind::Rules, &request, &known).await;
    let (response, _) = changed.expect("the platform responds");
    assert!(
        matches!(response, ChangeResponse::Accepted { .. }),
        "{response:?}"
    );
}

/// Serves a platform stand-in over HTTP and returns its address.
pub fn serve_platform(
    platform: impl ibiscove_store::Table + ibiscove_store::Objects,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    ibiscove_standin::platform::serve(listener, platform).expect("the stand-in serves");
    addr
}

pub fn client() -> Client {
    Client::new(trillium_smol::ClientConfig::default()).with_default_pool()
}

/// Starts an upstream and announces it to a node until the node accepts it.
pub async fn announce(to: SocketAddr, settings: UpstreamSettings) -> Upstream {
    let upstream = Upstream::start(settings).expect("an upstream starts");
    // A node that cannot register it in time refuses the announcement.
    eventually("an accepted announcement", async || {
        upstream.announce(to).await.ok()
    })
    .await;
    upstream
}

/// A response with its complete body.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub outcome: Option<String>,
    pub reason: Option<String>,
    pub body: String,
}

pub async fn get(client: &Client, addr: SocketAddr, path: &str) -> HttpResponse {
    let url = format!("http://{addr}{path}");
    let mut response = client.get(url.as_str()).await.expect("a response");
    let header = |name| response.response_headers().get_str(name).map(str::to_owned);
    let (outcome, reason) = (header("Ibiscove-Outcome"), header("Ibiscove-Reason"));
    let body = response
        .response_body()
        .read_string()
        .await
        .expect("a complete body");
    let status = response.status().map_or(0, |status| status as u16);
    HttpResponse {
        status,
        outcome,
        reason,
        body,
    }
}

/// Polls until `poll` returns a value, and returns it.
///
/// # Panics
///
/// If `poll` returns `None` for [`AWAIT_TIMEOUT`].
pub async fn eventually<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(
            started.elapsed() < AWAIT_TIMEOUT,
            "{what}: not reached within {AWAIT_TIMEOUT:?}"
        );
        smol::Timer::after(POLL_INTERVAL).await;
    }
}
