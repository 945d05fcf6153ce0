//! The scenarios, each with its check. True: the rule held.

mod graceful_exit;
mod late_copy;
mod late_heartbeat;
mod ownership;
mod silent_store_link;

use crate::client::{Readiness, probe};
use crate::cluster::{Cluster, Node, Place};
use crate::endpoint::{Endpoint, Runs};
use crate::keyed::SharedLedger;
use crate::record::Record;
use late_heartbeat::Order;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const GALLERY: &str = "galerie";
pub const DIARY: &str = "agenda";
pub const TILL: &str = "caisse";
pub const GALLERY_HOST: &str = "galerie.example";
pub const DIARY_HOST: &str = "agenda.example";
pub const TILL_HOST: &str = "caisse.example";

pub fn run(scenario: &str, folder: &str, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    record.say(format!("{scenario}, trouble={trouble}"));
    let held = match scenario {
        "graceful-exit" => graceful_exit::run(&record, trouble)?,
        "late-copy" => late_copy::run(&record, trouble)?,
        "silent-store-link" => silent_store_link::run(&record, trouble)?,
        "late-heartbeat" => late_heartbeat::run(&record, trouble, Order::WithdrawThenKillAll)?,
        "early-withdrawal" => late_heartbeat::run(&record, trouble, Order::KillOneThenWithdraw)?,
        _ => return Err(io::Error::other(format!("no scenario {scenario}"))),
    };
    record.say(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    Ok(held)
}

/// A deployment that serves.
pub struct Deployment {
    pub cluster: Cluster,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub runs: Runs,
    pub ledger: SharedLedger,
    pub readiness: Readiness,
}

impl Deployment {
    /// Starts the nodes with an endpoint beside each, and waits until all are ready and
    /// have been so for a while.
    pub fn start(record: &Record, places: &[(&'static str, &'static str)]) -> io::Result<Self> {
        let places: Vec<Place> = places
            .iter()
            .map(|(zone, service)| Place { zone, service })
            .collect();
        let cluster = Cluster::new(record, &places)?;
        cluster
            .store
            .put("op", "config", &configuration("r3", GALLERY));
        let runs = Runs::default();
        let ledger = SharedLedger::default();
        let readiness = Readiness::default();
        let mut endpoints = Vec::new();
        for (index, node) in cluster.nodes.iter().enumerate() {
            node.start()?;
            endpoints.push(Endpoint::start(
                &format!("i-{index}-{}", node.place.service),
                node.place.service,
                node.place.zone,
                node.app(),
                node.control(),
                record,
                &runs,
                &ledger,
            )?);
        }
        let deployment = Self {
            cluster,
            endpoints,
            runs,
            ledger,
            readiness,
        };
        for node in &deployment.cluster.nodes {
            wait_until_ready(node)?;
            deployment
                .readiness
                .watch(&node.name, node.place.zone, node.ready(), record);
        }
        std::thread::sleep(Duration::from_secs(4));
        record.say("all nodes are ready");
        Ok(deployment)
    }
}

fn wait_until_ready(node: &Node) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    while probe(node.ready()) != 200 {
        if Instant::now() > until {
            return Err(io::Error::other(format!("{} is not ready", node.name)));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// The operator's configuration: a route of `safe` and one of `non_idempotent` requests
/// to each service; `orders_to` is the service that runs the orders.
pub fn configuration(version: &str, orders_to: &str) -> String {
    let route = |name: &str, host: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "\"{name}\":{{\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout-s\":6,\"target-latency-s\":1,\"priority\":1,\"max-attempts\":2,\
             \"service\":\"{service}\"}}"
        )
    };
    let routes = [
        route("browse", GALLERY_HOST, "/browse/", "safe", GALLERY),
        route(
            "order",
            GALLERY_HOST,
            "/order/",
            "non_idempotent",
            orders_to,
        ),
        route("slots", DIARY_HOST, "/slots/", "safe", DIARY),
        route("book", DIARY_HOST, "/book/", "non_idempotent", DIARY),
        route("receipts", TILL_HOST, "/receipts/", "safe", TILL),
        route("pay", TILL_HOST, "/pay/", "non_idempotent", TILL),
    ];
    format!(
        "{{\"version\":\"{version}\",\"routes\":{{{}}},\"services\":{{\"{GALLERY}\":{{\"max-connections\":130,\
         \"health-path\":\"/healthz\"}},\"{DIARY}\":{{\"max-connections\":130,\"health-path\":\
         \"/healthz\"}},\"{TILL}\":{{\"max-connections\":130,\"health-path\":\"/healthz\",\
         \"sharded\":true,\"warmup-s\":3.0,\"grants\":\"rpc\"}}}},\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,\
         \"header-timeout-s\":5,\"idle-timeout-s\":10}}}}",
        routes.join(",")
    )
}
