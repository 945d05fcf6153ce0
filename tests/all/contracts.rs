//! What each side of an interface may rely on, as tables of cases.
//!
//! Each table takes an address and knows nothing of the node behind it, so that
//! another implementation of the same side could be put under it.

use crate::mesh::Mesh;
use crate::support::{PATIENCE, eventually};
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

fn upstream() -> UpstreamSettings {
    UpstreamSettings {
        service: SERVICE.into(),
        ..Default::default()
    }
}

/// A refusal that a caller meets: the request, and what it must be told.
struct Refusal {
    request: fn(&Client, SocketAddr) -> Conn,
    outcome: Outcome,
    reason: Reason,
}

fn conn(client: &Client, to: SocketAddr, method: &str, path: &str) -> Conn {
    client.build_conn(method, format!("http://{to}{path}").as_str())
}

/// Refusals that a caller can cause alone, wherever the upstreams are.
const REFUSALS: &[Refusal] = &[
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

/// Refusals that an upstream's faults cause.
const UPSTREAM_FAULTS: &[(Fault, Refusal)] = &[
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

/// Asserts that an answer says the same in its head and its problem document.
async fn assert_refused(client: &Client, to: SocketAddr, refusal: &Refusal) {
    let conn = (refusal.request)(client, to);
    let mut answer = conn.await.expect("an answer");
    let header = |name: &str| answer.response_headers().get_str(name).map(str::to_owned);
    let (outcome, reason) = (header("Ibiscove-Outcome"), header("Ibiscove-Reason"));
    let (media_type, retry_after) = (header("Content-Type"), header("Retry-After"));
    let status = answer.status().map_or(0, |status| status as u16);
    let body = answer.response_body().read_string().await;
    let body = body.expect("a whole body");
    let what = refusal.reason;
    assert_eq!(reason.as_deref(), Some(refusal.reason.as_str()), "{body}");
    assert_eq!(outcome.as_deref(), Some(refusal.outcome.as_str()), "{what}");
    assert_eq!(status, refusal.reason.status(), "{what}");
    assert_eq!(
        media_type.as_deref(),
        Some("application/problem+json"),
        "{what}"
    );
    let passes = matches!(status, 429 | 503);
    assert_eq!(retry_after.is_some(), passes, "{what}: Retry-After");
    let problem: serde_json::Value = serde_json::from_str(&body).expect("a problem document");
    let kind = format!("urn:ibiscove:reason:{}", refusal.reason);
    assert_eq!(problem["type"], kind.as_str(), "{what}");
    assert_eq!(problem["title"], refusal.reason.as_str(), "{what}");
    assert_eq!(problem["status"], status, "{what}");
    assert_eq!(problem["outcome"], refusal.outcome.as_str(), "{what}");
}

#[test]
fn callers_are_told_why_and_what_became_of_their_request() {
    smol::block_on(async {
        let mesh = Mesh::start(2, NodeSettings::default(), upstream()).await;
        for refusal in REFUSALS {
            for node in 0..mesh.nodes.len() {
                assert_refused(&mesh.client, mesh.caller(node), refusal).await;
            }
        }
        assert_eq!(mesh.executions().len(), 0, "no refused request ran");
        for (fault, refusal) in UPSTREAM_FAULTS {
            for upstream in &mesh.upstreams {
                upstream.update_settings(|upstream| upstream.fault = *fault);
            }
            for node in 0..mesh.nodes.len() {
                assert_refused(&mesh.client, mesh.caller(node), refusal).await;
            }
        }
    });
}

/// An upstream that tells the heads of its requests.
fn telling_upstream() -> (SocketAddr, mpsc::Receiver<Vec<String>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
            let head = lines.by_ref().map_while(Result::ok);
            let head: Vec<String> = head.take_while(|line| !line.is_empty()).collect();
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
            if stream.write_all(answer).is_err() || tx.send(head).is_err() {
                return;
            }
        }
    });
    (addr, rx)
}

fn value<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    head.iter().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

