//! Even load of a divided service: this gate's meter, and the planner.
//!
//! Each gate reports its load to the one member that plans for its service,
//! the same for all by rendezvous hash. Reports are advice: one that is lost
//! or late leaves a node out of the plan, and every proposal may be refused
//! by the owner that gets it.

use crate::process::Process;
use ibiscove_config::ServiceRules;
use ibiscove_routing::meter::{LoadMeter, LoadRates};
use ibiscove_routing::planner::{
    NodeLoad, Planner, PlannerSettings, Proposals, SlotRate, planner_of,
};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{
    Clock, ClusterMap, Incarnation, NodeRow, NodeState, ServiceKind, ServiceName, ServiceRow, Slot,
};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{KeyLoad, LoadReport, Proposal, Request, SlotLoad, SlotMove};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time between two reports of a gate, and between two plans.
const INTERVAL: Duration = Duration::from_secs(5);
/// Age at which a report no longer counts.
const REPORT_EXPIRY: Duration = Duration::from_secs(15);
/// Slots in a report at most, the busiest ones.
const MAX_SLOTS: usize = 256;
/// Seconds in the unit of a report.
const MINUTE: f64 = 60.0;

/// What a node keeps for the evenness of load.
#[derive(Debug)]
pub(crate) struct Balance {
    meter: Mutex<LoadMeter>,
    /// Reports to this node as a planner.
    reports: Mutex<HashMap<Incarnation, (LoadReport, Instant)>>,
}

impl Balance {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            meter: Mutex::new(LoadMeter::new(now)),
            reports: Mutex::default(),
        }
    }

    /// Counts a request that this gate runs.
    pub(crate) fn note(&self, slot: Slot, key: u64) {
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        meter.record(slot, key);
    }

    /// Takes a report to this node as a planner.
    pub(crate) fn report(&self, report: LoadReport, now: Instant) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_EXPIRY);
        reports.insert(report.node as Incarnation, (report, now));
    }

    fn take(&self, now: Instant) -> LoadRates {
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        meter.update(now)
    }

    fn fresh(&self, node: Incarnation, now: Instant) -> Option<LoadReport> {
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let (report, at) = reports.get(&node)?;
        let age = now.saturating_duration_since(*at);
        (age < REPORT_EXPIRY).then(|| report.clone())
    }
}

/// Reports and plans until the task is dropped.
pub(crate) async fn run<P: Table + Objects, C: Clock>(process: Arc<Process<P, C>>) {
    let mut planner = Planner::default();
    loop {
        process.clock.sleep(INTERVAL).await;
        let Some((service, load)) = process.beside.service_and_load() else {
            continue;
        };
        let map = process.replica.map();
        let Some(row) = map.service(&service) else {
            continue;
        };
        if row.row.kind != ServiceKind::Divided {
            continue;
        }
        let own = process.ownership.incarnation();
        let Some(to) = planner_of(&service, &live_members(&map, &service)) else {
            continue;
        };
        let now = process.clock.now();
        let report = load_report(own, process.balance.take(now), load);
        if to != own {
            send(&process, &map, to, Request::LoadReport(report)).await;
            continue;
        }
        process.balance.report(report, now);
        let rules = process.rules().service(&service);
        let nodes = loads(&process.balance, &map, &row.row, now);
        let proposals = planner.plan(&nodes, &settings(&rules, &row.row), now);
        propose(&process, &map, &service, proposals).await;
    }
}

fn live_members(map: &ClusterMap, service: &str) -> Vec<Incarnation> {
    let is_live = |node: &Incarnation| {
        map.node(*node)
            .is_some_and(|node| node.row.state == NodeState::Live)
    };
    map.members(service)
        .iter()
        .copied()
        .filter(is_live)
        .collect()
}

