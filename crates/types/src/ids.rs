//! Type aliases for identifiers.
//!
//! Aliases rather than newtypes, as `docs/house-style.md` prescribes.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Identifies one run of a node process. A restarted process has another
/// incarnation, so that commitments made to or by the earlier run never bind
/// the later one.
pub type Incarnation = u64;

/// A partition of a service's key space. Values below the service's slot count
/// are hash ranges; each higher value is a single key that was split out.
pub type Slot = u32;

/// A fencing token: increases each time a slot changes owner. An upstream that
/// checks fences rejects any request with a lower fence than the highest it has
/// seen for the slot.
pub type Fence = u64;

/// Version that the table service assigns to a row; increases with every write.
pub type RowVersion = u64;

/// Name of a service, as in the inventory.
pub type ServiceName = Arc<str>;

/// Name of a data centre, as in the inventory.
pub type DataCentre = Arc<str>;

/// Name of a region, as in the inventory.
pub type Region = Arc<str>;

/// Identifies one attempt at a caller's request, across nodes.
pub type RequestId = Arc<str>;

/// Name of a node, from its settings. It stays the same across restarts.
pub type NodeName = Arc<str>;

/// A key of a service whose key space is divided into ranges.
pub type Key = u16;

/// Identifies one run of an upstream. A restart under the same id is another
/// incarnation, which has none of the state that the earlier one held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// The id that the upstream announces.
    pub id: Arc<str>,
    /// Start time, in milliseconds since the Unix epoch.
    pub born_ms: i64,
}
