//! Lease of this node, granted by a majority of its witnesses.
//!
//! Invariant 2: the lease ends [`Lease::term`] after the *sending* of the
//! heartbeat whose acknowledgement completes the majority, while each witness
//! keeps its promise not to seal this node (to refuse all its later heartbeats)
//! for a full lease from the *receipt* of a heartbeat.

use ibiscove_types::{Incarnation, NodeRow};
use ibiscove_wire::messages::{Grant, Heartbeat, HeartbeatAck, Holding};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Consecutive heartbeats without a response after which a witness counts as
/// lost.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// Returns how many of `count` witnesses suffice for a lease, or for a
/// takeover.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// State of one witness as observed by this node.
#[derive(Clone, Copy, Debug, Default)]
struct WitnessState {
    /// When the newest acknowledged heartbeat was sent.
    acked_sent_at: Option<Instant>,
    held_sequence: i64,
    consecutive_failures: u32,
    /// Set when it has sealed this node, or is another incarnation.
    refused: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Witnesses of the row as the table last confirmed it.
    confirmed_witnesses: Vec<Incarnation>,
    /// Witnesses named by a row change that has not been read back.
    proposed_witnesses: Option<Vec<Incarnation>>,
    witness_states: HashMap<Incarnation, WitnessState>,
    sequence: i64,
    successors_void: bool,
    holding: Option<Holding>,
    /// Set while the node retires its own row: late acknowledgements no longer
    /// count.
    renounced: bool,
}

/// Lease of this node.
#[derive(Debug)]
pub(crate) struct Lease {
    term: Duration,
    state: Mutex<State>,
    /// Notified of every acknowledgement, refusal and change.
    pub(crate) changed: event_listener::Event,
}

