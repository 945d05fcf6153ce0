//! Why a change of ownership did not happen.

use ibiscove_store::TableError;

/// Why a change of ownership did not happen.
#[derive(Debug, thiserror::Error)]
pub enum OwnershipError {
    /// The table gave no answer, or lost it.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A row of the table could not be read or written.
    #[error("row {key}: {cause}")]
    Row {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
        cause: serde_json::Error,
    },
    /// Another node changed the same rows first, again and again.
    #[error("gave up after {attempts} conflicts on {key}")]
    Contended {
        /// Key of the row that others kept changing.
        key: String,
        /// How often it was tried.
        attempts: u32,
    },
    /// Too few witnesses answer for a change that they must know of first.
    #[error("too few witnesses answer")]
    TooFewWitnesses,
    /// Requests were still running when a move had to be made.
    #[error("requests are still running")]
    RequestsInFlight,
    /// No node takes the slots of a move.
    #[error("no node takes the slots")]
    NoReceiver,
    /// The upstream has announced itself, and the row does not say so yet.
    #[error("not registered yet")]
    RegistrationPending,
    /// This node's row was retired: the process must start again.
    #[error("this node was declared lost")]
    Retired,
}
