//! Rows for tests, and a manually advanced clock.

use ibiscove_spread::ReplicatedRow;
use ibiscove_types::hash::content_digest;
use ibiscove_types::rows::{config_key, node_key};
use ibiscove_types::{Clock, ConfigRow, Incarnation, NodeRow, NodeState, SlotGrant, UpstreamSpec};
use std::future::poll_fn;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

#[derive(Debug)]
struct ClockState {
    now: Instant,
    wakers: Vec<Waker>,
}

/// A clock that only [`Self::advance`] moves.
#[derive(Clone, Debug)]
pub struct StepClock(Arc<Mutex<ClockState>>);

impl StepClock {
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(ClockState {
            now: Instant::now(),
            wakers: Vec::new(),
        })))
    }

    pub fn advance(&self, by: Duration) {
        let mut state = self.0.lock().expect("no panic");
        state.now += by;
        state.wakers.drain(..).for_each(Waker::wake);
    }
}

impl Clock for StepClock {
    fn now(&self) -> Instant {
        self.0.lock().expect("no panic").now
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    async fn sleep(&self, duration: Duration) {
        let until = self.now() + duration;
        poll_fn(|cx| {
            let mut state = self.0.lock().expect("no panic");
            if state.now >= until {
                return Poll::Ready(());
            }
            state.wakers.push(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

pub fn addr(incarnation: Incarnation) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, incarnation as u16))
}

pub fn node(incarnation: Incarnation, state: NodeState, slots: &[(u32, u64)]) -> NodeRow {
    let grants = slots.iter().map(|(slot, fence)| SlotGrant {
        slot: *slot,
        fence: *fence,
        heir: None,
        ..blank_grant()
    });
    NodeRow {
        incarnation,
        peer_addr: addr(incarnation),
        state,
        grants: grants.collect(),
        ..blank_row()
    }
}

fn blank_grant() -> SlotGrant {
    serde_json::from_str(r#"[0,0,null,"claimed"]"#).expect("a grant")
}

fn blank_row() -> NodeRow {
    let upstream = UpstreamSpec {
        service: "deposits".into(),
        addr: addr(1),
        concurrency: 12,
        connections: 130,
        checks_fences: true,
    };
    serde_json::from_value(serde_json::json!({
        "incarnation": 0, "name": "n", "region": "r", "data_centre": "d",
        "peer_addr": addr(1), "forward_addr": addr(1), "caller_addr": addr(1),
        "state": "live", "upstream": upstream, "witnesses": [], "heirs": [], "grants": [],
    }))
    .expect("a node row")
}

pub fn node_entry(row: &NodeRow, version: u64) -> ReplicatedRow {
    ReplicatedRow {
        key: node_key(row.incarnation),
        version,
        body: serde_json::to_vec(row).expect("plain data").into(),
    }
}

/// Returns a configuration row, without its text if `in_row` is false.
pub fn config_entry(version: u64, text: &str, in_row: bool) -> ReplicatedRow {
    let row = ConfigRow {
        version,
        digest: content_digest(text.as_bytes()),
        author: "awa".to_owned(),
        accepted_ms: 0,
        body: if in_row {
            text.to_owned()
        } else {
            String::new()
        },
    };
    ReplicatedRow {
        key: config_key("inventory"),
        version,
        body: serde_json::to_vec(&row).expect("plain data").into(),
    }
}

pub fn live_entry(incarnation: Incarnation) -> ReplicatedRow {
    node_entry(&node(incarnation, NodeState::Live, &[]), 1)
}
