//! An upstream that records what it ran.
//!
//! A request's query may ask for an answer: `?status=204`.

use ibiscove_types::{Fence, ServiceName, Slot, UpstreamSpec};
use smol::io::{self, AsyncRead, AsyncReadExt};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use trillium::{Conn, Handler, Status};
use trillium_client::Client;
use trillium_smol::{Stopper, async_net};

/// Time between two announcements.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that a truncated answer sends; enough that the head goes out first.
const TRUNCATED_LEN: usize = 64 << 10;
/// Largest request body taken, in bytes.
const MAX_BODY: u64 = 256 << 20;

/// What an upstream is and how it behaves.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Its name, which its answers carry.
    pub name: String,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Requests it works on at a time.
    pub concurrency: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Whether it refuses low fences.
    pub checks_fences: bool,
    /// Time that a request takes.
    pub service_time: Duration,
    /// What goes wrong with requests.
    pub fault: Fault,
}

/// What goes wrong with the requests of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The connection closes before the request runs.
    ConnectionLostBeforeRun,
    /// The request runs, and the connection closes before its answer.
    ConnectionLostAfterRun,
    /// The answer's body breaks off in the middle.
    TruncatedResponse,
    /// The request runs and is never answered.
    Hang,
    /// The answer is an error, and the request does not run.
    Refuse,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            service: "service".into(),
            concurrency: 12,
            connections: 130,
            checks_fences: true,
            service_time: Duration::ZERO,
            fault: Fault::None,
        }
    }
}

/// One request that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Name of the upstream.
    pub upstream: String,
    /// The request's id.
    pub request_id: String,
    /// The caller's idempotency key; empty when there was none.
    pub idempotency_key: String,
    /// Method and path.
    pub target: String,
    /// The key's slot, as the gate said.
    pub slot: Option<Slot>,
    /// The fence, as the gate said.
    pub fence: Option<Fence>,
    /// When it began.
    pub started_at: Instant,
}

#[derive(Debug)]
struct State {
    settings: UpstreamSettings,
    executions: Vec<Execution>,
    cancelled: usize,
    silent: bool,
    working: usize,
    peak_in_flight: usize,
    highest: HashMap<Slot, Fence>,
}

/// A running upstream. Clones are the same upstream; it stops when the last is
/// dropped, lest it announces itself to whatever listens there next.
#[derive(Clone, Debug)]
pub struct Upstream {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    stopper: Stopper,
    /// None in the upstream's own tasks, which must not keep it alive.
    _handle: Option<Arc<Handle>>,
}

/// Stops the upstream when it is dropped.
#[derive(Debug)]
struct Handle(Stopper);

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.stop();
    }
}

impl Upstream {
    /// Starts an upstream on a free port of a loopback address of its own.
    pub fn start(settings: UpstreamSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind((own_loopback(), 0))?;
        listener.set_nonblocking(true)?;
        let stopper = Stopper::new();
        let state = State {
            settings,
            executions: Vec::new(),
            cancelled: 0,
            silent: false,
            working: 0,
            peak_in_flight: 0,
            highest: HashMap::new(),
        };
        let upstream = Self {
            addr: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            stopper: stopper.clone(),
            _handle: Some(Arc::new(Handle(stopper.clone()))),
        };
        let _ = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_stopper(stopper)
            .with_prebound_server(async_net::TcpListener::try_from(listener)?)
            .spawn(handler(upstream.without_handle()));
        Ok(upstream)
    }

    /// What it announces of itself.
    pub fn spec(&self) -> UpstreamSpec {
        let state = self.state();
        UpstreamSpec {
            service: state.settings.service.clone(),
            addr: self.addr,
            concurrency: state.settings.concurrency,
            connections: state.settings.connections,
            checks_fences: state.settings.checks_fences,
        }
    }

    /// Announces itself to the node at `to`, and repeats that as its heartbeat
    /// until it stops.
    pub async fn announce(&self, to: SocketAddr) -> Result<(), trillium_client::Error> {
        let client = Client::new(trillium_smol::ClientConfig::default()).with_default_pool();
        self.announce_once(&client, to).await?;
        let upstream = self.without_handle();
        let beating = async move {
            loop {
                smol::Timer::after(HEARTBEAT_INTERVAL).await;
                if upstream.state().silent {
                    return;
                }
                // A node that has gone is told again should it come back.
                let _ = upstream.announce_once(&client, to).await;
            }
        };
        let stopper = self.stopper.clone();
        smol::spawn(async move {
            let _ = stopper.stop_future(beating).await;
        })
        .detach();
        Ok(())
    }

    async fn announce_once(
        &self,
        client: &Client,
        to: SocketAddr,
    ) -> Result<(), trillium_client::Error> {
        let url = format!("http://{to}/_ibiscove/announce");
        let body = serde_json::to_vec(&self.spec()).expect("a spec is plain data");
        let answer = client.post(url.as_str()).with_body(body).await?;
        answer
            .success()
            .map(drop)
            .map_err(|err| trillium_client::Error::Io(std::io::Error::other(err.to_string())))
    }