#[test]
fn an_upstream_can_rely_on_its_headers() {
    smol::block_on(async {
        let mesh = Mesh::start(1, NodeSettings::default(), upstream()).await;
        let (addr, heads) = telling_upstream();
        let spec = ibiscove_types::UpstreamSpec {
            addr,
            ..mesh.upstreams[0].spec()
        };
        // The stand-in falls silent for good, and the telling one announces
        // itself in its place.
        mesh.upstreams[0].stop();
        let url = format!(
            "http://{}/_ibiscove/announce",
            mesh.nodes[0].addrs().upstream
        );
        let body = serde_json::to_string(&spec).expect("a spec is plain data");
        let head = eventually("a request at the new upstream", async || {
            let announced = mesh.client.post(url.as_str()).with_body(body.clone()).await;
            drop(announced);
            let conn = conn(&mesh.client, mesh.caller(0), "GET", "/deposits/diop?page=2");
            let conn = conn
                .with_request_header("Ibiscove-Timeout-Ms", "900")
                .with_request_header("Ibiscove-Fence", "999999")
                .with_request_header("X-Own", "kept");
            drop(conn.await);
            heads.try_recv().ok()
        })
        .await;
        assert_eq!(head[0], "GET /deposits/diop?page=2 HTTP/1.1");
        let (slot, _) = mesh.nodes[0].map().locate(SERVICE, "diop").expect("a slot");
        assert_eq!(value(&head, "Ibiscove-Service"), Some(SERVICE));
        assert_eq!(
            value(&head, "Ibiscove-Slot"),
            Some(slot.to_string().as_str())
        );
        let owner = mesh.nodes[0].map().owner(SERVICE, slot).expect("an owner");
        let fence = owner.fence.to_string();
        assert_eq!(value(&head, "Ibiscove-Fence"), Some(fence.as_str()));
        assert!(value(&head, "Ibiscove-Request-Id").is_some_and(|id| !id.is_empty()));
        let left: u64 = value(&head, "Ibiscove-Timeout-Ms")
            .and_then(|text| text.parse().ok())
            .expect("the time left");
        assert!(left <= 900, "the deadline shrinks along the way");
        assert_eq!(value(&head, "X-Own"), Some("kept"));
        assert_eq!(
            value(&head, "Ibiscove-Peer"),
            None,
            "proofs stay among nodes"
        );
    });
}

/// Whether an answer is of the kind that its call asks for.
type InKind = fn(&Response) -> bool;

/// Each kind of call between nodes, and the kind of its answer.
fn peer_calls(node: u64) -> Vec<(Request, InKind)> {
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
            |answer| matches!(answer, Response::HeartbeatAck(_)),
        ),
        (
            Request::SealQuery(SealQuery {
                ward,
                witness,
                claimant: 78,
            }),
            |answer| matches!(answer, Response::Seal(seal) if !seal.sealed),
        ),
        (
            Request::SealNotice(SealNotice {
                ward,
                witness,
                seal,
            }),
            |answer| matches!(answer, Response::Done(_)),
        ),
        (
            Request::Push(Push {
                entries: Vec::new(),
            }),
            |answer| matches!(answer, Response::Done(_)),
        ),
        (
            Request::DigestQuery(DigestQuery {
                digest: 1,
                buckets: None,
            }),
            |answer| matches!(answer, Response::DigestAnswer(answer) if !answer.same),
        ),
        (
            Request::Fetch(Fetch {
                keys: vec!["service/deposits".to_owned()],
            }),
            |answer| matches!(answer, Response::Entries(entries) if entries.entries.len() == 1),
        ),
        (
            Request::OutcomeQuery(OutcomeQuery {
                request_id: "nonsense".to_owned(),
                age_ms: -1,
            }),
            |answer| matches!(answer, Response::OutcomeAnswer(told) if told.outcome == "unknown"),
        ),
        (
            Request::Handover(Handover {
                service_name: SERVICE.to_owned(),
                slot: 0,
                fence: 0,
                entries: Vec::new(),
            }),
            |answer| matches!(answer, Response::Done(_)),
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
            |answer| matches!(answer, Response::Done(_)),
        ),
        (Request::ReportQuery(ReportQuery {}), |answer| {
            matches!(answer, Response::Report(_))
        }),
    ]
}

#[test]
fn a_node_answers_each_kind_of_call_in_kind() {
    smol::block_on(async {
        let mesh = Mesh::start(1, NodeSettings::default(), upstream()).await;
        let peers = PeerClient::new(PeerSettings {
            incarnation: 79,
            key: NodeSettings::default().cluster_key,
            call_timeout: PATIENCE,
            ..Default::default()
        });
        let node = &mesh.nodes[0];
        for (req, is_in_kind) in peer_calls(node.incarnation()) {
            let what = format!("{req:?}");
            let answer = peers.call(node.addrs().peer, req).await;
            let answer = answer.unwrap_or_else(|err| panic!("{what}: {err}"));
            assert!(is_in_kind(&answer), "{what} was answered {answer:?}");
        }
    });
}
