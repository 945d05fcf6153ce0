//! An endpoint withdraws, and its node, which has acknowledged that, is killed and starts
//! again while the store turns the machine away. An announcement from before the
//! withdrawal arrives late.

use crate::Verdict;
use crate::client::{self, ClientRequest};
use crate::cluster::{Cluster, ClusterSettings};
use crate::record::Record;
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":"r7","routes":{"book":{"host":"agenda.example","prefix":"/book/","kind":"non_idempotent","timeout-s":1,"target-latency-s":0.25,"priority":1,"service":"agenda","max-attempts":2}},"services":{"agenda":{"health-path":"/healthz","max-connections":130,"protocol":"h1","tls":false}},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;
/// Bounds of the deployment.
const DRAIN: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the store turns the machine away.
const REJECTION: Duration = Duration::from_secs(9);
/// Time until the platform starts a process that was killed.
const RESTART: Duration = Duration::from_millis(500);
/// How late the announcement arrives.
const LATE: Duration = Duration::from_secs(3);
/// How long the endpoint serves after the acknowledgement: `drain-s` and some seconds.
const SERVES_ON: Duration = Duration::from_secs(8);
/// Clients' requests after the machine is in touch again.
const REQUESTS: usize = 60;
const INTERVAL: Duration = Duration::from_millis(50);

pub fn play(record_path: &str, is_disrupted: bool) -> Verdict {
    let record = match Record::create(record_path) {
        Ok(record) => record,
        Err(err) => return Verdict::NotRun(err.to_string()),
    };
    let settings = ClusterSettings {
        services: &["agenda", "agenda", "agenda"],
        sharded: &[],
        config: CONFIG,
        work: Duration::from_millis(78),
        answer_bytes: 0,
    };
    let cluster = match Cluster::start(&settings, &record) {
        Ok(cluster) => cluster,
        Err(why) => return Verdict::NotRun(why),
    };
    thread::sleep(Duration::from_secs(3));
    let (node, endpoint) = (&cluster.nodes[0], &cluster.endpoints[0]);
    let leaving = &endpoint.settings.id;
    let send = |label: &str, number: usize| {
        let request = ClientRequest {
            id: format!("{label}{number:04}"),
            method: "POST",
            host: "agenda.example",
            path: "/book/",
            key: None,
        };
        client::send(node, &request, &record)
    };
    let mut clients = Vec::new();
    for number in 0..20 {
        clients.push(send("before", number));
        thread::sleep(INTERVAL);
    }
    for client in clients.drain(..) {
        client.join().ok();
    }
    if !record.runs().iter().any(|run| run.endpoint == *leaving) {
        return Verdict::NotRun("the endpoint was not in use before it left".to_owned());
    }

    // The last announcement, which is on its way for some seconds.
    endpoint.fall_silent();
    let late_beat = endpoint.next_beat();
    let sent_beat = Instant::now();
    record.line(&format!("endpoint {leaving} sends its last announcement, ready"));
    let status = endpoint.withdraw();
    let acknowledged = Instant::now();
    record.line(&format!("endpoint {leaving} withdraws: {status}"));
    if !(200..300).contains(&status) {
        return Verdict::NotRun("the withdrawal was not acknowledged".to_owned());
    }
    if is_disrupted {
        cluster.access[0].rejects.store(true, std::sync::atomic::Ordering::SeqCst);
        record.line("the store turns the machine away from now on (503)");
        node.kill();
        record.line("the node is killed");
        thread::sleep(RESTART);
        node.start();
        record.line("the node starts again");
    }
    let started = *node.started_at.lock().unwrap();
    thread::sleep(LATE.saturating_sub(sent_beat.elapsed()));
    let status = endpoint.call_node(&late_beat);
    let late = sent_beat.elapsed().as_secs_f64();
    record.line(&format!("the announcement arrives {late:.2} s late: {status}"));

    let in_touch = (started + STABLE_WINDOW).max(acknowledged + DRAIN) + Duration::from_millis(300);
    thread::sleep(in_touch.saturating_duration_since(Instant::now()));
    for number in 0..REQUESTS {
        if acknowledged.elapsed() > SERVES_ON - Duration::from_secs(1) {
            break;
        }
        clients.push(send("after", number));
        thread::sleep(INTERVAL);
    }
    for client in clients {
        client.join().ok();
    }
    let is_within = acknowledged.elapsed() < REJECTION;
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    endpoint.end();

    let runs = record.runs();
    let is_late = |run: &&crate::record::Run| run.endpoint == *leaving && run.at > acknowledged + DRAIN;
    let late_runs: Vec<_> = runs.iter().filter(is_late).collect();
    for run in &late_runs {
        let after = run.at.duration_since(acknowledged).as_secs_f64();
        record.line(&format!(
            "BROKEN {} reached {leaving} {after:.2} s after its withdrawal was acknowledged",
            run.request
        ));
    }
    let answers = record.answers();
    let served = answers.iter().filter(|a| a.request.starts_with("after") && a.status == 200).count();
    let sent = answers.iter().filter(|a| a.request.starts_with("after")).count();
    record.line(&format!(
        "{} requests reached the endpoint later than drain-s; {served} of {sent} requests after it were served",
        late_runs.len()
    ));
    if is_disrupted && !is_within {
        return Verdict::NotRun("the course took longer than the store's disruption".to_owned());
    }
    if served == 0 {
        return Verdict::NotRun("no request after the withdrawal was served".to_owned());
    }
    match late_runs.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
