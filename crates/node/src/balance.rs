//! Load balancing of a divided service: this gate's load meter, and the
//! planner.
//!
//! Each gate reports its load to the one member that plans for its service,
//! which all nodes select alike by rendezvous hashing. Reports are advisory: if
//! one is lost or delayed, its node is left out of the plan, and an owner may
//! refuse any proposal that it gets.

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

/// Interval between two reports of a gate, and between two plans.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Age from which a report is ignored.
const REPORT_EXPIRY: Duration = Duration::from_secs(15);
/// Slots in a report at most, those with the highest request rates.
const MAX_REPORTED_SLOTS: usize = 256;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// The load meter of this gate and the reports that it has received.
#[derive(Debug)]
pub(crate) struct BalanceState {
    meter: Mutex<LoadMeter>,
    /// Reports to this node as the planner.
    reports: Mutex<HashMap<Incarnation, (LoadReport, Instant)>>,
}

impl BalanceState {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            meter: Mutex::new(LoadMeter::new(now)),
            reports: Mutex::default(),
        }
    }

    /// Records a request that this gate runs.
    pub(crate) fn record_request(&self, slot: Slot, key: u64) {
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        meter.record(slot, key);
    }

    /// Stores a report to this node as the planner.
    pub(crate) fn accept_report(&self, report: LoadReport, now: Instant) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_EXPIRY);
        reports.insert(report.node as Incarnation, (report, now));
    }

    fn update_rates(&self, now: Instant) -> LoadRates {
        let mut meter = self.meter.lock().unwrap_or_else(PoisonError::into_inner);
        meter.update(now)
    }

    fn unexpired_report(&self, node: Incarnation, now: Instant) -> Option<LoadReport> {
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
        process.clock.sleep(REPORT_INTERVAL).await;
        let Some((service, load)) = process.local_upstream.service_and_load() else {
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
        let Some(planner_node) = planner_of(&service, &live_members(&map, &service)) else {
            continue;
        };
        let now = process.clock.now();
        let report = load_report(own, process.balance.update_rates(now), load);
        if planner_node != own {
            send(&process, &map, planner_node, Request::LoadReport(report)).await;
            continue;
        }
        process.balance.accept_report(report, now);
        let rules = process.rules().service(&service);
        let nodes = node_loads(&process.balance, &map, &row.row, now);
        let proposals = planner.plan(&nodes, &planner_settings(&rules, &row.row), now);
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
    let per_minute = |rate: f64| (rate * SECONDS_PER_MINUTE).ceil() as i32;
    let mut slots: Vec<_> = rates
        .slots
        .iter()
        .map(|(slot, rate)| SlotLoad {
            slot: *slot as i32,
            requests_per_minute: per_minute(*rate),
        })
        .collect();
    slots.sort_by_key(|slot| std::cmp::Reverse(slot.requests_per_minute));
    slots.truncate(MAX_REPORTED_SLOTS);
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

fn planner_settings(rules: &ServiceRules, row: &ServiceRow) -> PlannerSettings {
    PlannerSettings {
        tolerated_imbalance: rules.tolerated_imbalance,
        churn_per_minute: rules.churn_per_minute,
        slot_count: row.slot_count,
    }
}

/// Returns the load of every member whose report has not expired.
fn node_loads(
    balance: &BalanceState,
    map: &ClusterMap,
    service: &ServiceRow,
    now: Instant,
) -> Vec<NodeLoad> {
    let members = map.members(&service.name).iter();
    let nodes = members.filter_map(|id| {
        let report = balance.unexpired_report(*id, now)?;
        Some(node_load(&map.node(*id)?.row, &report, service))
    });
    nodes.collect()
}

fn node_load(row: &NodeRow, report: &LoadReport, service: &ServiceRow) -> NodeLoad {
    let rates: HashMap<_, _> = report
        .slots
        .iter()
        .map(|slot| {
            (
                slot.slot as Slot,
                f64::from(slot.requests_per_minute) / SECONDS_PER_MINUTE,
            )
        })
        .collect();
    let slots = row.grants.iter().map(|grant| SlotRate {
        slot: grant.slot,
        rate: rates.get(&grant.slot).copied().unwrap_or(0.0),
    });
    let keys = report.keys.iter().map(|key| {
        let hash = key.key_hash as u64;
        let rate = f64::from(key.requests_per_minute) / SECONDS_PER_MINUTE;
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

/// Sends each owner the proposals for its slots.
async fn propose<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    map: &ClusterMap,
    service: &ServiceName,
    proposals: Proposals,
) {
    let mut by_owner: HashMap<Incarnation, Proposal> = HashMap::new();
    let empty_proposal = || Proposal {
        service_name: service.to_string(),
        moves: Vec::new(),
        splits: Vec::new(),
        merges: Vec::new(),
    };
    for planned_move in &proposals.moves {
        let proposal = by_owner
            .entry(planned_move.from)
            .or_insert_with(empty_proposal);
        proposal.moves.push(SlotMove {
            slot: planned_move.slot as i32,
            to: planned_move.to as i64,
        });
    }
    for (owner, key) in &proposals.splits {
        let proposal = by_owner.entry(*owner).or_insert_with(empty_proposal);
        proposal.splits.push(*key as i64);
    }
    for (owner, slot) in &proposals.merges {
        let proposal = by_owner.entry(*owner).or_insert_with(empty_proposal);
        proposal.merges.push(*slot as i32);
    }
    for (owner, proposal) in by_owner {
        let moves = proposal.moves.len() as u64;
        metrics::counter!("ibiscove_proposed_moves_total").increment(moves);
        send(process, map, owner, Request::Proposal(proposal)).await;
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
        log::debug!(to; "a load report or proposal was not delivered, it is dropped: {err}");
    }
}
