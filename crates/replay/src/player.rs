//! Executes a trace on real nodes and records the history.

use crate::cluster::{self, Cluster, OPERATOR_TOKEN};
use crate::format::{Change, Event, Line, Request, Trace};
use crate::history::{CallerResponse, ChangeResult, DrainResult, History};
use ibiscove_config::change::{ChangeRequest, ChangeResponse};
use ibiscove_standin::{Fault, Upstream};
use ibiscove_types::Outcome;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use trillium_client::Client;

/// Longest wait for an expected state or a response.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(45);
/// Time between two polls of an awaited state or of the nodes' versions.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time between an unsuccessful request and its duplicate.
const DUPLICATE_DELAY: Duration = Duration::from_millis(250);

/// Why a trace could not be replayed. Violated promises are not errors.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// A node could not start.
    #[error(transparent)]
    Start(#[from] ibiscove_node::StartError),
    /// A stand-in could not start.
    #[error(transparent)]
    StandIn(#[from] std::io::Error),
    /// An event refers to a node that is not running.
    #[error("node {0} is not running")]
    NodeNotRunning(String),
    /// The nodes did not agree on an owner of every slot in time.
    #[error("not every slot had an owner within {AWAIT_TIMEOUT:?}")]
    SlotsWithoutOwner,
}

type Shared<T> = Arc<Mutex<T>>;

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().expect("a holder of the lock panicked")
}

/// The state of a replay.
struct Player {
    cluster: Shared<Cluster>,
    client: Client,
    history: Shared<History>,
    /// Requests, changes and drains in flight.
    tasks: Vec<smol::Task<()>>,
}

/// Replays a trace and returns its history.
pub async fn replay(trace: &Trace) -> Result<History, ReplayError> {
    let connector = trillium_smol::ClientConfig::default().with_nodelay(true);
    let mut player = Player {
        cluster: Arc::new(Mutex::new(Cluster::new())),
        client: Client::new(connector).with_default_pool(),
        history: Arc::default(),
        tasks: Vec::new(),
    };
    let sampler = smol::spawn(sample_versions(
        Arc::clone(&player.cluster),
        Arc::clone(&player.history),
    ));
    let mut started = Instant::now();
    for line in &trace.lines {
        let due = started + Duration::from_millis(line.at_ms);
        smol::Timer::at(due).await;
        let event_started = Instant::now();
        let pauses_clock = player.execute(line).await?;
        if pauses_clock {
            started += event_started.elapsed();
        }
    }
    for task in std::mem::take(&mut player.tasks) {
        task.await;
    }
    player.await_changes().await;
    let has_owners = player.await_owners().await;
    sampler.cancel().await;
    Ok(player.finish(has_owners.is_ok()).await)
}

