//! Invariant checker: observes the executions at upstreams and the rows of the
//! table.

use ibiscove_store::{MemoryPlatform, Table};
use ibiscove_types::rows::{NODE_PREFIX, SERVICE_PREFIX};
use ibiscove_types::{Fence, Incarnation, NodeRow, NodeState, ServiceRow, Slot};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug, Default)]
struct SlotHistory {
    /// Highest fence of an execution, with its owner.
    newest: Option<(Fence, Incarnation)>,
    /// When the last execution of each owner ends.
    ends: BTreeMap<Incarnation, Duration>,
}

/// One request executed at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Execution {
    pub slot: Slot,
    pub fence: Fence,
    pub owner: Incarnation,
    pub started_at: Duration,
    pub ends: Duration,
}

/// Records executions and invariant violations.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    slots: BTreeMap<Slot, SlotHistory>,
    pub executions: u64,
    pub violations: Vec<String>,
}

impl InvariantChecker {
    /// Checks an execution; executions come in the order in which they begin. A
    /// slot's fence must not fall, one fence must belong to one owner, and
    /// executions of different owners must not overlap.
    pub fn record_execution(&mut self, execution: Execution) {
        self.executions += 1;
        let history = self.slots.entry(execution.slot).or_default();
        let newest = history.newest.unwrap_or((execution.fence, execution.owner));
        if execution.fence < newest.0 {
            self.violations
                .push(format!("lower fence after {newest:?}: {execution:?}"));
        }
        if execution.fence == newest.0 && execution.owner != newest.1 {
            self.violations
                .push(format!("one fence, two owners {newest:?}: {execution:?}"));
        }
        for (owner, ends) in &history.ends {
            if *owner != execution.owner && *ends > execution.started_at {
                let text = format!("two owners at a time, {owner} until {ends:?}: {execution:?}");
                self.violations.push(text);
            }
        }
        history.newest = Some(newest.max((execution.fence, execution.owner)));
        let end = history.ends.entry(execution.owner).or_default();
        *end = (*end).max(execution.ends);
    }

    /// Checks invariant 1: the table assigns each slot exactly once.
    pub fn check_rows(&mut self, platform: &MemoryPlatform) {
        let rows = Rows::read(platform);
        for service in &rows.services {
            let mut assignments: BTreeMap<Slot, usize> = BTreeMap::new();
            let granted = rows
                .nodes
                .iter()
                .filter(|n| n.service() == Some(&service.name));
            for node in granted.filter(|node| node.state != NodeState::Retired) {
                for grant in &node.grants {
                    *assignments.entry(grant.slot).or_default() += 1;
                }
            }
            for vacancy in &service.vacant {
                *assignments.entry(vacancy.slot).or_default() += 1;
            }
            let mut slots: BTreeSet<Slot> = (0..service.slot_count).collect();
            slots.extend(service.splits.iter().map(|split| split.slot));
            let misassigned = slots.iter().find(|slot| assignments.get(slot) != Some(&1));
            if let Some(slot) = misassigned {
                let count = assignments.get(slot).copied().unwrap_or_default();
                self.violations
                    .push(format!("slot {slot} is assigned {count} times"));
            }
        }
    }
}

/// Node and service rows of the table.
pub struct Rows {
    pub nodes: Vec<NodeRow>,
    pub services: Vec<ServiceRow>,
}

impl Rows {
    pub fn read(platform: &MemoryPlatform) -> Self {
        Self {
            nodes: scan(platform, NODE_PREFIX),
            services: scan(platform, SERVICE_PREFIX),
        }
    }
}

fn scan<R: serde::de::DeserializeOwned>(platform: &MemoryPlatform, prefix: &str) -> Vec<R> {
    let rows =
        smol::future::block_on(platform.scan(prefix)).expect("the in-memory table always responds");
    let rows = rows
        .iter()
        .map(|(_, row)| serde_json::from_slice(&row.body));
    rows.collect::<Result<_, _>>().expect("rows are readable")
}
