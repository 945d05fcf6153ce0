//! Aliases that name what a number or string identifies.
//!
//! The house style asks for aliases in place of newtypes; see
//! `docs/house-style.md`.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One run of a node process. A restarted process is another incarnation, so
/// that promises made to or by the earlier run never bind the later one.
pub type Incarnation = u64;

/// A share of a service's key space. Values below the service's slot count are
/// hash ranges; higher ones hold a single key that was split out.
pub type Slot = u32;

/// A number that rises each time a slot changes owner. An upstream that checks
/// fences refuses any request with a lower one than it has seen for the slot.
pub type Fence = u64;

/// The version that the table service gives a row; it rises with every write.
pub type RowVersion = u64;

/// Name of a service, as the inventory gives it.
pub type ServiceName = Arc<str>;

/// Name of a data centre, as the inventory gives it.
pub type DataCentre = Arc<str>;

/// Name of a region, as the inventory gives it.
pub type Region = Arc<str>;

/// Identifies one request of a caller across nodes and repeats.
pub type RequestId = Arc<str>;

/// Name of a node, from its settings. A restarted process has the same name.
pub type NodeName = Arc<str>;

/// A key of a service whose keys are divided in ranges.
pub type Key = u16;

/// One life of an upstream: a restart under the same id is another life, which
/// knows nothing of what the earlier one held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// The id that the upstream gave itself.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch.
    pub born_ms: i64,
}