impl Lease {
    /// Creates a lease without witnesses. `term` is its length from the sending
    /// of a heartbeat, with the drift margin subtracted.
    pub(crate) fn new(term: Duration) -> Self {
        Self {
            term,
            state: Mutex::default(),
            changed: event_listener::Event::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Returns when the lease ends; none when it never started. A node whose
    /// row names no witnesses cannot be sealed, so its lease never ends.
    ///
    /// Invariant 4: while a change of witnesses is not read back, majorities of
    /// both the old and the new ones are required.
    pub(crate) fn end(&self, now: Instant) -> Option<Instant> {
        let state = self.state();
        if state.renounced {
            return None;
        }
        // Without a confirmed row the witnesses that could seal this node are
        // unknown.
        state.holding.as_ref()?;
        let confirmed_end = state.end_by_majority_of(&state.confirmed_witnesses, now, self.term)?;
        match &state.proposed_witnesses {
            Some(proposed_witnesses) => Some(confirmed_end.min(state.end_by_majority_of(
                proposed_witnesses,
                now,
                self.term,
            )?)),
            None => Some(confirmed_end),
        }
    }

    /// Returns the witnesses to send heartbeats to.
    pub(crate) fn witnesses(&self) -> Vec<Incarnation> {
        let state = self.state();
        let mut all = state.confirmed_witnesses.clone();
        let proposed_witnesses = state.proposed_witnesses.iter().flatten();
        all.extend(proposed_witnesses.filter(|w| !state.confirmed_witnesses.contains(w)));
        all
    }

    /// Returns whether a witness has refused, or is unresponsive.
    pub(crate) fn has_lost_witness(&self, witness: Incarnation) -> bool {
        let state = self.state();
        state.witness_states.get(&witness).is_some_and(|state| {
            state.refused || state.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        })
    }

    /// Returns whether so many witnesses refuse that no majority can grant a
    /// lease any more.
    pub(crate) fn is_sealed(&self) -> bool {
        let state = self.state();
        let refused = |w: &&Incarnation| {
            state
                .witness_states
                .get(w)
                .is_some_and(|state| state.refused)
        };
        let count = state.confirmed_witnesses.iter().filter(refused).count();
        let remaining = state.confirmed_witnesses.len() - count;
        !state.confirmed_witnesses.is_empty()
            && remaining < majority(state.confirmed_witnesses.len())
    }

    /// Returns the next heartbeat of `own`, this node, to a witness. On the
    /// wire this node is the witness's `ward`, and `heirs_void` says that its
    /// successors must not act on the holding.
    pub(crate) fn next_heartbeat(&self, own: Incarnation, witness: Incarnation) -> Heartbeat {
        let state = self.state();
        let held_sequence = state
            .witness_states
            .get(&witness)
            .map_or(0, |state| state.held_sequence);
        let has_change = held_sequence < state.sequence && !state.successors_void;
        Heartbeat {
            ward: own as i64,
            witness: witness as i64,
            sequence: state.sequence,
            heirs_void: state.successors_void,
            holding: state.holding.clone().filter(|_| has_change),
        }
    }

    /// Returns whether a witness has not acknowledged the last change.
    pub(crate) fn lacks_latest_sequence(&self, witness: Incarnation) -> bool {
        let state = self.state();
        let held_sequence = state
            .witness_states
            .get(&witness)
            .map_or(0, |state| state.held_sequence);
        held_sequence < state.sequence
    }

    /// Records a witness's response to the heartbeat sent at `sent`.
    pub(crate) fn record_ack(&self, witness: Incarnation, sent: Instant, ack: &HeartbeatAck) {
        let mut state = self.state();
        let witness_state = state.witness_states.entry(witness).or_default();
        witness_state.consecutive_failures = 0;
        if ack.granted {
            witness_state.acked_sent_at = witness_state.acked_sent_at.max(Some(sent));
            witness_state.held_sequence = witness_state.held_sequence.max(ack.held_sequence);
        } else {
            witness_state.refused = true;
        }
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Records that a heartbeat got no response.
    pub(crate) fn record_failure(&self, witness: Incarnation) {
        let mut state = self.state();
        state
            .witness_states
            .entry(witness)
            .or_default()
            .consecutive_failures += 1;
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Adds the witnesses that a pending row change names.
    pub(crate) fn propose_witnesses(&self, witnesses: Vec<Incarnation>) {
        self.state().proposed_witnesses = Some(witnesses);
        self.changed.notify(usize::MAX);
    }

    /// Marks the successors as void in the next heartbeats; returns the
    /// sequence number that the witnesses must acknowledge.
    pub(crate) fn void_successors(&self) -> i64 {
        let mut state = self.state();
        state.sequence += 1;
        state.successors_void = true;
        let sequence = state.sequence;
        drop(state);
        self.changed.notify(usize::MAX);
        sequence
    }

    /// Returns whether a majority of the current witnesses has acknowledged a
    /// sequence number.
    pub(crate) fn is_held_by_majority(&self, sequence: i64) -> bool {
        let state = self.state();
        let holds = |w: &&Incarnation| {
            let witness_state = state.witness_states.get(w);
            witness_state.is_some_and(|state| !state.refused && state.held_sequence >= sequence)
        };
        state.confirmed_witnesses.is_empty()
            || state.confirmed_witnesses.iter().filter(holds).count()
                >= majority(state.confirmed_witnesses.len())
    }

    /// Returns whether a majority of the witnesses holds the row as last
    /// confirmed.
    pub(crate) fn is_row_held_by_majority(&self) -> bool {
        let (sequence, successors_void) = {
            let state = self.state();
            (state.sequence, state.successors_void)
        };
        !successors_void && self.is_held_by_majority(sequence)
    }

    /// Applies the row as read back from the table, which makes its successors
    /// valid.
    pub(crate) fn confirm_row(&self, version: u64, row: &NodeRow) {
        let mut state = self.state();
        state.confirmed_witnesses.clone_from(&row.witnesses);
        state.proposed_witnesses = None;
        let holding = holding(version, row);
        if state.successors_void || state.holding.as_ref() != Some(&holding) {
            state.sequence += 1;
            state.successors_void = false;
            state.holding = Some(holding);
        }
        let named = state.confirmed_witnesses.clone();
        state
            .witness_states
            .retain(|witness, _| named.contains(witness));
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Renounces the lease before the row is retired, or reinstates it when
    /// that failed.
    pub(crate) fn set_renounced(&self, renounced: bool) {
        self.state().renounced = renounced;
        self.changed.notify(usize::MAX);
    }

    /// Resets the state for another incarnation.
    pub(crate) fn reset(&self) {
        *self.state() = State::default();
        self.changed.notify(usize::MAX);
    }
}

impl State {
    fn end_by_majority_of(
        &self,
        witnesses: &[Incarnation],
        now: Instant,
        term: Duration,
    ) -> Option<Instant> {
        if witnesses.is_empty() {
            return Some(now + term);
        }
        let mut sent: Vec<Instant> = witnesses
            .iter()
            .filter_map(|witness| self.witness_states.get(witness)?.acked_sent_at)
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        Some(*sent.get(majority(witnesses.len()) - 1)? + term)
    }
}

fn holding(version: u64, row: &NodeRow) -> Holding {
    let grants = row.grants.iter().map(|grant| Grant {
        slot: grant.slot as i32,
        fence: grant.fence as i64,
        heir: grant.heir.map_or(-1, i16::from),
    });
    Holding {
        row_version: version as i64,
        service_name: row.service().map(|s| s.to_string()).unwrap_or_default(),
        witnesses: row.witnesses.iter().map(|w| *w as i64).collect(),
        heirs: row
            .heirs
            .iter()
            .map(|successor| *successor as i64)
            .collect(),
        grants: grants.collect(),
    }
}
