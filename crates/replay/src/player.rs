//! A trace played against real nodes.

use crate::format::{Change, Event, Line, Request, Trace};
use crate::history::{ChangeTold, Drained, History, Told};
use crate::world::{self, TOKEN, World};
use ibiscove_config::change::{ChangeAnswer, ChangeRequest};
use ibiscove_standin::{Fault, Upstream};
use ibiscove_types::Outcome;
use smol::future::FutureExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use trillium_client::Client;

/// Longest wait for a state that must come, and for an answer.
const PATIENCE: Duration = Duration::from_secs(45);
/// Time between two looks at an awaited state, and at nodes' versions.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between a refused request and its repeat.
const REPEAT_PAUSE: Duration = Duration::from_millis(250);

/// Why a trace could not be played. It says nothing of its promises.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// A node could not start.
    #[error(transparent)]
    Start(#[from] ibiscove_node::StartError),
    /// A stand-in could not start.
    #[error(transparent)]
    StandIn(#[from] std::io::Error),
    /// The trace names a node that is not there.
    #[error("no node {0}")]
    NoNode(String),
    /// Nodes never agreed on owners for all slots.
    #[error("not every slot had an owner within {PATIENCE:?}")]
    Unsettled,
}

type Shared<T> = Arc<Mutex<T>>;

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().expect("a holder of the lock panicked")
}

struct Player {
    world: Shared<World>,
    client: Client,
    history: Shared<History>,
    running: Vec<smol::Task<()>>,
}

/// Plays a trace and gives back what was seen.
pub async fn replay(trace: &Trace) -> Result<History, ReplayError> {
    let connector = trillium_smol::ClientConfig::default().with_nodelay(true);
    let mut player = Player {
        world: Arc::new(Mutex::new(World::new())),
        client: Client::new(connector).with_default_pool(),
        history: Arc::default(),
        running: Vec::new(),
    };
    let sampling = smol::spawn(sample(
        Arc::clone(&player.world),
        Arc::clone(&player.history),
    ));
    let mut began = Instant::now();
    for line in &trace.lines {
        let due = began + Duration::from_millis(line.at_ms);
        smol::Timer::at(due).await;
        let before = Instant::now();
        let waits = player.play(line).await?;
        if waits {
            began += before.elapsed();
        }
    }
    for task in std::mem::take(&mut player.running) {
        task.await;
    }
    player.settle_changes().await;
    let settled = player.settle().await;
    sampling.cancel().await;
    Ok(player.finish(settled.is_ok()).await)
}

/// Notes the versions on every node again and again.
async fn sample(world: Shared<World>, history: Shared<History>) {
    loop {
        let samples = lock(&world).samples();
        lock(&history).samples.extend(samples);
        smol::Timer::after(LOOK_INTERVAL).await;
    }
}

impl Player {
    /// Plays one line; gives whether the trace's time stood still meanwhile.
    async fn play(&mut self, line: &Line) -> Result<bool, ReplayError> {
        match &line.event {
            Event::About(_) | Event::Promise(_) => {}
            Event::Start(node) => {
                let platform = lock(&self.world).platform.clone();
                let started = world::start(node, platform).await?;
                lock(&self.world).insert(node, started);
                return Ok(true);
            }
            Event::Announce(announce) => {
                let upstream = lock(&self.world).announce(announce)?;
                let to = self.addrs(&announce.node)?.upstream;
                announced(&upstream, to).await;
                return Ok(true);
            }
            Event::Settle {} => {
                self.settle().await?;
                return Ok(true);
            }
            Event::Answered {} => {
                for task in std::mem::take(&mut self.running) {
                    task.await;
                }
                return Ok(true);
            }
            Event::Request(req) => self.request(req),
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
            Event::Lose { node } => self.lose(node, true).await?,
            Event::LoseNode { node } => self.lose(node, false).await?,
            Event::LoseDataCentre { data_centre } => {
                let names = lock(&self.world).names_in(data_centre);
                for name in names {
                    self.lose(&name, true).await?;
                }
            }
            Event::Platform { down } => {
                lock(&self.world)
                    .platform
                    .update_faults(|faults| faults.unavailable = *down);
            }
            Event::LoseAnswers { count } => {
                let platform = lock(&self.world).platform.clone();
                platform.update_faults(|faults| faults.lost_responses = *count);
            }
            Event::Drain { node } => self.drain(node)?,
            Event::Change(change) => self.change(change)?,
        }
        Ok(false)
    }

    fn addrs(&self, name: &str) -> Result<ibiscove_node::NodeAddrs, ReplayError> {
        let addrs = lock(&self.world).addrs(name);
        addrs.ok_or_else(|| ReplayError::NoNode(name.to_owned()))
    }

    fn upstream(&self, name: &str) -> Result<Upstream, ReplayError> {
        let upstream = lock(&self.world).upstream(name).cloned();
        upstream.ok_or_else(|| ReplayError::NoNode(name.to_owned()))
    }

