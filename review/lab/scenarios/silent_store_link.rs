//! The open connections to the store go silent, and some seconds later the operator moves
//! a route to another service.

use super::{DIARY, Deployment, GALLERY, GALLERY_HOST, configuration};
use crate::client::{Call, Connection};
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
/// Bounds of the settings.
const STABLE_WINDOW_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.0;
/// Beyond the window, so that all machines are in touch when the configuration changes.
const MARGIN_S: f64 = 2.0;
const WATCHED_S: f64 = 20.0;

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(record, &PLACES)?;
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (client, node) in deployment.cluster.nodes.iter().enumerate() {
        let (addr, record, name) = (node.outbound(), record.clone(), node.name.clone());
        let (is_over, sent) = (Arc::clone(&is_over), Arc::clone(&sent));
        clients.push(std::thread::spawn(move || {
            let mut connection = Connection::default();
            for number in 0.. {
                if is_over.load(Ordering::Acquire) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(100));
                let id = format!("c{client}n{number}");
                sent.lock()
                    .unwrap()
                    .insert(id.clone(), (record.now(), name.clone()));
                let call = Call {
                    target: format!("/order/{id}?work=20"),
                    method: "POST",
                    host: GALLERY_HOST,
                    deadline: Duration::from_millis(1_000),
                    body: id.clone().into_bytes(),
                    key: None,
                    id: id.clone(),
                };
                let (outcome, _) = connection.send(addr, &call, &record);
                record.line(format!("client got {id} {outcome:?}"));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        let silent = deployment.cluster.store_link.silence_open();
        record.say(format!(
            "{silent} open connections to the store go silent, new ones work"
        ));
    }
    std::thread::sleep(Duration::from_secs_f64(STABLE_WINDOW_S + MARGIN_S));
    deployment
        .cluster
        .store
        .put("op", "config", &configuration("r8", DIARY));
    let acknowledged = record.now();
    record.say(format!(
        "r8 is acknowledged: orders go to {DIARY}, no longer to {GALLERY}"
    ));
    std::thread::sleep(Duration::from_secs_f64(WATCHED_S));
    is_over.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let runs = deployment.runs.lock().unwrap();
    let mut stale: BTreeMap<&str, (usize, f64)> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.endpoint.ends_with(GALLERY)) {
        let Some((sent, node)) = sent.get(&run.id) else {
            continue;
        };
        let late = sent - acknowledged;
        if late > CONFIG_APPLY_S {
            let entry = stale.entry(node).or_default();
            *entry = (entry.0 + 1, entry.1.max(late));
        }
    }
    for (node, (count, latest)) in &stale {
        record.say(format!(
            "CONFIG: {count} orders at {node} were run by {GALLERY} though sent over {CONFIG_APPLY_S} s \
             after r8, the last one {latest:.1} s after it"
        ));
    }
    record.say(format!("{} orders, {} runs", sent.len(), runs.len()));
    Ok(stale.is_empty())
}
