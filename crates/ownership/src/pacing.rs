//! Rate limit for the repair of rows that name lost nodes.
//!
//! After the loss of a node, the nodes that it monitored and those that named
//! it as a successor select others, and each of them writes its row. After the
//! loss of a data centre most rows of a region are among them. Their owners hold
//! a lease from two witnesses of three meanwhile, so the writes can wait: they
//! are spread randomly over time so that the table receives
//! [`REPAIRS_PER_SECOND`], however many nodes are lost at once. See
//! `docs/ownership.md`.

use std::time::{Duration, Instant};

/// Row writes per second that losses may cause in the whole cluster.
pub const REPAIRS_PER_SECOND: u32 = 100;
/// Average number of rows that name a node: three as a witness, four as a
/// successor.
const ROWS_PER_LOSS: u32 = 7;

/// Schedules the repairs of one node's row.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepairPacer {
    /// Number of retired rows when no repair was needed.
    baseline_retired: usize,
    /// Since when a repair is needed, and this node's position, from 0 to 1, in
    /// the period over which the repairs of all nodes are spread.
    pending: Option<(Instant, f64)>,
}

impl RepairPacer {
    /// Returns whether a repair that is `needed` may be made now, given the
    /// number of `retired` rows known.
    pub fn may_repair(
        &mut self,
        needed: bool,
        retired: usize,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if !needed {
            self.baseline_retired = retired;
            self.pending = None;
            return false;
        }
        let (since, position) = *self.pending.get_or_insert_with(|| (now, rng.f64()));
        // Losses become known one after another, so the period is recomputed at
        // each check.
        let lost = retired.saturating_sub(self.baseline_retired).max(1) as u32;
        let spread = Duration::from_secs(1) * lost * ROWS_PER_LOSS;
        now >= since + (spread / REPAIRS_PER_SECOND).mul_f64(position)
    }
}
