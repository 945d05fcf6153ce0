//! Which nodes have which version of the configuration.
//!
//! A node asks every live node for its versions when an operator wants to
//! know. Nothing is reported at other times, so that knowing it costs nothing
//! while nobody asks; `docs/spread.md` weighs the other ways.

use crate::process::Process;
use futures_util::future::join_all;
use ibiscove_config::change::ConfigKind;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, ClusterMap, NodeRow, NodeState};
use ibiscove_wire::messages::{Report, ReportQuery, Request, Response};
use ibiscove_wire::{PeerError, Peers};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

/// Nodes asked at the same time.
const MAX_CONCURRENT: usize = 64;
/// Times that a node is asked before it counts as silent.
const ATTEMPTS: u32 = 3;
/// Age of a node's rows above which it is said to lag.
pub const MAX_REPLICA_AGE: Duration = Duration::from_secs(10);

/// The versions of every live node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The newest version of the inventory that the asked node knows; 0: none.
    pub inventory_version: u64,
    /// The newest version of the rules that the asked node knows; 0: none.
    pub rules_version: u64,
    /// Each live node.
    pub nodes: Vec<NodeStatus>,
}

/// One node's versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The instance's name.
    pub name: String,
    /// This run of the process, in hexadecimal.
    pub incarnation: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it stands in its life.
    pub state: NodeState,
    /// The service of its upstream, once one has announced itself.
    pub service: Option<String>,
    /// Slots that it owns.
    pub slots: usize,
    /// Its version of the inventory; none when it did not say.
    pub inventory_version: Option<u64>,
    /// Its version of the rules; none when it did not say.
    pub rules_version: Option<u64>,
    /// Time since it last compared its rows with others, in milliseconds.
    pub age_ms: Option<u64>,
    /// Why it lags; none when it does not.
    pub lag: Option<Lag>,
}

/// Why a node lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Lag {
    /// No connection could be made to it.
    Unreachable,
    /// It did not answer.
    Silent,
    /// It has an earlier version.
    Behind {
        /// Of what.
        kind: ConfigKind,
        /// By how many versions.
        by: u64,
    },
    /// It has not compared its rows with others for a while, so its versions
    /// may be old.
    Isolated,
}

impl fmt::Display for Lag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Lag::Unreachable => f.write_str("unreachable"),
            Lag::Silent => f.write_str("does not answer"),
            Lag::Behind { kind, by } => write!(f, "{by} versions of the {kind} behind"),
            Lag::Isolated => f.write_str("has not compared its rows with others lately"),
        }
    }
}

impl ClusterStatus {
    /// Nodes that do not yet have `version` of `kind`.
    pub fn nodes_without(
        &self,
        kind: ConfigKind,
        version: u64,
    ) -> impl Iterator<Item = &NodeStatus> {
        self.nodes
            .iter()
            .filter(move |node| node.version(kind).is_none_or(|known| known < version))
    }
}

impl NodeStatus {
    fn version(&self, kind: ConfigKind) -> Option<u64> {
        match kind {
            ConfigKind::Inventory => self.inventory_version,
            ConfigKind::Rules => self.rules_version,
        }
    }

    fn new(row: &NodeRow, reported: Result<Report, Lag>, newest: &Newest) -> Self {
        let (report, lag) = match reported {
            Ok(report) => (Some(report), None),
            Err(lag) => (None, Some(lag)),
        };
        let lag = lag.or_else(|| report.as_ref().and_then(|report| newest.lag_of(report)));
        Self {
            name: row.name.clone(),
            incarnation: format!("{:016x}", row.incarnation),
            data_centre: row.data_centre.to_string(),
            state: row.state,
            service: row.service().map(|name| name.to_string()),
            slots: row.grants.len(),
            inventory_version: report.as_ref().map(|r| r.inventory_version as u64),
            rules_version: report.as_ref().map(|r| r.rules_version as u64),
            age_ms: report.as_ref().map(|r| r.age_ms as u64),
            lag,
        }
    }
}

struct Newest {
    inventory: u64,
    rules: u64,
}

impl Newest {
    fn lag_of(&self, report: &Report) -> Option<Lag> {
        let pairs = [
            (
                ConfigKind::Inventory,
                self.inventory,
                report.inventory_version,
            ),
            (ConfigKind::Rules, self.rules, report.rules_version),
        ];
        for (kind, newest, known) in pairs {
            let by = newest.saturating_sub(known as u64);
            if by > 0 {
                return Some(Lag::Behind { kind, by });
            }
        }
        (report.age_ms as u128 > MAX_REPLICA_AGE.as_millis()).then_some(Lag::Isolated)
    }
}

/// The version of a configuration in a map; 0 when there is none.
pub(crate) fn version_of(map: &ClusterMap, kind: ConfigKind) -> u64 {
    map.config(kind.as_str())
        .map_or(0, |config| config.row.version)
}

/// Asks every live node.
pub(crate) async fn cluster<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
) -> ClusterStatus {
    let map = process.replica.map();
    let rows: Vec<_> = map.live_nodes().cloned().collect();
    let mut waiting: VecDeque<_> = rows.iter().map(|node| ask(process, &node.row)).collect();
    let mut reports = Vec::with_capacity(rows.len());
    while !waiting.is_empty() {
        let batch: Vec<_> = waiting.drain(..MAX_CONCURRENT.min(waiting.len())).collect();
        reports.extend(join_all(batch).await);
    }
    // A node may have a newer version than this one had when it was asked.
    let known = |kind, reported: fn(&Report) -> i64| {
        let reported = reports.iter().flatten().map(|r| reported(r) as u64).max();
        reported
            .unwrap_or(0)
            .max(version_of(&process.replica.map(), kind))
    };
    let newest = Newest {
        inventory: known(ConfigKind::Inventory, |r| r.inventory_version),
        rules: known(ConfigKind::Rules, |r| r.rules_version),
    };
    let nodes = rows.iter().zip(reports);
    ClusterStatus {
        inventory_version: newest.inventory,
        rules_version: newest.rules,
        nodes: nodes
            .map(|(node, report)| NodeStatus::new(&node.row, report, &newest))
            .collect(),
    }
}

async fn ask<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    row: &NodeRow,
) -> Result<Report, Lag> {
    if row.incarnation == process.ownership.incarnation() {
        return Ok(ibiscove_spread::report(&process.replica));
    }
    let mut lag = Lag::Silent;
    for _ in 0..ATTEMPTS {
        let query = Request::ReportQuery(ReportQuery {});
        match process.peers.call(row.peer_addr, query).await {
            Ok(Response::Report(report)) => return Ok(report),
            Ok(_) => return Err(Lag::Silent),
            Err(PeerError::Unreachable { .. }) => lag = Lag::Unreachable,
            Err(_) => lag = Lag::Silent,
        }
    }
    Err(lag)
}
