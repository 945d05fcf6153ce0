//! Hands this node's ranges over while its data centre is evacuated.

use super::RangeController;
use crate::grants::Grantee;
use ibiscove_store::Table;
use ibiscove_types::{BootClock, Clock};
use std::time::Duration;

/// Longest delay before an owner in an evacuated data centre hands its ranges over. All
/// owners there do so in the same seconds, and their recipients and the table bear them
/// better one after the other.
const MAX_DELAY: Duration = Duration::from_millis(300);

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    /// Records whether the upstream's data centre is evacuated. Its ranges move to
    /// owners elsewhere meanwhile; afterwards it receives ranges as a joining member.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        let mut state = self.state();
        if state.evacuated_from.is_some() == is_evacuated {
            return;
        }
        let delay = MAX_DELAY.mul_f64(fastrand::f64());
        let now = self.inner.deps.clock.now();
        state.evacuated_from = is_evacuated.then_some(now + delay);
        drop(state);
        self.inner.state_changed.notify(usize::MAX);
    }
}