    /// What it ran, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.state().executions.clone()
    }

    /// Requests whose sender hung up before their answer.
    pub fn cancelled(&self) -> usize {
        self.state().cancelled
    }

    /// Most requests that it worked on at the same time.
    pub fn peak_in_flight(&self) -> usize {
        self.state().peak_in_flight
    }

    /// Announces itself no more, and still takes requests.
    pub fn stop_announcing(&self) {
        self.state().silent = true;
    }

    /// Changes how it behaves from now on.
    pub fn update_settings(&self, change: impl FnOnce(&mut UpstreamSettings)) {
        change(&mut self.state().settings);
    }

    /// Takes no more requests.
    pub fn stop(&self) {
        self.stopper.stop();
    }

    /// The same upstream for a task of its own.
    fn without_handle(&self) -> Self {
        Self {
            _handle: None,
            ..self.clone()
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Records an execution; an error when its fence is too low.
    fn record(&self, execution: Execution) -> Result<(), Fence> {
        let mut state = self.state();
        if let (Some(slot), Some(fence)) = (execution.slot, execution.fence) {
            let checks = state.settings.checks_fences;
            let highest = state.highest.entry(slot).or_insert(fence);
            if checks && fence < *highest {
                return Err(*highest);
            }
            *highest = fence.max(*highest);
        }
        state.executions.push(execution);
        Ok(())
    }
}

/// An address of the loopback range that hardly any other upstream has.
///
/// On one shared address the port of a stopped upstream is soon another's, and
/// what a node still sends there would run at the wrong one.
fn own_loopback() -> Ipv4Addr {
    let mut rng = fastrand::Rng::new();
    Ipv4Addr::new(127, rng.u8(1..=254), rng.u8(0..=255), rng.u8(1..=254))
}

fn handler(upstream: Upstream) -> impl Handler {
    move |conn: Conn| {
        let upstream = upstream.clone();
        async move { handle(&upstream, conn).await }
    }
}

async fn handle(upstream: &Upstream, mut conn: Conn) -> Conn {
    let settings = upstream.state().settings.clone();
    let _working = Working::begin(upstream);
    let body = conn
        .request_body()
        .await
        .with_max_len(MAX_BODY)
        .read_bytes()
        .await;
    let Ok(body) = body else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let execution = execution(&settings, &conn);
    match settings.fault {
        Fault::ConnectionLostBeforeRun => return broken(conn, 0),
        Fault::Refuse => return conn.with_status(Status::InternalServerError).halt(),
        _ => {}
    }
    if let Err(highest) = upstream.record(execution.clone()) {
        let text = format!("fence below {highest}");
        return conn
            .with_status(Status::PreconditionFailed)
            .with_response_header("Ibiscove-Fence", highest.to_string())
            .with_body(text)
            .halt();
    }
    if !settings.service_time.is_zero() {
        let working = smol::Timer::after(settings.service_time);
        if conn.cancel_on_disconnect(working).await.is_none() {
            upstream.state().cancelled += 1;
            return conn.halt();
        }
    }
    match settings.fault {
        Fault::ConnectionLostAfterRun => return broken(conn, 0),
        Fault::TruncatedResponse => return broken(conn, TRUNCATED_LEN),
        Fault::Hang => {
            let _: Option<()> = conn.cancel_on_disconnect(std::future::pending()).await;
            upstream.state().cancelled += 1;
            return conn.halt();
        }
        _ => {}
    }
    let answer = serde_json::json!({
        "upstream": settings.name,
        "request_id": execution.request_id,
        "target": execution.target,
        "slot": execution.slot,
        "fence": execution.fence,
        "body_len": body.len(),
    });
    let status = conn.querystring().strip_prefix("status=");
    let status: u16 = status.and_then(|text| text.parse().ok()).unwrap_or(200);
    conn.with_status(status)
        .with_body(answer.to_string())
        .halt()
}

/// A request that an upstream works on.
struct Working(Upstream);

impl Working {
    fn begin(upstream: &Upstream) -> Self {
        let mut state = upstream.state();
        state.working += 1;
        state.peak_in_flight = state.peak_in_flight.max(state.working);
        Self(upstream.clone())
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        self.0.state().working -= 1;
    }
}

/// Closes the connection after `len` bytes of an answer that promised more.
///
/// With a length of 0 not even the head is sent, since an error in a body that
/// is still empty comes before the first flush.
fn broken(conn: Conn, len: usize) -> Conn {
    let body = io::repeat(b'x').take(len as u64).chain(Broken);
    let body = trillium::Body::new_streaming(body, Some(len as u64 + 1));
    conn.with_status(Status::Ok).with_body(body).halt()
}

/// A body that fails when it is read.
struct Broken;

impl AsyncRead for Broken {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}

fn execution(settings: &UpstreamSettings, conn: &Conn) -> Execution {
    let header = |name: &'static str| conn.request_headers().get_str(name);
    Execution {
        upstream: settings.name.clone(),
        request_id: header("Ibiscove-Request-Id").unwrap_or_default().to_owned(),
        idempotency_key: header("Idempotency-Key").unwrap_or_default().to_owned(),
        target: format!("{} {}", conn.method(), conn.path()),
        slot: header("Ibiscove-Slot").and_then(|text| text.parse().ok()),
        fence: header("Ibiscove-Fence").and_then(|text| text.parse().ok()),
        started_at: Instant::now(),
    }
}
