//! Inventory and rules: their TOML formats and what follows from them.
//!
//! The inventory says what exists: regions, data centres, services and their
//! expected capacities. The rules say how requests are treated. Both are text
//! files under version control; `docs/inventory.md` and `docs/rules.md` are the
//! reference pages. Checks and comparison need no node; [`store`] keeps the
//! accepted versions in the platform's table and object store.
//!
//! The types keep every field's default, so that a first file is a few lines
//! and no file at all routes `/{service}/{key}` by the method's own meaning.

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

/// A text that is not an inventory or not a set of rules.
#[derive(Debug, thiserror::Error)]
#[error("{what}: {cause}")]
pub struct ParseError {
    what: &'static str,
    cause: Box<toml::de::Error>,
}
