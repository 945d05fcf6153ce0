//! Measures the memory of a node by the number of requests that it has answered, with and
//! without reads of its metrics page. A measurement, not a case: the requests come far
//! faster than clients of a deployment send them.
//!
//! `FETCH=1` reads the metrics every 5 s, as the platform does while an incident is
//! examined.

use crate::cluster::{Cluster, Machine, STORE_PORT, unused_net};
use crate::record::Record;
use crate::store::Store;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use std::{io, thread};

const CONFIG: &str = r#"{"version":"r7",
 "routes":{
  "r-read":{"host":"shop.example","prefix":"/gallery/","service":"gallery","kind":"safe","timeout-s":2.0,"target-latency-s":0.4,"priority":2,"max-attempts":2}},
 "services":{"gallery":{"max-connections":130,"health-path":"/healthz"}},
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":10,"idle-timeout-s":60}}"#;

/// A request for a route that is not there, which costs the node little.
const REQUEST: &str = "GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\
     Ibiscove-Request-Id: 9c41d07be2a35f68\r\nIbiscove-Deadline-Ms: 800\r\n\r\n";
/// Requests that a client sends before it reads the answers.
const BATCH: usize = 16;
const CLIENTS: usize = 4;
const DURATION: Duration = Duration::from_secs(40);
const FETCH_INTERVAL: Duration = Duration::from_secs(5);

/// Writes the figures into the record; never finds a broken rule.
pub fn run(record_path: &Path) -> io::Result<bool> {
    let binary = crate::binary().ok_or(io::Error::other("target/release/ibiscove is missing"))?;
    let dir = crate::temporary_dir()?;
    let net = unused_net()?;
    let store_addr = net.addr(250, STORE_PORT);
    let store = Store::start(store_addr)?;
    store.put("op", "config", CONFIG);
    let machine = Machine::new(net, 1, "zone-a", "gallery", &binary, &dir);
    let cluster = Cluster::new(vec![machine], Record::new(), store_addr, vec!["zone-a"]);
    let machine = &cluster.machines[0];
    machine.start(store_addr, &cluster.zones)?;
    thread::sleep(Duration::from_secs(3));
    let answered = Arc::new(AtomicU64::new(0));
    for _ in 0..CLIENTS {
        let (addr, answered) = (machine.addr(8304), Arc::clone(&answered));
        thread::spawn(move || send(addr, &answered));
    }
    let fetches = std::env::var("FETCH").is_ok_and(|value| value == "1");
    let began = Instant::now();
    let mut out = String::new();
    while began.elapsed() < DURATION {
        thread::sleep(FETCH_INTERVAL);
        if fetches {
            fetch_metrics(machine.addr(9464))?;
        }
        let peak = machine.peak_mb().unwrap_or_default();
        let count = answered.load(Ordering::Relaxed);
        let _ = writeln!(out, "{count} requests answered, peak memory {peak:.1} MiB");
    }
    print!("{out}");
    std::fs::write(record_path, out)?;
    machine.kill();
    Ok(false)
}

fn send(addr: SocketAddr, answered: &AtomicU64) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    let batch = REQUEST.repeat(BATCH);
    let mut buf = [0; 64 << 10];
    loop {
        stream.write_all(batch.as_bytes())?;
        let mut seen = 0;
        while seen < BATCH {
            let len = match stream.read(&mut buf)? {
                0 => return Ok(()),
                len => len,
            };
            seen += buf[..len]
                .windows(9)
                .filter(|word| word == b"HTTP/1.1 ")
                .count();
        }
        answered.fetch_add(BATCH as u64, Ordering::Relaxed);
    }
}

fn fetch_metrics(addr: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n")?;
    stream.read_to_end(&mut Vec::new()).map(|_| ())
}
