//! Callbacks that a planned move makes into the node.

use ibiscove_types::Slot;
use ibiscove_wire::messages::DedupEntry;

/// Callbacks that a planned move makes into the node.
pub trait MoveHooks: Clone + Send + Sync + 'static {
    /// Returns the deduplication window of a slot whose requests have all
    /// ended, for the slot's next owner.
    fn export_dedup_window(&self, service: &str, slot: Slot) -> Vec<DedupEntry>;
}

/// Hooks of a node without deduplication windows.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoHooks;

impl MoveHooks for NoHooks {
    fn export_dedup_window(&self, _service: &str, _slot: Slot) -> Vec<DedupEntry> {
        Vec::new()
    }
}
