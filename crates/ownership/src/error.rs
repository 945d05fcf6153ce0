//! Errors of changes of slot ownership.

use ibiscove_store::TableError;

/// Errors of changes of slot ownership.
#[derive(Debug, thiserror::Error)]
pub enum OwnershipError {
    /// The table was unavailable, or its response was lost.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A row of the table could not be decoded or encoded.
    #[error("row {key} cannot be encoded or decoded: {cause}")]
    Row {
        /// Key of the row.
        key: String,
        /// Why it could not be decoded or encoded.
        cause: serde_json::Error,
    },
    /// Other nodes kept changing the same rows.
    #[error("gave up after {attempts} conflicting writes to row {key}")]
    Contended {
        /// Key of the contended row.
        key: String,
        /// Number of attempts made.
        attempts: u32,
    },
    /// Too few witnesses respond for a change that a majority must acknowledge
    /// first.
    #[error("too few witnesses respond")]
    TooFewWitnesses,
    /// Requests were still in flight on the slots when a move timed out.
    #[error("requests are still in flight on slots to be moved")]
    RequestsInFlight,
    /// No node accepts the slots of a move.
    #[error("no member of the service accepts the slots")]
    NoReceiver,
    /// The upstream has announced itself, and this node's row does not contain
    /// it yet.
    #[error("this node's row does not contain the upstream yet")]
    RegistrationPending,
    /// This node's row was retired: it must rejoin as another incarnation.
    #[error("this node's row was retired")]
    Retired,
}
