//! What callers gain that pipeline their reads: the server with look-ahead beside the
//! server without, at the same time.

use crate::{BenchError, usage};
use hdrhistogram::Histogram;
use hyper::Response;
use ibiscove_http::{Body, PipelineSettings, Server, ServerSettings};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time that a request takes at its upstream.
const WORK: Duration = Duration::from_millis(10);
/// Time after which the requests of all connections are at work.
const SETTLING: Duration = Duration::from_secs(1);
/// Requests that a connection sends at once.
const DEPTHS: [usize; 3] = [1, 4, 16];
/// Body of each answer; its last byte occurs nowhere else in an answer.
const BODY: &str = "0123456789abcdef$";

/// What callers of one server saw.
pub struct Report {
    /// Whether the server reads ahead.
    pub look_ahead: bool,
    /// Requests that a connection sends at once.
    pub depth: usize,
    /// From sending a pipeline to each of its answers, in microseconds.
    pub latency: Histogram<u64>,
    /// Answers a second of all connections.
    pub per_second: f64,
    /// Resident memory that a connection with its pipeline at work adds, of both its
    /// ends, in bytes.
    pub bytes_per_connection: u64,
}

impl Report {
    /// Returns the report as a row of a table.
    pub fn to_row(&self) -> String {
        format!(
            "| {} | {} | {:.1} | {:.1} | {:.0} | {:.1} |",
            self.depth,
            if self.look_ahead { "on" } else { "off" },
            self.latency.value_at_quantile(0.5) as f64 / 1e3,
            self.latency.value_at_quantile(0.99) as f64 / 1e3,
            self.per_second,
            self.bytes_per_connection as f64 / 1024.0
        )
    }
}

/// Loads both servers at once for `length` at each depth.
pub async fn run(connections: usize, length: Duration) -> Result<Vec<Report>, BenchError> {
    let memory = memory_by_server(connections).await?;
    let off = serve(0, WORK).await?;
    let on = serve(DEPTHS[DEPTHS.len() - 1], WORK).await?;
    let mut reports = Vec::new();
    for depth in DEPTHS {
        let off = smol::spawn(load(off, depth, connections, length));
        let on = smol::spawn(load(on, depth, connections, length));
        for (look_ahead, histogram) in [(false, off.await?), (true, on.await?)] {
            let per_second = histogram.len() as f64 / length.as_secs_f64();
            reports.push(Report {
                look_ahead,
                depth,
                latency: histogram,
                per_second,
                bytes_per_connection: memory[&(look_ahead, depth)],
            });
        }
    }
    Ok(reports)
}

async fn serve(max_requests: usize, work: Duration) -> Result<SocketAddr, BenchError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let settings = ServerSettings {
        pipeline: PipelineSettings {
            max_requests,
            ..PipelineSettings::default()
        },
        ..ServerSettings::default()
    };
    let handle = move |_req| async move {
        smol::Timer::after(work).await;
        Response::new(Body::<()>::whole(BODY))
    };
    smol::spawn(Server::default().run_pipelined(listener, settings, |_| true, handle)).detach();
    Ok(addr)
}

async fn load(
    addr: SocketAddr,
    depth: usize,
    connections: usize,
    length: Duration,
) -> Result<Histogram<u64>, BenchError> {
    let callers: Vec<_> = (0..connections)
        .map(|_| smol::spawn(call(addr, depth, length)))
        .collect();
    let mut all = histogram();
    for caller in callers {
        all += caller.await?;
    }
    Ok(all)
}

async fn call(
    addr: SocketAddr,
    depth: usize,
    length: Duration,
) -> Result<Histogram<u64>, BenchError> {
    let mut stream = TcpStream::connect(addr).await?;
    let mut latency = histogram();
    let requests = pipeline(depth);
    let started = Instant::now();
    let mut buf = vec![0; 8 << 10];
    while started.elapsed() < length {
        let sent = Instant::now();
        stream.write_all(requests.as_bytes()).await?;
        let mut answered = 0;
        while answered < depth {
            let len = stream.read(&mut buf).await?;
            if len == 0 {
                return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
            }
            let ended = buf[..len].iter().filter(|&&byte| byte == b'$').count();
            let took = sent.elapsed().as_micros() as u64;
            latency
                .record_n(took, ended as u64)
                .expect("the histogram grows");
            answered += ended;
        }
    }
    Ok(latency)
}

/// Returns what a connection adds to resident memory while its requests are at work, by
/// whether the server reads ahead, and by depth. All connections stay open until the
/// end, so that none uses the memory of another.
async fn memory_by_server(connections: usize) -> Result<HashMap<(bool, usize), u64>, BenchError> {
    let mut streams = Vec::with_capacity(connections * DEPTHS.len() * 2);
    let mut found = HashMap::new();
    // The first depth comes twice, as its first connections also set up the process.
    for depth in std::iter::once(DEPTHS[0]).chain(DEPTHS) {
        for look_ahead in [false, true] {
            // The requests end only with their connections.
            let addr = serve(if look_ahead { depth } else { 0 }, Duration::MAX).await?;
            let before = usage::resident_bytes()?;
            for _ in 0..connections {
                let mut stream = TcpStream::connect(addr).await?;
                stream.write_all(pipeline(depth).as_bytes()).await?;
                streams.push(stream);
            }
            smol::Timer::after(SETTLING).await;
            let added = usage::resident_bytes()?.saturating_sub(before);
            found.insert((look_ahead, depth), added / connections.max(1) as u64);
        }
    }
    Ok(found)
}

fn pipeline(depth: usize) -> String {
    "GET /read HTTP/1.1\r\nHost: a.example\r\n\r\n".repeat(depth)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are allowed")
}
