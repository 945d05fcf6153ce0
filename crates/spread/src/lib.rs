//! Gossip replication of the platform's table to the memory of every node.
//!
//! Each node holds a replica of all rows ([`Replica`]). A changed row is pushed
//! to a few random peers, which push it on ([`push_rows`]). Anti-entropy
//! compares digests with random peers each second and repairs what the pushes
//! missed ([`run_anti_entropy`]).
//!
//! Guarantees: a row never goes back to a lower version, and its checksum is
//! verified before it is applied. Replication works without the table, which is
//! read at start and by a node that has compared with no peer for too long. A
//! snapshot in the object store ([`snapshot`]) serves nodes that start while the
//! table is down. See `docs/spread.md`.

mod anti_entropy;
mod digests;
mod metrics;
mod push;
mod replica;
mod row;
mod settings;
pub mod snapshot;
mod table;
mod texts;

pub use anti_entropy::{
    handle_request, propagate_rows, repair_with_peer, replica_report, run_anti_entropy,
};
pub use push::push_rows;
pub use replica::Replica;
pub use row::ReplicatedRow;
pub use settings::SpreadSettings;
pub use table::{apply_rows, read_table, watch_table};
