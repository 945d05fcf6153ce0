//! Clients on kept connections read their answers late, well within their deadlines.

use crate::Verdict;
use crate::cluster::{Cluster, ClusterSettings};
use crate::http;
use crate::node::Node;
use crate::record::{Answer, Record};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":"r7","routes":{"receipts":{"host":"caisse.example","prefix":"/receipts/","kind":"safe","timeout-s":15,"target-latency-s":4,"priority":2,"service":"caisse","max-attempts":2}},"services":{"caisse":{"health-path":"/healthz","max-connections":130,"protocol":"h1","tls":false}},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;
/// Deadline of the clients, that of `receipt-history` in the large deployment.
const DEADLINE: Duration = Duration::from_secs(15);
/// Length of an answer, the longest of the site files.
const ANSWER_BYTES: usize = 30_000;
/// Time for which a slow client reads nothing.
const PAUSE: Duration = Duration::from_secs(5);
const CLIENTS: usize = 4;
/// Requests that a client sends one behind the other.
const PIPELINED: usize = 8;

pub fn play(record_path: &str, is_disrupted: bool) -> Verdict {
    let record = match Record::create(record_path) {
        Ok(record) => record,
        Err(err) => return Verdict::NotRun(err.to_string()),
    };
    let settings = ClusterSettings {
        services: &["caisse", "caisse", "caisse"],
        sharded: &[],
        config: CONFIG,
        work: Duration::from_millis(240),
        answer_bytes: ANSWER_BYTES,
    };
    let cluster = match Cluster::start(&settings, &record) {
        Ok(cluster) => cluster,
        Err(why) => return Verdict::NotRun(why),
    };
    thread::sleep(Duration::from_secs(3));
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (node, record) = (&cluster.nodes[number % cluster.nodes.len()], &record);
            scope.spawn(move || {
                if let Err(err) = use_connection(node, number, is_disrupted, record) {
                    record.line(&format!("client {number} cannot send: {err}"));
                }
            });
        }
    });

    let runs = record.runs();
    let answers = record.answers();
    let complete = answers.iter().filter(|answer| answer.status == 200).count();
    let has_run = |request: &str| runs.iter().any(|run| run.request == request);
    let unanswered = answers.iter().filter(|answer| answer.status == 0);
    let lost: Vec<_> = unanswered.filter(|answer| has_run(&answer.request)).collect();
    for answer in &lost {
        record.line(&format!("LOST {} was run and not answered", answer.request));
    }
    record.line(&format!(
        "{complete} of {} requests were answered, {} were run and not answered",
        answers.len(),
        lost.len()
    ));
    if answers.len() != CLIENTS * (1 + PIPELINED) {
        return Verdict::NotRun("not all clients could send".to_owned());
    }
    match lost.len() > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends one request and reads its answer at once, then sends more, one behind the other,
/// and reads their answers after a pause.
fn use_connection(
    node: &Node,
    number: usize,
    is_slow: bool,
    record: &Record,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(node.machine.outbound())?;
    stream.set_nodelay(true)?;
    let mut from = BufReader::new(stream.try_clone()?);
    for (batch, count, pauses) in [(0, 1, false), (1, PIPELINED, is_slow)] {
        let ids: Vec<String> = (0..count)
            .map(|index| format!("client{number}batch{batch}n{index}"))
            .collect();
        for id in &ids {
            stream.write_all(&request(id))?;
            record.line(&format!("sent     {id} at {}", node.name));
        }
        let sent_at = Instant::now();
        if pauses {
            thread::sleep(PAUSE);
            record.line(&format!("client {number} begins to read"));
        }
        let mut is_open = true;
        for id in ids {
            let left = DEADLINE.saturating_sub(sent_at.elapsed());
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            let answer = match is_open {
                true => http::read(&mut from),
                false => Ok(None),
            };
            if let Err(err) = &answer {
                let after = sent_at.elapsed().as_secs_f64();
                record.line(&format!("client {number} after {after:.2} s: {err}"));
            }
            let status = match answer {
                Ok(Some(answer)) => answer.status(),
                _ => 0,
            };
            is_open &= status > 0;
            record.answered(Answer {
                request: id,
                machine: node.name.clone(),
                sent_at,
                status,
            });
        }
    }
    Ok(())
}

fn request(id: &str) -> Vec<u8> {
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "caisse.example"),
        ("Ibiscove-Request-Id", id),
        ("Ibiscove-Deadline-Ms", &deadline),
    ];
    http::format(&format!("GET /receipts/{id} HTTP/1.1"), &headers, b"")
}
