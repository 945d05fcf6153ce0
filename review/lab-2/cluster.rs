//! Three machines with a node and an endpoint each, and the store.

use crate::endpoint::{Endpoint, EndpointSettings};
use crate::node::{Machine, Node};
use crate::record::Record;
use crate::store::{Access, Store};
use std::fs;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ZONES: [&str; 3] = ["dakar-plateau", "dakar-medina", "dakar-almadies"];
/// Time for the nodes to be ready and their endpoints known.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Cluster {
    pub store: Store,
    pub access: Vec<Access>,
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Endpoint>,
    dir: PathBuf,
}

/// What the cluster runs.
pub struct ClusterSettings<'a> {
    /// Service of the endpoint on each machine.
    pub services: &'a [&'a str],
    /// The services whose keys are divided.
    pub sharded: &'a [&'a str],
    /// The operator's configuration.
    pub config: &'a str,
    /// How long a request takes.
    pub work: Duration,
    /// Least length of an answer's body.
    pub answer_bytes: usize,
}

impl Cluster {
    /// Starts everything and waits until all nodes are ready.
    pub fn start(settings: &ClusterSettings<'_>, record: &Record) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("ibiscove-review-{}", process::id()));
        fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let net = unused_net().ok_or("no free loopback addresses")?;
        let store = Store::new();
        store.put("op", "config", settings.config);
        let mut cluster = Self {
            store,
            access: Vec::new(),
            nodes: Vec::new(),
            endpoints: Vec::new(),
            dir,
        };
        for (index, service) in settings.services.iter().enumerate() {
            let ip = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, index as u8 + 1));
            let machine = Machine { ip };
            let access = Access::default();
            cluster.store.serve(machine.store(), access.clone());
            cluster.access.push(access);
            let zone = ZONES[index % ZONES.len()];
            let name = format!("sidecar-{zone}-{}", index + 1);
            let node = Node::new(&name, zone, service, machine, &cluster.dir);
            node.start();
            cluster.nodes.push(node);
            let endpoint = EndpointSettings {
                id: format!("i-{:08x}", 0x7f3a_91c0 + index),
                service: (*service).to_owned(),
                zone: zone.to_owned(),
                addr: machine.endpoint(),
                control: machine.control(),
                sharded: settings.sharded.contains(service),
                work: settings.work,
                answer_bytes: settings.answer_bytes,
            };
            cluster.endpoints.push(Endpoint::start(endpoint, record.clone()));
        }
        let started = Instant::now();
        while !cluster.nodes.iter().all(Node::is_ready) {
            if started.elapsed() > START_TIMEOUT {
                return Err("the nodes did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line("all nodes are ready");
        Ok(cluster)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.iter().for_each(Node::kill);
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.dir).ok();
        }
    }
}

/// Returns the middle bytes of loopback addresses that nobody listens on.
fn unused_net() -> Option<(u8, u8)> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let mut number = since_epoch.subsec_nanos() ^ process::id();
    for _ in 0..50 {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let net = ((number >> 8) as u8 % 200 + 20, (number >> 16) as u8);
        let is_free = |host, port| {
            TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, host), port)).is_ok()
        };
        if (1..=9).all(|host| [7620, 8301, 8302, 8304, 8306, 8309, 9464].iter().all(|port| is_free(host, *port))) {
            return Some(net);
        }
    }
    None
}
