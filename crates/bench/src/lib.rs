//! Measurements: what control and requests cost, and how outcomes hold up.
//!
//! The binary `ibiscove-bench` runs the measurements; it is not part of the
//! product. Everything runs in one process on loopback, against the stand-ins
//! of [`ibiscove_standin`]. [`slopes`] measures what one node costs and
//! [`capacity`] works out the size to design for from it (`docs/CAPACITY.md`).

pub mod capacity;
pub mod cluster;
pub mod counters;
pub mod counting;
pub mod fit;
pub mod load;
pub mod losses;
pub mod pipelines;
pub mod plot;
pub mod scenarios;
pub mod slopes;
pub mod usage;

/// Why a measurement gave no result.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// A node could not start.
    #[error(transparent)]
    Start(#[from] ibiscove_node::StartError),
    /// A file could not be read or written.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: String,
        /// What went wrong.
        cause: std::io::Error,
    },
    /// The inventory was not taken.
    #[error("inventory refused: {0}")]
    Inventory(String),
    /// An address or a stand-in could not be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A call over HTTP failed.
    #[error("call: {0}")]
    Call(#[from] trillium_client::Error),
    /// Something awaited did not come.
    #[error("{what} did not come within {patience:?}")]
    Late {
        /// What was awaited.
        what: String,
        /// How long it was awaited.
        patience: std::time::Duration,
    },
    /// A file of slopes that cannot be read.
    #[error("slopes: {0}")]
    Slopes(String),
    /// The command line was not understood.
    #[error("{0}")]
    Usage(String),
}

impl From<pico_args::Error> for BenchError {
    fn from(err: pico_args::Error) -> Self {
        BenchError::Usage(err.to_string())
    }
}
