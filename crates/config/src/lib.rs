//! Cluster configuration: the inventory and the rules, with their TOML formats,
//! validation, comparison and versioned storage.
//!
//! The inventory lists regions, data centres, services and their expected
//! capacities. The rules define how requests are routed, retried and queued.
//! Both are text files under version control; `docs/inventory.md` and
//! `docs/rules.md` are the reference pages. Validation and comparison need no
//! node; [`store`] keeps the accepted versions in the platform's table and
//! object store.
//!
//! Most fields have a default, so that a minimal file is a few lines long.
//! Without any file, `/{service}/{key}` is routed with the semantics of the HTTP
//! method.

pub mod change;
mod check;
mod diff;
mod document;
mod finding;
mod harm;
pub mod import;
pub mod inventory;
pub mod rules;
pub mod store;

pub use check::{check_inventory, check_rules};
pub use diff::{Change, diff};
pub use finding::{Finding, Severity, has_errors};
pub use harm::{Harm, HarmKind, find_harms};
pub use import::{ImportError, ImportOutcome, SkippedRow, import};
pub use inventory::{Inventory, LostInstance, RegionEntry, ServiceEntry};
pub use rules::{KeySource, Route, Rules, ServiceRules};

/// A text that cannot be parsed as an inventory or as rules.
#[derive(Debug, thiserror::Error)]
#[error("{what}: {cause}")]
pub struct ParseError {
    what: &'static str,
    cause: Box<toml::de::Error>,
}
