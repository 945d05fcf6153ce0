//! Watches what upstreams executed, and what the table holds.

use ibiscove_store::{MemoryPlatform, Table};
use ibiscove_types::rows::{NODE_PREFIX, SERVICE_PREFIX};
use ibiscove_types::{Fence, Incarnation, NodeRow, NodeState, ServiceRow, Slot};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug, Default)]
struct History {
    /// Highest fence that ran, and who ran it.
    newest: Option<(Fence, Incarnation)>,
    /// When the last execution of each node ends.
    ends: BTreeMap<Incarnation, Duration>,
}

/// One request that ran at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Execution {
    pub slot: Slot,
    pub fence: Fence,
    pub owner: Incarnation,
    pub began: Duration,
    pub ends: Duration,
}

/// Keeps what ran and every broken rule.
#[derive(Debug, Default)]
pub struct Checker {
    slots: BTreeMap<Slot, History>,
    pub executions: u64,
    pub broken: Vec<String>,
}

impl Checker {
    /// Takes executions in the order in which they began.
    pub fn ran(&mut self, run: Execution) {
        self.executions += 1;
        let history = self.slots.entry(run.slot).or_default();
        let newest = history.newest.unwrap_or((run.fence, run.owner));
        if run.fence < newest.0 {
            self.broken
                .push(format!("lower fence after {newest:?}: {run:?}"));
        }
        if run.fence == newest.0 && run.owner != newest.1 {
            self.broken
                .push(format!("one fence, two owners {newest:?}: {run:?}"));
        }
        for (owner, ends) in &history.ends {
            if *owner != run.owner && *ends > run.began {
                let text = format!("two owners at a time, {owner} until {ends:?}: {run:?}");
                self.broken.push(text);
            }
        }
        history.newest = Some(newest.max((run.fence, run.owner)));
        let end = history.ends.entry(run.owner).or_default();
        *end = (*end).max(run.ends);
    }

    /// Checks invariant 1 over the rows of the table.
    pub fn check_rows(&mut self, platform: &MemoryPlatform) {
        let rows = Rows::read(platform);
        for service in &rows.services {
            let mut places: BTreeMap<Slot, usize> = BTreeMap::new();
            let granted = rows
                .nodes
                .iter()
                .filter(|n| n.service() == Some(&service.name));
            for node in granted.filter(|node| node.state != NodeState::Retired) {
                for grant in &node.grants {
                    *places.entry(grant.slot).or_default() += 1;
                }
            }
            for vacancy in &service.vacant {
                *places.entry(vacancy.slot).or_default() += 1;
            }
            let mut slots: BTreeSet<Slot> = (0..service.slot_count).collect();
            slots.extend(service.splits.iter().map(|split| split.slot));
            let wrong = slots.iter().find(|slot| places.get(slot) != Some(&1));
            if let Some(slot) = wrong {
                let count = places.get(slot).copied().unwrap_or_default();
                self.broken
                    .push(format!("slot {slot} stands in {count} places"));
            }
        }
    }
}

/// The rows of a table.
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
    let rows = smol::future::block_on(platform.scan(prefix)).expect("memory always answers");
    let rows = rows
        .iter()
        .map(|(_, row)| serde_json::from_slice(&row.body));
    rows.collect::<Result<_, _>>().expect("rows are readable")
}
