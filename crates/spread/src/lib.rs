//! Replication of table rows to the memory of every node.
//!
//! Each node keeps all rows ([`Replica`]). A changed row is pushed to a few
//! random peers, which push it on ([`push_rows`]); digests compared each second
//! heal what was missed ([`run_anti_entropy`]). A row never goes back to a lower version,
//! its checksum is verified before it is used, and a node that has compared
//! with nobody for too long reads the table. A snapshot in the object store
//! ([`snapshot`]) serves nodes that start while the table is down. See
//! `docs/spread.md`.

mod digests;
mod entry;
mod heal;
mod metrics;
mod push;
mod replica;
mod settings;
pub mod snapshot;
mod table;
mod texts;

pub use entry::ReplicatedRow;
pub use heal::{
    handle_request, propagate_rows, repair_with_peer, replica_report, run_anti_entropy,
};
pub use push::push_rows;
pub use replica::Replica;
pub use settings::SpreadSettings;
pub use table::{apply_rows, read_table, watch_table};
