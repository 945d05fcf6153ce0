//! An endpoint that drains sends a second copy of a grant's answer, late: when the answer
//! to the next call on that connection, a release, is expected.

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
const WORK_MS: u64 = 900;

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
    std::thread::sleep(Duration::from_secs(5));
    let endpoint = &deployment.endpoints[LEAVING];
    if trouble {
        endpoint.copy_answer_late(1);
    }
    let status = endpoint.drain();
    record.say(format!(
        "{} reports that it drains, answered {status}",
        endpoint.id
    ));
    std::thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    Ok(ownership::held(record, &deployment.ledger.lock().unwrap()))
}
