//! Metrics of control traffic: one end receives what the other sends.

use ibiscove_types::Incarnation;
use ibiscove_wire::messages::{DigestAnswer, DigestQuery, Request, Response};
use ibiscove_wire::{PeerClient, PeerService, PeerSettings, Peers, SharedKey, serve};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol::net::TcpListener;
use std::net::Ipv4Addr;

const CALLS: u64 = 5;

#[derive(Clone)]
struct SameDigest;

impl PeerService for SameDigest {
    async fn handle(&self, _from: Incarnation, _req: Request) -> Response {
        Response::DigestAnswer(DigestAnswer {
            same: true,
            versions: Vec::new(),
            bucket_digests: None,
        })
    }
}

#[test]
fn messages_and_bytes_sent_equal_those_received() {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .expect("no other recorder in this binary");
    smol::block_on(async {
        let settings = PeerSettings {
            key: SharedKey::new("a key for tests".as_bytes()),
            ..Default::default()
        };
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let server = smol::spawn(serve(listener, settings.clone(), SameDigest));
        let client = PeerClient::new(settings);
        for digest in 0..CALLS as i64 {
            let query = Request::DigestQuery(DigestQuery {
                digest,
                buckets: None,
            });
            client.call(addr, query).await.expect("a response");
        }
        server.cancel().await;
    });
    for kind in ["digest_query", "digest_answer"] {
        for name in ["ibiscove_peer_messages_total", "ibiscove_peer_bytes_total"] {
            let sent = value(&metrics, name, "sent", kind);
            assert_eq!(
                sent,
                value(&metrics, name, "received", kind),
                "{name} {kind}"
            );
        }
        let messages = value(&metrics, "ibiscove_peer_messages_total", "sent", kind);
        assert_eq!(messages, CALLS, "{kind}");
        let bytes = value(&metrics, "ibiscove_peer_bytes_total", "sent", kind);
        assert!(bytes > 4 * CALLS, "{kind}: the length prefix is counted");
    }
}

fn value(metrics: &PrometheusHandle, name: &str, direction: &str, kind: &str) -> u64 {
    let line = format!("{name}{{direction=\"{direction}\",kind=\"{kind}\"}} ");
    let text = metrics.render();
    let value = text.lines().find_map(|text| text.strip_prefix(&line));
    value
        .unwrap_or_else(|| panic!("{line} is missing from {text}"))
        .parse()
        .expect("an integer")
}
