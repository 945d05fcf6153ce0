//! An upstream that announces itself to a node, records the requests that it runs
//! and injects faults into them.
//!
//! A request's query sets the response status: `?status=204`.

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
/// Bytes sent of a truncated response, enough that the head is sent first.
const TRUNCATED_LEN: usize = 64 << 10;
/// Largest accepted request body, in bytes.
const MAX_BODY_LEN: u64 = 256 << 20;

/// Identity, capacity and behaviour of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Its name, included in its responses.
    pub name: String,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Requests that it announces to run concurrently.
    pub concurrency: u32,
    /// Connections that it announces to accept.
    pub connections: u32,
    /// Whether it refuses a fence below the highest of the slot.
    pub checks_fences: bool,
    /// Time to run a request.
    pub service_time: Duration,
    /// Fault injected into requests.
    pub fault: Fault,
}

/// A fault injected into the requests of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The connection closes before the request runs.
    ConnectionLostBeforeRun,
    /// The request runs, and the connection closes before its response.
    ConnectionLostAfterRun,
    /// The request runs, and the connection closes within the response body.
    TruncatedResponse,
    /// The request runs and gets no response.
    Hang,
    /// The response is status 500, and the request does not run.
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
    /// The upstream's name.
    pub upstream: String,
    /// The request's id.
    pub request_id: String,
    /// The caller's idempotency key; empty if absent.
    pub idempotency_key: String,
    /// Method and path.
    pub target: String,
    /// The key's slot, as the gate sent it.
    pub slot: Option<Slot>,
    /// The fence, as the gate sent it.
    pub fence: Option<Fence>,
    /// When the upstream had received it.
    pub started_at: Instant,
}

#[derive(Debug)]
struct State {
    settings: UpstreamSettings,
    executions: Vec<Execution>,
    cancelled_count: usize,
    has_stopped_announcing: bool,
    in_flight: usize,
    peak_in_flight: usize,
    /// Highest fence seen, by slot.
    highest_fences: HashMap<Slot, Fence>,
}

/// A running upstream. Clones share it; it stops when the last one is dropped, so
/// that it does not announce itself to a later process at the node's address.
#[derive(Clone, Debug)]
pub struct Upstream {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    stopper: Stopper,
    /// `None` in the upstream's own tasks, which must not keep it running.
    _stop_guard: Option<Arc<StopGuard>>,
}

/// Stops the upstream on drop.
#[derive(Debug)]
struct StopGuard(Stopper);

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.0.stop();
    }
}

impl Upstream {
    /// Starts an upstream on a free port of a random loopback address.
    pub fn start(settings: UpstreamSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind((random_loopback(), 0))?;
        listener.set_nonblocking(true)?;
        let stopper = Stopper::new();
        let state = State {
            settings,
            executions: Vec::new(),
            cancelled_count: 0,
            has_stopped_announcing: false,
            in_flight: 0,
            peak_in_flight: 0,
            highest_fences: HashMap::new(),
        };
        let upstream = Self {
            addr: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            stopper: stopper.clone(),
            _stop_guard: Some(Arc::new(StopGuard(stopper.clone()))),
        };
        let _ = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_stopper(stopper)
            .with_prebound_server(async_net::TcpListener::try_from(listener)?)
            .spawn(handler(upstream.without_stop_guard()));
        Ok(upstream)
    }

    /// Returns the specification that it announces.
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

    /// Announces itself to the node at `node_addr`, then again as its heartbeat until it
    /// stops.
    pub async fn announce(&self, node_addr: SocketAddr) -> Result<(), trillium_client::Error> {
        let client = Client::new(trillium_smol::ClientConfig::default()).with_default_pool();
        self.announce_once(&client, node_addr).await?;
        let upstream = self.without_stop_guard();
        let heartbeat = async move {
            loop {
                smol::Timer::after(HEARTBEAT_INTERVAL).await;
                if upstream.state().has_stopped_announcing {
                    return;
                }
                // A failed announcement is sent again, since the node may restart.
                let _ = upstream.announce_once(&client, node_addr).await;
            }
        };
        let stopper = self.stopper.clone();
        smol::spawn(async move {
            let _ = stopper.stop_future(heartbeat).await;
        })
        .detach();
        Ok(())
    }

    async fn announce_once(
        &self,
        client: &Client,
        node_addr: SocketAddr,
    ) -> Result<(), trillium_client::Error> {
        let url = format!("http://{node_addr}/_ibiscove/announce");
        let body = serde_json::to_vec(&self.spec()).expect("the spec serializes to JSON");
        let resp = client.post(url.as_str()).with_body(body).await?;
        resp.success()
            .map(drop)
            .map_err(|err| trillium_client::Error::Io(std::io::Error::other(err.to_string())))
    }

