//! The slots that this node serves, and the requests that run on each.

use ibiscove_types::{Acquisition, Fence, Reason, Slot, SlotGrant};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Permission to run one request here. Dropping it says that the request has
/// ended.
#[derive(Debug)]
pub struct Admission {
    /// The fence to pass to the upstream; none for a shared service.
    pub fence: Option<Fence>,
    /// How and when this node came to own the slot.
    pub acquired: (Acquisition, Instant),
    /// When the lease ends if no witness acknowledges again. Work for an
    /// upstream that checks no fences must not run longer.
    pub valid_until: Instant,
    slot: Option<Slot>,
    held: HeldSlots,
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.held.finish(self.slot);
    }
}

#[derive(Clone, Copy, Debug)]
struct HeldSlot {
    fence: Fence,
    acquired: (Acquisition, Instant),
}

#[derive(Debug, Default)]
struct State {
    /// Refuses every request while set.
    refusal: Option<Reason>,
    slots: HashMap<Slot, HeldSlot>,
    /// Slots that admit nothing while they are handed to another node.
    moving: HashSet<Slot>,
    in_flight: HashMap<Option<Slot>, u32>,
}

/// The slots that this node serves. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldSlots {
    state: Arc<Mutex<State>>,
    ended: Arc<event_listener::Event>,
}

impl HeldSlots {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Admits a request to a slot, or to the whole node when there is none.
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
            let known = *state.slots.get(&slot).ok_or(Reason::NotOwner)?;
            if state.moving.contains(&slot) {
                return Err(Reason::Moving);
            }
            fence = Some(known.fence);
            acquired = known.acquired;
        }
        *state.in_flight.entry(slot).or_default() += 1;
        Ok(Admission {
            fence,
            acquired,
            valid_until,
            slot,
            held: self.clone(),
        })
    }

    /// Serves just these grants from `now` on.
    pub(crate) fn replace(&self, grants: impl IntoIterator<Item = SlotGrant>, now: Instant) {
        let mut state = self.state();
        let before = std::mem::take(&mut state.slots);
        for grant in grants {
            let same = before.get(&grant.slot).filter(|s| s.fence == grant.fence);
            let held = same.copied().unwrap_or(HeldSlot {
                fence: grant.fence,
                acquired: (grant.acquired, now),
            });
            state.slots.insert(grant.slot, held);
        }
    }

    pub(crate) fn refuse_all(&self, reason: Reason) {
        self.state().refusal = Some(reason);
    }

    /// Stops to admit requests to some slots.
    pub(crate) fn hold(&self, slots: &[Slot]) {
        self.state().moving.extend(slots);
    }

    /// Ends what [`HeldSlots::hold`] began.
    pub(crate) fn release(&self, slots: &[Slot]) {
        self.state().moving.retain(|slot| !slots.contains(slot));
    }

    /// Completes once no request is running on any of the slots, or at all
    /// when none are given.
    pub(crate) async fn idle(&self, slots: Option<&[Slot]>) {
        loop {
            let ended = self.ended.listen();
            if !self.is_busy(slots) {
                return;
            }
            ended.await;
        }
    }

    /// Whether a request runs on any of the slots, or at all when none are
    /// given.
    pub(crate) fn is_busy(&self, slots: Option<&[Slot]>) -> bool {
        let state = self.state();
        match slots {
            None => !state.in_flight.is_empty(),
            Some(slots) => slots
                .iter()
                .any(|slot| state.in_flight.contains_key(&Some(*slot))),
        }
    }

    fn finish(&self, slot: Option<Slot>) {
        let mut state = self.state();
        if let Some(count) = state.in_flight.get_mut(&slot) {
            *count -= 1;
            if *count == 0 {
                state.in_flight.remove(&slot);
            }
        }
        drop(state);
        self.ended.notify(usize::MAX);
    }
}