fn load_report(node: Incarnation, rates: LoadRates, load: crate::limiter::Load) -> LoadReport {
    let per_minute = |rate: f64| (rate * MINUTE).ceil() as i32;
    let mut slots: Vec<_> = rates
        .slots
        .iter()
        .map(|(slot, rate)| SlotLoad {
            slot: *slot as i32,
            requests_per_minute: per_minute(*rate),
        })
        .collect();
    slots.sort_by_key(|slot| std::cmp::Reverse(slot.requests_per_minute));
    slots.truncate(MAX_SLOTS);
    let keys = rates.keys.iter().map(|key| KeyLoad {
        key_hash: key.key as i64,
        requests_per_minute: per_minute(key.rate),
    });
    LoadReport {
        node: node as i64,
        in_flight: load.in_flight as i32,
        queued: load.queued as i32,
        limit: load.limit as i32,
        cold: load.warming,
        draining: false,
        slots,
        keys: keys.collect(),
    }
}

fn settings(rules: &ServiceRules, row: &ServiceRow) -> PlannerSettings {
    PlannerSettings {
        tolerated_imbalance: rules.tolerated_imbalance,
        churn_per_minute: rules.churn_per_minute,
        slot_count: row.slot_count,
    }
}

/// The load of every member that has reported of late.
fn loads(balance: &Balance, map: &ClusterMap, service: &ServiceRow, now: Instant) -> Vec<NodeLoad> {
    let members = map.members(&service.name).iter();
    let nodes = members.filter_map(|id| {
        let report = balance.fresh(*id, now)?;
        Some(node_load(&map.node(*id)?.row, &report, service))
    });
    nodes.collect()
}

fn node_load(row: &NodeRow, report: &LoadReport, service: &ServiceRow) -> NodeLoad {
    let reported: HashMap<_, _> = report
        .slots
        .iter()
        .map(|slot| {
            (
                slot.slot as Slot,
                f64::from(slot.requests_per_minute) / MINUTE,
            )
        })
        .collect();
    let slots = row.grants.iter().map(|grant| SlotRate {
        slot: grant.slot,
        rate: reported.get(&grant.slot).copied().unwrap_or(0.0),
    });
    let keys = report.keys.iter().map(|key| {
        let hash = key.key_hash as u64;
        let rate = f64::from(key.requests_per_minute) / MINUTE;
        (hash, service.slot_of(hash), rate)
    });
    NodeLoad {
        id: row.incarnation,
        capacity: f64::from(report.limit.max(1)),
        can_receive: row.state == NodeState::Live && !report.draining,
        slots: slots.collect(),
        keys: keys.collect(),
    }
}

/// Sends each owner its part of the proposals.
async fn propose<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    service: &ServiceName,
    proposals: Proposals,
) {
    let mut by_owner: HashMap<Incarnation, Proposal> = HashMap::new();
    let empty = || Proposal {
        service_name: service.to_string(),
        moves: Vec::new(),
        splits: Vec::new(),
        merges: Vec::new(),
    };
    for next in &proposals.moves {
        let part = by_owner.entry(next.from).or_insert_with(empty);
        part.moves.push(SlotMove {
            slot: next.slot as i32,
            to: next.to as i64,
        });
    }
    for (owner, key) in &proposals.splits {
        let part = by_owner.entry(*owner).or_insert_with(empty);
        part.splits.push(*key as i64);
    }
    for (owner, slot) in &proposals.merges {
        let part = by_owner.entry(*owner).or_insert_with(empty);
        part.merges.push(*slot as i32);
    }
    for (owner, part) in by_owner {
        let moves = part.moves.len() as u64;
        metrics::counter!("ibiscove_proposed_moves_total").increment(moves);
        send(process, map, owner, Request::Proposal(part)).await;
    }
}

async fn send<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    to: Incarnation,
    req: Request,
) {
    let Some(node) = map.node(to) else { return };
    if let Err(err) = process.peers.call(node.row.peer_addr, req).await {
        log::debug!(to; "advice on load not taken: {err}");
    }
}