/// Records the versions on every node periodically.
async fn sample_versions(cluster: Shared<Cluster>, history: Shared<History>) {
    loop {
        let samples = lock(&cluster).samples();
        lock(&history).samples.extend(samples);
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

impl Player {
    /// Executes one line and returns whether the trace's clock was paused
    /// meanwhile.
    async fn execute(&mut self, line: &Line) -> Result<bool, ReplayError> {
        match &line.event {
            Event::About(_) | Event::Promise(_) => {}
            Event::Start(node) => {
                let platform = lock(&self.cluster).platform.clone();
                let started = cluster::start_node(node, platform).await?;
                lock(&self.cluster).insert(node, started);
                return Ok(true);
            }
            Event::Announce(announce) => {
                let upstream = lock(&self.cluster).start_upstream(announce)?;
                let to = self.addrs(&announce.node)?.upstream;
                announce_until_accepted(&upstream, to).await;
                return Ok(true);
            }
            Event::Settle {} => {
                self.await_owners().await?;
                return Ok(true);
            }
            Event::Answered {} => {
                for task in std::mem::take(&mut self.tasks) {
                    task.await;
                }
                return Ok(true);
            }
            Event::Request(req) => self.start_request(req),
            Event::LoseUpstreamAnswers { node, lose } => {
                let fault = if *lose {
                    Fault::ConnectionLostAfterRun
                } else {
                    Fault::None
                };
                self.upstream(node)?
                    .update_settings(|upstream| upstream.fault = fault);
            }
            Event::Slow { node, millis } => {
                let service_time = Duration::from_millis(*millis);
                let upstream = self.upstream(node)?;
                upstream.update_settings(|upstream| upstream.service_time = service_time);
            }
            Event::Lose { node } => self.kill(node, true).await?,
            Event::LoseNode { node } => self.kill(node, false).await?,
            Event::LoseDataCentre { data_centre } => {
                let names = lock(&self.cluster).nodes_in(data_centre);
                for name in names {
                    self.kill(&name, true).await?;
                }
            }
            Event::Platform { down } => {
                lock(&self.cluster)
                    .platform
                    .update_faults(|faults| faults.unavailable = *down);
            }
            Event::LoseAnswers { count } => {
                let platform = lock(&self.cluster).platform.clone();
                platform.update_faults(|faults| faults.lost_responses = *count);
            }
            Event::Drain { node } => self.start_drain(node)?,
            Event::Change(change) => self.start_change(change)?,
        }
        Ok(false)
    }

    fn addrs(&self, name: &str) -> Result<ibiscove_node::NodeAddrs, ReplayError> {
        let addrs = lock(&self.cluster).addrs(name);
        addrs.ok_or_else(|| ReplayError::NodeNotRunning(name.to_owned()))
    }

    fn upstream(&self, name: &str) -> Result<Upstream, ReplayError> {
        let upstream = lock(&self.cluster).upstream(name).cloned();
        upstream.ok_or_else(|| ReplayError::NodeNotRunning(name.to_owned()))
    }

    /// Waits until every slot has an owner on every node.
    async fn await_owners(&self) -> Result<(), ReplayError> {
        let started = Instant::now();
        while !lock(&self.cluster).has_all_owners() {
            if started.elapsed() > AWAIT_TIMEOUT {
                return Err(ReplayError::SlotsWithoutOwner);
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until every node has the accepted changes, at most for
    /// [`AWAIT_TIMEOUT`].
    async fn await_changes(&self) {
        let started = Instant::now();
        let changes = lock(&self.history).changes.clone();
        let is_propagated = || {
            lock(&self.cluster).samples().iter().all(|sample| {
                changes.iter().all(|result| {
                    let version = match result.change.kind {
                        ibiscove_config::change::ConfigKind::Inventory => sample.inventory,
                        ibiscove_config::change::ConfigKind::Rules => sample.rules,
                    };
                    version >= result.accepted.unwrap_or(0)
                })
            })
        };
        while !is_propagated() && started.elapsed() < AWAIT_TIMEOUT {
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    fn start_request(&mut self, req: &Request) {
        let task = send_until_ran(
            Arc::clone(&self.cluster),
            Arc::clone(&self.history),
            self.client.clone(),
            req.clone(),
        );
        self.tasks.push(smol::spawn(task));
    }

    async fn kill(&self, name: &str, with_upstream: bool) -> Result<(), ReplayError> {
        let node = lock(&self.cluster).remove(name);
        let node = node.ok_or_else(|| ReplayError::NodeNotRunning(name.to_owned()))?;
        if with_upstream && let Some(upstream) = lock(&self.cluster).upstream(name) {
            upstream.stop();
        }
        node.kill().await;
        Ok(())
    }

    fn start_drain(&mut self, name: &str) -> Result<(), ReplayError> {
        let node = lock(&self.cluster).remove(name);
        let node = node.ok_or_else(|| ReplayError::NodeNotRunning(name.to_owned()))?;
        let (history, name) = (Arc::clone(&self.history), name.to_owned());
        self.tasks.push(smol::spawn(async move {
            let started = Instant::now();
            let completed = node.drain().await.is_ok().then(Instant::now);
            lock(&history).drains.push(DrainResult {
                node: name,
                started,
                completed,
            });
        }));
        Ok(())
    }

    fn start_change(&mut self, change: &Change) -> Result<(), ReplayError> {
        let to = self.addrs(&change.node)?.admin;
        let (history, client) = (Arc::clone(&self.history), self.client.clone());
        let change = change.clone();
        self.tasks.push(smol::spawn(async move {
            let accepted = submit_change(&client, to, &change).await;
            let result = ChangeResult { change, accepted };
            lock(&history).changes.push(result);
        }));
        Ok(())
    }

    /// Collects the final state and stops every node and upstream.
    async fn finish(self, has_owners: bool) -> History {
        let cluster = std::mem::replace(&mut *lock(&self.cluster), Cluster::new());
        let mut history = lock(&self.history).clone();
        history.runs = cluster.runs();
        history.last_samples = cluster.samples();
        history.slots = cluster.final_slots();
        if !has_owners {
            log::warn!(
                "replay: ended before every slot had an owner; the history is checked as it is"
            );
        }
        cluster.stop().await;
        history
    }
}

/// Announces an upstream until the node accepts it or [`AWAIT_TIMEOUT`] ends.
async fn announce_until_accepted(upstream: &Upstream, to: SocketAddr) {
    let started = Instant::now();
    while upstream.announce(to).await.is_err() && started.elapsed() < AWAIT_TIMEOUT {
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Sends a request and its duplicates until a response reports `ran`.
async fn send_until_ran(
    cluster: Shared<Cluster>,
    history: Shared<History>,
    client: Client,
    req: Request,
) {
    for attempt in 0..=req.repeats as usize {
        let target = lock(&cluster).node_for_attempt(&req.node, attempt);
        let Some((node, addrs)) = target else {
            return;
        };
        let result = send_once(&client, &node, addrs.caller, &req).await;
        let ran = result.outcome == Some(Outcome::Ran);
        lock(&history).responses.push(result);
        if ran {
            return;
        }
        smol::Timer::after(DUPLICATE_DELAY).await;
    }
}

async fn send_once(client: &Client, node: &str, to: SocketAddr, req: &Request) -> CallerResponse {
    let mut result = CallerResponse {
        request: req.clone(),
        sent: Instant::now(),
        node: node.to_owned(),
        status: None,
        outcome: None,
        request_id: None,
        echoed: None,
    };
    let url = format!("http://{to}{}", req.path());
    let mut conn = client.build_conn(req.method.as_str(), url.as_str());
    if let Some(key) = &req.idempotency_key {
        conn = conn.with_request_header("Idempotency-Key", key.clone());
    }
    if let Some(millis) = req.timeout_ms {
        conn = conn.with_request_header("Ibiscove-Timeout-Ms", millis.to_string());
    }
    if !req.is_idempotent() {
        conn = conn.with_body(req.order.clone());
    }
    let response = async { conn.await.ok() };
    let timeout = async {
        smol::Timer::after(AWAIT_TIMEOUT).await;
        None
    };
    let Some(mut response) = response.or(timeout).await else {
        return result;
    };
    let header = |name: &str| response.response_headers().get_str(name).map(str::to_owned);
    result.outcome = header("Ibiscove-Outcome").and_then(|value| Outcome::parse(&value));
    result.request_id = header("Ibiscove-Request-Id");
    let status = response.status().map(|status| status as u16);
    // A truncated body counts as no response, whatever its head states.
    if let Ok(body) = response.response_body().read_string().await {
        result.status = status;
        let body = serde_json::from_str::<serde_json::Value>(&body).unwrap_or_default();
        result.echoed = body["target"].as_str().map(str::to_owned);
    }
    result
}

/// Submits a change and returns the new version if it is accepted.
async fn submit_change(client: &Client, to: SocketAddr, change: &Change) -> Option<u64> {
    let url = format!("http://{to}/_ibiscove/operator/config/{}", change.kind);
    let body = serde_json::to_string(&ChangeRequest {
        expect: change.expect,
        author: change.author.clone(),
        body: change.body.clone(),
        force: false,
        dry_run: false,
    });
    let conn = client
        .post(url.as_str())
        .with_request_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .with_body(body.ok()?);
    let mut response = conn.await.ok()?;
    let body = response.response_body().read_string().await.ok()?;
    match serde_json::from_str(&body).ok()? {
        ChangeResponse::Accepted { version, .. } => Some(version.version),
        _ => None,
    }
}
