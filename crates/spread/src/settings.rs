//! How rows are spread.

use ibiscove_types::Incarnation;
use std::time::Duration;

/// How rows are spread.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// This node, which is never its own peer.
    pub incarnation: Incarnation,
    /// Peers that a changed row is pushed to.
    pub fan_out: usize,
    /// Peers that a changed row of the configuration is pushed to. These rows
    /// are few and have to be everywhere within 3 s, so they go to more.
    pub config_fan_out: usize,
    /// Peers that pushes and comparisons choose from, so that a node has a
    /// connection to a few others and not to all.
    pub view_size: usize,
    /// Comparisons after which one peer of the view is replaced.
    pub view_rotation_ticks: u64,
    /// Peers tried in place of one that does not take a push.
    pub push_retries: usize,
    /// Most bytes of rows in one push.
    pub max_push_bytes: usize,
    /// Time between two comparisons of digests.
    pub digest_interval: Duration,
    /// Comparisons that start each time.
    pub comparisons_per_tick: usize,
    /// Peers tried in one comparison until one answers.
    pub comparison_attempts: usize,
    /// Age of the rows, without a comparison with any peer, at which the table
    /// is asked.
    pub max_age: Duration,
    /// Time between two readings of the whole table, which find rows that were
    /// deleted.
    pub reconcile_interval: Duration,
    /// Time between two snapshots.
    pub snapshot_interval: Duration,
    /// Where the random choices start; none: anywhere. Tests give one.
    pub seed: Option<u64>,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            incarnation: 0,
            fan_out: 4,
            config_fan_out: 6,
            view_size: 24,
            view_rotation_ticks: 10,
            push_retries: 1,
            max_push_bytes: 256 << 10,
            digest_interval: Duration::from_secs(1),
            comparisons_per_tick: 2,
            comparison_attempts: 2,
            max_age: Duration::from_secs(10),
            reconcile_interval: Duration::from_secs(3_600),
            snapshot_interval: Duration::from_secs(60),
            seed: None,
        }
    }
}

impl SpreadSettings {
    /// The source of random choices.
    pub(crate) fn rng(&self) -> fastrand::Rng {
        self.seed
            .map_or_else(fastrand::Rng::new, fastrand::Rng::with_seed)
    }
}
