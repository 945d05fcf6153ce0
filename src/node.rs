//! `ibiscove node`: runs one node until SIGTERM or SIGINT.

use crate::cli::CliError;
use crate::settings::Settings;
use ibiscove_logging as logging;
use ibiscove_node::{ConnectionLimits, Node, NodeSettings};
use ibiscove_store::http::{HttpPlatform, HttpSettings};
use ibiscove_store::{MemoryPlatform, Objects, Table};
use ibiscove_types::SystemClock;
use ibiscove_wire::SharedKey;
use smol::channel::Sender;
use smol::io::AsyncWriteExt;
use smol::stream::StreamExt;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

pub(crate) const HELP: &str = "\
Runs one node beside an upstream instance, until SIGTERM or SIGINT.

Usage: ibiscove node [FLAGS]

Each flag has an environment variable, which the flag beats: --lease-ms and
IBISCOVE_LEASE_MS. Defaults stand in brackets; port 0 takes a free port.

Who and where:
  --name NAME               the instance's name [node]
  --region NAME             its region [default]
  --data-centre NAME        its data centre [default]
  --caller IP:PORT          for callers [127.0.0.1:0]
  --upstream IP:PORT        for the upstream beside it [127.0.0.1:0]
  --admin IP:PORT           for operators and monitoring [127.0.0.1:0]
  --peer IP:PORT            for control messages of peers [127.0.0.1:0]
  --forward IP:PORT         for requests that peers forward [127.0.0.1:0]
  --platform WHERE          memory, or http://IP:PORT [memory]
  --platform-timeout-ms N   time for one call to the platform [1000]

Ownership:
  --lease-ms N              how long an acknowledgement lasts [2000]
  --heartbeat-ms N          time between heartbeats, under half the lease [500]
  --drift-margin-ms N       taken off the lease for clocks that run apart,
                            under the lease [100]
  --claim-ms N              time between looks for slots to claim [500]
  --drain-timeout-ms N      how long a leaving node waits for requests [20000]
  --announce-timeout-ms N   silence after which an upstream is gone [3000]

Limits:
  --max-head-bytes N        largest head of a request [8192]
  --max-connections N       connections of one HTTP address [4096]
  --head-timeout-ms N       time for a request's head, from its first byte
                            [10000]
  --idle-timeout-ms N       silence between two requests of a connection after
                            which it is closed [60000]
  --write-timeout-ms N      time in which a caller must read some of its answer
                            [30000]

Output:
  --log-level LEVEL         off, error, warn, info, debug or trace [info]
  --record                  print lines of a trace on standard output
  --print-settings          print each setting, its source and value, and end

Secrets, from the environment only:
  IBISCOVE_CLUSTER_KEY      shared by all nodes; may be left out only where
                            every address is a loopback address
  IBISCOVE_OPERATOR_TOKEN   for operators' calls; they are refused without it
";

/// Largest value of any flag in milliseconds.
const MAX_MILLIS: u64 = 600_000;
/// Capacity of the queue of trace lines to be printed; further lines are
/// dropped.
const MAX_QUEUED_TRACE_LINES: usize = 4_096;

/// Settings from flags and environment variables.
struct Config {
    node: NodeSettings,
    platform: Platform,
    http: HttpSettings,
    level: log::LevelFilter,
}

/// Platform on which the node stores its rows and objects.
#[derive(Clone, Copy)]
enum Platform {
    Memory,
    Http(SocketAddr),
}

impl FromStr for Platform {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        if text == "memory" {
            return Ok(Platform::Memory);
        }
        let addr = text.strip_prefix("http://").ok_or(())?;
        let addr = addr.trim_end_matches('/').parse().map_err(drop)?;
        Ok(Platform::Http(addr))
    }
}

impl fmt::Display for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Platform::Memory => f.write_str("memory"),
            Platform::Http(addr) => write!(f, "http://{addr}"),
        }
    }
}

