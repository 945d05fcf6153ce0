//! An endpoint of a divided service leaves while the store is away. It stops serving, and
//! its process ends some time after that.

use crate::Verdict;
use crate::client::{self, ClientRequest};
use crate::cluster::{Cluster, ClusterSettings};
use crate::record::{Held, Record};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"version":"r7","routes":{"pay":{"host":"caisse.example","prefix":"/pay/","kind":"non_idempotent","timeout-s":0.6,"target-latency-s":0.15,"priority":0,"service":"caisse","max-attempts":2}},"services":{"caisse":{"health-path":"/healthz","max-connections":130,"protocol":"h1","tls":false,"sharded":true,"warmup-s":3.0,"grants":"rpc"}},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;
/// Time for which the store answers 503.
const OUTAGE: Duration = Duration::from_millis(4_400);
/// Time from the endpoint's first report that it leaves until it stops serving.
const SERVES_ON: Duration = Duration::from_millis(3_700);
/// Time from the answer to its withdrawal until its process has ended.
const EXIT: Duration = Duration::from_millis(900);
/// Overlap of two holds that the rule allows.
const ALLOWED: Duration = Duration::from_millis(500);

pub fn play(record_path: &str, is_disrupted: bool) -> Verdict {
    let record = match Record::create(record_path) {
        Ok(record) => record,
        Err(err) => return Verdict::NotRun(err.to_string()),
    };
    let settings = ClusterSettings {
        services: &["caisse", "caisse", "caisse"],
        sharded: &["caisse"],
        config: CONFIG,
        work: Duration::from_millis(42),
        answer_bytes: 0,
    };
    let cluster = match Cluster::start(&settings, &record) {
        Ok(cluster) => cluster,
        Err(why) => return Verdict::NotRun(why),
    };
    // The keys are divided after some seconds.
    thread::sleep(Duration::from_secs(7));
    let send = |number: u16| {
        let request = ClientRequest {
            id: format!("pay{number:04}"),
            method: "POST",
            host: "caisse.example",
            path: "/pay/",
            key: Some(number.wrapping_mul(4_099)),
        };
        client::send(&cluster.nodes[usize::from(number) % 3], &request, &record)
    };
    let mut clients = Vec::new();
    for number in 0..60 {
        clients.push(send(number));
        thread::sleep(Duration::from_millis(30));
    }
    let endpoint = &cluster.endpoints[0];
    let leaving = &endpoint.settings.id;
    let now = Instant::now();
    let holds_keys = |held: &Held| held.endpoint == *leaving && held.until > now;
    if !record.held().iter().any(holds_keys) {
        return Verdict::NotRun("the endpoint held no keys".to_owned());
    }

    let began = Instant::now();
    let set_outage = |is_away: bool| {
        for access in &cluster.access {
            access.rejects.store(is_away && is_disrupted, Ordering::SeqCst);
        }
    };
    set_outage(true);
    if is_disrupted {
        record.line("the store answers 503 from now on");
    }
    thread::sleep(Duration::from_millis(200));
    record.line(&format!("endpoint {leaving} reports from now on that it leaves"));
    endpoint.drain();
    for number in 60..170 {
        clients.push(send(number));
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep((Duration::from_millis(200) + SERVES_ON).saturating_sub(began.elapsed()));
    record.line(&format!("endpoint {leaving} stops serving"));
    endpoint.stop_serving();
    thread::scope(|scope| {
        scope.spawn(|| {
            let status = endpoint.withdraw();
            record.line(&format!("endpoint {leaving} withdraws: {status}"));
            thread::sleep(EXIT);
            endpoint.end();
        });
        thread::sleep(OUTAGE.saturating_sub(began.elapsed()));
        set_outage(false);
        if is_disrupted {
            record.line("the store is back");
        }
    });
    for client in clients {
        client.join().ok();
    }
    thread::sleep(Duration::from_secs(6));

    let held = record.held();
    let mut longest = Duration::ZERO;
    for (index, one) in held.iter().enumerate() {
        for other in &held[index + 1..] {
            let shares_keys = one.keys.0 <= other.keys.1 && other.keys.0 <= one.keys.1;
            let from = one.from.max(other.from);
            let overlap = one.until.min(other.until).saturating_duration_since(from);
            if one.endpoint == other.endpoint || !shares_keys || overlap.is_zero() {
                continue;
            }
            longest = longest.max(overlap);
            let (first, last) = (one.keys.0.max(other.keys.0), one.keys.1.min(other.keys.1));
            record.line(&format!(
                "BOTH {} (fence {}) and {} (fence {}) hold keys {first} to {last} for {:.3} s",
                one.endpoint, one.fence, other.endpoint, other.fence, overlap.as_secs_f64()
            ));
        }
    }
    let moved = held.iter().any(|held| held.endpoint != *leaving && held.from > began);
    record.line(&format!(
        "the longest time for which two endpoints that were up held the same keys: {:.3} s",
        longest.as_secs_f64()
    ));
    if !moved {
        return Verdict::NotRun("no keys were given to another endpoint".to_owned());
    }
    match longest > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