    async fn settle(&self) -> Result<(), ReplayError> {
        let began = Instant::now();
        while !lock(&self.world).is_settled() {
            if began.elapsed() > PATIENCE {
                return Err(ReplayError::Unsettled);
            }
            smol::Timer::after(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits, as far as patience goes, until accepted changes are everywhere.
    async fn settle_changes(&self) {
        let began = Instant::now();
        let accepted = lock(&self.history).changes.clone();
        let is_everywhere = || {
            lock(&self.world).samples().iter().all(|sample| {
                accepted.iter().all(|told| {
                    let version = match told.change.kind {
                        ibiscove_config::change::ConfigKind::Inventory => sample.inventory,
                        ibiscove_config::change::ConfigKind::Rules => sample.rules,
                    };
                    version >= told.accepted.unwrap_or(0)
                })
            })
        };
        while !is_everywhere() && began.elapsed() < PATIENCE {
            smol::Timer::after(LOOK_INTERVAL).await;
        }
    }

    fn request(&mut self, req: &Request) {
        let task = ask(
            Arc::clone(&self.world),
            Arc::clone(&self.history),
            self.client.clone(),
            req.clone(),
        );
        self.running.push(smol::spawn(task));
    }

    async fn lose(&self, name: &str, with_upstream: bool) -> Result<(), ReplayError> {
        let node = lock(&self.world).take(name);
        let node = node.ok_or_else(|| ReplayError::NoNode(name.to_owned()))?;
        if with_upstream && let Some(upstream) = lock(&self.world).upstream(name) {
            upstream.stop();
        }
        node.kill().await;
        Ok(())
    }

    fn drain(&mut self, name: &str) -> Result<(), ReplayError> {
        let node = lock(&self.world).take(name);
        let node = node.ok_or_else(|| ReplayError::NoNode(name.to_owned()))?;
        let (history, name) = (Arc::clone(&self.history), name.to_owned());
        self.running.push(smol::spawn(async move {
            let began = Instant::now();
            let ended = node.drain().await.is_ok().then(Instant::now);
            lock(&history).drains.push(Drained {
                node: name,
                began,
                ended,
            });
        }));
        Ok(())
    }

    fn change(&mut self, change: &Change) -> Result<(), ReplayError> {
        let to = self.addrs(&change.node)?.admin;
        let (history, client) = (Arc::clone(&self.history), self.client.clone());
        let change = change.clone();
        self.running.push(smol::spawn(async move {
            let accepted = ask_change(&client, to, &change).await;
            let told = ChangeTold { change, accepted };
            lock(&history).changes.push(told);
        }));
        Ok(())
    }

    async fn finish(self, settled: bool) -> History {
        let world = std::mem::replace(&mut *lock(&self.world), World::new());
        let mut history = lock(&self.history).clone();
        history.runs = world.runs();
        history.last_samples = world.samples();
        history.slots = world.final_slots();
        if !settled {
            log::warn!("the replay ended before every slot had an owner");
        }
        world.stop().await;
        history
    }
}

/// Announces an upstream, again and again as a real one does.
async fn announced(upstream: &Upstream, to: SocketAddr) {
    let began = Instant::now();
    while upstream.announce(to).await.is_err() && began.elapsed() < PATIENCE {
        smol::Timer::after(LOOK_INTERVAL).await;
    }
}

/// Sends a request, and its repeats until it is answered `ran`.
async fn ask(world: Shared<World>, history: Shared<History>, client: Client, req: Request) {
    for attempt in 0..=req.repeats as usize {
        let reached = lock(&world).reach(&req.node, attempt);
        let Some((node, addrs)) = reached else {
            return;
        };
        let told = ask_once(&client, &node, addrs.caller, &req).await;
        let ran = told.outcome == Some(Outcome::Ran);
        lock(&history).told.push(told);
        if ran {
            return;
        }
        smol::Timer::after(REPEAT_PAUSE).await;
    }
}

async fn ask_once(client: &Client, node: &str, to: SocketAddr, req: &Request) -> Told {
    let mut told = Told {
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
    let answer = async { conn.await.ok() };
    let limit = async {
        smol::Timer::after(PATIENCE).await;
        None
    };
    let Some(mut answer) = answer.or(limit).await else {
        return told;
    };
    let header = |name: &str| answer.response_headers().get_str(name).map(str::to_owned);
    told.outcome = header("Ibiscove-Outcome").and_then(|word| Outcome::parse(&word));
    told.request_id = header("Ibiscove-Request-Id");
    let status = answer.status().map(|status| status as u16);
    // A body that breaks off is no answer, whatever its head said.
    if let Ok(body) = answer.response_body().read_string().await {
        told.status = status;
        let body = serde_json::from_str::<serde_json::Value>(&body).unwrap_or_default();
        told.echoed = body["target"].as_str().map(str::to_owned);
    }
    told
}

async fn ask_change(client: &Client, to: SocketAddr, change: &Change) -> Option<u64> {
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
        .with_request_header("Authorization", format!("Bearer {TOKEN}"))
        .with_body(body.ok()?);
    let mut answer = conn.await.ok()?;
    let body = answer.response_body().read_string().await.ok()?;
    match serde_json::from_str(&body).ok()? {
        ChangeAnswer::Accepted { version, .. } => Some(version.version),
        _ => None,
    }
}
