//! Replays the trace that a node recorded.

use ibiscove_node::{Node, NodeSettings};
use ibiscove_replay::{Event, Promise, Trace, check, replay};
use ibiscove_standin::{Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::SystemClock;
use std::time::{Duration, Instant};
use trillium_client::Client;

const SERVICE: &str = "deposits";
const REQUESTS: usize = 12;
/// Longest time until a request must succeed.
const SUCCESS_TIMEOUT: Duration = Duration::from_secs(45);

/// Sends a request until it succeeds.
async fn send_until_success(client: &Client, url: &str) {
    let started = Instant::now();
    loop {
        let conn = client.post(url).with_body("a deposit");
        let response = conn.with_request_header("Idempotency-Key", url.to_owned());
        let response = response.await.expect("a response");
        if response.status().is_some_and(|status| status.is_success()) {
            return;
        }
        assert!(
            started.elapsed() < SUCCESS_TIMEOUT,
            "{url} did not succeed within {SUCCESS_TIMEOUT:?}"
        );
        smol::Timer::after(Duration::from_millis(50)).await;
    }
}

#[test]
fn recorded_trace_of_a_node_can_be_replayed() {
    smol::block_on(async {
        let (tx, rx) = smol::channel::bounded(1_000);
        let settings = NodeSettings {
            name: "plateau-1".to_owned(),
            trace_sink: Some(tx),
            ..Default::default()
        };
        let node = Node::start(settings, MemoryPlatform::default(), SystemClock)
            .await
            .expect("a node starts");
        let upstream = Upstream::start(UpstreamSettings {
            service: SERVICE.into(),
            ..Default::default()
        })
        .expect("an upstream starts");
        let announced = upstream.announce(node.addrs().upstream).await;
        announced.expect("the announcement is accepted");
        let client = Client::new(trillium_smol::ClientConfig::default());
        for number in 0..REQUESTS {
            let caller = node.addrs().caller;
            send_until_success(
                &client,
                &format!("http://{caller}/{SERVICE}/family-{number}"),
            )
            .await;
        }
        node.drain().await.expect("the node drains");
        upstream.stop();

        let mut recorded = Vec::new();
        while let Ok(line) = rx.try_recv() {
            assert!(
                !line.contains("family"),
                "the recorded line contains a key: {line}"
            );
            recorded.push(line);
        }
        let promises = [
            Promise::AtMostOnce,
            Promise::WholeAnswers,
            Promise::SingleOwner,
        ];
        let mut trace = Trace::from_records(recorded.iter().map(String::as_str), promises)
            .expect("recorded lines are lines of a trace");
        let orders = trace.orders();
        assert_eq!(orders.len(), REQUESTS);
        // The drain would end the replay's only node before its last request.
        trace
            .lines
            .retain(|line| !matches!(line.event, Event::Drain { .. }));
        let history = replay(&trace).await.expect("the trace can be replayed");
        assert_eq!(check(&trace, &history), []);
        for order in orders {
            let ran = history.runs.iter().any(|run| run.target.ends_with(&order));
            assert!(ran, "{order} was not replayed");
        }
    });
}
