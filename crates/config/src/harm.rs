//! Impact check: harm that a change of the inventory would do to services that
//! exist in the cluster.

use crate::{Inventory, Rules};
use ibiscove_types::{ClusterMap, NodeState, ServiceKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Kinds of harm that a change can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HarmKind {
    /// A service with upstreams would lose all of them, or its entry.
    LastUpstream,
    /// The slot count or kind of an existing service would change.
    Shape,
    /// A larger share of keys would change owner than the rules allow per minute.
    Churn,
    /// A data centre with nodes would no longer be listed.
    DataCentre,
}

impl HarmKind {
    /// Returns whether an operator may force the change. The shape of an existing
    /// service must never change: two nodes with different slot counts would
    /// place the same key twice.
    pub fn can_be_forced(self) -> bool {
        self != HarmKind::Shape
    }
}

/// A harm that a change would do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Harm {
    /// The kind of harm.
    pub kind: HarmKind,
    /// Description for the operator.
    pub text: String,
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let decision = match self.kind.can_be_forced() {
            true => "held, --force applies it",
            false => "refused",
        };
        write!(f, "{decision}: {}", self.text)
    }
}

/// Returns the harms of replacing `before` by `after`, given the cluster map.
pub fn find_harms(
    before: &Inventory,
    after: &Inventory,
    rules: &Rules,
    map: &ClusterMap,
) -> Vec<Harm> {
    let mut harms = Vec::new();
    find_removed_services(before, after, map, &mut harms);
    find_changed_shapes(after, map, &mut harms);
    find_declared_losses(before, after, rules, map, &mut harms);
    find_removed_data_centres(before, after, map, &mut harms);
    harms
}

fn find_removed_services(
    before: &Inventory,
    after: &Inventory,
    map: &ClusterMap,
    harms: &mut Vec<Harm>,
) {
    for service in &before.services {
        let upstreams = map.members(&service.name).len();
        if after.service(&service.name).is_none() && upstreams > 0 {
            harms.push(Harm {
                kind: HarmKind::LastUpstream,
                text: format!(
                    "service {} would lose its entry while {upstreams} upstreams serve it",
                    service.name
                ),
            });
        }
    }
}

fn find_changed_shapes(after: &Inventory, map: &ClusterMap, harms: &mut Vec<Harm>) {
    for service in &after.services {
        let Some(existing) = map.service(&service.name) else {
            continue;
        };
        if existing.row.kind != service.kind {
            harms.push(Harm {
                kind: HarmKind::Shape,
                text: format!("service {} exists as {:?}", service.name, existing.row.kind)
                    .to_lowercase(),
            });
        } else if service.kind == ServiceKind::Divided && existing.row.slot_count != service.slots {
            harms.push(Harm {
                kind: HarmKind::Shape,
                text: format!(
                    "service {} exists with {} slots, so it cannot have {}",
                    service.name, existing.row.slot_count, service.slots
                ),
            });
        }
    }
}

fn find_declared_losses(
    before: &Inventory,
    after: &Inventory,
    rules: &Rules,
    map: &ClusterMap,
    harms: &mut Vec<Harm>,
) {
    let previously_lost: BTreeSet<_> = before.lost.iter().map(|lost| &lost.instance).collect();
    let lost: BTreeSet<_> = after
        .lost
        .iter()
        .map(|lost| lost.instance.as_str())
        .collect();
    if after
        .lost
        .iter()
        .all(|lost| previously_lost.contains(&lost.instance))
    {
        return;
    }
    for service in map.services() {
        let name = &service.row.name;
        let members = map.members(name).iter().filter_map(|i| map.node(*i));
        let members: Vec<_> = members.map(|node| &node.row).collect();
        let lost_members: Vec<_> = members
            .iter()
            .filter(|row| lost.contains(row.name.as_str()) && row.state != NodeState::Retired)
            .collect();
        if lost_members.is_empty() {
            continue;
        }
        if lost_members.len() == members.len() {
            harms.push(Harm {
                kind: HarmKind::LastUpstream,
                text: format!("service {name} would be left without an upstream"),
            });
        }
        let newly_lost = lost_members
            .iter()
            .filter(|row| !previously_lost.contains(&row.name));
        let moved_slots: usize = newly_lost.map(|row| row.grants.len()).sum();
        let share = moved_slots as f64 / f64::from(service.row.slot_count.max(1));
        let allowed_share = rules.service(name).churn_per_minute;
        if share > allowed_share {
            harms.push(Harm {
                kind: HarmKind::Churn,
                text: format!(
                    "{:.1}% of the keys of {name} would change owner, and the rules allow \
                     {:.1}% a minute",
                    share * 100.0,
                    allowed_share * 100.0
                ),
            });
        }
    }
}

fn find_removed_data_centres(
    before: &Inventory,
    after: &Inventory,
    map: &ClusterMap,
    harms: &mut Vec<Harm>,
) {
    let names = |inventory: &Inventory| -> BTreeSet<String> {
        let regions = inventory.regions.iter();
        regions.flat_map(|r| r.data_centres.clone()).collect()
    };
    let after = names(after);
    for name in names(before).difference(&after) {
        let nodes = map
            .live_nodes()
            .filter(|node| *node.row.data_centre == **name)
            .count();
        if nodes > 0 {
            harms.push(Harm {
                kind: HarmKind::DataCentre,
                text: format!("data centre {name} still has {nodes} nodes"),
            });
        }
    }
}
