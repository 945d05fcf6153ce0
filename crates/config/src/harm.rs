//! What a change of the inventory would do to services that live.

use crate::{Inventory, Rules};
use ibiscove_types::{ClusterMap, NodeState, ServiceKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// What kind of harm a change would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HarmKind {
    /// A service that has upstreams would be left without any.
    LastUpstream,
    /// The slot count or kind of a service that lives would change.
    Shape,
    /// More keys would change owner than the rules allow in a minute.
    Churn,
    /// A data centre with nodes would no longer be listed.
    DataCentre,
}

impl HarmKind {
    /// Whether an operator may insist. A slot count may never change while the
    /// service lives: two nodes with different counts would place a key twice.
    pub fn can_be_forced(self) -> bool {
        self != HarmKind::Shape
    }
}

/// A harm that a change would do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Harm {
    /// Its kind.
    pub kind: HarmKind,
    /// What would happen, for the operator.
    pub text: String,
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = match self.kind.can_be_forced() {
            true => "held, --force applies it",
            false => "refused",
        };
        write!(f, "{held}: {}", self.text)
    }
}

/// The harms of replacing `before` by `after`, given the services that live.
pub fn find_harms(
    before: &Inventory,
    after: &Inventory,
    rules: &Rules,
    map: &ClusterMap,
) -> Vec<Harm> {
    let mut harms = Vec::new();
    removed_services(before, after, map, &mut harms);
    changed_shapes(after, map, &mut harms);
    newly_lost(before, after, rules, map, &mut harms);
    removed_data_centres(before, after, map, &mut harms);
    harms
}

fn removed_services(
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

fn changed_shapes(after: &Inventory, map: &ClusterMap, harms: &mut Vec<Harm>) {
    for service in &after.services {
        let Some(living) = map.service(&service.name) else {
            continue;
        };
        if living.row.kind != service.kind {
            harms.push(Harm {
                kind: HarmKind::Shape,
                text: format!("service {} lives as {:?}", service.name, living.row.kind)
                    .to_lowercase(),
            });
        } else if service.kind == ServiceKind::Divided && living.row.slot_count != service.slots {
            harms.push(Harm {
                kind: HarmKind::Shape,
                text: format!(
                    "service {} lives with {} slots, so it cannot have {}",
                    service.name, living.row.slot_count, service.slots
                ),
            });
        }
    }
}

fn newly_lost(
    before: &Inventory,
    after: &Inventory,
    rules: &Rules,
    map: &ClusterMap,
    harms: &mut Vec<Harm>,
) {
    let known: BTreeSet<_> = before.lost.iter().map(|lost| &lost.instance).collect();
    let lost: BTreeSet<_> = after
        .lost
        .iter()
        .map(|lost| lost.instance.as_str())
        .collect();
    if after.lost.iter().all(|lost| known.contains(&lost.instance)) {
        return;
    }
    for service in map.services() {
        let name = &service.row.name;
        let members = map.members(name).iter().filter_map(|i| map.node(*i));
        let members: Vec<_> = members.map(|node| &node.row).collect();
        let gone: Vec<_> = members
            .iter()
            .filter(|row| lost.contains(row.name.as_str()) && row.state != NodeState::Retired)
            .collect();
        if gone.is_empty() {
            continue;
        }
        if gone.len() == members.len() {
            harms.push(Harm {
                kind: HarmKind::LastUpstream,
                text: format!("service {name} would be left without an upstream"),
            });
        }
        let newly = gone.iter().filter(|row| !known.contains(&row.name));
        let moved: usize = newly.map(|row| row.grants.len()).sum();
        let share = moved as f64 / f64::from(service.row.slot_count.max(1));
        let budget = rules.service(name).churn_per_minute;
        if share > budget {
            harms.push(Harm {
                kind: HarmKind::Churn,
                text: format!(
                    "{:.1}% of the keys of {name} would change owner, and the rules allow \
                     {:.1}% a minute",
                    share * 100.0,
                    budget * 100.0
                ),
            });
        }
    }
}

fn removed_data_centres(
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
