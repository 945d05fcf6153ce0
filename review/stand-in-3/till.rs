//! A small deployment whose only service is divided by key, and the check of who held what.

use crate::cluster::{Cluster, Machine, STORE_PORT, unused_net};
use crate::endpoint::{Endpoint, EndpointSettings};
use crate::record::{Hold, Record};
use crate::store::Store;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::{io, thread};

/// Time of a request at an endpoint, of the divided service and of the other one.
const WORK: Duration = Duration::from_millis(20);
const SHARED_WORK: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(600);
const THINK: Duration = Duration::from_millis(40);
const CLIENTS_PER_MACHINE: usize = 4;
/// Longest time for which the rule allows that two endpoints hold the same keys.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":"r7",
 "routes":{
  "r-pay":{"host":"shop.example","prefix":"/pay/","service":"till","kind":"non_idempotent","timeout-s":2.0,"target-latency-s":0.4,"priority":1,"max-attempts":2}},
 "services":{"till":{"max-connections":130,"health-path":"/healthz","sharded":true}},
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":10,"idle-timeout-s":60}}"#;

/// Three machines in three zones, each with an endpoint of the service.
pub struct Till {
    pub cluster: Arc<Cluster>,
    pub endpoints: Vec<Endpoint>,
}

/// What the rule forbids, as far as it was seen.
#[derive(Default)]
pub struct Verdict {
    /// Whether an endpoint took a key with a fence that is not above those of others.
    pub has_low_fence: bool,
    /// Whether two endpoints held the same keys for too long.
    pub has_overlap: bool,
}

impl Till {
    /// Starts the machines, and the clients once all keys are held.
    pub fn start() -> io::Result<Self> {
        Self::start_with(CONFIG, true, &[0, 1, 2])
    }

    /// Starts the machines with a service that is not divided, with endpoints on the first
    /// and the last of them, and the clients.
    pub fn start_shared() -> io::Result<Self> {
        let config = CONFIG.replace(r#","sharded":true"#, "");
        Self::start_with(&config, false, &[0, 2])
    }

    fn start_with(config: &str, is_sharded: bool, with_endpoint: &[usize]) -> io::Result<Self> {
        let binary = crate::binary();
        let binary = binary.ok_or(io::Error::other("target/release/ibiscove is missing"))?;
        let dir = crate::temporary_dir()?;
        let net = unused_net()?;
        let record = Record::new();
        let store_addr = net.addr(250, STORE_PORT);
        let store = Store::start(store_addr)?;
        store.put("op", "config", config);
        let zones = vec!["zone-a", "zone-b", "zone-c"];
        let machine = |(index, zone): (usize, &&str)| {
            Machine::new(net, index as u8 + 1, zone, "till", &binary, &dir)
        };
        let machines: Vec<Machine> = zones.iter().enumerate().map(machine).collect();
        let cluster = Cluster::new(machines, record.clone(), store_addr, zones);
        let work = if is_sharded { WORK } else { SHARED_WORK };
        let mut endpoints = Vec::new();
        for (index, machine) in cluster.machines.iter().enumerate() {
            machine.start(store_addr, &cluster.zones)?;
            if with_endpoint.contains(&index) {
                endpoints.push(machine.start_endpoint(is_sharded, work, &record)?);
            }
        }
        thread::sleep(Duration::from_secs(9));
        if cluster.machines.iter().any(Machine::has_exited) {
            return Err(io::Error::other("a node did not start"));
        }
        let width = |hold: &Hold| u32::from(hold.last) - u32::from(hold.first) + 1;
        if is_sharded && record.holds().iter().map(width).sum::<u32>() < 1 << 16 {
            return Err(io::Error::other("not all keys are held"));
        }
        cluster.watch_readiness();
        record.event("traffic begins");
        let till = Self { cluster, endpoints };
        till.start_clients();
        thread::sleep(Duration::from_secs(3));
        Ok(till)
    }

    /// Starts the clients of all machines.
    pub fn start_clients(&self) {
        self.cluster.is_sending.store(true, Ordering::SeqCst);
        for index in 0..self.cluster.machines.len() {
            for _ in 0..CLIENTS_PER_MACHINE {
                self.cluster
                    .start_client(index, "POST", "/pay/7", DEADLINE, THINK);
            }
        }
    }

    /// Ends the clients, whose last requests end within a short time.
    pub fn stop_clients(&self) {
        self.cluster.is_sending.store(false, Ordering::SeqCst);
    }

    /// Returns the settings of an endpoint that joins at a machine.
    pub fn shared_endpoint(&self, index: usize) -> EndpointSettings {
        self.cluster.machines[index].endpoint_settings(false, SHARED_WORK)
    }

    /// Ends the traffic and all processes, writes the record and checks it.
    pub fn end(self, record_path: &Path) -> io::Result<Verdict> {
        let record = &self.cluster.record;
        record.event("traffic ends");
        self.cluster.is_sending.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(1_000));
        for machine in &self.cluster.machines {
            machine.kill();
        }
        let served = record.count_answered(200);
        let sent = record.attempts().len();
        record.event(&format!("{sent} requests, {served} answered 200"));
        let verdict = check(record);
        std::fs::write(record_path, record.text())?;
        match served < 100 {
            true => Err(io::Error::other("hardly any request was served")),
            false => Ok(verdict),
        }
    }
}

fn check(record: &Record) -> Verdict {
    let mut verdict = Verdict::default();
    let holds = record.holds();
    for taken in &holds {
        for other in &holds {
            let (first, last) = (taken.first.max(other.first), taken.last.min(other.last));
            if first > last || taken.endpoint == other.endpoint || taken.from <= other.from {
                continue;
            }
            let (taker, owner) = (&taken.endpoint, &other.endpoint);
            if taken.fence <= other.fence {
                verdict.has_low_fence = true;
                record.event(&format!(
                    "low fence: {taker} took {first}-{last} with fence {} at {:.3}, {owner} had it \
                     with {} since {:.3}",
                    taken.fence,
                    taken.from.as_secs_f64(),
                    other.fence,
                    other.from.as_secs_f64()
                ));
            }
            let until = taken.until.min(other.until);
            let both = until.saturating_sub(taken.from);
            if both > MAX_OVERLAP {
                verdict.has_overlap = true;
                record.event(&format!(
                    "two holders: {owner} and {taker} held {first}-{last} for {:.3} s",
                    both.as_secs_f64()
                ));
            }
        }
    }
    verdict
}
