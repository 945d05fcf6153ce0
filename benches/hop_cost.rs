//! What a node costs: latency of a hop, requests a second, and an idle node.
//!
//! Two node processes, one upstream and the load in this process, all on
//! loopback. Each client asks the upstream directly, through the owner's node
//! and through another node in turn, so that all three see the same load. Run
//! with `cargo bench --bench hop_cost`; docs/hop-cost.md explains the figures.

use hdrhistogram::Histogram;
use ibiscove_standin::{Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use trillium_client::Client;

/// Clients that ask in turn, each with one request at a time.
const CLIENTS: usize = 8;
/// Length of the comparison.
const COMPARISON: Duration = Duration::from_secs(10);
/// Clients that ask one node as fast as they can.
const SATURATING_CLIENTS: usize = 64;
/// Length of the saturation.
const SATURATION: Duration = Duration::from_secs(5);
/// Length of the idle time.
const IDLE: Duration = Duration::from_secs(20);
/// Time for nodes to settle.
const SETTLE: Duration = Duration::from_secs(6);
/// Clock ticks in a second, as /proc counts them.
const TICKS_PER_SECOND: f64 = 100.0;

type Failure = Box<dyn Error + Send + Sync>;

struct NodeProcess {
    child: Child,
    caller: SocketAddr,
    upstream: SocketAddr,
}

impl NodeProcess {
    fn start(name: &str, platform: SocketAddr) -> Result<Self, Failure> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_ibiscove"))
            .args(["node", "--name", name])
            .args(["--platform", &format!("http://{platform}")])
            .env("IBISCOVE_CLUSTER_KEY", "a key for a benchmark")
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = child.stderr.take().ok_or("no stderr")?;
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let mut lines_json = lines
            .by_ref()
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(&line).ok());
        let started = lines_json
            .find(|line| line["message"] == "node started")
            .ok_or("the node did not start")?;
        std::thread::spawn(move || lines.for_each(drop));
        let addr = |field: &str| -> Result<SocketAddr, Failure> {
            Ok(started[field].as_str().ok_or("no address")?.parse()?)
        };
        Ok(Self {
            caller: addr("caller")?,
            upstream: addr("upstream")?,
            child,
        })
    }

    /// Seconds of processor time used so far.
    fn cpu(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let after_name = stat.rsplit(')').next().ok_or("no stat")?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks / TICKS_PER_SECOND)
    }

    /// Resident memory, in KiB.
    fn rss_kib(&self) -> Result<u64, Failure> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        Ok(value.ok_or("no VmRSS")?.parse()?)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail when the process has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() -> Result<(), Failure> {
    smol::block_on(run())
}

async fn run() -> Result<(), Failure> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let platform = listener.local_addr()?;
    ibiscove_standin::platform::serve(listener, MemoryPlatform::default())?;
    let owner = NodeProcess::start("owner", platform)?;
    let entry = NodeProcess::start("entry", platform)?;
    let upstream = Upstream::start(UpstreamSettings {
        concurrency: 1_000,
        connections: 1_000,
        ..Default::default()
    })?;
    upstream.announce(owner.upstream).await?;
    smol::Timer::after(SETTLE).await;
    idle(&owner).await?;
    compare(&upstream, &owner, &entry).await?;
    saturate(&owner).await?;
    println!(
        "resident memory of the owner's node after the load: {} KiB",
        owner.rss_kib()?
    );
    Ok(())
}

async fn idle(node: &NodeProcess) -> Result<(), Failure> {
    let before = node.cpu()?;
    smol::Timer::after(IDLE).await;
    let used = node.cpu()? - before;
    let share = 100.0 * used / IDLE.as_secs_f64();
    println!(
        "idle node, {IDLE:?}: {share:.2} % of a core, {} KiB resident",
        node.rss_kib()?
    );
    Ok(())
}

async fn compare(
    upstream: &Upstream,
    owner: &NodeProcess,
    entry: &NodeProcess,
) -> Result<(), Failure> {
    let targets = [
        ("upstream directly", upstream.spec().addr),
        ("through the owner's node", owner.caller),
        ("through another node, one hop", entry.caller),
    ];
    let until = Instant::now() + COMPARISON;
    let tasks: Vec<_> = (0..CLIENTS)
        .map(|number| smol::spawn(ask_in_turn(number, targets.map(|(_, addr)| addr), until)))
        .collect();
    let mut times = [(); 3].map(|()| Histogram::<u64>::new(3).expect("three digits are fine"));
    for task in tasks {
        for (all, own) in times.iter_mut().zip(task.await?) {
            all.add(own)?;
        }
    }
    println!("{CLIENTS} clients in turn, {COMPARISON:?}:");
    for ((name, _), times) in targets.iter().zip(&times) {
        println!(
            "  {name:30} {:7} requests, p50 {:5} us, p99 {:5} us",
            times.len(),
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
        );
    }
    Ok(())
}

async fn ask_in_turn(
    number: usize,
    addrs: [SocketAddr; 3],
    until: Instant,
) -> Result<[Histogram<u64>; 3], Failure> {
    let client = client();
    let mut times = [(); 3].map(|()| Histogram::<u64>::new(3).expect("three digits are fine"));
    let mut turn = 0;
    while Instant::now() < until {
        for (addr, times) in addrs.iter().zip(&mut times) {
            let began = Instant::now();
            ask(&client, *addr, number * 1_000_000 + turn).await?;
            times.record(began.elapsed().as_micros() as u64)?;
        }
        turn += 1;
    }
    Ok(times)
}

async fn saturate(node: &NodeProcess) -> Result<(), Failure> {
    let before = node.cpu()?;
    let until = Instant::now() + SATURATION;
    let addr = node.caller;
    let tasks: Vec<_> = (0..SATURATING_CLIENTS)
        .map(|number| smol::spawn(ask_until(number, addr, until)))
        .collect();
    let mut requests = 0;
    for task in tasks {
        requests += task.await?;
    }
    let seconds = SATURATION.as_secs_f64();
    let cores = (node.cpu()? - before) / seconds;
    println!(
        "{SATURATING_CLIENTS} clients on the owner's node, {SATURATION:?}: {:.0} requests/s, {cores:.2} cores",
        requests as f64 / seconds
    );
    Ok(())
}

async fn ask_until(number: usize, addr: SocketAddr, until: Instant) -> Result<usize, Failure> {
    let client = client();
    let mut requests = 0;
    while Instant::now() < until {
        ask(&client, addr, number * 1_000_000 + requests).await?;
        requests += 1;
    }
    Ok(requests)
}

fn client() -> Client {
    let connector = trillium_smol::ClientConfig::default().with_nodelay(true);
    Client::new(connector).with_default_pool()
}

async fn ask(client: &Client, addr: SocketAddr, key: usize) -> Result<(), Failure> {
    let url = format!("http://{addr}/service/key-{key}");
    let mut answer = client.get(url.as_str()).await?;
    let status = answer.status();
    answer.response_body().read_bytes().await?;
    match status {
        Some(trillium_client::Status::Ok) => Ok(()),
        status => Err(format!("{addr} answered {status:?}").into()),
    }
}