pub(crate) fn run(mut settings: Settings) -> Result<(), CliError> {
    let print_settings = settings.switch("--print-settings");
    let record = settings.switch("--record");
    let mut config = read_config(&mut settings)?;
    let table = settings.to_table();
    settings.finish()?;
    check_consistency(&config.node)?;
    if print_settings {
        print!("{table}");
        return Ok(());
    }
    logging::init(config.level, logging::Output::Stderr).map_err(CliError::failed)?;
    warn_of_missing_secrets(&config.node);
    config.node.trace_sink = record.then(spawn_trace_printer);
    match config.platform {
        Platform::Memory => run_until_signal(config.node, MemoryPlatform::default()),
        Platform::Http(_) => run_until_signal(config.node, HttpPlatform::new(config.http)),
    }
}

fn read_config(settings: &mut Settings) -> Result<Config, CliError> {
    let mut node = NodeSettings::default();
    read_name_and_addrs(settings, &mut node)?;
    let platform = settings.value("--platform", Platform::Memory, "memory or http://IP:PORT")?;
    let mut http = HttpSettings::default();
    if let Platform::Http(addr) = platform {
        http.addr = addr;
    }
    http.timeout = settings.millis("--platform-timeout-ms", http.timeout, 1..=MAX_MILLIS)?;
    read_timings(settings, &mut node)?;
    let max_head = settings.number(
        "--max-head-bytes",
        node.max_head_bytes as u64,
        512..=1 << 20,
    )?;
    node.max_head_bytes = max_head as usize;
    read_limits(settings, &mut node.connection_limits)?;
    let level = settings.value(
        "--log-level",
        log::LevelFilter::Info,
        "off, error, warn, info, debug or trace",
    )?;
    if let Some(key) = settings.secret("IBISCOVE_CLUSTER_KEY") {
        node.cluster_key = SharedKey::new(key);
    }
    let token = settings.secret("IBISCOVE_OPERATOR_TOKEN");
    node.operator_token = token.map(SharedKey::new);
    Ok(Config {
        node,
        platform,
        http,
        level,
    })
}

fn read_name_and_addrs(settings: &mut Settings, node: &mut NodeSettings) -> Result<(), CliError> {
    let name = "a name";
    let addr = "IP:PORT, such as 127.0.0.1:7000";
    node.name = settings.value("--name", node.name.clone(), name)?;
    let region = settings.value("--region", node.region.to_string(), name)?;
    node.region = region.into();
    let data_centre = settings.value("--data-centre", node.data_centre.to_string(), name)?;
    node.data_centre = data_centre.into();
    node.caller_addr = settings.value("--caller", node.caller_addr, addr)?;
    node.upstream_addr = settings.value("--upstream", node.upstream_addr, addr)?;
    node.admin_addr = settings.value("--admin", node.admin_addr, addr)?;
    node.peer_addr = settings.value("--peer", node.peer_addr, addr)?;
    node.forward_addr = settings.value("--forward", node.forward_addr, addr)?;
    Ok(())
}

fn read_timings(settings: &mut Settings, node: &mut NodeSettings) -> Result<(), CliError> {
    let timings = &mut node.ownership;
    timings.lease = settings.millis("--lease-ms", timings.lease, 10..=MAX_MILLIS)?;
    let heartbeat = timings.heartbeat_interval;
    timings.heartbeat_interval = settings.millis("--heartbeat-ms", heartbeat, 1..=MAX_MILLIS)?;
    timings.drift_margin =
        settings.millis("--drift-margin-ms", timings.drift_margin, 0..=MAX_MILLIS)?;
    timings.claim_interval =
        settings.millis("--claim-ms", timings.claim_interval, 1..=MAX_MILLIS)?;
    let drain = timings.drain_timeout;
    timings.drain_timeout = settings.millis("--drain-timeout-ms", drain, 0..=MAX_MILLIS)?;
    let announce = node.announce_timeout;
    node.announce_timeout = settings.millis("--announce-timeout-ms", announce, 10..=MAX_MILLIS)?;
    Ok(())
}

