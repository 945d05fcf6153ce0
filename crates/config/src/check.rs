//! Validation of inventory and rules, without access to a node.
//!
//! Nodes rely on what is checked here, such as slot counts that are powers of
//! two, so only a file without errors is ever applied.

mod capacity;
mod inventory;
mod rules;

use crate::document::Document;
use crate::finding::{Finding, Severity};
use crate::{Inventory, Rules};

/// Checks an inventory; returns it only if there are no errors.
pub fn check_inventory(file: &str, text: &str) -> (Option<Inventory>, Vec<Finding>) {
    let mut document = Document::parse(file, text, &["region", "service", "lost"]);
    let inventory = inventory::check(&mut document);
    usable_unless_errors(document, inventory)
}

/// Checks rules, against an inventory if one is given; returns them only if
/// there are no errors.
pub fn check_rules(
    file: &str,
    text: &str,
    inventory: Option<&Inventory>,
) -> (Option<Rules>, Vec<Finding>) {
    let mut document = Document::parse(file, text, &["route", "service"]);
    let rules = rules::check(&mut document, inventory);
    usable_unless_errors(document, rules)
}

fn usable_unless_errors<T>(document: Document<'_>, value: T) -> (Option<T>, Vec<Finding>) {
    let findings = document.finish();
    let usable = !crate::finding::has_errors(&findings);
    (usable.then_some(value), findings)
}

/// Returns whether a text is a valid name. Names appear in paths, row keys and
/// metrics, so they only have characters that need no escaping in any of them.
pub(crate) fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_LEN
        && !text.starts_with('_')
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Limit on the length of a name, in bytes.
const MAX_NAME_LEN: usize = 63;
/// Remedy for an invalid name.
const NAME_REMEDY: &str = "use 1 to 63 letters, digits, '-', '_' and '.', not starting with '_'";
