//! Contract tests of the interfaces to callers, upstreams and peers.
//!
//! Each table of cases needs only an address, so that it can also be run
//! against another implementation of the same interface.

use crate::cluster::TestCluster;
use crate::support::{AWAIT_TIMEOUT, eventually};
use ibiscove_node::NodeSettings;
use ibiscove_standin::{Fault, UpstreamSettings};
use ibiscove_types::{Outcome, Reason};
use ibiscove_wire::messages::{
    DigestQuery, Fetch, Handover, Heartbeat, LoadReport, OutcomeQuery, Push, ReportQuery, Request,
    Response, Seal, SealNotice, SealQuery,
};
use ibiscove_wire::{PeerClient, PeerSettings, Peers};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::mpsc;
use trillium_client::{Client, Conn};

const SERVICE: &str = "deposits";

fn upstream_settings() -> UpstreamSettings {
    UpstreamSettings {
        service: SERVICE.into(),
        ..Default::default()
    }
}

/// A request that is refused, with the outcome and reason expected in the
/// response.
struct Refusal {
    request: fn(&Client, SocketAddr) -> Conn,
    outcome: Outcome,
    reason: Reason,
}

fn conn(client: &Client, to: SocketAddr, method: &str, path: &str) -> Conn {
    client.build_conn(method, format!("http://{to}{path}").as_str())
}

/// Refusals that depend on the request alone.
const REQUEST_REFUSALS: &[Refusal] = &[
    Refusal {
        request: |client, to| conn(client, to, "GET", "/nowhere/key"),
        outcome: Outcome::NotRun,
        reason: Reason::NoRoute,
    },
    Refusal {
        request: |client, to| conn(client, to, "GET", "/deposits"),
        outcome: Outcome::NotRun,
        reason: Reason::NoKey,
    },
    Refusal {
        request: |client, to| {
            let conn = conn(client, to, "GET", "/deposits/diop");
            conn.with_request_header("Ibiscove-Timeout-Ms", "soon")
        },
        outcome: Outcome::NotRun,
        reason: Reason::BadHeader,
    },
    Refusal {
        request: |client, to| {
            let conn = conn(client, to, "GET", "/deposits/diop");
            conn.with_request_header("Ibiscove-First-Sent-Ms", "-1")
        },
        outcome: Outcome::NotRun,
        reason: Reason::BadHeader,
    },
    Refusal {
        request: |client, to| conn(client, to, "GET", "/_ibiscove/outcomes/nonsense"),
        outcome: Outcome::Unknown,
        reason: Reason::NoRecord,
    },
];

/// Refusals caused by faults of the upstream.
const UPSTREAM_FAULT_REFUSALS: &[(Fault, Refusal)] = &[
    (
        Fault::ConnectionLostBeforeRun,
        Refusal {
            request: |client, to| conn(client, to, "POST", "/deposits/diop").with_body("a deposit"),
            outcome: Outcome::Unknown,
            reason: Reason::UpstreamLost,
        },
    ),
    (
        Fault::ConnectionLostAfterRun,
        Refusal {
            request: |client, to| conn(client, to, "POST", "/deposits/diop").with_body("a deposit"),
            outcome: Outcome::Unknown,
            reason: Reason::UpstreamLost,
        },
    ),
    (
        Fault::Hang,
        Refusal {
            request: |client, to| {
                let conn = conn(client, to, "POST", "/deposits/diop").with_body("a deposit");
                conn.with_request_header("Ibiscove-Timeout-Ms", "300")
            },
            outcome: Outcome::Unknown,
            reason: Reason::DeadlineExceeded,
        },
    ),
];