fn read_limits(settings: &mut Settings, limits: &mut ConnectionLimits) -> Result<(), CliError> {
    let max = limits.max_connections as u64;
    limits.max_connections = settings.number("--max-connections", max, 1..=1 << 20)? as usize;
    limits.head_timeout =
        settings.millis("--head-timeout-ms", limits.head_timeout, 10..=MAX_MILLIS)?;
    limits.idle_timeout =
        settings.millis("--idle-timeout-ms", limits.idle_timeout, 10..=MAX_MILLIS)?;
    let write = limits.write_timeout;
    limits.write_timeout = settings.millis("--write-timeout-ms", write, 10..=MAX_MILLIS)?;
    Ok(())
}

/// Refuses settings that are valid one by one but unsafe in combination.
fn check_consistency(node: &NodeSettings) -> Result<(), CliError> {
    let timings = &node.ownership;
    if timings.heartbeat_interval * 2 >= timings.lease {
        return Err(CliError::Usage(
            "--heartbeat-ms must be under half of --lease-ms, so that one lost heartbeat does \
             not end a lease; lower it or raise the lease"
                .to_owned(),
        ));
    }
    if timings.drift_margin >= timings.lease {
        return Err(CliError::Usage(
            "--drift-margin-ms must be under --lease-ms, or every lease counts as expired; lower \
             it or raise the lease"
                .to_owned(),
        ));
    }
    if node.cluster_key.is_empty() && !all_loopback(node) {
        return Err(CliError::Usage(
            "IBISCOVE_CLUSTER_KEY is not set and not every address is a loopback address; set \
             it, so that no unauthorised process can act as a peer"
                .to_owned(),
        ));
    }
    Ok(())
}

fn all_loopback(node: &NodeSettings) -> bool {
    let addrs = [
        node.caller_addr,
        node.upstream_addr,
        node.admin_addr,
        node.peer_addr,
        node.forward_addr,
    ];
    addrs.iter().all(|addr| addr.ip().is_loopback())
}

fn warn_of_missing_secrets(node: &NodeSettings) {
    if node.cluster_key.is_empty() {
        log::warn!("IBISCOVE_CLUSTER_KEY is not set: any process on this machine can be a peer");
    }
}

/// Starts a task that prints trace lines; returns the queue's sender.
fn spawn_trace_printer() -> Sender<String> {
    let (tx, rx) = smol::channel::bounded(MAX_QUEUED_TRACE_LINES);
    smol::spawn(async move {
        let mut out = smol::Unblock::new(std::io::stdout());
        while let Ok(line) = rx.recv().await {
            let write_result = out.write_all(format!("{line}\n").as_bytes()).await;
            if write_result.is_err() || out.flush().await.is_err() {
                log::warn!("standard output is closed: trace recording stops");
                return;
            }
        }
    })
    .detach();
    tx
}

fn run_until_signal(
    settings: NodeSettings,
    platform: impl Table + Objects,
) -> Result<(), CliError> {
    smol::block_on(async {
        // Signals are caught before the node starts, so that an early one still
        // drains it.
        let signals = catch_signals()?;
        let node = Node::start(settings, platform, SystemClock).await;
        let node = node.map_err(CliError::failed)?;
        let addrs = node.addrs();
        log::info!(
            caller:% = addrs.caller, upstream:% = addrs.upstream, admin:% = addrs.admin,
            peer:% = addrs.peer, forward:% = addrs.forward; "node started"
        );
        wait_for_signal(signals).await;
        log::info!("draining the node before exit");
        node.drain().await.map_err(CliError::failed)
    })
}

fn catch_signals() -> Result<async_signal::Signals, CliError> {
    use async_signal::{Signal, Signals};
    Signals::new([Signal::Term, Signal::Int]).map_err(CliError::failed)
}

async fn wait_for_signal(mut signals: async_signal::Signals) {
    signals.next().await;
}
