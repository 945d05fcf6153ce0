//! Nodes are stopped and started in turn while an endpoint repeats the answer to a grant
//! and carries the next one out late.

use crate::cluster::{Cluster, Machine};
use crate::endpoint::LateGrant;
use crate::record::{Hold, Record};
use crate::store::Store;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::{io, thread};

const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(600);
const THINK: Duration = Duration::from_millis(40);
/// Time between two nodes that are stopped in turn.
const STOP_GAP: Duration = Duration::from_millis(1_000);
/// Orders are carried out 2 to 12 s late.
const LATENESS: Duration = Duration::from_millis(2_000);

const CONFIG: &str = r#"{"version":"r7",
 "routes":{
  "r-pay":{"host":"shop.example","prefix":"/pay/","service":"till","kind":"non_idempotent","timeout-s":2.0,"target-latency-s":0.4,"priority":1,"max-attempts":2}},
 "services":{"till":{"max-connections":130,"health-path":"/healthz","sharded":true}},
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":10,"idle-timeout-s":60}}"#;

/// Returns whether the rule was broken.
pub fn run(record_path: &Path) -> io::Result<bool> {
    let binary = crate::binary().ok_or(io::Error::other("target/release/ibiscove is missing"))?;
    let dir = crate::temporary_dir()?;
    let net = crate::cluster::unused_net()?;
    let record = Record::new();
    let store_addr = net.addr(250, crate::cluster::STORE_PORT);
    let store = Store::start(store_addr)?;
    store.put("op", "config", CONFIG);
    let zones = vec!["zone-a", "zone-b", "zone-c"];
    let machine = |(index, zone): (usize, &&str)| {
        Machine::new(net, index as u8 + 1, zone, "till", &binary, &dir)
    };
    let machines: Vec<Machine> = zones.iter().enumerate().map(machine).collect();
    let cluster = Cluster::new(machines, record.clone(), store_addr, zones);
    let mut endpoints = Vec::new();
    for machine in &cluster.machines {
        machine.start(store_addr, &cluster.zones)?;
        endpoints.push(machine.start_endpoint(true, WORK, &record)?);
    }
    thread::sleep(Duration::from_secs(9));
    if cluster.machines.iter().any(Machine::has_exited) {
        return Err(io::Error::other("a node did not start"));
    }
    let held: u32 = record
        .holds()
        .iter()
        .map(|h| u32::from(h.last) - u32::from(h.first) + 1)
        .sum();
    if held < 1 << 16 {
        return Err(io::Error::other("not all keys are held"));
    }
    cluster.watch_readiness();
    record.event("traffic begins");
    for index in 0..cluster.machines.len() {
        for _ in 0..4 {
            cluster.start_client(index, "POST", "/pay/7", DEADLINE, THINK);
        }
    }
    thread::sleep(Duration::from_secs(3));
    if crate::has_trouble() {
        endpoints[1].set_late_grant(LateGrant {
            repeats_answer: std::env::var("REPEAT").map_or(true, |value| value != "0"),
            delay: LATENESS,
        });
    }
    cluster.stop_and_start(0)?;
    thread::sleep(STOP_GAP);
    cluster.stop_and_start(1)?;
    thread::sleep(Duration::from_secs(12));
    record.event("traffic ends");
    cluster.is_sending.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_000));
    for machine in &cluster.machines {
        machine.kill();
    }
    let served = record.count_answered(200);
    record.event(&format!(
        "{} requests, {served} answered 200",
        record.attempts().len()
    ));
    if served < 100 {
        return Err(io::Error::other("hardly any request was served"));
    }
    let holds = record.holds();
    let mut is_broken = false;
    for (taken, other) in pairs(&holds) {
        let (first, last) = (taken.first.max(other.first), taken.last.min(other.last));
        if first > last || taken.endpoint == other.endpoint {
            continue;
        }
        if taken.from > other.from && taken.fence <= other.fence {
            is_broken = true;
            record.event(&format!(
                "broken: {} took {first}-{last} with fence {} at {:.3}, {} had it with {} since {:.3}",
                taken.endpoint, taken.fence, taken.from.as_secs_f64(),
                other.endpoint, other.fence, other.from.as_secs_f64()
            ));
        }
        let both = taken
            .until
            .min(other.until)
            .saturating_sub(taken.from.max(other.from));
        if taken.from > other.from && both > Duration::from_millis(500) {
            record.event(&format!(
                "{} and {} held {first}-{last} for {:.3} s at the same time",
                taken.endpoint,
                other.endpoint,
                both.as_secs_f64()
            ));
        }
    }
    std::fs::write(record_path, record.text())?;
    let _ = std::fs::remove_dir_all(&dir);
    Ok(is_broken)
}

fn pairs(holds: &[Hold]) -> impl Iterator<Item = (&Hold, &Hold)> {
    holds
        .iter()
        .flat_map(move |taken| holds.iter().map(move |other| (taken, other)))
}