    /// Returns the requests that it ran, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.state().executions.clone()
    }

    /// Returns the number of requests whose connection closed before their response.
    pub fn cancelled(&self) -> usize {
        self.state().cancelled_count
    }

    /// Returns the highest number of requests in flight at a time.
    pub fn peak_in_flight(&self) -> usize {
        self.state().peak_in_flight
    }

    /// Stops announcing itself, but still accepts requests.
    pub fn stop_announcing(&self) {
        self.state().has_stopped_announcing = true;
    }

    /// Changes its settings for later requests and announcements.
    pub fn update_settings(&self, change: impl FnOnce(&mut UpstreamSettings)) {
        change(&mut self.state().settings);
    }

    /// Stops accepting requests and announcing itself.
    pub fn stop(&self) {
        self.stopper.stop();
    }

    /// Returns a clone for the upstream's own tasks.
    fn without_stop_guard(&self) -> Self {
        Self {
            _stop_guard: None,
            ..self.clone()
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("a thread panicked while it held the lock")
    }

    /// Records an execution. If its fence is too low, it is refused with the highest
    /// fence of its slot.
    fn record(&self, execution: Execution) -> Result<(), Fence> {
        let mut state = self.state();
        if let (Some(slot), Some(fence)) = (execution.slot, execution.fence) {
            let checks_fences = state.settings.checks_fences;
            let highest = state.highest_fences.entry(slot).or_insert(fence);
            if checks_fences && fence < *highest {
                return Err(*highest);
            }
            *highest = fence.max(*highest);
        }
        state.executions.push(execution);
        Ok(())
    }
}

/// Returns a random address of the loopback range, most likely unused by other
/// upstreams.
///
/// On a shared address the port of a stopped upstream is soon reused, and requests
/// that a node still sends there would run at the wrong upstream.
fn random_loopback() -> Ipv4Addr {
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
    let _in_flight = InFlight::begin(upstream);
    let body = conn
        .request_body()
        .await
        .with_max_len(MAX_BODY_LEN)
        .read_bytes()
        .await;
    let Ok(body) = body else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let execution = read_execution(&settings, &conn);
    match settings.fault {
        Fault::ConnectionLostBeforeRun => return truncated_response(conn, 0),
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
        let service_time = smol::Timer::after(settings.service_time);
        if conn.cancel_on_disconnect(service_time).await.is_none() {
            upstream.state().cancelled_count += 1;
            return conn.halt();
        }
    }
    match settings.fault {
        Fault::ConnectionLostAfterRun => return truncated_response(conn, 0),
        Fault::TruncatedResponse => return truncated_response(conn, TRUNCATED_LEN),
        Fault::Hang => {
            let _: Option<()> = conn.cancel_on_disconnect(std::future::pending()).await;
            upstream.state().cancelled_count += 1;
            return conn.halt();
        }
        _ => {}
    }
    let resp = serde_json::json!({
        "upstream": settings.name,
        "request_id": execution.request_id,
        "target": execution.target,
        "slot": execution.slot,
        "fence": execution.fence,
        "body_len": body.len(),
    });
    let status = conn.querystring().strip_prefix("status=");
    let status: u16 = status.and_then(|text| text.parse().ok()).unwrap_or(200);
    conn.with_status(status).with_body(resp.to_string()).halt()
}

/// A request in flight; dropping it decrements the count.
struct InFlight(Upstream);

impl InFlight {
    fn begin(upstream: &Upstream) -> Self {
        let mut state = upstream.state();
        state.in_flight += 1;
        state.peak_in_flight = state.peak_in_flight.max(state.in_flight);
        Self(upstream.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.state().in_flight -= 1;
    }
}

/// Closes the connection after `len` bytes of a longer response body.
///
/// With `len` 0 the head is not sent either, since the body fails before the first
/// flush.
fn truncated_response(conn: Conn, len: usize) -> Conn {
    let body = io::repeat(b'x').take(len as u64).chain(FailingBody);
    let body = trillium::Body::new_streaming(body, Some(len as u64 + 1));
    conn.with_status(Status::Ok).with_body(body).halt()
}

/// A body whose read fails.
struct FailingBody;

impl AsyncRead for FailingBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}

fn read_execution(settings: &UpstreamSettings, conn: &Conn) -> Execution {
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
