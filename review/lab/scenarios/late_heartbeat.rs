//! An endpoint withdraws around a restart of processes, and a heartbeat that it had sent
//! before arrives late.

use super::{DIARY, Deployment, GALLERY, GALLERY_HOST, wait_until_ready};
use crate::client::{Call, Connection, Outcome};
use crate::cluster::Node;
use crate::endpoint::Endpoint;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PLACES: [(&str, &str); 5] = [
    ("dakar-plateau", GALLERY),
    ("dakar-plateau", DIARY),
    ("dakar-medina", GALLERY),
    ("dakar-medina", DIARY),
    ("dakar-almadies", GALLERY),
];
/// The endpoint that leaves.
const LEAVING: usize = 2;
/// Nodes whose clients send.
const ENTRIES: [usize; 3] = [0, 1, 3];
/// Bounds of the settings.
const DRAIN_S: f64 = 2.0;
const STABLE_WINDOW_S: f64 = 3.0;
/// Allowance for the start of a process.
const START_S: f64 = 0.5;
/// How late the heartbeat comes, and how long the endpoint serves on after its
/// withdrawal.
const LATE_S: f64 = 3.0;
const SERVES_ON_S: f64 = 12.0;

/// What happens first.
#[derive(Clone, Copy)]
pub enum Order {
    /// The endpoint withdraws; then the processes of all nodes are killed and restarted.
    WithdrawThenKillAll,
    /// The process of the endpoint's node is killed and restarted; then the endpoint
    /// withdraws, before the new process has heard of it.
    KillOneThenWithdraw,
}

/// Kills the processes of nodes and starts them again.
fn restart(record: &Record, nodes: &[&Node]) -> io::Result<()> {
    record.say(format!("SIGKILL to the processes of {} nodes", nodes.len()));
    nodes.iter().for_each(|node| node.kill());
    std::thread::sleep(Duration::from_millis(500));
    nodes.iter().try_for_each(|node| node.start())
}

/// Withdraws the endpoint; returns when that was acknowledged.
fn withdraw(record: &Record, endpoint: &Endpoint) -> io::Result<f64> {
    let status = endpoint.leave();
    record.say(format!("{} withdraws, answered {status}", endpoint.id));
    match status {
        200 => Ok(record.now()),
        _ => Err(io::Error::other("the withdrawal was not acknowledged")),
    }
}

pub fn run(record: &Record, trouble: bool, order: Order) -> io::Result<bool> {
    let deployment = Deployment::start(record, &PLACES)?;
    let outcomes = Arc::new(Mutex::new(BTreeMap::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (client, entry) in ENTRIES.into_iter().cycle().take(24).enumerate() {
        let node = &deployment.cluster.nodes[entry];
        let (name, addr) = (node.name.clone(), node.outbound());
        let (record, readiness) = (record.clone(), deployment.readiness.clone());
        let (is_over, outcomes) = (Arc::clone(&is_over), Arc::clone(&outcomes));
        clients.push(std::thread::spawn(move || {
            let mut connection = Connection::default();
            for number in 0.. {
                if is_over.load(Ordering::Acquire) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
                if !readiness.may_send(&name) {
                    continue;
                }
                let id = format!("c{client}n{number}");
                let (outcome, _) = connection.send(addr, &call(client, id.clone()), &record);
                record.line(format!("client got {id} {outcome:?}"));
                outcomes.lock().unwrap().insert(id, outcome);
            }
        }));
    }
    let start = record.now();
    record.sleep_until(start + 3.0);
    let endpoint = &deployment.endpoints[LEAVING];
    // This heartbeat is under way for some seconds.
    let late_heartbeat = endpoint.heartbeat();
    let sent_at = record.now();
    endpoint.stop_announcing();
    let (left_at, in_touch_from) = match order {
        _ if !trouble => (withdraw(record, endpoint)?, record.now()),
        Order::WithdrawThenKillAll => {
            record.sleep_until(sent_at + 1.0);
            let left_at = withdraw(record, endpoint)?;
            record.sleep_until(left_at + 0.3);
            restart(record, &deployment.cluster.nodes.iter().collect::<Vec<_>>())?;
            (left_at, record.now())
        }
        Order::KillOneThenWithdraw => {
            let node = &deployment.cluster.nodes[LEAVING];
            restart(record, &[node])?;
            let restarted_at = record.now();
            wait_until_ready(node)?;
            (withdraw(record, endpoint)?, restarted_at)
        }
    };
    let in_touch_from = in_touch_from + START_S + STABLE_WINDOW_S;
    record.sleep_until(sent_at + LATE_S);
    let status = endpoint.send_heartbeat(&late_heartbeat);
    record.say(format!(
        "a heartbeat from before the withdrawal arrives late, answered {status}"
    ));
    record.sleep_until(left_at + SERVES_ON_S);
    endpoint.end();
    let ended_at = record.now();
    record.say(format!("{} has ended", endpoint.id));
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let late_from = (left_at + DRAIN_S).max(in_touch_from);
    let runs = deployment.runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|run| run.endpoint == endpoint.id && run.began > late_from);
    let late: Vec<_> = late.collect();
    for run in late.iter().take(10) {
        record.say(format!(
            "DRAIN: {} reached {} {:.2} s after its withdrawal was acknowledged",
            run.id,
            run.endpoint,
            run.began - left_at
        ));
    }
    let outcomes = outcomes.lock().unwrap();
    let cut_off = late
        .iter()
        .filter(|run| outcomes.get(&run.id) != Some(&Outcome::Answer(200)));
    let cut_off: Vec<_> = cut_off.collect();
    for run in &cut_off {
        record.say(format!(
            "LOST: {} was at work when {} ended: {:?}",
            run.id,
            run.endpoint,
            outcomes.get(&run.id)
        ));
    }
    record.say(format!(
        "{} requests, {} runs; {} reached the endpoint over {:.2} s after its withdrawal by machines in \
         touch, of which {} were cut off by its end at {:.2} s",
        outcomes.len(),
        runs.len(),
        late.len(),
        late_from - left_at,
        cut_off.len(),
        ended_at - left_at
    ));
    Ok(late.is_empty())
}

fn call(client: usize, id: String) -> Call {
    let (method, host, prefix) = match client % 3 {
        0 => ("GET", GALLERY_HOST, "browse"),
        _ => ("POST", GALLERY_HOST, "order"),
    };
    Call {
        target: format!("/{prefix}/{id}?work=250"),
        method,
        host,
        deadline: Duration::from_millis(1_500),
        body: if method == "POST" {
            id.clone().into_bytes()
        } else {
            Vec::new()
        },
        key: None,
        id,
    }
}
