//! An endpoint drains while the store is down, and then stops accepting connections while its
//! last requests run.

use super::ownership;
use super::{Deployment, GALLERY, TILL, TILL_HOST};
use crate::client::{Call, Connection};
use crate::record::Record;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const PLACES: [(&str, &str); 5] = [
    ("dakar-plateau", TILL),
    ("dakar-plateau", GALLERY),
    ("dakar-medina", TILL),
    ("dakar-medina", GALLERY),
    ("dakar-almadies", TILL),
];
/// The endpoint that drains.
const LEAVING: usize = 0;
/// Clients, each with an equal part of the keys.
const CLIENTS: u32 = 32;
const KEYS_PER_CLIENT: u32 = (1 << 16) / CLIENTS;
/// Within the deadline of 2.5 s; the longest work of the site takes 1.4 s, twice that at an
/// endpoint of half the speed.
const WORK_MS: u64 = 2_300;
/// How long the endpoint serves on after its announcement that it drains: `drain-s` and a
/// little longer.
const SERVES_ON: Duration = Duration::from_millis(2_100);

/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(2_300);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(record, &PLACES)?;
    // Keys are divided after some seconds.
    std::thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let addr = deployment.cluster.nodes[[1, 3][client as usize % 2]].outbound();
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        clients.push(std::thread::spawn(move || {
            let mut connection = Connection::default();
            // Requests begin at different times.
            std::thread::sleep(Duration::from_millis(
                u64::from(client) * WORK_MS / u64::from(CLIENTS),
            ));
            for number in 0.. {
                if is_over.load(Ordering::Acquire) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
                let id = format!("c{client}n{number}");
                let call = Call {
                    target: format!("/receipts/{id}?work={WORK_MS}"),
                    method: "GET",
                    host: TILL_HOST,
                    deadline: Duration::from_millis(2_500),
                    body: Vec::new(),
                    key: Some(client * KEYS_PER_CLIENT + number * 37 % KEYS_PER_CLIENT),
                    id: id.clone(),
                };
                let (outcome, _) = connection.send(addr, &call, &record);
                record.line(format!("client got {id} {outcome:?}"));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(7));
    let endpoint = Arc::clone(&deployment.endpoints[LEAVING]);
    let store = deployment.cluster.store.clone();
    if trouble {
        record.say("the store refuses all calls with 503");
        store.set_busy(true);
    }
    std::thread::sleep(Duration::from_millis(100));
    let status = endpoint.drain();
    record.say(format!(
        "{} reports that it drains, answered {status}",
        endpoint.id
    ));
    let (leaving, line) = (Arc::clone(&endpoint), record.clone());
    let exit = std::thread::spawn(move || {
        std::thread::sleep(SERVES_ON);
        leaving.stop_accepting();
        line.say(format!(
            "{} accepts no more connections, {} requests run on",
            leaving.id,
            leaving.running()
        ));
        while leaving.running() > 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        leaving.stop_announcing();
        let status = leaving.leave();
        leaving.end();
        line.say(format!(
            "{} withdraws, answered {status}, and exits",
            leaving.id
        ));
    });
    std::thread::sleep(OUTAGE);
    if trouble {
        store.set_busy(false);
        record.say("the store serves again");
    }
    let _ = exit.join();
    std::thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    Ok(ownership::held(record, &deployment.ledger.lock().unwrap()))
}
