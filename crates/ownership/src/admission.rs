//! Admission of requests to the slots that this node serves.
//!
//! A slot admits requests while this node holds it and no move suspends it.
//! Each admission counts as in flight until it is dropped.

use ibiscove_types::{Acquisition, Fence, Reason, Slot, SlotGrant};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Permission to run one request here. Dropping it marks the request as ended.
#[derive(Debug)]
pub struct Admission {
    /// Fence to pass to the upstream; none for a shared service.
    pub fence: Option<Fence>,
    /// How and when this node acquired the slot.
    pub acquired: (Acquisition, Instant),
    /// When the lease ends if no witness acknowledges again. Work for an
    /// upstream that checks no fences must not run longer.
    pub valid_until: Instant,
    slot: Option<Slot>,
    held_slots: HeldSlots,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.held_slots.record_end(self.slot);
    }
}

#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    fence: Fence,
    acquired: (Acquisition, Instant),
}

#[derive(Debug, Default)]
struct State {
    /// Reason for which every request is refused, if any.
    refusal: Option<Reason>,
    slots: HashMap<Slot, HeldSlot>,
    /// Slots that admit no requests while they are moved to another node.
    suspended: HashSet<Slot>,
    in_flight: HashMap<Option<Slot>, u32>,
}

/// Slots that this node serves, with their requests in flight. Clones share
/// them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldSlots {
    state: Arc<Mutex<State>>,
    request_ended: Arc<event_listener::Event>,
}

impl HeldSlots {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Admits a request to a slot, or to the node when no slot is given.
    pub(crate) fn admit(
        &self,
        slot: Option<Slot>,
        now: Instant,
        valid_until: Instant,
    ) -> Result<Admission, Reason> {
        let mut state = self.state();
        if let Some(refusal) = state.refusal {
            return Err(refusal);
        }
        let mut fence = None;
        let mut acquired = (Acquisition::Claimed, now);
        if let Some(slot) = slot {
            let held = *state.slots.get(&slot).ok_or(Reason::NotOwner)?;
            if state.suspended.contains(&slot) {
                return Err(Reason::Moving);
            }
            fence = Some(held.fence);
            acquired = held.acquired;
        }
        *state.in_flight.entry(slot).or_default() += 1;
        Ok(Admission {
            fence,
            acquired,
            valid_until,
            slot,
            held_slots: self.clone(),
        })
    }

    /// Replaces the served slots by those of `grants`. A slot under the same
    /// fence keeps the time at which it was acquired; others get `now`.
    pub(crate) fn replace_grants(&self, grants: impl IntoIterator<Item = SlotGrant>, now: Instant) {
        let mut state = self.state();
        let previous = std::mem::take(&mut state.slots);
        for grant in grants {
            let unchanged = previous.get(&grant.slot).filter(|s| s.fence == grant.fence);
            let held = unchanged.copied().unwrap_or(HeldSlot {
                fence: grant.fence,
                acquired: (grant.acquired, now),
            });
            state.slots.insert(grant.slot, held);
        }
    }

    pub(crate) fn refuse_all(&self, reason: Reason) {
        self.state().refusal = Some(reason);
    }

    /// Stops admitting requests to these slots.
    pub(crate) fn suspend(&self, slots: &[Slot]) {
        self.state().suspended.extend(slots);
    }

    /// Admits requests again to slots that [`HeldSlots::suspend`] stopped.
    pub(crate) fn resume(&self, slots: &[Slot]) {
        self.state().suspended.retain(|slot| !slots.contains(slot));
    }

    /// Waits until no request is in flight on any of the slots, or on the node
    /// when none are given.
    pub(crate) async fn await_idle(&self, slots: Option<&[Slot]>) {
        loop {
            let request_ended = self.request_ended.listen();
            if !self.has_in_flight(slots) {
                return;
            }
            request_ended.await;
        }
    }

    /// Returns whether a request is in flight on any of the slots, or on the
    /// node when none are given.
    pub(crate) fn has_in_flight(&self, slots: Option<&[Slot]>) -> bool {
        let state = self.state();
        match slots {
            None => !state.in_flight.is_empty(),
            Some(slots) => slots
                .iter()
                .any(|slot| state.in_flight.contains_key(&Some(*slot))),
        }
    }

    fn record_end(&self, slot: Option<Slot>) {
        let mut state = self.state();
        if let Some(count) = state.in_flight.get_mut(&slot) {
            *count -= 1;
            if *count == 0 {
                state.in_flight.remove(&slot);
            }
        }
        drop(state);
        self.request_ended.notify(usize::MAX);
    }
}
