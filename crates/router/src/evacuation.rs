//! Evacuation of data centres: a node learns of it from the operator's table or from
//! its peers, refuses requests at its own gate and hands its keys over.

use crate::Router;
use ibiscove_mesh::Member;
use ibiscove_mesh::evacuations::{EvacuationChange, EvacuationNews, Reading};
use ibiscove_proxy::gate::Evacuation;
use ibiscove_ranges::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock, DataCentre, RowVersion};
use std::collections::BTreeSet;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Applies what was read of evacuations in the operator's table as of `version`,
    /// unless this node knows of a later state.
    pub fn apply_evacuations(&self, version: RowVersion, reading: Reading) {
        let populated = self.populated_data_centres();
        let now = self.inner.clock.now();
        let change = self.inner.members.evacuations().update(|state| {
            state.apply_reading(version, reading, |name| populated.contains(name), now)
        });
        if change.is_change() {
            // Every node is told, since the period for handovers has begun.
            self.inner.heartbeat_due.notify(usize::MAX);
        }
        self.enforce_change(&change, "table");
    }

    /// Applies what a member's heartbeat tells of evacuations.
    pub(crate) fn apply_evacuation_news(&self, member: &Member, news: Option<EvacuationNews>) {
        let now = self.inner.clock.now();
        let evacuations = self.inner.members.evacuations();
        let change = match news {
            Some(news) => evacuations.update(|state| state.merge(&news, now)),
            None if member.config_version > 0 && !evacuations.is_known() => {
                evacuations.update(|state| state.record_none_named())
            }
            None => return,
        };
        if change.is_change() {
            self.inner
                .is_evacuation_unspread
                .store(true, Ordering::Release);
            self.inner.spread_due.notify(usize::MAX);
        }
        if change.is_peer_behind {
            log::debug!(peer = &*member.name; "a peer's evacuations are out of date");
        }
        self.enforce_change(&change, &member.name);
    }

    fn enforce_change(&self, change: &EvacuationChange, source: &str) {
        for data_centre in &change.left_out {
            metrics::counter!("ibiscove_evacuations_left_out_total").increment(1);
            log::error!(data_centre = &**data_centre;
                "too many data centres are evacuated at once; this evacuation is not obeyed");
        }
        if !change.is_change() && !change.is_first {
            return;
        }
        let populated = self.populated_data_centres();
        let names = self.inner.members.evacuations().names();
        for data_centre in &change.evacuated {
            log::warn!(data_centre = &**data_centre, source = source;
                "a data centre is evacuated: its upstreams are sent nothing more");
            if !populated.contains(data_centre) {
                metrics::counter!("ibiscove_evacuations_without_nodes_total").increment(1);
                log::warn!(data_centre = &**data_centre;
                    "no node is known in the evacuated data centre");
            }
        }
        for data_centre in &change.taken_back {
            log::warn!(data_centre = &**data_centre, source = source;
                "the evacuation of a data centre is taken back");
        }
        if change.is_change() && populated.is_subset(&names) {
            log::error!(data_centres = names.len();
                "all data centres are evacuated: all requests are refused");
        }
        metrics::counter!("ibiscove_evacuation_changes_total")
            .increment((change.evacuated.len() + change.taken_back.len()) as u64);
        metrics::gauge!("ibiscove_data_centres_evacuated").set(names.len() as f64);
        self.update_evacuation();
    }

    /// Makes this node's gate and its range controller act on the evacuation of its own
    /// data centre.
    pub(crate) fn update_evacuation(&self) {
        let settings = &self.inner.settings;
        // Of two tasks the later one must not act on an earlier state. The lock guards
        // no data that a panic could leave inconsistent.
        let enforcement = &self.inner.evacuation_enforcement;
        let _guard = enforcement.lock().unwrap_or_else(PoisonError::into_inner);
        let evacuations = self.inner.members.evacuations();
        let (is_known, handover_end) = evacuations.read(|state| {
            let handover_end = state.handover_end(&settings.data_centre);
            (state.is_known(), handover_end)
        });
        let is_known = is_known || !settings.awaits_evacuations;
        self.inner.gate.set_evacuation(match handover_end {
            Some(handover_ends) => Evacuation::Evacuated { handover_ends },
            None if is_known => Evacuation::None,
            None => Evacuation::Unknown,
        });
        if let Some(controller) = self.inner.range_controller.get() {
            controller.set_evacuated(handover_end.is_some());
        }
    }

    /// Returns the data centres in which nodes are known, this one's included.
    fn populated_data_centres(&self) -> BTreeSet<DataCentre> {
        let mut data_centres = BTreeSet::from([self.inner.settings.data_centre.clone()]);
        self.inner.members.for_each(|member, _| {
            if !data_centres.contains(&member.data_centre) {
                data_centres.insert(member.data_centre.clone());
            }
        });
        data_centres
    }
}