/// Asserts that the headers and the problem document of a response agree and
/// state the expected refusal.
async fn assert_refused(client: &Client, to: SocketAddr, refusal: &Refusal) {
    let conn = (refusal.request)(client, to);
    let mut response = conn.await.expect("a response");
    let header = |name: &str| response.response_headers().get_str(name).map(str::to_owned);
    let (outcome, reason) = (header("Ibiscove-Outcome"), header("Ibiscove-Reason"));
    let (media_type, retry_after) = (header("Content-Type"), header("Retry-After"));
    let status = response.status().map_or(0, |status| status as u16);
    let body = response.response_body().read_string().await;
    let body = body.expect("a complete body");
    let case = refusal.reason;
    assert_eq!(reason.as_deref(), Some(refusal.reason.as_str()), "{body}");
    assert_eq!(outcome.as_deref(), Some(refusal.outcome.as_str()), "{case}");
    assert_eq!(status, refusal.reason.status(), "{case}");
    assert_eq!(
        media_type.as_deref(),
        Some("application/problem+json"),
        "{case}"
    );
    let is_temporary = matches!(status, 429 | 503);
    assert_eq!(retry_after.is_some(), is_temporary, "{case}: Retry-After");
    let problem: serde_json::Value = serde_json::from_str(&body).expect("a problem document");
    let kind = format!("urn:ibiscove:reason:{}", refusal.reason);
    assert_eq!(problem["type"], kind.as_str(), "{case}");
    assert_eq!(problem["title"], refusal.reason.as_str(), "{case}");
    assert_eq!(problem["status"], status, "{case}");
    assert_eq!(problem["outcome"], refusal.outcome.as_str(), "{case}");
}

#[test]
fn refusals_state_reason_and_outcome_in_headers_and_problem_document() {
    smol::block_on(async {
        let cluster = TestCluster::start(2, NodeSettings::default(), upstream_settings()).await;
        for refusal in REQUEST_REFUSALS {
            for node in 0..cluster.nodes.len() {
                assert_refused(&cluster.client, cluster.caller(node), refusal).await;
            }
        }
        assert_eq!(cluster.executions().len(), 0, "a refused request ran");
        for (fault, refusal) in UPSTREAM_FAULT_REFUSALS {
            for upstream in &cluster.upstreams {
                upstream.update_settings(|upstream| upstream.fault = *fault);
            }
            for node in 0..cluster.nodes.len() {
                assert_refused(&cluster.client, cluster.caller(node), refusal).await;
            }
        }
    });
}

/// Starts an upstream that responds 200 and sends the lines of each request
/// head to the receiver.
fn head_recording_upstream() -> (SocketAddr, mpsc::Receiver<Vec<String>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
            let head = lines.by_ref().map_while(Result::ok);
            let head: Vec<String> = head.take_while(|line| !line.is_empty()).collect();
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
            if stream.write_all(response).is_err() || tx.send(head).is_err() {
                return;
            }
        }
    });
    (addr, rx)
}

fn header_value<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    head.iter().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

#[test]
fn upstream_receives_genuine_ibiscove_headers_and_the_callers_own() {
    smol::block_on(async {
        let cluster = TestCluster::start(1, NodeSettings::default(), upstream_settings()).await;
        let (addr, heads) = head_recording_upstream();
        let spec = ibiscove_types::UpstreamSpec {
            addr,
            ..cluster.upstreams[0].spec()
        };
        // The recording upstream announces itself in place of the stopped one.
        cluster.upstreams[0].stop();
        let url = format!(
            "http://{}/_ibiscove/announce",
            cluster.nodes[0].addrs().upstream
        );
        let body = serde_json::to_string(&spec).expect("a spec is plain data");
        let head = eventually("a request at the recording upstream", async || {
            let announced = cluster
                .client
                .post(url.as_str())
                .with_body(body.clone())
                .await;
            drop(announced);
            let conn = conn(
                &cluster.client,
                cluster.caller(0),
                "GET",
                "/deposits/diop?page=2",
            );
            let conn = conn
                .with_request_header("Ibiscove-Timeout-Ms", "900")
                .with_request_header("Ibiscove-Fence", "999999")
                .with_request_header("X-Own", "kept");
            drop(conn.await);
            heads.try_recv().ok()
        })
        .await;
        assert_eq!(head[0], "GET /deposits/diop?page=2 HTTP/1.1");
        let (slot, _) = cluster.nodes[0]
            .map()
            .locate(SERVICE, "diop")
            .expect("a slot");
        assert_eq!(header_value(&head, "Ibiscove-Service"), Some(SERVICE));
        assert_eq!(
            header_value(&head, "Ibiscove-Slot"),
            Some(slot.to_string().as_str())
        );
        let owner = cluster.nodes[0]
            .map()
            .owner(SERVICE, slot)
            .expect("an owner");
        let fence = owner.fence.to_string();
        assert_eq!(header_value(&head, "Ibiscove-Fence"), Some(fence.as_str()));
        assert!(header_value(&head, "Ibiscove-Request-Id").is_some_and(|id| !id.is_empty()));
        let remaining_ms: u64 = header_value(&head, "Ibiscove-Timeout-Ms")
            .and_then(|text| text.parse().ok())
            .expect("the remaining time");
        assert!(remaining_ms <= 900, "the timeout must not grow");
        assert_eq!(header_value(&head, "X-Own"), Some("kept"));
        assert_eq!(
            header_value(&head, "Ibiscove-Peer"),
            None,
            "peer proofs are not passed to upstreams"
        );
    });
}

