//! Nodes as processes, and requests to them.

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

/// Longest that a test waits for something that must come.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks at something awaited.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// The cluster key of tests.
const KEY: &str = "a key for tests";

/// A node in a process of its own. Dropping it kills the process.
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
            .env("IBISCOVE_CLUSTER_KEY", KEY)
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
            .expect("a node says that it has started");
        // The pipe must be read on, or the node would block on a full one.
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

    /// Sends SIGTERM and waits for the process; gives whether it succeeded.
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
            "the node had ended before its signal"
        );
    }

    /// Waits for the process; gives whether it succeeded.
    pub fn wait(mut self) -> bool {
        let status = self.child.wait();
        status.expect("the child can be waited for").success()
    }

    /// The most memory that the process has used, in KiB; none when it has
    /// ended or the system does not say.
    pub fn peak_rss_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail when the process has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A node in this process with an upstream of the service named `service`.
pub struct Pair {
    pub node: Node<MemoryPlatform, SystemClock>,
    pub upstream: Upstream,
}

impl Pair {
    /// Starts both and waits until the node serves its first key.
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

/// Puts rules in force before any node starts.
pub async fn put_rules(platform: &MemoryPlatform, body: &str) {
    let request = ChangeRequest {
        expect: 0,
        author: "a test".to_owned(),
        body: body.to_owned(),
        force: true,
        dry_run: false,
    };
    let store = ConfigStore::new(platform.clone(), SystemClock);
    let known = LocalState::default();
    let answered = store.change(ConfigKind::Rules, &request, &known).await;
    let (answer, _) = answered.expect("the platform answers");
    assert!(
        matches!(answer, ChangeResponse::Accepted { .. }),
        "{answer:?}"
    );
}

/// A platform stand-in over HTTP.
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

/// Starts an upstream that announces itself to a node, again and again.
pub async fn announce(to: SocketAddr, settings: UpstreamSettings) -> Upstream {
    let upstream = Upstream::start(settings).expect("an upstream starts");
    // A node that cannot register it in time says so, and is told again.
    eventually("an announcement taken", async || {
        upstream.announce(to).await.ok()
    })
    .await;
    upstream
}

/// An answer, read whole.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub outcome: Option<String>,
    pub reason: Option<String>,
    pub body: String,
}

pub async fn get(client: &Client, addr: SocketAddr, path: &str) -> Answer {
    let url = format!("http://{addr}{path}");
    let mut answer = client.get(url.as_str()).await.expect("an answer");
    let header = |name| answer.response_headers().get_str(name).map(str::to_owned);
    let (outcome, reason) = (header("Ibiscove-Outcome"), header("Ibiscove-Reason"));
    let body = answer
        .response_body()
        .read_string()
        .await
        .expect("a whole body");
    let status = answer.status().map_or(0, |status| status as u16);
    Answer {
        status,
        outcome,
        reason,
        body,
    }
}

/// Looks again and again until `ready` gives something.
///
/// # Panics
///
/// When nothing comes within [`PATIENCE`].
pub async fn eventually<T>(what: &str, mut ready: impl AsyncFnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(value) = ready().await {
            return value;
        }
        assert!(
            began.elapsed() < PATIENCE,
            "{what} did not come within {PATIENCE:?}"
        );
        smol::Timer::after(LOOK_INTERVAL).await;
    }
}
