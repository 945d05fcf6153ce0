//! What a planned move asks of the rest of the node.

use ibiscove_types::Slot;
use ibiscove_wire::messages::DedupEntry;

/// What a planned move asks of the rest of the node.
pub trait MoveHooks: Clone + Send + Sync + 'static {
    /// The deduplication window of a slot whose requests have all ended, for
    /// the slot's next owner.
    fn export_dedup_window(&self, service: &str, slot: Slot) -> Vec<DedupEntry>;
}

/// For a node that keeps no deduplication window.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoHooks;

impl MoveHooks for NoHooks {
    fn export_dedup_window(&self, _service: &str, _slot: Slot) -> Vec<DedupEntry> {
        Vec::new()
    }
}
