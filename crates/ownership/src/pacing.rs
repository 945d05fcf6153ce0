//! When rows that named lost nodes are changed.
//!
//! A lost node leaves its wards and those that named it as an heir to choose
//! again, and each of them writes its row. After the loss of a data centre most
//! rows of a region are among them. Their keys are served meanwhile, by two
//! witnesses of three, so the writes can wait: they are spread so that the
//! table sees [`REPAIRS_PER_SECOND`], however many nodes are lost at once. See
//! `docs/ownership.md`.

use std::time::{Duration, Instant};

/// Changes of rows a second that losses may cause in the whole cluster.
pub const REPAIRS_PER_SECOND: u32 = 100;
/// Rows that name a node as a witness or an heir, on average: three wards, and
/// four owners.
const ROWS_PER_LOSS: u32 = 7;

/// The pace of one node's repairs.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepairPacer {
    /// Retired rows when nothing was to repair.
    retired: usize,
    /// Since when there is something to repair, and this node's place in the
    /// time over which all nodes' repairs are spread.
    waiting: Option<(Instant, f64)>,
}

impl RepairPacer {
    /// Whether a repair that is `needed` may be made now, with so many `retired`
    /// rows known.
    pub fn may_repair(
        &mut self,
        needed: bool,
        retired: usize,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if !needed {
            self.retired = retired;
            self.waiting = None;
            return false;
        }
        let (since, place) = *self.waiting.get_or_insert_with(|| (now, rng.f64()));
        // Losses become known one after the other, so the time is worked out
        // anew at each look.
        let lost = retired.saturating_sub(self.retired).max(1) as u32;
        let rows = Duration::from_secs(1) * lost * ROWS_PER_LOSS;
        now >= since + (rows / REPAIRS_PER_SECOND).mul_f64(place)
    }
}
