//! Settings of replication.

use ibiscove_types::Incarnation;
use std::time::Duration;

/// Settings of replication.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// This node's incarnation, used to exclude it from its peers.
    pub incarnation: Incarnation,
    /// Number of peers that a changed row is pushed to.
    pub fan_out: usize,
    /// Number of peers that a changed configuration row is pushed to. These rows
    /// are few and must reach every node within 3 s, so they go to more peers.
    pub config_fan_out: usize,
    /// Number of peers in the view, from which pushes and comparisons choose.
    /// It bounds the number of a node's connections.
    pub view_size: usize,
    /// Number of digest intervals after which one peer of the view is replaced.
    pub view_rotation_ticks: u64,
    /// Number of further peers attempted after a failed push.
    pub push_retries: usize,
    /// Limit on the size of the rows in one push, in bytes.
    pub max_push_bytes: usize,
    /// Interval between digest comparisons.
    pub digest_interval: Duration,
    /// Number of comparisons started per digest interval.
    pub comparisons_per_tick: usize,
    /// Number of peers attempted per comparison until one succeeds.
    pub comparison_attempts: usize,
    /// Time without a successful comparison after which the rows count as
    /// possibly stale and the table is read.
    pub max_age: Duration,
    /// Interval between reads of the whole table, which detect deleted rows.
    pub reconcile_interval: Duration,
    /// Interval between snapshots.
    pub snapshot_interval: Duration,
    /// Seed of the random choices, for tests; none for a random seed.
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
    /// Returns the generator of random choices.
    pub(crate) fn rng(&self) -> fastrand::Rng {
        self.seed
            .map_or_else(fastrand::Rng::new, fastrand::Rng::with_seed)
    }
}
