//! Looks after ranges that have no live owner.
//!
//! One member of the service does this at a time, the first by name of those
//! that hold a lease. Two that both think so cost a failed transaction.

use super::RangeController;
use crate::balance::divide;
use crate::grants::Grantee;
use crate::map::{KeyRange, Owner, RangeMap, Transfer};
use crate::rows;
use ibiscove_mesh::Member;
use ibiscove_store::{Condition, Table, TableError, Transaction, Write};
use ibiscove_types::{BootClock, Clock, NodeName, RowVersion};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which members gather before keys are divided for the first time.
const GATHER: Duration = Duration::from_millis(2_500);

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    pub(super) async fn coordinate(&self) {
        loop {
            self.inner.parts.clock.sleep(LOOK_INTERVAL).await;
            if !self.is_coordinator() {
                continue;
            }
            if let Err(err) = self.settle_unowned().await {
                log::warn!("ranges without an owner stay so for now: {err}");
                self.pause().await;
            }
        }
    }

    fn is_coordinator(&self) -> bool {
        let state = self.state();
        if state.is_leaving || state.life.is_none() || !self.holds_lease(&state) {
            return false;
        }
        let has_gathered = state.joined.is_some_and(|joined| {
            self.inner
                .parts
                .clock
                .now()
                .saturating_duration_since(joined)
                >= GATHER
        });
        drop(state);
        let is_first = self
            .candidates()
            .iter()
            .all(|other| self.inner.parts.node < other.name);
        is_first && (has_gathered || self.map().is_some())
    }

    async fn settle_unowned(&self) -> Result<(), TableError> {
        let map = match self.map() {
            Some(known) => known.map,
            None => RangeMap::unowned().into(),
        };
        let silent = self.silent_owners(&map);
        let has_unowned = map.assignments().iter().any(|a| a.owner.is_none());
        if silent.is_empty() && !has_unowned {
            return Ok(());
        }
        let mut ended = Vec::new();
        if !silent.is_empty() {
            let snapshot = self.read_rows().await?;
            let now = self.inner.parts.clock.since_boot();
            let state = self.state();
            for node in silent {
                match snapshot.lease_of(&node) {
                    None => ended.push((node, None)),
                    Some(version) => {
                        let settings = &self.inner.parts.settings.lease;
                        if state.watch.has_ended(&node, version, settings, now) {
                            ended.push((node, Some(version)));
                        }
                    }
                }
            }
        }
        if ended.is_empty() && !has_unowned {
            // Leases that still run are read again when they may have ended.
            self.pause().await;
            return Ok(());
        }
        for (node, version) in &ended {
            log::warn!(node = &**node, service = &*self.inner.parts.service, version:? = version;
                "takes over the ranges of a lost node");
        }
        let owners = self.eligible();
        let also = || end_leases(&self.inner.parts.service, &ended);
        let nodes: BTreeSet<&NodeName> = ended.iter().map(|(node, _)| node).collect();
        self.change_map(also, |map| plan(map, &nodes, &owners))
            .await?;
        Ok(())
    }

    /// Nodes that own ranges and have not been heard of lately, or run without
    /// their upstream and say so by holding no lease.
    fn silent_owners(&self, map: &RangeMap) -> Vec<NodeName> {
        let now = self.inner.parts.clock.now();
        let owners = map.assignments().iter().filter_map(|a| a.owner.as_ref());
        let nodes: BTreeSet<&NodeName> = owners.map(|owner| &owner.node).collect();
        let is_silent = |node: &&&NodeName| {
            let member = self.inner.parts.members.get(node);
            **node != &self.inner.parts.node
                && !member.is_some_and(|member| self.inner.parts.members.is_alive(&member, now))
        };
        nodes
            .iter()
            .filter(is_silent)
            .map(|node| NodeName::clone(node))
            .collect()
    }

    /// Owners that may be given ranges, this node among them.
    fn eligible(&self) -> Vec<Owner> {
        let own = self.owner(&self.state());
        let others = self.candidates();
        own.into_iter()
            .chain(others.iter().filter_map(owner_of))
            .collect()
    }
}

/// The owner that a member would be.
pub(super) fn owner_of(member: &Member) -> Option<Owner> {
    let upstream = member.upstream.as_ref()?;
    Some(Owner {
        node: NodeName::clone(&member.name),
        life: upstream.incarnation.clone(),
    })
}

fn end_leases(service: &str, ended: &[(NodeName, Option<RowVersion>)]) -> Transaction {
    let mut txn = Transaction::default();
    for (node, version) in ended {
        let key = rows::lease_key(service, node);
        txn.conditions.push(Condition {
            key: key.clone(),
            version: *version,
        });
        if version.is_some() {
            txn.writes.push(Write { key, body: None });
        }
    }
    txn
}

fn plan(map: &RangeMap, ended: &BTreeSet<&NodeName>, owners: &[Owner]) -> Option<Vec<Transfer>> {
    let is_free = |owner: &Option<Owner>| owner.as_ref().is_none_or(|o| ended.contains(&o.node));
    let free = map.assignments().iter().filter(|a| is_free(&a.owner));
    let ranges: Vec<KeyRange> = free.map(|a| a.range).collect();
    let divided = divide(map, &ranges, owners);
    if divided.is_empty() {
        return None;
    }
    let transfer = |(range, owner)| Transfer::cold(range, owner);
    Some(divided.into_iter().map(transfer).collect())
}