/// Returns whether a response has the type that its request calls for.
type IsExpected = fn(&Response) -> bool;

/// Returns one request of each type between nodes, with the check of its
/// response. `ward` is the monitored node in these messages.
fn peer_requests(node: u64) -> Vec<(Request, IsExpected)> {
    let (ward, witness) = (77, node as i64);
    let seal = Seal {
        sealed: false,
        sequence: 0,
        heirs_void: true,
        holding: None,
    };
    vec![
        (
            Request::Heartbeat(Heartbeat {
                ward,
                witness,
                sequence: 1,
                heirs_void: true,
                holding: None,
            }),
            |response| matches!(response, Response::HeartbeatAck(_)),
        ),
        (
            Request::SealQuery(SealQuery {
                ward,
                witness,
                claimant: 78,
            }),
            |response| matches!(response, Response::Seal(seal) if !seal.sealed),
        ),
        (
            Request::SealNotice(SealNotice {
                ward,
                witness,
                seal,
            }),
            |response| matches!(response, Response::Done(_)),
        ),
        (
            Request::Push(Push {
                entries: Vec::new(),
            }),
            |response| matches!(response, Response::Done(_)),
        ),
        (
            Request::DigestQuery(DigestQuery {
                digest: 1,
                buckets: None,
            }),
            |response| matches!(response, Response::DigestAnswer(response) if !response.same),
        ),
        (
            Request::Fetch(Fetch {
                keys: vec!["service/deposits".to_owned()],
            }),
            |response| matches!(response, Response::Entries(entries) if entries.entries.len() == 1),
        ),
        (
            Request::OutcomeQuery(OutcomeQuery {
                request_id: "nonsense".to_owned(),
                age_ms: -1,
            }),
            |response| matches!(response, Response::OutcomeAnswer(found) if found.outcome == "unknown"),
        ),
        (
            Request::Handover(Handover {
                service_name: SERVICE.to_owned(),
                slot: 0,
                fence: 0,
                entries: Vec::new(),
            }),
            |response| matches!(response, Response::Done(_)),
        ),
        (
            Request::LoadReport(LoadReport {
                node: 78,
                in_flight: 0,
                queued: 0,
                limit: 1,
                cold: false,
                draining: false,
                slots: Vec::new(),
                keys: Vec::new(),
            }),
            |response| matches!(response, Response::Done(_)),
        ),
        (Request::ReportQuery(ReportQuery {}), |response| {
            matches!(response, Response::Report(_))
        }),
    ]
}

#[test]
fn every_peer_request_gets_its_response_type() {
    smol::block_on(async {
        let cluster = TestCluster::start(1, NodeSettings::default(), upstream_settings()).await;
        let peers = PeerClient::new(PeerSettings {
            incarnation: 79,
            key: NodeSettings::default().cluster_key,
            call_timeout: AWAIT_TIMEOUT,
            ..Default::default()
        });
        let node = &cluster.nodes[0];
        for (req, is_expected) in peer_requests(node.incarnation()) {
            let request_text = format!("{req:?}");
            let response = peers.call(node.addrs().peer, req).await;
            let response = response.unwrap_or_else(|err| panic!("{request_text}: {err}"));
            assert!(
                is_expected(&response),
                "unexpected response to {request_text}: {response:?}"
            );
        }
    });
}
